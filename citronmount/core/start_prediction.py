"""Tells whether a job would start at once, without deciding anything."""

from citronmount.core import domain_state
from citronmount.core import opportunistic_placement
from citronmount.core import queueing

__all__ = ["would_start"]


def would_start(
    domain: domain_state.DomainState, entry: queueing.Entry, now_ms: int
) -> bool:
    """Returns whether a new job would be placed or get room evicted now.

    Args:
        domain: The failure domain.
        entry: The job; it need not be queued.
        now_ms: Monotonic time.

    Returns:
        Whether the account has nothing queued before it, and its guarantee
        can hold the gang or room is free that no job ahead has reserved.
    """
    account = entry.spec.account
    if not domain.in_service or domain.queue.size(account):
        return False
    domain.secure()
    free = domain.pool.free
    if domain.plan.fit(account, entry.shape, free, ()) is not None:
        return True
    return opportunistic_placement.would_place(domain, entry, now_ms)
