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

RATIOS_KEPT = 6
FLEET_RATIOS_KEPT = 200
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


class _Record:
    """What the runs of one worker did."""

    def __init__(self) -> None:
        self.ratios: collections.deque[float] = collections.deque(
            maxlen=RATIOS_KEPT
        )
        self.failed_jobs: set[ids.JobId] = set()
        self.distrusted_until_ms = 0
        self.done_ms = -math.inf


class WorkerHealth:
    """Follows the ends of runs on every worker."""

    def __init__(self) -> None:
        """Initializes without any evidence."""
        self._records: dict[ids.WorkerId, _Record] = collections.defaultdict(
            _Record
        )
        self._life_ends: dict[
            worker_directory.MachineId, collections.deque[int]
        ] = collections.defaultdict(collections.deque)
        self._usual: collections.deque[float] = collections.deque(
            maxlen=FLEET_RATIOS_KEPT
        )

    def done(
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
            now_ms: Steady time in milliseconds.
        """
        record = self._records[worker]
        record.failed_jobs.clear()
        record.done_ms = now_ms
        record.distrusted_until_ms = 0
        if estimate_ms > 0:
            ratio = elapsed_ms / estimate_ms
            record.ratios.append(ratio)
            self._usual.append(ratio)

    def failed(self, worker: ids.WorkerId, job: ids.JobId, now_ms: int) -> bool:
        """Notes a run that failed.

        Returns:
            Whether the worker lost its trust by it.
        """
        record = self._records[worker]
        record.failed_jobs.add(job)
        if len(record.failed_jobs) < FAILURES_TO_DISTRUST:
            return False
        record.distrusted_until_ms = now_ms + DISTRUST_MS
        return True

    def stands_still(self, worker: ids.WorkerId, now_ms: int) -> None:
        """Notes that a task at a worker does not get on."""
        self._records[worker].distrusted_until_ms = now_ms + DISTRUST_MS

    def overdue(
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
            now_ms: Steady time in milliseconds.

        Returns:
            The multiple of the usual run time, or 0 if other runs end there.
        """
        record = self._records[worker]
        if record.done_ms >= now_ms - elapsed_ms:
            return 0.0
        usual_ms = self._usual_ratio() * estimate_ms
        factor = elapsed_ms / max(usual_ms, 1)
        if factor > SLOW_FACTOR and elapsed_ms > usual_ms + OVERDUE_FLOOR_MS:
            record.distrusted_until_ms = max(
                record.distrusted_until_ms, now_ms + OVERDUE_DISTRUST_MS
            )
        return factor

    def life_over(self, worker: worker_directory.Worker, now_ms: int) -> None:
        """Drops the evidence on a worker and remembers the machine.

        A machine whose workers come and go gets no work for a while, longer
        with each time.
        """
        self._records.pop(worker.worker, None)
        if not worker.machine:
            return
        ends = self._life_ends[worker.machine]
        ends.append(now_ms)
        while ends and ends[0] < now_ms - FLAP_WINDOW_MS:
            ends.popleft()

    def flaps(self, machine: worker_directory.MachineId, now_ms: int) -> bool:
        """Returns whether workers of a machine come and go."""
        ends = self._life_ends.get(machine)
        if not ends or len(ends) < FLAPS_TO_DISTRUST:
            return False
        return now_ms < ends[-1] + FLAP_DISTRUST_MS * (len(ends) - 1)

    def trust(self, worker: worker_directory.Worker, now_ms: int) -> Trust:
        """Returns what is believed of a worker."""
        if self.flaps(worker.machine, now_ms):
            return Trust(distrusted=True)
        record = self._records.get(worker.worker)
        if record is None:
            return Trust()
        slowness = 1.0
        if record.ratios:
            slowness = statistics.median(record.ratios) / self._usual_ratio()
        return Trust(
            slowness=slowness, distrusted=now_ms < record.distrusted_until_ms
        )

    def _usual_ratio(self) -> float:
        if not self._usual:
            return 1.0
        return max(statistics.median(self._usual), 0.1)
