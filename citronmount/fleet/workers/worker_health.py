"""Detects slow, failing and stalled workers from the results of their runs.

Some workers take several times as long as others, fail every task or let tasks
stall although they report that they are ready, so only the results of their
runs count. Failures of the same job count once, so that a single job that fails
everywhere does not make its workers distrusted.
"""

import collections
from collections.abc import Sequence
import math
import statistics

import msgspec

from citronmount.core import ids
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

__all__ = ["Assessment", "WorkerHealth"]

WORKER_RATIO_WINDOW = 6
SERVICE_RATIO_WINDOW = 200
SLOW_FACTOR = 2.0
FLAPS_TO_DISTRUST = 2
FLAP_WINDOW_MS = 30_000
FLAP_DISTRUST_MS = 6_000
OVERDUE_MARGIN_MS = 2_000
OVERDUE_DISTRUST_MS = 1_000
FAILURES_TO_DISTRUST = 2
DISTRUST_MS = 10_000


class Assessment(msgspec.Struct, frozen=True, kw_only=True):
    """Assessment of a worker.

    Attributes:
        slowness: Run times of the worker as a multiple of those typical in its
            service.
        distrusted: Whether the worker should receive no tasks for now.
    """

    slowness: float = 1.0
    distrusted: bool = False


class _RunHistory:
    """Results of the runs on one worker."""

    def __init__(self) -> None:
        self.ratios: collections.deque[float] = collections.deque(
            maxlen=WORKER_RATIO_WINDOW
        )
        self.failed_jobs: set[ids.JobId] = set()
        self.distrusted_until_ms = 0
        self.last_success_ms = -math.inf


class _ServiceRatios:
    """Ratios of run times to estimates on all workers of a service.

    Attributes:
        declared: Ratios to the declared run times.
        expected: Ratios to the run times that workers are compared by.
    """

    def __init__(self) -> None:
        self.declared: collections.deque[float] = collections.deque(
            maxlen=SERVICE_RATIO_WINDOW
        )
        self.expected: collections.deque[float] = collections.deque(
            maxlen=SERVICE_RATIO_WINDOW
        )


class WorkerHealth:
    """Collects the results of runs on all workers and assesses the workers."""

    def __init__(self) -> None:
        """Initializes without results."""
        self._histories: dict[ids.WorkerId, _RunHistory] = (
            collections.defaultdict(_RunHistory)
        )
        self._incarnation_ends: dict[
            worker_directory.MachineId, collections.deque[int]
        ] = collections.defaultdict(collections.deque)
        self._ratios: dict[spec.ServiceName, _ServiceRatios] = (
            collections.defaultdict(_ServiceRatios)
        )

    def record_success(
        self,
        worker: ids.WorkerId,
        elapsed_ms: int,
        estimate_ms: int,
        now_ms: int,
        *,
        service: spec.ServiceName,
        expected_ms: int | None = None,
    ) -> None:
        """Records a successful run, which ends the distrust of the worker.

        Args:
            worker: The worker of the run.
            elapsed_ms: Run time in milliseconds.
            estimate_ms: Declared run time in milliseconds, or 0 if unknown.
            now_ms: Monotonic time in milliseconds.
            service: Service of the worker.
            expected_ms: Run time in milliseconds to compare workers by, or 0
                if unknown; None for the declared one.
        """
        history = self._histories[worker]
        history.failed_jobs.clear()
        history.last_success_ms = now_ms
        history.distrusted_until_ms = 0
        if estimate_ms > 0:
            self._ratios[service].declared.append(elapsed_ms / estimate_ms)
        if expected_ms is None:
            expected_ms = estimate_ms
        if expected_ms > 0:
            ratio = elapsed_ms / expected_ms
            history.ratios.append(ratio)
            self._ratios[service].expected.append(ratio)

    def record_failure(
        self, worker: ids.WorkerId, job: ids.JobId, now_ms: int
    ) -> bool:
        """Records a failed run.

        A worker becomes distrusted once `FAILURES_TO_DISTRUST` different jobs
        failed on it without a successful run in between.

        Returns:
            Whether the worker is distrusted because of this failure.
        """
        history = self._histories[worker]
        history.failed_jobs.add(job)
        if len(history.failed_jobs) < FAILURES_TO_DISTRUST:
            return False
        history.distrusted_until_ms = now_ms + DISTRUST_MS
        return True

    def mark_stalled(self, worker: ids.WorkerId, now_ms: int) -> None:
        """Marks a worker as distrusted because a task on it is stalled."""
        self._histories[worker].distrusted_until_ms = now_ms + DISTRUST_MS

    def check_overdue(
        self,
        worker: ids.WorkerId,
        elapsed_ms: int,
        estimate_ms: int,
        now_ms: int,
        *,
        service: spec.ServiceName,
        min_typical_ms: int = 0,
    ) -> float:
        """Makes a worker distrusted for a while if a run on it is overdue.

        If the worker has completed another run since this one started, the run
        itself is considered long, not overdue.

        Args:
            worker: The worker of the run.
            elapsed_ms: Time since the run started, in milliseconds.
            estimate_ms: Declared run time in milliseconds.
            now_ms: Monotonic time in milliseconds.
            service: Service of the worker.
            min_typical_ms: Lower limit of the typical run time in milliseconds.

        Returns:
            Elapsed time as a multiple of the typical run time, or 0 if the
            worker has completed another run since the start of this one.
        """
        history = self._histories[worker]
        if history.last_success_ms >= now_ms - elapsed_ms:
            return 0.0
        typical_ratio = _typical_ratio(self._ratios[service].declared)
        typical_ms = max(typical_ratio * estimate_ms, min_typical_ms)
        factor = elapsed_ms / max(typical_ms, 1)
        if factor > SLOW_FACTOR and elapsed_ms > typical_ms + OVERDUE_MARGIN_MS:
            history.distrusted_until_ms = max(
                history.distrusted_until_ms, now_ms + OVERDUE_DISTRUST_MS
            )
        return factor

    def record_incarnation_end(
        self, worker: worker_directory.Worker, now_ms: int
    ) -> None:
        """Drops the results of a worker and records the end on its machine.

        A machine whose workers restart repeatedly (flapping) receives no tasks
        for a while, and for longer with each restart.
        """
        self._histories.pop(worker.worker, None)
        if not worker.machine:
            return
        ends = self._incarnation_ends[worker.machine]
        ends.append(now_ms)
        while ends and ends[0] < now_ms - FLAP_WINDOW_MS:
            ends.popleft()

    def is_flapping(
        self, machine: worker_directory.MachineId, now_ms: int
    ) -> bool:
        """Returns whether the workers of a machine restart repeatedly."""
        ends = self._incarnation_ends.get(machine)
        if not ends or len(ends) < FLAPS_TO_DISTRUST:
            return False
        return now_ms < ends[-1] + FLAP_DISTRUST_MS * (len(ends) - 1)

    def assess(
        self, worker: worker_directory.Worker, now_ms: int
    ) -> Assessment:
        """Returns the assessment of a worker."""
        if self.is_flapping(worker.machine, now_ms):
            return Assessment(distrusted=True)
        history = self._histories.get(worker.worker)
        if history is None:
            return Assessment()
        slowness = 1.0
        if history.ratios:
            slowness = statistics.median(history.ratios) / _typical_ratio(
                self._ratios[worker.service].expected
            )
        return Assessment(
            slowness=slowness, distrusted=now_ms < history.distrusted_until_ms
        )


def _typical_ratio(ratios: Sequence[float]) -> float:
    return max(statistics.median(ratios), 0.1) if ratios else 1.0
