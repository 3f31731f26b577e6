"""Places jobs on what guarantees leave over, in a fair order."""

from collections.abc import Iterator
from collections.abc import Sequence
import heapq
import itertools

from citronmount.core import backfill
from citronmount.core import decisions
from citronmount.core import delay_scheduling
from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import placement
from citronmount.core import policy as policy_lib
from citronmount.core import preemption
from citronmount.core import queueing
from citronmount.core import resources
from citronmount.core import shapes

__all__ = ["SCAN_LIMIT", "place"]

SCAN_LIMIT = 256
RECLAIM_AFTER_MS = 30_000


def place(
    domain: domain_state.DomainState, now_ms: int
) -> list[decisions.PlaceJob]:
    """Places queued jobs wherever room is free at this moment.

    Args:
        domain: The failure domain.
        now_ms: Monotonic time.

    Returns:
        The placements.
    """
    visits = _Pass(domain, now_ms)
    found: list[decisions.Decision] = []
    for entry in _in_order(domain, now_ms):
        found.extend(visits.visit(entry))
        if visits.over:
            break
    return found


def would_place(
    domain: domain_state.DomainState, entry: queueing.Entry, now_ms: int
) -> bool:
    """Returns whether `place` would start a job that is not queued yet.

    Args:
        domain: The failure domain, after a call of `place`.
        entry: The job.
        now_ms: Monotonic time.

    Returns:
        Whether there is room for it that no job ahead has reserved.
    """
    visits = _Pass(domain, now_ms)
    for ahead in _in_order(domain, now_ms):
        visits.note_blocked(ahead)
        if visits.over or visits.reserved:
            break
    return not visits.over and visits.fits(entry)


class _Pass:
    """One pass over the queue; it remembers what did not fit.

    Attributes:
        over: Whether no further job may start.
    """

    def __init__(self, domain: domain_state.DomainState, now_ms: int) -> None:
        self.over = False
        self._domain = domain
        self._now_ms = now_ms
        self._failed: set[tuple[shapes.Shape, bool]] = set()
        self._unreclaimable: set[shapes.Shape] = set()
        self._own: dict[
            ids.AccountId, list[tuple[ids.JobId, domain_state.PlacedJob]]
        ] = {}
        self._reservation: backfill.Reservation | None = None

    def visit(self, entry: queueing.Entry) -> Sequence[decisions.Decision]:
        """Places a job, makes room for it or notes that it is blocked."""
        if not self._may_start(entry):
            return ()
        groups = self._find(entry)
        if groups is not None:
            return self._place(entry, groups)
        made = self._reclaim(entry)
        if made is None:
            self._block(entry)
        return made or ()

    @property
    def reserved(self) -> bool:
        """Whether a blocked job has reserved room."""
        return self._reservation is not None

    def note_blocked(self, entry: queueing.Entry) -> None:
        """Notes that a job is blocked, if it finds no room."""
        if self._may_start(entry) and self._find(entry) is None:
            self._block(entry)

    def fits(self, entry: queueing.Entry) -> bool:
        """Returns whether a job would be placed at once."""
        groups = self._find(entry) if self._may_start(entry) else None
        return groups is not None and not (
            self._is_patient(entry) and self._waits(entry, groups)
        )

    def _may_start(self, entry: queueing.Entry) -> bool:
        domain = self._domain
        if domain.is_trial(entry.spec.account) and not domain.allows(entry):
            return False
        return not delay_scheduling.rests(entry, self._now_ms)

    def _is_patient(self, entry: queueing.Entry) -> bool:
        domain = self._domain
        return domain.policy.patient and domain.is_trial(entry.spec.account)

    def _place(
        self, entry: queueing.Entry, groups: tuple[jobs.TaskGroup, ...]
    ) -> Sequence[decisions.PlaceJob]:
        domain = self._domain
        if self._is_patient(entry) and self._waits(entry, groups):
            groups = self._search(entry, self._may_delay(entry), narrow=True)
            if groups is None or self._waits(entry, groups):
                return ()
        domain.place(entry, groups, self._now_ms)
        placed = jobs.Placement(groups=groups)
        return (decisions.PlaceJob(job=entry.spec.job, placement=placed),)

    def _waits(
        self, entry: queueing.Entry, groups: tuple[jobs.TaskGroup, ...]
    ) -> bool:
        return delay_scheduling.waits(self._domain, entry, groups, self._now_ms)

    def _find(self, entry: queueing.Entry) -> tuple[jobs.TaskGroup, ...] | None:
        limited = self._may_delay(entry)
        if {(entry.shape, False), (entry.shape, limited)} & self._failed:
            return None
        groups = self._search(entry, limited)
        if groups is None:
            self._failed.add((entry.shape, limited))
        return groups

    def _may_delay(self, entry: queueing.Entry) -> bool:
        if self._reservation is None:
            return False
        run_ms = self._domain.estimator.run_ms(entry.spec, entry.progress)
        return self._now_ms + run_ms > self._reservation.start_ms

    def _search(
        self, entry: queueing.Entry, limited: bool, *, narrow: bool = False
    ) -> tuple[jobs.TaskGroup, ...] | None:
        domain = self._domain
        key = domain.key(entry, self._now_ms)
        if narrow:
            key = placement.fewest_workers(key)
        limit = self._limit if limited else None
        for avoid in entry.avoidances(self._now_ms):
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
        return self._reservation.limit(self._domain, worker, self._now_ms)

    def _reclaim(
        self, entry: queueing.Entry
    ) -> list[decisions.EvictJob] | None:
        """Evicts work of less right; None if the job gets no room by it."""
        domain = self._domain
        if domain.is_trial(entry.spec.account) or not self._waited(entry):
            return None
        groups, victims = self._from_trials(entry)
        if victims is None and entry.spec.urgent:
            groups, victims = self._from_own_jobs(entry)
        if victims is None:
            return None
        need = _need(entry, groups)
        made, waiting = preemption.evict(domain, entry, need, victims)
        domain.claim(entry, groups, self._now_ms, (), waiting)
        return made

    def _from_trials(
        self, entry: queueing.Entry
    ) -> tuple[tuple[jobs.TaskGroup, ...], list[ids.JobId] | None]:
        if entry.shape in self._unreclaimable:
            return (), None
        groups = placement.find(
            self._domain.pool.lendable,
            entry.shape,
            key=placement.best_fit,
            limit=self._unreserved,
            avoid=entry.avoidances(self._now_ms)[0],
        )
        victims = None
        if groups:
            short = preemption.shortfall(self._domain, _need(entry, groups))
            victims = preemption.choose(
                self._domain, short, self._now_ms, lent_only=True
            )
        if victims is None:
            self._unreclaimable.add(entry.shape)
        return groups or (), victims

    def _from_own_jobs(
        self, entry: queueing.Entry
    ) -> tuple[tuple[jobs.TaskGroup, ...], list[ids.JobId] | None]:
        """Finds a later job of the account on one worker to give way."""
        total = entry.shape.total
        for job, placed in self._own_revocable(entry.spec.account):
            worker = placed.groups[0].worker
            if worker not in self._domain.pool.free:
                continue
            room = resources.plus(
                self._domain.pool.free.room(worker), placed.entry.shape.total
            )
            if len(placed.groups) == 1 and resources.covers(room, total):
                group = jobs.TaskGroup(worker=worker, tasks=entry.shape.tasks)
                return (group,), [job]
        return (), None

    def _own_revocable(
        self, account: ids.AccountId
    ) -> list[tuple[ids.JobId, domain_state.PlacedJob]]:
        if account not in self._own:
            domain = self._domain
            self._own[account] = [
                (job, placed)
                for job, placed in reversed(domain.placed.items())
                if placed.entry.spec.account == account
                and placed.entry.spec.idempotent
                and not placed.entry.spec.urgent
            ]
        return [
            pair
            for pair in self._own[account]
            if self._domain.revocable(pair[0])
        ]

    def _waited(self, entry: queueing.Entry) -> bool:
        if not self._domain.policy.guarantees:
            return False
        if entry.spec.urgent:
            return True
        due_ms = entry.queued_ms + RECLAIM_AFTER_MS
        if self._now_ms < due_ms and entry.reclaim_ms != due_ms:
            entry.reclaim_ms = due_ms
            heapq.heappush(self._domain.wake_up_times_ms, due_ms)
        return self._now_ms >= due_ms

    def _unreserved(self, worker: ids.WorkerId) -> jobs.Resources:
        if self._reservation and worker in self._reservation.need:
            return resources.NONE
        return self._domain.pool.lendable.room(worker)

    def _block(self, entry: queueing.Entry) -> None:
        backfills = self._domain.policy.backfill
        if backfills is policy_lib.Backfill.NONE:
            self.over = True
        if backfills is not policy_lib.Backfill.RESERVATION:
            return
        if self._reservation is None:
            self._reservation = backfill.reserve(
                self._domain, entry, self._now_ms
            )


def _need(
    entry: queueing.Entry, groups: tuple[jobs.TaskGroup, ...]
) -> dict[ids.WorkerId, jobs.Resources]:
    per_task = entry.spec.per_task
    return {
        group.worker: resources.scaled(per_task, group.tasks)
        for group in groups
    }


def _in_order(
    domain: domain_state.DomainState, now_ms: int
) -> Iterator[queueing.Entry]:
    if domain.policy.order is policy_lib.Order.SUBMISSION:
        return iter(
            list(itertools.islice(domain.queue.by_submission(), SCAN_LIMIT))
        )
    return _fair_order(domain, now_ms)


def _fair_order(
    domain: domain_state.DomainState, now_ms: int
) -> Iterator[queueing.Entry]:
    """Yields the next job of the account furthest behind, paying first."""
    scans = {
        account: iter(
            list(itertools.islice(domain.queue.of_account(account), SCAN_LIMIT))
        )
        for account in domain.queue.accounts()
    }
    heap = [
        item
        for account, scan in scans.items()
        if (item := _item(domain, account, scan, now_ms)) is not None
    ]
    heapq.heapify(heap)
    while heap:
        _, account, entry = heap[0]
        yield entry
        item = _item(domain, account, scans[account], now_ms)
        if item is None:
            heapq.heappop(heap)
        else:
            heapq.heapreplace(heap, item)


def _item(
    domain: domain_state.DomainState,
    account: ids.AccountId,
    scan: Iterator[queueing.Entry],
    now_ms: int,
) -> tuple[tuple, ids.AccountId, queueing.Entry] | None:
    entry = next(scan, None)
    if entry is None:
        return None
    rank = (
        domain.is_trial(account),
        min(entry.lane, queueing.Lane.NEW),
        domain.ledger.rank(account, now_ms),
    )
    return (rank, account, entry)
