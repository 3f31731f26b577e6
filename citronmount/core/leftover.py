"""Places jobs on what guarantees leave over, in a fair order."""

from collections.abc import Iterator
import heapq
import itertools

from citronmount.core import backfill
from citronmount.core import decisions
from citronmount.core import domain as domain_lib
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import patience
from citronmount.core import placement
from citronmount.core import policy as policy_lib
from citronmount.core import queueing
from citronmount.core import shapes

__all__ = ["SCAN_LIMIT", "place"]

SCAN_LIMIT = 256


def place(domain: domain_lib.Domain, now_ms: int) -> list[decisions.PlaceJob]:
    """Places queued jobs wherever room is free at this moment.

    Args:
        domain: The failure domain.
        now_ms: Monotonic time.

    Returns:
        The placements.
    """
    visit = _Pass(domain, now_ms)
    found = []
    for entry in _in_order(domain, now_ms):
        groups = visit.find(entry)
        if groups is not None:
            domain.place(entry, groups, now_ms)
            found.append(
                decisions.PlaceJob(
                    job=entry.spec.job,
                    placement=jobs.Placement(groups=groups),
                )
            )
        elif visit.over:
            break
    return found


class _Pass:
    """One pass over the queue; it remembers what did not fit.

    Attributes:
        over: Whether no further job may start.
    """

    def __init__(self, domain: domain_lib.Domain, now_ms: int) -> None:
        self.over = False
        self._domain = domain
        self._now_ms = now_ms
        self._failed: set[tuple[shapes.Shape, bool]] = set()
        self._reservation: backfill.Reservation | None = None

    def find(self, entry: queueing.Entry) -> tuple[jobs.TaskGroup, ...] | None:
        domain = self._domain
        if domain.is_trial(entry.spec.account) and not domain.allows(entry):
            return None
        limited = self._may_delay(entry)
        if {(entry.shape, False), (entry.shape, limited)} & self._failed:
            return None
        groups = self._search(entry, limited)
        if groups is None:
            self._failed.add((entry.shape, limited))
            self._block(entry)
        elif domain.policy.patient and patience.waits(
            domain, entry, groups, self._now_ms
        ):
            return None
        return groups

    def _may_delay(self, entry: queueing.Entry) -> bool:
        if self._reservation is None:
            return False
        run_ms = self._domain.estimator.run_ms(entry.spec, entry.progress)
        return self._now_ms + run_ms > self._reservation.start_ms

    def _search(
        self, entry: queueing.Entry, limited: bool
    ) -> tuple[jobs.TaskGroup, ...] | None:
        domain = self._domain
        limit = self._limit if limited else None
        for avoid in entry.avoidances(self._now_ms):
            groups = placement.find(
                domain.pool.free,
                entry.shape,
                key=domain.key(entry, self._now_ms),
                limit=limit,
                avoid=avoid,
            )
            if groups is not None:
                return groups
        return None

    def _limit(self, worker: ids.WorkerId) -> jobs.Resources:
        return self._reservation.limit(self._domain, worker, self._now_ms)

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


def _in_order(
    domain: domain_lib.Domain, now_ms: int
) -> Iterator[queueing.Entry]:
    if domain.policy.order is policy_lib.Order.SUBMISSION:
        return iter(
            list(itertools.islice(domain.queue.by_submission(), SCAN_LIMIT))
        )
    return _fair_order(domain, now_ms)


def _fair_order(
    domain: domain_lib.Domain, now_ms: int
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
    domain: domain_lib.Domain,
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
