"""Lets a long trial wait a little rather than break up one more worker.

A long job that starts in the gaps of a burst of short ones keeps its workers
broken up long after the burst. It waits for a bounded share of its run time,
as in delay scheduling (Zaharia et al., EuroSys 2010), if fewer workers would
do once the short jobs have ended.
"""

import heapq
import itertools

from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import queueing
from citronmount.core import resources

__all__ = ["rests", "waits"]

RUN_TIME_SHARE = 0.1
MAX_WAIT_MS = 900_000
MIN_RUN_MS = 1_800_000
LOOK_AGAIN_MS = 1_000
_OUTLASTING_SHARE = 0.5
_WORKERS_SEEN = 64


def rests(entry: queueing.Entry, now_ms: int) -> bool:
    """Returns whether a waiting job was looked at a moment ago."""
    waiting = entry.patient_until_ms is not None
    return (
        waiting
        and now_ms < entry.patient_until_ms
        and now_ms < entry.look_again_ms
    )


def waits(
    domain: domain_state.DomainState,
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
    run_ms = domain.estimator.run_ms(entry.spec, entry.progress)
    if entry.lane < queueing.Lane.NEW or run_ms < MIN_RUN_MS:
        return False
    if not _scatters(domain, entry, groups, now_ms, run_ms):
        return False
    if entry.patient_until_ms is None:
        wait_ms = min(int(run_ms * RUN_TIME_SHARE), MAX_WAIT_MS)
        entry.patient_until_ms = now_ms + wait_ms
        heapq.heappush(domain.wake_up_times_ms, entry.patient_until_ms)
    entry.look_again_ms = now_ms + LOOK_AGAIN_MS
    return now_ms < entry.patient_until_ms


def _scatters(
    domain: domain_state.DomainState,
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
    if not outlasted:
        return False
    joined = sum(
        _room_beside_long_jobs(domain, entry, worker, now_ms, late_ms)
        for worker in itertools.islice(domain.pool.free, _WORKERS_SEEN)
    )
    capacity = domain.pool.capacity(groups[0].worker)
    each = max(resources.count(capacity, entry.shape.per_task), 1)
    alone = max(entry.shape.tasks - joined, 0)
    return outlasted > -(-alone // each)


def _room_beside_long_jobs(
    domain: domain_state.DomainState,
    entry: queueing.Entry,
    worker: ids.WorkerId,
    now_ms: int,
    late_ms: int,
) -> int:
    """Returns how many tasks could join jobs that run for long anyway."""
    if domain.busy_until(worker, now_ms) < late_ms:
        return 0
    room = domain.room_at(worker, now_ms, late_ms)
    return resources.count(room, entry.shape.per_task)
