"""Learns run times from the runs of a pool's owner and estimates its jobs."""

from collections.abc import Iterable
from collections.abc import Sequence
import statistics

import msgspec

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.estimates import run_time
from citronmount.fleet.estimates import run_times
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_speeds
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["JobEstimate", "RunTimeLearning"]

ESTIMATE_TTL_MS = 1_000
ORDINARY_SPEED_TTL_MS = 1_000
MAX_CACHED_JOBS = 10_000
# Thousands of jobs may wait in an overload; their estimates expire at once
# after a pause, and computing one takes a tenth of a millisecond.
MAX_REFRESHES_PER_ROUND = 20
# Most runs past their high quantile report their end later, so that their
# bounds must not count as much as the ends.
RUNNING_BOUND_WEIGHT = 0.3

_RESULTS = (commands.EndKind.DONE, commands.EndKind.FAILED)
_STOPPED_BY_OWNER = frozenset(
    {
        run_states.EndCause.CANCELLED,
        run_states.EndCause.JOB_FAILED,
        run_states.EndCause.PREEMPTED,
        run_states.EndCause.WORKER_LEAVES,
    }
)


class JobEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Run times of the steps of a job.

    Attributes:
        run_times: Learned run time of each step, or None without one; empty
            if the owner does not learn.
        medians_ms: Median run time of each step, learned or declared; empty if
            the owner does not learn.
    """

    run_times: tuple[run_time.RunTime | None, ...] = ()
    medians_ms: tuple[int, ...] = ()

    def run_time(self, step_index: int) -> run_time.RunTime | None:
        """Returns the learned run time of a step, or None without one."""
        return self.run_times[step_index] if self.run_times else None


_AS_DECLARED = JobEstimate()


class RunTimeLearning:
    """Turns runs into observations and caches the estimates of jobs.

    Attributes:
        run_times: The learned run times.
    """

    def __init__(
        self,
        *,
        enabled: bool,
        directory: worker_directory.WorkerDirectory,
        speeds: worker_speeds.WorkerSpeeds,
    ) -> None:
        """Initializes without observations.

        Args:
            enabled: Whether to learn and to estimate at all.
            directory: Directory entries of the workers.
            speeds: Speed estimates of the machines.
        """
        self.run_times = run_times.RunTimes()
        self._enabled = enabled
        self._directory = directory
        self._speeds = speeds
        self._estimates: dict[ids.JobId, tuple[int, JobEstimate]] = {}
        self._past_high: set[units.UnitId] = set()
        self._round_ms = 0
        self._refresh_count = 0
        self._ordinary_slowdown = 1.0
        self._ordinary_until_ms = 0

    @property
    def enabled(self) -> bool:
        """Whether run times are learned and estimated."""
        return self._enabled

    def forget_job(self, job: ids.JobId) -> None:
        """Drops the cached estimate of a job that has ended."""
        self._estimates.pop(job, None)

    def estimate(self, submission: spec.Submission, now_ms: int) -> JobEstimate:
        """Returns the run times of the steps of a job.

        Estimates are computed again after `ESTIMATE_TTL_MS`, at most
        `MAX_REFRESHES_PER_ROUND` at a time.

        Args:
            submission: The job.
            now_ms: Monotonic time in milliseconds.
        """
        if not self._enabled:
            return _AS_DECLARED
        job = submission.workflow.job
        cached = self._estimates.get(job)
        if cached is not None and not self._may_refresh(cached[0], now_ms):
            return cached[1]
        steps = submission.workflow.steps
        learned = tuple(
            self.run_times.run_time(submission, step) for step in steps
        )
        estimate = JobEstimate(
            run_times=learned,
            medians_ms=tuple(
                each.median_ms if each else step.estimate_ms
                for step, each in zip(steps, learned, strict=True)
            ),
        )
        if len(self._estimates) >= MAX_CACHED_JOBS:
            self._estimates.clear()
        self._estimates[job] = (now_ms + ESTIMATE_TTL_MS, estimate)
        return estimate

    def _may_refresh(self, expires_ms: int, now_ms: int) -> bool:
        """Returns whether to compute an expired estimate in this round."""
        if now_ms < expires_ms:
            return False
        if now_ms != self._round_ms:
            self._round_ms = now_ms
            self._refresh_count = 0
        self._refresh_count += 1
        return self._refresh_count <= MAX_REFRESHES_PER_ROUND

    def run_done(
        self,
        run: unit_runs.Run,
        workers: Sequence[worker_directory.Worker],
        now_ms: int,
    ) -> None:
        """Learns from a run of which a task has succeeded.

        Only the first result of a run counts.

        Args:
            run: The run.
            workers: The workers of its members.
            now_ms: Monotonic time in milliseconds.
        """
        if run.outcome not in _RESULTS and self._counts(run, workers):
            self.run_times.observe(
                run.submission,
                run.step,
                self._ordinary_ms(now_ms - run.started_ms, workers, now_ms),
                _weight(run.step),
            )

    def run_over(
        self,
        run: unit_runs.Run,
        workers: Sequence[worker_directory.Worker],
        now_ms: int,
    ) -> None:
        """Learns a lower bound from a run that the owner has stopped.

        The members ran at least until the first of them acknowledged its stop.

        Args:
            run: A run that is over.
            workers: The workers of its members.
            now_ms: Monotonic time in milliseconds.
        """
        self._past_high.discard(run.unit)
        if run.outcome in _RESULTS:
            return
        if run.cause not in _STOPPED_BY_OWNER or not self._counts(run, workers):
            return
        stopped_ms = min(
            (each.settled_ms for each in run.members if each.stop_answered),
            default=run.started_ms,
        )
        self._observe_bound(
            run, workers, stopped_ms - run.started_ms, 1.0, now_ms
        )

    def is_news(self, run: unit_runs.Run, now_ms: int) -> bool:
        """Returns whether a run has just passed its high quantile."""
        if not self._enabled or run.started_ms is None:
            return False
        elapsed_ms = now_ms - run.started_ms
        past_high = elapsed_ms >= run.run_time.high_ms
        return past_high and run.unit not in self._past_high

    def run_continues(
        self,
        run: unit_runs.Run,
        workers: Sequence[worker_directory.Worker],
        now_ms: int,
    ) -> None:
        """Learns a lower bound from a run for which `is_news` holds.

        Args:
            run: A run whose members are all running.
            workers: The workers of its members.
            now_ms: Monotonic time in milliseconds.
        """
        self._past_high.add(run.unit)
        if self._counts(run, workers):
            self._observe_bound(
                run,
                workers,
                now_ms - run.started_ms,
                RUNNING_BOUND_WEIGHT,
                now_ms,
            )

    def _observe_bound(
        self,
        run: unit_runs.Run,
        workers: Sequence[worker_directory.Worker],
        elapsed_ms: int,
        weight: float,
        now_ms: int,
    ) -> None:
        self.run_times.observe_bound(
            run.submission,
            run.step,
            self._ordinary_ms(elapsed_ms, workers, now_ms),
            weight * _weight(run.step),
        )

    def _counts(
        self, run: unit_runs.Run, workers: Sequence[worker_directory.Worker]
    ) -> bool:
        """Returns whether the time of a run says how long its step takes."""
        return (
            self._enabled
            and run.from_scratch
            and run.started_ms is not None
            and not run.step.lasting
            and not _is_spread(run.step, workers)
        )

    def _ordinary_ms(
        self,
        elapsed_ms: int,
        workers: Iterable[worker_directory.Worker],
        now_ms: int,
    ) -> float:
        """Returns the time that a run would take on ordinary workers."""
        if now_ms >= self._ordinary_until_ms:
            self._ordinary_until_ms = now_ms + ORDINARY_SPEED_TTL_MS
            slowdowns = [
                self._speeds.slowdown(each.speed_key, now_ms)
                for each in self._directory
            ]
            self._ordinary_slowdown = (
                statistics.median(slowdowns) if slowdowns else 1.0
            )
        slowest = max(
            (self._speeds.slowdown(each.speed_key, now_ms) for each in workers),
            default=self._ordinary_slowdown,
        )
        return elapsed_ms * self._ordinary_slowdown / slowest


def _is_spread(
    step: spec.Step, workers: Iterable[worker_directory.Worker]
) -> bool:
    """Returns whether a run is slower because of the racks it runs on."""
    racks = {each.rack for each in workers}
    if step.data_rack and racks - {step.data_rack}:
        return True
    return step.one_rack and len(racks) > 1


def _weight(step: spec.Step) -> float:
    """Returns the weight of a run.

    Tasks of one step share the work of their job, so that they weigh together
    like a single run.
    """
    return 1.0 if step.gang else 1.0 / step.tasks
