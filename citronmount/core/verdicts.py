"""Draws conclusions from ended attempts: run times, workers, jobs."""

import heapq

from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import queueing

__all__ = ["expired", "failed_everywhere", "learn"]

FAILED_EVERYWHERE_WORKERS = 3
FAILED_EVERYWHERE_ATTEMPTS = 2
MAX_FAILED_ATTEMPTS = 6
RETRY_MS = 2_000
RETRY_MAX_MS = 16_000

_FAILURES = frozenset(
    {
        decisions.AttemptEnd.FAILED_BY_JOB,
        decisions.AttemptEnd.FAILED_TO_START,
    }
)


def learn(
    domain: domain_state.DomainState,
    placed: domain_state.PlacedJob,
    how: decisions.AttemptEnd,
    culprits: tuple[ids.WorkerId, ...],
    now_ms: int,
) -> None:
    """Updates estimates, health and the entry by an ended attempt.

    Args:
        domain: The failure domain.
        placed: The attempt, which holds no room any more.
        how: How it ended.
        culprits: Workers at which it failed.
        now_ms: Monotonic time.
    """
    entry = placed.entry
    spec = entry.spec
    ran_ms = max(now_ms - placed.since_ms, 0)
    entry.attained_ms += ran_ms * entry.shape.accelerators
    changed = set(domain.health.released(spec.job))
    if how is decisions.AttemptEnd.DONE:
        domain.estimator.observe(spec, entry.progress, ran_ms)
        changed |= {
            group.worker
            for group in placed.groups
            if domain.health.succeeded(spec.job, spec.account, group.worker)
        }
    elif how in _FAILURES and culprits:
        own = how is decisions.AttemptEnd.FAILED_BY_JOB
        _note_failure(domain, entry, culprits, now_ms, own=own)
        changed |= {
            worker
            for worker in culprits
            if domain.health.failed(spec.job, spec.account, worker, now_ms)
        }
    for worker in sorted(changed):
        domain.refresh_worker(worker, now_ms)


def _note_failure(
    domain: domain_state.DomainState,
    entry: queueing.Entry,
    culprits: tuple[ids.WorkerId, ...],
    now_ms: int,
    *,
    own: bool,
) -> None:
    """Counts a failure; one to start speaks of the worker, not of the job."""
    wait_ms = min(RETRY_MS << entry.setbacks, RETRY_MAX_MS)
    entry.setbacks += 1
    entry.failures += own
    entry.failed_on |= set(culprits)
    entry.retry_ms = now_ms + wait_ms
    heapq.heappush(domain.wake_up_times_ms, entry.retry_ms)


def failed_everywhere(entry: queueing.Entry) -> bool:
    """Returns whether a job has failed too widely to run again.

    A job that fails again and again at too few workers to tell is given up
    after a number of attempts, between which it waits longer and longer.

    Args:
        entry: The job.
    """
    if entry.failures >= MAX_FAILED_ATTEMPTS:
        return True
    return (
        entry.setbacks >= FAILED_EVERYWHERE_ATTEMPTS
        and len(entry.failed_on) >= FAILED_EVERYWHERE_WORKERS
    )


def expired(entry: queueing.Entry) -> jobs.JobResult:
    """Returns the result of a queued job whose deadline has passed.

    Args:
        entry: The job; if it ran before, the result does not deny it.
    """
    if entry.ran:
        return jobs.JobResult(
            code=codes.ResultCode.INTERRUPTED,
            detail="the deadline passed before it could run again",
        )
    return jobs.JobResult(code=codes.ResultCode.DEADLINE_PASSED)
