"""Lets a gang wait a little rather than scatter over many workers.

A long gang that starts in the gaps of a burst of short jobs keeps each of its
workers broken up long after the burst. Waiting for a bounded share of the
run time, as in delay scheduling (Zaharia et al., EuroSys 2010), mostly finds
room on fewer workers.
"""

import heapq

from citronmount.core import domain as domain_lib
from citronmount.core import jobs
from citronmount.core import queueing
from citronmount.core import resources

__all__ = ["waits"]

RUN_TIME_SHARE = 0.1
MAX_WAIT_MS = 900_000
_OUTLASTING_SHARE = 0.5


def waits(
    domain: domain_lib.Domain,
    entry: queueing.Entry,
    groups: tuple[jobs.TaskGroup, ...],
    now_ms: int,
) -> bool:
    """Returns whether a job should not start at a place that it could have.

    Args:
        domain: The failure domain.
        entry: A job that runs outside guarantees.
        groups: Where it could start.
        now_ms: Monotonic time.
    """
    if entry.shape.tasks == 1 or entry.lane < queueing.Lane.NEW:
        return False
    run_ms = domain.estimator.run_ms(entry.spec, entry.progress)
    if not _scatters(domain, entry, groups, now_ms, run_ms):
        return False
    if entry.patient_until_ms is None:
        wait_ms = min(int(run_ms * RUN_TIME_SHARE), MAX_WAIT_MS)
        entry.patient_until_ms = now_ms + wait_ms
        heapq.heappush(domain.wake_ups, entry.patient_until_ms)
    return now_ms < entry.patient_until_ms


def _scatters(
    domain: domain_lib.Domain,
    entry: queueing.Entry,
    groups: tuple[jobs.TaskGroup, ...],
    now_ms: int,
    run_ms: int,
) -> bool:
    """Returns whether the gang outlasts other jobs on too many workers."""
    late_ms = now_ms + int(run_ms * _OUTLASTING_SHARE)
    outlasted = sum(
        domain.busy_until(group.worker, now_ms) < late_ms for group in groups
    )
    capacity = domain.pool.capacity(groups[0].worker)
    each = max(resources.count(capacity, entry.shape.per_task), 1)
    return outlasted > -(-entry.shape.tasks // each)
