"""Tells slow, failing and hanging workers apart from jobs that fail anywhere.

Load pattern: some workers take several times as long, fail all they start or
let tasks stand still, while they say that they are ready. Only what their runs
did counts.
"""

import collections
import math
import statistics

import msgspec

from citronmount.core import ids
from citronmount.fleet import worker_directory

__all__ = ["Trust", "WorkerHealth"]

WORKER_RATIO_WINDOW = 6
POOL_RATIO_WINDOW = 200
SLOW_FACTOR = 2.0
FLAPS_TO_DISTRUST = 2
FLAP_WINDOW_MS = 30_000
FLAP_DISTRUST_MS = 6_000
OVERDUE_FLOOR_MS = 2_000
OVERDUE_DISTRUST_MS = 1_000
FAILURES_TO_DISTRUST = 2
DISTRUST_MS = 10_000


class Trust(msgspec.Struct, frozen=True, kw_only=True):
    """What is believed of a worker.

    Attributes:
        slowness: Its run times as a multiple of what is usual in the pool.
        distrusted: Whether it should get no work for now.
    """

    slowness: float = 1.0
    distrusted: bool = False


class _RunHistory:
    """What the runs of one worker did."""

    def __init__(self) -> None:
        self.ratios: collections.deque[float] = collections.deque(
            maxlen=WORKER_RATIO_WINDOW
        )
        self.failed_jobs: set[ids.JobId] = set()
        self.distrusted_until_ms = 0
        self.last_success_ms = -math.inf


class WorkerHealth:
    """Follows the ends of runs on every worker."""

    def __init__(self) -> None:
        """Initializes without any evidence."""
        self._histories: dict[ids.WorkerId, _RunHistory] = (
            collections.defaultdict(_RunHistory)
        )
        self._incarnation_ends: dict[
            worker_directory.MachineId, collections.deque[int]
        ] = collections.defaultdict(collections.deque)
        self._pool_ratios: collections.deque[float] = collections.deque(
            maxlen=POOL_RATIO_WINDOW
        )

    def record_success(
        self,
        worker: ids.WorkerId,
        elapsed_ms: int,
        estimate_ms: int,
        now_ms: int,
    ) -> None:
        """Notes a run that ended well.

        Args:
            worker: Where.
            elapsed_ms: How long it took.
            estimate_ms: How long it was thought to take.
            now_ms: Monotonic time in milliseconds.
        """
        history = self._histories[worker]
        history.failed_jobs.clear()
        history.last_success_ms = now_ms
        history.distrusted_until_ms = 0
        if estimate_ms > 0:
            ratio = elapsed_ms / estimate_ms
            history.ratios.append(ratio)
            self._pool_ratios.append(ratio)

    def record_failure(
        self, worker: ids.WorkerId, job: ids.JobId, now_ms: int
    ) -> bool:
        """Notes a run that failed.

        Returns:
            Whether the worker lost its trust by it.
        """
        history = self._histories[worker]
        history.failed_jobs.add(job)
        if len(history.failed_jobs) < FAILURES_TO_DISTRUST:
            return False
        history.distrusted_until_ms = now_ms + DISTRUST_MS
        return True

    def mark_stalled(self, worker: ids.WorkerId, now_ms: int) -> None:
        """Notes that a task at a worker does not get on."""
        self._histories[worker].distrusted_until_ms = now_ms + DISTRUST_MS

    def overdue_factor(
        self,
        worker: ids.WorkerId,
        elapsed_ms: int,
        estimate_ms: int,
        now_ms: int,
    ) -> float:
        """Returns how far a run is overdue where nothing else ends.

        A run that is overdue on a worker that finishes other runs is taken as
        long. Where nothing ends, the worker gets no work for a while.

        Args:
            worker: Where.
            elapsed_ms: How long the run has worked.
            estimate_ms: How long it was thought to take.
            now_ms: Monotonic time in milliseconds.

        Returns:
            The multiple of the usual run time, or 0 if other runs end there.
        """
        history = self._histories[worker]
        if history.last_success_ms >= now_ms - elapsed_ms:
            return 0.0
        typical_ms = self._typical_ratio() * estimate_ms
        factor = elapsed_ms / max(typical_ms, 1)
        if factor > SLOW_FACTOR and elapsed_ms > typical_ms + OVERDUE_FLOOR_MS:
            history.distrusted_until_ms = max(
                history.distrusted_until_ms, now_ms + OVERDUE_DISTRUST_MS
            )
        return factor

    def record_incarnation_end(
        self, worker: worker_directory.Worker, now_ms: int
    ) -> None:
        """Drops the evidence on a worker and remembers the machine.

        A machine whose workers come and go gets no work for a while, longer
        with each time.
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
        """Returns whether workers of a machine come and go."""
        ends = self._incarnation_ends.get(machine)
        if not ends or len(ends) < FLAPS_TO_DISTRUST:
            return False
        return now_ms < ends[-1] + FLAP_DISTRUST_MS * (len(ends) - 1)

    def trust(self, worker: worker_directory.Worker, now_ms: int) -> Trust:
        """Returns what is believed of a worker."""
        if self.is_flapping(worker.machine, now_ms):
            return Trust(distrusted=True)
        history = self._histories.get(worker.worker)
        if history is None:
            return Trust()
        slowness = 1.0
        if history.ratios:
            slowness = statistics.median(history.ratios) / self._typical_ratio()
        return Trust(
            slowness=slowness, distrusted=now_ms < history.distrusted_until_ms
        )

    def _typical_ratio(self) -> float:
        if not self._pool_ratios:
            return 1.0
        return max(statistics.median(self._pool_ratios), 0.1)
