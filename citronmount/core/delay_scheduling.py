"""Delay scheduling of long trial jobs by a failure domain's scheduler.

A long job that starts in the gaps left by a burst of short jobs keeps its
workers fragmented long after the burst. If it would need fewer workers once
the short jobs have ended, it waits for a less fragmented placement, for a
bounded share of its run time, as in delay scheduling (Zaharia et al., EuroSys
2010).
"""

import heapq
import itertools

from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import job_queue
from citronmount.core import jobs
from citronmount.core import resources

__all__ = ["recently_checked", "should_wait"]

MAX_WAIT_RUN_TIME_SHARE = 0.1
MAX_WAIT_MS = 900_000
MIN_RUN_TIME_MS = 1_800_000
RECHECK_INTERVAL_MS = 1_000
_OUTLASTING_RUN_TIME_SHARE = 0.5
_MAX_WORKERS_SCANNED = 64


def recently_checked(entry: job_queue.JobEntry, now_ms: int) -> bool:
    """Returns whether a waiting job was checked less than the interval ago."""
    waiting = entry.delay_until_ms is not None
    return (
        waiting
        and now_ms < entry.delay_until_ms
        and now_ms < entry.next_check_ms
    )


def should_wait(
    domain: domain_state.DomainState,
    entry: job_queue.JobEntry,
    groups: tuple[jobs.TaskGroup, ...],
    now_ms: int,
) -> bool:
    """Returns whether a job should wait although it could start now.

    The maximum wait counts from the first call that finds the placement too
    fragmented.

    Args:
        domain: State of the failure domain.
        entry: A job that runs outside guarantees.
        groups: Placement at which it could start now.
        now_ms: Monotonic time.
    """
    run_ms = domain.estimator.expected_run_ms(entry.spec, entry.progress)
    if entry.priority < job_queue.Priority.NEW or run_ms < MIN_RUN_TIME_MS:
        return False
    if not _spreads_too_wide(domain, entry, groups, now_ms, run_ms):
        return False
    if entry.delay_until_ms is None:
        wait_ms = min(int(run_ms * MAX_WAIT_RUN_TIME_SHARE), MAX_WAIT_MS)
        entry.delay_until_ms = now_ms + wait_ms
        heapq.heappush(domain.wake_up_times_ms, entry.delay_until_ms)
    entry.next_check_ms = now_ms + RECHECK_INTERVAL_MS
    return now_ms < entry.delay_until_ms


def _spreads_too_wide(
    domain: domain_state.DomainState,
    entry: job_queue.JobEntry,
    groups: tuple[jobs.TaskGroup, ...],
    now_ms: int,
    run_ms: int,
) -> bool:
    """Returns whether the gang would outlast the jobs of too many workers.

    A worker is outlasted if all its other jobs are expected to end before
    half of the gang's run time has passed. There are too many of them if the
    tasks that do not fit beside long jobs would need fewer workers.
    """
    horizon_ms = now_ms + int(run_ms * _OUTLASTING_RUN_TIME_SHARE)
    outlasted = sum(
        domain.busy_until_ms(group.worker, now_ms) < horizon_ms
        for group in groups
    )
    if not outlasted:
        return False
    tasks_beside_long_jobs = sum(
        _tasks_beside_long_jobs(domain, entry, worker, now_ms, horizon_ms)
        for worker in itertools.islice(domain.pool.free, _MAX_WORKERS_SCANNED)
    )
    capacity = domain.pool.capacity(groups[0].worker)
    tasks_per_worker = max(
        resources.task_capacity(capacity, entry.shape.per_task), 1
    )
    tasks_alone = max(entry.shape.tasks - tasks_beside_long_jobs, 0)
    return outlasted > -(-tasks_alone // tasks_per_worker)


def _tasks_beside_long_jobs(
    domain: domain_state.DomainState,
    entry: job_queue.JobEntry,
    worker: ids.WorkerId,
    now_ms: int,
    horizon_ms: int,
) -> int:
    """Returns how many tasks fit on a worker beside its long jobs.

    Short jobs, which end before `horizon_ms`, count as ended.
    """
    if domain.busy_until_ms(worker, now_ms) < horizon_ms:
        return 0
    available = domain.available_at(worker, now_ms, horizon_ms)
    return resources.task_capacity(available, entry.shape.per_task)
