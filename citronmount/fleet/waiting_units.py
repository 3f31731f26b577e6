"""Units that may start, and decisions on where they start."""

import msgspec

from citronmount.core import ids
from citronmount.fleet import fitting
from citronmount.fleet import unit_runs
from citronmount.fleet import worker_allocations
from citronmount.fleet import worker_directory
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["Decision", "WaitingUnit", "has_room_for", "objective_end_ms"]


class WaitingUnit(msgspec.Struct, frozen=True, kw_only=True):
    """A unit that may start.

    Attributes:
        key: The unit.
        step: Its step.
        submission: Its job.
        since_ms: Steady time from which it could have started.
        run: The number of its last run.
        failures: Its failed runs.
        saved: Its newest checkpoint, or empty.
        avoid: Workers at which it failed.
    """

    key: units.UnitKey
    step: spec.Step
    submission: spec.Submission
    since_ms: int
    run: int = 0
    failures: int = 0
    saved: str = ""
    avoid: frozenset[ids.WorkerId] = frozenset()

    @property
    def tasks(self) -> int:
        """How many tasks start together."""
        return self.step.tasks if self.step.gang else 1

    @property
    def accelerators(self) -> int:
        """Accelerators of all its tasks."""
        return self.tasks * self.step.demand.accelerators


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """A unit that is to start.

    Attributes:
        waiting: The unit.
        workers: A worker for each task.
        victims: Runs that are to be stopped first.
        within_guarantee: Whether the unit is inside its account's guarantee.
        spread: Whether it was allowed to leave its preferred rack.
        lost_core_s: Work that the stops throw away.
    """

    waiting: WaitingUnit
    workers: tuple[worker_directory.Worker, ...]
    victims: tuple[unit_runs.Run, ...] = ()
    within_guarantee: bool = False
    spread: fitting.Spread = fitting.Spread.PREFERRED
    lost_core_s: float = 0.0


def objective_end_ms(submission: spec.Submission) -> int:
    """Returns the Unix time at which a job's objective ends, as estimated.

    Args:
        submission: The job.

    Returns:
        Milliseconds.
    """
    chain: list[int] = []
    for step in submission.workflow.steps:
        before = max((chain[earlier] for earlier in step.after), default=0)
        chain.append(before + step.estimate_ms)
    longest = max(chain, default=0)
    terms = submission.terms
    allowed_ms = terms.slack_factor * longest + terms.objective_ms
    return submission.accepted_ms + int(allowed_ms)


def has_room_for(
    unit: WaitingUnit,
    worker: worker_directory.Worker,
    room: worker_allocations.WorkerAllocations,
) -> bool:
    """Returns whether one task of a unit could start at a worker.

    Args:
        unit: The unit.
        worker: The worker.
        room: What is given of the workers' room.

    Returns:
        Whether the worker suits and has room.
    """
    need = fitting.Need(
        tasks=1, step=unit.step, service=unit.submission.terms.service
    )
    free = worker_allocations.subtract_demands(
        worker.capacity, room.used(worker.worker)
    )
    demand = worker_allocations.allocated_demand(unit.step)
    return fitting.suits(need, worker) and bool(
        worker_allocations.max_task_count(free, demand, 1)
    )
