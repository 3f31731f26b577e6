"""Places jobs on capacity that guarantees leave free, in fair order."""

from collections.abc import Iterator
from collections.abc import Sequence
import heapq
import itertools

from citronmount.core import backfill
from citronmount.core import decisions
from citronmount.core import delay_scheduling
from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import job_queue
from citronmount.core import jobs
from citronmount.core import placement
from citronmount.core import policies
from citronmount.core import preemption
from citronmount.core import resources
from citronmount.core import shapes

__all__ = ["SCAN_LIMIT_JOBS", "place"]

SCAN_LIMIT_JOBS = 256
PREEMPT_TRIALS_AFTER_MS = 30_000


def place(
    domain: domain_state.DomainState, now_ms: int
) -> list[decisions.PlaceJob]:
    """Places queued jobs on free capacity, outside cells.

    Args:
        domain: State of the failure domain.
        now_ms: Monotonic time.

    Returns:
        Placements, and evictions for paying jobs that preempt other work.
    """
    queue_pass = _QueuePass(domain, now_ms)
    made_decisions: list[decisions.Decision] = []
    for entry in _queue_order(domain, now_ms):
        made_decisions.extend(queue_pass.process(entry))
        if queue_pass.finished:
            break
    return made_decisions


def would_place(
    domain: domain_state.DomainState, entry: job_queue.JobEntry, now_ms: int
) -> bool:
    """Returns whether `place` would start a job that is not queued yet.

    Args:
        domain: State of the failure domain. `place` must have been called, so
            that the queue holds only jobs that cannot start now.
        entry: The job.
        now_ms: Monotonic time.

    Returns:
        Whether the job fits into free capacity that is not reserved for a job
        ahead of it.
    """
    queue_pass = _QueuePass(domain, now_ms)
    for ahead in _queue_order(domain, now_ms):
        queue_pass.note_blocked(ahead)
        if queue_pass.finished or queue_pass.has_reservation:
            break
    return not queue_pass.finished and queue_pass.would_start(entry)


class _QueuePass:
    """One pass over the queue; shapes that did not fit are not tried again.

    Attributes:
        finished: Whether no further job may start in this pass.
    """

    def __init__(self, domain: domain_state.DomainState, now_ms: int) -> None:
        self.finished = False
        self._domain = domain
        self._now_ms = now_ms
        self._failed_shapes: set[tuple[shapes.Shape, bool]] = set()
        self._shapes_without_victims: set[shapes.Shape] = set()
        self._own_jobs: dict[
            ids.AccountId, list[tuple[ids.JobId, domain_state.PlacedJob]]
        ] = {}
        self._reservation: backfill.Reservation | None = None

    def process(
        self, entry: job_queue.JobEntry
    ) -> Sequence[decisions.Decision]:
        """Places a job, evicts work for it or records it as blocked."""
        if not self._may_start(entry):
            return ()
        groups = self._find(entry)
        if groups is not None:
            return self._place(entry, groups)
        evictions = self._preempt(entry)
        if evictions is None:
            self._block(entry)
        return evictions or ()

    @property
    def has_reservation(self) -> bool:
        """Whether a blocked job has reserved capacity."""
        return self._reservation is not None

    def note_blocked(self, entry: job_queue.JobEntry) -> None:
        """Records a job as blocked if it does not fit."""
        if self._may_start(entry) and self._find(entry) is None:
            self._block(entry)

    def would_start(self, entry: job_queue.JobEntry) -> bool:
        """Returns whether a job would be placed now."""
        groups = self._find(entry) if self._may_start(entry) else None
        return groups is not None and not (
            self._uses_delay_scheduling(entry)
            and self._should_wait(entry, groups)
        )

    def _may_start(self, entry: job_queue.JobEntry) -> bool:
        domain = self._domain
        if domain.is_trial(entry.spec.account) and not domain.within_allowance(
            entry
        ):
            return False
        return not delay_scheduling.recently_checked(entry, self._now_ms)

    def _uses_delay_scheduling(self, entry: job_queue.JobEntry) -> bool:
        domain = self._domain
        return domain.policy.patient and domain.is_trial(entry.spec.account)

    def _place(
        self, entry: job_queue.JobEntry, groups: tuple[jobs.TaskGroup, ...]
    ) -> Sequence[decisions.PlaceJob]:
        domain = self._domain
        if self._uses_delay_scheduling(entry) and self._should_wait(
            entry, groups
        ):
            groups = self._search(
                entry, self._may_delay_reservation(entry), fewest_workers=True
            )
            if groups is None or self._should_wait(entry, groups):
                return ()
        domain.place(entry, groups, self._now_ms)
        placed = jobs.Placement(groups=groups)
        return (decisions.PlaceJob(job=entry.spec.job, placement=placed),)

    def _should_wait(
        self, entry: job_queue.JobEntry, groups: tuple[jobs.TaskGroup, ...]
    ) -> bool:
        return delay_scheduling.should_wait(
            self._domain, entry, groups, self._now_ms
        )

    def _find(
        self, entry: job_queue.JobEntry
    ) -> tuple[jobs.TaskGroup, ...] | None:
        limited = self._may_delay_reservation(entry)
        if {(entry.shape, False), (entry.shape, limited)} & self._failed_shapes:
            return None
        groups = self._search(entry, limited)
        if groups is None:
            self._failed_shapes.add((entry.shape, limited))
        return groups

    def _may_delay_reservation(self, entry: job_queue.JobEntry) -> bool:
        if self._reservation is None:
            return False
        run_ms = self._domain.estimator.expected_run_ms(
            entry.spec, entry.progress
        )
        return self._now_ms + run_ms > self._reservation.start_ms

    def _search(
        self,
        entry: job_queue.JobEntry,
        limited: bool,
        *,
        fewest_workers: bool = False,
    ) -> tuple[jobs.TaskGroup, ...] | None:
        domain = self._domain
        key = domain.worker_key(entry, self._now_ms)
        if fewest_workers:
            key = placement.fewest_workers(key)
        limit = self._limit if limited else None
        for avoid in entry.avoided_worker_sets(self._now_ms):
            groups = placement.find(
                domain.pool.free,
                entry.shape,
                key=key,
                limit=limit,
                avoid=avoid,
            )
            if groups is not None:
                return groups
        return None

    def _limit(self, worker: ids.WorkerId) -> jobs.Resources:
        return self._reservation.available_to_long_job(
            self._domain, worker, self._now_ms
        )

    def _preempt(
        self, entry: job_queue.JobEntry
    ) -> list[decisions.EvictJob] | None:
        """Evicts work for a paying job, which becomes pending.

        Victims are idempotent trial jobs or, for an urgent job, the most
        recently placed suitable job of its own account.

        Returns:
            The evictions, or None if the job may not preempt other work or
            would not fit even then.
        """
        domain = self._domain
        if domain.is_trial(entry.spec.account) or not self._may_preempt(entry):
            return None
        groups, victims = self._choose_trial_victims(entry)
        if victims is None and entry.spec.urgent:
            groups, victims = self._choose_own_victim(entry)
        if victims is None:
            return None
        need = _need_by_worker(entry, groups)
        evictions, blocking_jobs = preemption.evict(
            domain, entry, need, victims
        )
        domain.add_pending(entry, groups, self._now_ms, (), blocking_jobs)
        return evictions

    def _choose_trial_victims(
        self, entry: job_queue.JobEntry
    ) -> tuple[tuple[jobs.TaskGroup, ...], list[ids.JobId] | None]:
        if entry.shape in self._shapes_without_victims:
            return (), None
        groups = placement.find(
            self._domain.pool.free_or_preemptible,
            entry.shape,
            key=placement.best_fit,
            limit=self._unreserved,
            avoid=entry.avoided_worker_sets(self._now_ms)[0],
        )
        victims = None
        if groups:
            shortage = preemption.find_shortage(
                self._domain, _need_by_worker(entry, groups)
            )
            victims = preemption.choose_victims(
                self._domain, shortage, self._now_ms, preemptible_only=True
            )
        if victims is None:
            self._shapes_without_victims.add(entry.shape)
        return groups or (), victims

    def _choose_own_victim(
        self, entry: job_queue.JobEntry
    ) -> tuple[tuple[jobs.TaskGroup, ...], list[ids.JobId] | None]:
        """Finds a job of the same account whose worker can hold the job.

        Jobs placed last are tried first.
        """
        total = entry.shape.total
        for job, placed in self._own_revocable_jobs(entry.spec.account):
            worker = placed.groups[0].worker
            if worker not in self._domain.pool.free:
                continue
            available = resources.plus(
                self._domain.pool.free.available(worker),
                placed.entry.shape.total,
            )
            if len(placed.groups) == 1 and resources.covers(available, total):
                group = jobs.TaskGroup(worker=worker, tasks=entry.shape.tasks)
                return (group,), [job]
        return (), None

    def _own_revocable_jobs(
        self, account: ids.AccountId
    ) -> list[tuple[ids.JobId, domain_state.PlacedJob]]:
        if account not in self._own_jobs:
            domain = self._domain
            self._own_jobs[account] = [
                (job, placed)
                for job, placed in reversed(domain.placed.items())
                if placed.entry.spec.account == account
                and placed.entry.spec.idempotent
                and not placed.entry.spec.urgent
            ]
        return [
            candidate
            for candidate in self._own_jobs[account]
            if self._domain.revocable(candidate[0])
        ]

    def _may_preempt(self, entry: job_queue.JobEntry) -> bool:
        if not self._domain.policy.guarantees:
            return False
        if entry.spec.urgent:
            return True
        due_ms = entry.queued_ms + PREEMPT_TRIALS_AFTER_MS
        if self._now_ms < due_ms and entry.preempt_from_ms != due_ms:
            entry.preempt_from_ms = due_ms
            heapq.heappush(self._domain.wake_up_times_ms, due_ms)
        return self._now_ms >= due_ms

    def _unreserved(self, worker: ids.WorkerId) -> jobs.Resources:
        if self._reservation and worker in self._reservation.need:
            return resources.ZERO
        return self._domain.pool.free_or_preemptible.available(worker)

    def _block(self, entry: job_queue.JobEntry) -> None:
        backfill_rule = self._domain.policy.backfill
        if backfill_rule is policies.Backfill.NONE:
            self.finished = True
        if backfill_rule is not policies.Backfill.RESERVATION:
            return
        if self._reservation is None:
            self._reservation = backfill.reserve(
                self._domain, entry, self._now_ms
            )


def _need_by_worker(
    entry: job_queue.JobEntry, groups: tuple[jobs.TaskGroup, ...]
) -> dict[ids.WorkerId, jobs.Resources]:
    per_task = entry.spec.per_task
    return {
        group.worker: resources.scaled(per_task, group.tasks)
        for group in groups
    }


def _queue_order(
    domain: domain_state.DomainState, now_ms: int
) -> Iterator[job_queue.JobEntry]:
    if domain.policy.order is policies.Order.SUBMISSION:
        return iter(
            list(
                itertools.islice(domain.queue.by_submission(), SCAN_LIMIT_JOBS)
            )
        )
    return _fair_order(domain, now_ms)


def _fair_order(
    domain: domain_state.DomainState, now_ms: int
) -> Iterator[job_queue.JobEntry]:
    """Yields queued jobs, always the next one of the best-ranked account.

    Paying accounts come first, then those whose next job is urgent or near its
    deadline, then the account that is furthest behind its fair share.
    """
    entries_by_account = {
        account: iter(
            list(
                itertools.islice(
                    domain.queue.account_entries(account), SCAN_LIMIT_JOBS
                )
            )
        )
        for account in domain.queue.accounts()
    }
    heap = [
        item
        for account, entries in entries_by_account.items()
        if (item := _heap_item(domain, account, entries, now_ms)) is not None
    ]
    heapq.heapify(heap)
    while heap:
        _, account, entry = heap[0]
        yield entry
        item = _heap_item(domain, account, entries_by_account[account], now_ms)
        if item is None:
            heapq.heappop(heap)
        else:
            heapq.heapreplace(heap, item)


def _heap_item(
    domain: domain_state.DomainState,
    account: ids.AccountId,
    entries: Iterator[job_queue.JobEntry],
    now_ms: int,
) -> tuple[tuple, ids.AccountId, job_queue.JobEntry] | None:
    entry = next(entries, None)
    if entry is None:
        return None
    rank = (
        domain.is_trial(account),
        min(entry.priority, job_queue.Priority.NEW),
        domain.ledger.rank(account, now_ms),
    )
    return (rank, account, entry)
