"""The queue of one failure domain: lanes of each account, in order."""

import collections
from collections.abc import Iterator
import enum
import heapq
import itertools

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import shapes

__all__ = ["JobEntry", "JobQueue", "Priority"]

_ATTAINED_LIMITS_MS = (8 * 3_600_000, 128 * 3_600_000)
_COMPACT_AT = 1_024


class Priority(enum.IntEnum):
    """Lanes of an account's queue, first served first."""

    URGENT = 0
    NEAR_DEADLINE = 1
    NEW = 2
    PARTLY_SERVED = 3
    LONG_SERVED = 4


class JobEntry:
    """A job in the queue or placed, with what its attempts have shown.

    Attributes:
        spec: The job.
        shape: Its gang.
        sequence: Its place in the order of submission.
        next_check_ms: When a job that so waits is looked at again.
        delay_until_ms: Until when it waits for a less scattered place.
        progress: Saved share of its work.
        attained_ms: Accelerator milliseconds that it was served.
        failed_workers: Workers at which it failed.
        failed_runs: Attempts that ran and failed.
        failed_attempts: Failed attempts, including those that never started.
        retry_at_ms: When it may be tried again at workers at which it failed.
        queued_ms: When it came into the queue last.
        has_started: Whether a task of it ever started.
        reclaim_from_ms: When it may take room back from trials.
        placed_before: Whether it was placed before.
        counts_against_allowance: Whether a trial allowance is charged now.
    """

    __slots__ = (
        "attained_ms",
        "counts_against_allowance",
        "delay_until_ms",
        "failed_attempts",
        "failed_runs",
        "failed_workers",
        "has_started",
        "next_check_ms",
        "placed_before",
        "priority",
        "progress",
        "queued_ms",
        "reclaim_from_ms",
        "retry_at_ms",
        "sequence",
        "shape",
        "spec",
    )

    def __init__(
        self, *, spec: jobs.JobSpec, sequence: int, progress: float = 0.0
    ) -> None:
        """Initializes an entry that has not been tried."""
        self.spec = spec
        self.shape = shapes.of_job(spec)
        self.sequence = sequence
        self.progress = progress
        self.attained_ms = 0
        self.failed_workers: frozenset[ids.WorkerId] = frozenset()
        self.failed_runs = 0
        self.failed_attempts = 0
        self.retry_at_ms = 0
        self.queued_ms = 0
        self.reclaim_from_ms = 0
        self.has_started = progress > 0
        self.placed_before = self.has_started
        self.counts_against_allowance = False
        self.priority = Priority.NEW
        self.delay_until_ms: int | None = None
        self.next_check_ms = 0

    def avoided_worker_sets(
        self, now_ms: int
    ) -> tuple[frozenset[ids.WorkerId], ...]:
        """Returns sets of workers to avoid, to be tried in order.

        Args:
            now_ms: Monotonic time.
        """
        if not self.failed_workers or now_ms < self.retry_at_ms:
            return (self.failed_workers,)
        return (self.failed_workers, frozenset())


class JobQueue:
    """Queued jobs by account and lane; adding and removing cost O(1).

    Within an account urgent jobs come first, then jobs whose deadline
    presses, then jobs by attained service in coarse steps (discretized
    least attained service, Gu et al., "Tiresias", NSDI 2019), each in the
    order of submission.
    """

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self._entries: collections.OrderedDict[ids.JobId, JobEntry] = (
            collections.OrderedDict()
        )
        self._lanes: dict[
            ids.AccountId,
            dict[Priority, collections.OrderedDict[ids.JobId, JobEntry]],
        ] = {}
        self._sizes: collections.Counter[ids.AccountId] = collections.Counter()
        self._deadlines: list[tuple[int, int, JobEntry]] = []
        self._presses: list[tuple[int, int, JobEntry]] = []
        self._counter = itertools.count()
        self.accelerators = 0

    def __len__(self) -> int:
        """Returns the number of queued jobs."""
        return len(self._entries)

    def __contains__(self, job: ids.JobId) -> bool:
        """Returns whether a job is queued."""
        return job in self._entries

    def __iter__(self) -> Iterator[JobEntry]:
        """Iterates over all entries, accounts in turn, each in its order."""
        return itertools.chain.from_iterable(
            self.account_entries(account) for account in self._lanes
        )

    def get(self, job: ids.JobId) -> JobEntry | None:
        """Returns the entry of a queued job."""
        return self._entries.get(job)

    def size(self, account: ids.AccountId) -> int:
        """Returns how many jobs of an account are queued."""
        return self._sizes[account]

    def accounts(self) -> list[ids.AccountId]:
        """Returns the accounts that have queued jobs."""
        return list(self._lanes)

    def account_entries(self, account: ids.AccountId) -> Iterator[JobEntry]:
        """Iterates over the entries of an account in their order."""
        lanes = self._lanes.get(account, {})
        for lane in Priority:
            yield from lanes.get(lane, {}).values()

    def by_submission(self) -> Iterator[JobEntry]:
        """Iterates over all entries in the order of submission."""
        return iter(self._entries.values())

    def add(self, entry: JobEntry, *, promote_at_ms: int | None = None) -> None:
        """Queues an entry; one that was queued before goes to the front.

        Args:
            entry: The entry.
            promote_at_ms: Wall-clock time from which its deadline presses.
        """
        job = entry.spec.job
        again = entry.placed_before
        self._entries[job] = entry
        self._sizes[entry.spec.account] += 1
        self.accelerators += entry.shape.accelerators
        self._put(entry, _lane(entry), again)
        if again:
            self._entries.move_to_end(job, last=False)
        if entry.spec.deadline_ms is not None:
            item = (entry.spec.deadline_ms, next(self._counter), entry)
            heapq.heappush(self._deadlines, item)
        if promote_at_ms is not None:
            item = (promote_at_ms, next(self._counter), entry)
            heapq.heappush(self._presses, item)

    def remove(self, job: ids.JobId) -> JobEntry | None:
        """Takes a job out of the queue.

        Args:
            job: The job.

        Returns:
            Its entry, or None if it was not queued.
        """
        entry = self._entries.pop(job, None)
        if entry is None:
            return None
        account = entry.spec.account
        self._sizes[account] -= 1
        self.accelerators -= entry.shape.accelerators
        self._take_from_lane(entry)
        if not self._sizes[account]:
            del self._sizes[account]
            del self._lanes[account]
        self._compact()
        return entry

    def pop_expired(self, wall_ms: int) -> list[JobEntry]:
        """Removes and returns the jobs whose deadline has passed."""
        return [
            entry
            for entry in self._due(self._deadlines, wall_ms)
            if self.remove(entry.spec.job)
        ]

    def promote_near_deadline(self, wall_ms: int) -> bool:
        """Moves jobs whose deadline presses to their lane.

        Args:
            wall_ms: Wall-clock time.

        Returns:
            Whether any job was moved.
        """
        due = self._due(self._presses, wall_ms)
        for entry in due:
            if entry.priority > Priority.NEAR_DEADLINE:
                self._take_from_lane(entry)
                self._put(entry, Priority.NEAR_DEADLINE, False)
        return bool(due)

    def _due(
        self, heap: list[tuple[int, int, JobEntry]], wall_ms: int
    ) -> list[JobEntry]:
        due = []
        while heap and heap[0][0] <= wall_ms:
            entry = heapq.heappop(heap)[2]
            if self._entries.get(entry.spec.job) is entry:
                due.append(entry)
        return due

    def _put(self, entry: JobEntry, lane: Priority, first: bool) -> None:
        entry.priority = lane
        lanes = self._lanes.setdefault(entry.spec.account, {})
        jobs_of_lane = lanes.setdefault(lane, collections.OrderedDict())
        jobs_of_lane[entry.spec.job] = entry
        if first:
            jobs_of_lane.move_to_end(entry.spec.job, last=False)

    def _take_from_lane(self, entry: JobEntry) -> None:
        del self._lanes[entry.spec.account][entry.priority][entry.spec.job]

    def _compact(self) -> None:
        for heap in (self._deadlines, self._presses):
            if len(heap) > _COMPACT_AT and len(heap) > 2 * len(self._entries):
                heap[:] = [
                    item
                    for item in heap
                    if self._entries.get(item[2].spec.job) is item[2]
                ]
                heapq.heapify(heap)


def _lane(entry: JobEntry) -> Priority:
    if entry.spec.urgent:
        return Priority.URGENT
    served = sum(entry.attained_ms >= limit for limit in _ATTAINED_LIMITS_MS)
    return Priority(Priority.NEW + served)
