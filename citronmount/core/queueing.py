"""The queue of one failure domain: lanes of each account, in order."""

import collections
from collections.abc import Iterator
import enum
import heapq
import itertools

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import shapes

__all__ = ["Entry", "JobQueue", "Lane"]

_ATTAINED_LIMITS_MS = (8 * 3_600_000, 128 * 3_600_000)
_COMPACT_AT = 1_024


class Lane(enum.IntEnum):
    """Lanes of an account's queue, first served first."""

    URGENT = 0
    PRESSED = 1
    NEW = 2
    SERVED = 3
    LONG_SERVED = 4


class Entry:
    """A job in the queue or placed, with what its attempts have shown.

    Attributes:
        spec: The job.
        shape: Its gang.
        sequence: Its place in the order of submission.
        look_again_ms: When a job that so waits is looked at again.
        patient_until_ms: Until when it waits for a less scattered place.
        progress: Saved share of its work.
        attained_ms: Accelerator milliseconds that it was served.
        failed_on: Workers at which it failed.
        failures: Attempts that ran and failed.
        setbacks: Attempts that failed, those that never started included.
        retry_ms: When it may be tried again at workers at which it failed.
        queued_ms: When it came into the queue last.
        ran: Whether a task of it ever started.
        reclaim_ms: When it may take room back from trials.
        tried: Whether it was placed before.
        counted_as_trial: Whether it counts against an allowance at present.
    """

    __slots__ = (
        "attained_ms",
        "counted_as_trial",
        "failed_on",
        "failures",
        "lane",
        "look_again_ms",
        "patient_until_ms",
        "progress",
        "queued_ms",
        "ran",
        "reclaim_ms",
        "retry_ms",
        "sequence",
        "setbacks",
        "shape",
        "spec",
        "tried",
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
        self.failed_on: frozenset[ids.WorkerId] = frozenset()
        self.failures = 0
        self.setbacks = 0
        self.retry_ms = 0
        self.queued_ms = 0
        self.reclaim_ms = 0
        self.ran = progress > 0
        self.tried = self.ran
        self.counted_as_trial = False
        self.lane = Lane.NEW
        self.patient_until_ms: int | None = None
        self.look_again_ms = 0

    def avoidances(self, now_ms: int) -> tuple[frozenset[ids.WorkerId], ...]:
        """Returns sets of workers to avoid, to be tried in order.

        Args:
            now_ms: Monotonic time.
        """
        if not self.failed_on or now_ms < self.retry_ms:
            return (self.failed_on,)
        return (self.failed_on, frozenset())


class JobQueue:
    """Queued jobs by account and lane; adding and removing cost O(1).

    Within an account urgent jobs come first, then jobs whose deadline
    presses, then jobs by attained service in coarse steps (discretized
    least attained service, Gu et al., "Tiresias", NSDI 2019), each in the
    order of submission.
    """

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self._entries: collections.OrderedDict[ids.JobId, Entry] = (
            collections.OrderedDict()
        )
        self._lanes: dict[
            ids.AccountId,
            dict[Lane, collections.OrderedDict[ids.JobId, Entry]],
        ] = {}
        self._sizes: collections.Counter[ids.AccountId] = collections.Counter()
        self._deadlines: list[tuple[int, int, Entry]] = []
        self._presses: list[tuple[int, int, Entry]] = []
        self._counter = itertools.count()
        self.accelerators = 0

    def __len__(self) -> int:
        """Returns the number of queued jobs."""
        return len(self._entries)

    def __contains__(self, job: ids.JobId) -> bool:
        """Returns whether a job is queued."""
        return job in self._entries

    def __iter__(self) -> Iterator[Entry]:
        """Iterates over all entries, accounts in turn, each in its order."""
        return itertools.chain.from_iterable(
            self.of_account(account) for account in self._lanes
        )

    def get(self, job: ids.JobId) -> Entry | None:
        """Returns the entry of a queued job."""
        return self._entries.get(job)

    def size(self, account: ids.AccountId) -> int:
        """Returns how many jobs of an account are queued."""
        return self._sizes[account]

    def accounts(self) -> list[ids.AccountId]:
        """Returns the accounts that have queued jobs."""
        return list(self._lanes)

    def of_account(self, account: ids.AccountId) -> Iterator[Entry]:
        """Iterates over the entries of an account in their order."""
        lanes = self._lanes.get(account, {})
        for lane in Lane:
            yield from lanes.get(lane, {}).values()

    def by_submission(self) -> Iterator[Entry]:
        """Iterates over all entries in the order of submission."""
        return iter(self._entries.values())

    def add(self, entry: Entry, *, press_at_ms: int | None = None) -> None:
        """Queues an entry; one that was queued before goes to the front.

        Args:
            entry: The entry.
            press_at_ms: Wall-clock time from which its deadline presses.
        """
        job = entry.spec.job
        again = entry.tried
        self._entries[job] = entry
        self._sizes[entry.spec.account] += 1
        self.accelerators += entry.shape.accelerators
        self._put(entry, _lane(entry), again)
        if again:
            self._entries.move_to_end(job, last=False)
        if entry.spec.deadline_ms is not None:
            item = (entry.spec.deadline_ms, next(self._counter), entry)
            heapq.heappush(self._deadlines, item)
        if press_at_ms is not None:
            item = (press_at_ms, next(self._counter), entry)
            heapq.heappush(self._presses, item)

    def remove(self, job: ids.JobId) -> Entry | None:
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

    def expired(self, wall_ms: int) -> list[Entry]:
        """Removes and returns the jobs whose deadline has passed."""
        return [
            entry
            for entry in self._due(self._deadlines, wall_ms)
            if self.remove(entry.spec.job)
        ]

    def press(self, wall_ms: int) -> bool:
        """Moves jobs whose deadline presses to their lane.

        Args:
            wall_ms: Wall-clock time.

        Returns:
            Whether any job was moved.
        """
        due = self._due(self._presses, wall_ms)
        for entry in due:
            if entry.lane > Lane.PRESSED:
                self._take_from_lane(entry)
                self._put(entry, Lane.PRESSED, False)
        return bool(due)

    def _due(
        self, heap: list[tuple[int, int, Entry]], wall_ms: int
    ) -> list[Entry]:
        due = []
        while heap and heap[0][0] <= wall_ms:
            entry = heapq.heappop(heap)[2]
            if self._entries.get(entry.spec.job) is entry:
                due.append(entry)
        return due

    def _put(self, entry: Entry, lane: Lane, first: bool) -> None:
        entry.lane = lane
        lanes = self._lanes.setdefault(entry.spec.account, {})
        jobs_of_lane = lanes.setdefault(lane, collections.OrderedDict())
        jobs_of_lane[entry.spec.job] = entry
        if first:
            jobs_of_lane.move_to_end(entry.spec.job, last=False)

    def _take_from_lane(self, entry: Entry) -> None:
        del self._lanes[entry.spec.account][entry.lane][entry.spec.job]

    def _compact(self) -> None:
        for heap in (self._deadlines, self._presses):
            if len(heap) > _COMPACT_AT and len(heap) > 2 * len(self._entries):
                heap[:] = [
                    item
                    for item in heap
                    if self._entries.get(item[2].spec.job) is item[2]
                ]
                heapq.heapify(heap)


def _lane(entry: Entry) -> Lane:
    if entry.spec.urgent:
        return Lane.URGENT
    served = sum(entry.attained_ms >= limit for limit in _ATTAINED_LIMITS_MS)
    return Lane(Lane.NEW + served)
