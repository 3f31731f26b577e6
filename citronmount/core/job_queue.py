"""Job queue of a failure domain, ordered by priority within each account."""

import collections
from collections.abc import Iterator
import enum
import heapq
import itertools

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import shapes

__all__ = ["JobEntry", "JobQueue", "Priority"]

_ATTAINED_SERVICE_LIMITS_ACCELERATOR_MS = (8 * 3_600_000, 128 * 3_600_000)
_COMPACT_MIN_ITEMS = 1_024


class Priority(enum.IntEnum):
    """Priority of a job among those of its account; the smallest goes first.

    The last three levels are by attained service.
    """

    URGENT = 0
    NEAR_DEADLINE = 1
    NEW = 2
    PARTLY_SERVED = 3
    LONG_SERVED = 4


class JobEntry:
    """Scheduling state of a queued or placed job.

    Times are monotonic.

    Attributes:
        spec: Job.
        shape: Gang of the job.
        sequence: Position in the order of submission.
        priority: Priority level among the jobs of the account.
        next_check_ms: Time of the next placement attempt while the job is
            delayed.
        delay_until_ms: Time until which the job waits for a less fragmented
            placement, or None if it is not delayed.
        progress: Fraction of the work that is checkpointed.
        attained_ms: Attained service in accelerator milliseconds.
        failed_workers: Workers at which the job failed.
        failed_runs: Number of attempts that ran and failed.
        failed_attempts: Number of failed attempts, including those that did
            not start.
        lost_starts: Number of consecutive attempts that lost a worker soon
            after their start.
        lost_workers: The workers that these attempts lost.
        retry_at_ms: Time from which the job may be retried on
            `failed_workers`.
        queued_ms: Time at which the job was last queued.
        has_started: Whether any task of the job has ever started.
        preempt_from_ms: Time from which the job may preempt trial jobs.
        placed_before: Whether the job has been placed before.
        counts_against_allowance: Whether the job is now counted against the
            allowance of a trial account.
    """

    __slots__ = (
        "attained_ms",
        "counts_against_allowance",
        "delay_until_ms",
        "failed_attempts",
        "failed_runs",
        "failed_workers",
        "has_started",
        "lost_starts",
        "lost_workers",
        "next_check_ms",
        "placed_before",
        "preempt_from_ms",
        "priority",
        "progress",
        "queued_ms",
        "retry_at_ms",
        "sequence",
        "shape",
        "spec",
    )

    def __init__(
        self, *, spec: jobs.JobSpec, sequence: int, progress: float = 0.0
    ) -> None:
        """Initializes the entry of a job without attempts.

        Args:
            spec: Job.
            sequence: Position in the order of submission.
            progress: Fraction of the work that is checkpointed. A job with
                progress counts as placed and started before.
        """
        self.spec = spec
        self.shape = shapes.of_job(spec)
        self.sequence = sequence
        self.progress = progress
        self.attained_ms = 0
        self.failed_workers: frozenset[ids.WorkerId] = frozenset()
        self.failed_runs = 0
        self.failed_attempts = 0
        self.lost_starts = 0
        self.lost_workers: frozenset[ids.WorkerId] = frozenset()
        self.retry_at_ms = 0
        self.queued_ms = 0
        self.preempt_from_ms = 0
        self.has_started = progress > 0
        self.placed_before = self.has_started
        self.counts_against_allowance = False
        self.priority = Priority.NEW
        self.delay_until_ms: int | None = None
        self.next_check_ms = 0

    def avoided_worker_sets(
        self, now_ms: int
    ) -> tuple[frozenset[ids.WorkerId], ...]:
        """Returns sets of workers to avoid, in the order to try them.

        Args:
            now_ms: Monotonic time.

        Returns:
            The workers at which the job failed and, once it may be retried
            there, the empty set.
        """
        if not self.failed_workers or now_ms < self.retry_at_ms:
            return (self.failed_workers,)
        return (self.failed_workers, frozenset())


class JobQueue:
    """Queued jobs by account and priority.

    Within an account, urgent jobs come first, then jobs whose deadline is
    near, then jobs by attained service in coarse steps (discretized least
    attained service, Gu et al., "Tiresias", NSDI 2019). Jobs of the same level
    are in the order of submission. Adding and removing a job cost O(1).

    Attributes:
        accelerators: Accelerators requested by all queued jobs.
    """

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self._entries: collections.OrderedDict[ids.JobId, JobEntry] = (
            collections.OrderedDict()
        )
        self._levels: dict[
            ids.AccountId,
            dict[Priority, collections.OrderedDict[ids.JobId, JobEntry]],
        ] = {}
        self._sizes: collections.Counter[ids.AccountId] = collections.Counter()
        self._deadlines: list[tuple[int, int, JobEntry]] = []
        self._promotions: list[tuple[int, int, JobEntry]] = []
        self._tie_breakers = itertools.count()
        self.accelerators = 0

    def __len__(self) -> int:
        """Returns the number of queued jobs of all accounts."""
        return len(self._entries)

    def __contains__(self, job: ids.JobId) -> bool:
        """Returns whether a job is queued."""
        return job in self._entries

    def __iter__(self) -> Iterator[JobEntry]:
        """Iterates over all entries, account by account, by priority."""
        return itertools.chain.from_iterable(
            self.account_entries(account) for account in self._levels
        )

    def get(self, job: ids.JobId) -> JobEntry | None:
        """Returns the entry of a queued job, or None if it is not queued."""
        return self._entries.get(job)

    def size(self, account: ids.AccountId) -> int:
        """Returns the number of queued jobs of an account."""
        return self._sizes[account]

    def accounts(self) -> list[ids.AccountId]:
        """Returns the accounts that have queued jobs."""
        return list(self._levels)

    def account_entries(self, account: ids.AccountId) -> Iterator[JobEntry]:
        """Iterates over the entries of an account by priority."""
        levels = self._levels.get(account, {})
        for priority in Priority:
            yield from levels.get(priority, {}).values()

    def by_submission(self) -> Iterator[JobEntry]:
        """Iterates over all entries by submission, requeued jobs first."""
        return iter(self._entries.values())

    def add(self, entry: JobEntry, *, promote_at_ms: int | None = None) -> None:
        """Queues an entry; a job that was placed before goes to the front.

        Args:
            entry: Entry of the job.
            promote_at_ms: Unix time at which the job gets the priority
                `NEAR_DEADLINE`, or None for never.
        """
        job = entry.spec.job
        requeued = entry.placed_before
        self._entries[job] = entry
        self._sizes[entry.spec.account] += 1
        self.accelerators += entry.shape.accelerators
        self._insert(entry, _initial_priority(entry), requeued)
        if requeued:
            self._entries.move_to_end(job, last=False)
        if entry.spec.deadline_ms is not None:
            item = (entry.spec.deadline_ms, next(self._tie_breakers), entry)
            heapq.heappush(self._deadlines, item)
        if promote_at_ms is not None:
            item = (promote_at_ms, next(self._tie_breakers), entry)
            heapq.heappush(self._promotions, item)

    def remove(self, job: ids.JobId) -> JobEntry | None:
        """Removes a job from the queue.

        Args:
            job: Job.

        Returns:
            The entry of the job, or None if it was not queued.
        """
        entry = self._entries.pop(job, None)
        if entry is None:
            return None
        account = entry.spec.account
        self._sizes[account] -= 1
        self.accelerators -= entry.shape.accelerators
        self._remove_from_level(entry)
        if not self._sizes[account]:
            del self._sizes[account]
            del self._levels[account]
        self._compact()
        return entry

    def pop_expired(self, wall_ms: int) -> list[JobEntry]:
        """Removes the jobs whose deadline has passed, and returns them."""
        return [
            entry
            for entry in self._due(self._deadlines, wall_ms)
            if self.remove(entry.spec.job)
        ]

    def promote_near_deadline(self, wall_ms: int) -> bool:
        """Raises the priority of jobs whose deadline has come near.

        Args:
            wall_ms: Unix time.

        Returns:
            Whether the promotion time of any queued job has been reached.
        """
        due = self._due(self._promotions, wall_ms)
        for entry in due:
            if entry.priority > Priority.NEAR_DEADLINE:
                self._remove_from_level(entry)
                self._insert(entry, Priority.NEAR_DEADLINE, False)
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

    def _insert(
        self, entry: JobEntry, priority: Priority, at_front: bool
    ) -> None:
        entry.priority = priority
        levels = self._levels.setdefault(entry.spec.account, {})
        level = levels.setdefault(priority, collections.OrderedDict())
        level[entry.spec.job] = entry
        if at_front:
            level.move_to_end(entry.spec.job, last=False)

    def _remove_from_level(self, entry: JobEntry) -> None:
        del self._levels[entry.spec.account][entry.priority][entry.spec.job]

    def _compact(self) -> None:
        for heap in (self._deadlines, self._promotions):
            if len(heap) > _COMPACT_MIN_ITEMS and len(heap) > 2 * len(
                self._entries
            ):
                heap[:] = [
                    item
                    for item in heap
                    if self._entries.get(item[2].spec.job) is item[2]
                ]
                heapq.heapify(heap)


def _initial_priority(entry: JobEntry) -> Priority:
    if entry.spec.urgent:
        return Priority.URGENT
    limits_reached = sum(
        entry.attained_ms >= limit
        for limit in _ATTAINED_SERVICE_LIMITS_ACCELERATOR_MS
    )
    return Priority(Priority.NEW + limits_reached)
