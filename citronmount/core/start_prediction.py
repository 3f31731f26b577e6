"""Predicts whether a job would start now, without deciding anything."""

from citronmount.core import domain_state
from citronmount.core import job_queue
from citronmount.core import opportunistic_placement

__all__ = ["would_start"]


def would_start(
    domain: domain_state.DomainState, entry: job_queue.JobEntry, now_ms: int
) -> bool:
    """Returns whether a new job would now be placed or evict other work.

    Args:
        domain: State of the failure domain.
        entry: The job; it need not be queued.
        now_ms: Monotonic time.

    Returns:
        Whether the failure domain is in service, the account has no queued
        job, and the gang fits into the account's cells or into free capacity
        that is not reserved for a job ahead of it.
    """
    account = entry.spec.account
    if not domain.in_service or domain.queue.size(account):
        return False
    domain.plan_cells()
    free = domain.pool.free
    if domain.plan.find_uses(account, entry.shape, free, ()) is not None:
        return True
    return opportunistic_placement.would_place(domain, entry, now_ms)
