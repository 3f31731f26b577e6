"""Units that are ready to start, and decisions to start them."""

from collections.abc import Sequence

import msgspec

from citronmount.core import ids
from citronmount.fleet.estimates import run_time
from citronmount.fleet.placement import fitting
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import crash_history as crash_history_lib
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = [
    "Decision",
    "WaitingUnit",
    "basic_requirements",
    "left_slack_share",
    "objective_end_ms",
    "objective_ms",
    "slack_ms",
    "suits",
    "task_capacity",
]


class WaitingUnit(msgspec.Struct, frozen=True, kw_only=True):
    """A unit that is ready to start.

    Attributes:
        key: The unit.
        step: The unit's step.
        submission: The unit's job.
        since_ms: Monotonic time since which the unit is ready.
        run: Number of the last run, or 0.
        failures: Number of failed runs.
        crash_history: Crashes of workers that count against the unit.
        saved: Newest checkpoint, or empty.
        avoid: Workers on which the unit failed, stalled or was slow, the one
            where it happened last at the end.
        learned_run_time: Run time of a task as learned from finished runs, or
            None without an estimate.
        step_medians_ms: Median run time of a task of each step of the job;
            empty for the declared times.
    """

    key: units.UnitKey
    step: spec.Step
    submission: spec.Submission
    since_ms: int
    run: int = 0
    failures: int = 0
    crash_history: crash_history_lib.CrashHistory = crash_history_lib.NO_CRASHES
    saved: str = ""
    avoid: tuple[ids.WorkerId, ...] = ()
    learned_run_time: run_time.RunTime | None = None
    step_medians_ms: tuple[int, ...] = ()

    @property
    def run_time(self) -> run_time.RunTime:
        """Expected run time of a task: the learned or the declared one."""
        return self.learned_run_time or run_time.declared(self.step)

    @property
    def tasks(self) -> int:
        """Number of tasks that start together."""
        return self.step.tasks if self.step.gang else 1

    @property
    def demand(self) -> spec.Demand:
        """Full demand of all tasks of the unit."""
        return worker_allocations.multiply_demand(self.step.demand, self.tasks)

    @property
    def is_suspect(self) -> bool:
        """Whether a crash of a worker counts against the unit."""
        return self.crash_history.crashes > 0

    @property
    def has_step_limits(self) -> bool:
        """Whether tickets or a limit of tasks per worker apply."""
        advised = self.submission.terms.needs_advice
        return advised or self.step.max_tasks_per_worker > 0

    @property
    def accelerators(self) -> int:
        """Number of accelerators of all tasks of the unit."""
        return self.tasks * self.step.demand.accelerators


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """Decision to start a unit.

    Attributes:
        waiting: The unit.
        workers: A worker for each task.
        victims: Runs to stop before the start.
        within_guarantee: Whether the unit is inside its account's guarantee.
        spread: Whether the unit was allowed to leave its preferred rack.
        lost_core_s: Work that the victims lose, in core-seconds.
        worth_core_s: Weighted work that the start was allowed to cost, or 0 if
            it stops nothing or is inside a guarantee.
    """

    waiting: WaitingUnit
    workers: tuple[worker_directory.Worker, ...]
    victims: tuple[unit_runs.Run, ...] = ()
    within_guarantee: bool = False
    spread: fitting.Spread = fitting.Spread.PREFERRED
    lost_core_s: float = 0.0
    worth_core_s: float = 0.0


def basic_requirements(unit: WaitingUnit) -> fitting.Requirements:
    """Returns a unit's requirements without workers to avoid or use last."""
    return fitting.Requirements(
        tasks=unit.tasks,
        step=unit.step,
        service=unit.submission.terms.service,
    )


def objective_end_ms(
    submission: spec.Submission,
    occurrence: int = 0,
    step_medians_ms: Sequence[int] = (),
) -> int:
    """Returns the Unix time by which an occurrence of a job should complete.

    The time of `objective_ms` begins with the acceptance of the job, or when a
    scheduled occurrence is due.

    Args:
        submission: The job.
        occurrence: Index of the occurrence, counted from 0.
        step_medians_ms: Median run time of a task of each step; empty for the
            declared times.

    Returns:
        Milliseconds.
    """
    due_ms = submission.workflow.due_ms(occurrence)
    begin_ms = submission.accepted_ms if due_ms is None else due_ms
    return begin_ms + objective_ms(submission, step_medians_ms)


def slack_ms(unit: WaitingUnit) -> int:
    """Returns how long a unit's job may wait without missing its objective.

    Args:
        unit: The unit.

    Returns:
        Milliseconds; the objective less the unit's median run time.
    """
    allowed_ms = objective_ms(unit.submission, unit.step_medians_ms)
    return max(allowed_ms - unit.run_time.median_ms, 0)


def left_slack_share(unit: WaitingUnit, wall_ms: int) -> float:
    """Returns which share of its slack a unit's job still has.

    Args:
        unit: The unit.
        wall_ms: Unix time in milliseconds.

    Returns:
        At most 1; negative if the job will be late, 0 if it never had slack.
    """
    run_ms = unit.run_time.median_ms
    slack = objective_ms(unit.submission, unit.step_medians_ms) - run_ms
    if slack <= 0:
        return 0.0
    end_ms = objective_end_ms(
        unit.submission, unit.key.occurrence, unit.step_medians_ms
    )
    return (end_ms - wall_ms - run_ms) / slack


def objective_ms(
    submission: spec.Submission, step_medians_ms: Sequence[int] = ()
) -> int:
    """Returns the time that a job may take, or each of its occurrences.

    The estimated critical path times the queue's slack factor, plus the queue's
    fixed allowance.

    Args:
        submission: The job.
        step_medians_ms: Median run time of a task of each step; empty for the
            declared times.

    Returns:
        Milliseconds.
    """
    steps = submission.workflow.steps
    times_ms = step_medians_ms or [step.estimate_ms for step in steps]
    earliest_ends_ms: list[int] = []
    for step, time_ms in zip(steps, times_ms, strict=True):
        start_ms = max(
            (earliest_ends_ms[earlier] for earlier in step.after), default=0
        )
        earliest_ends_ms.append(start_ms + time_ms)
    critical_path_ms = max(earliest_ends_ms, default=0)
    terms = submission.terms
    allowed_ms = terms.slack_factor * critical_path_ms + terms.objective_ms
    return int(allowed_ms)


def suits(unit: WaitingUnit, worker: worker_directory.Worker) -> bool:
    """Returns whether a worker may run tasks of a unit, capacity aside."""
    return fitting.suits(basic_requirements(unit), worker)


def task_capacity(
    unit: WaitingUnit,
    worker: worker_directory.Worker,
    allocations: worker_allocations.WorkerAllocations,
) -> int:
    """Returns how many tasks of a unit could start on a worker that suits it.

    Args:
        unit: The unit.
        worker: The worker.
        allocations: Resources allocated on the workers.

    Returns:
        A number from 0 to the number of tasks of the unit.
    """
    requirements = basic_requirements(unit)
    return fitting.task_limit(requirements, worker, allocations.free(worker))
