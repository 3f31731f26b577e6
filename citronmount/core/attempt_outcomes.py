"""Updates run-time estimates, quarantine and jobs after ended attempts."""

import heapq

from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import job_queue
from citronmount.core import jobs

__all__ = ["deadline_result", "failed_everywhere", "record_outcome"]

FAILED_EVERYWHERE_MIN_WORKERS = 3
FAILED_EVERYWHERE_MIN_ATTEMPTS = 2
MAX_FAILED_RUNS = 6
# Lease TTL plus the time in which a crash is attributed to the start before it.
LOST_START_MS = 15_000
MAX_LOST_STARTS = 5
RETRY_BASE_MS = 2_000
RETRY_MAX_MS = 16_000

_FAILURES = frozenset(
    {
        decisions.AttemptEnd.FAILED_BY_JOB,
        decisions.AttemptEnd.FAILED_TO_START,
    }
)


def record_outcome(
    domain: domain_state.DomainState,
    placed: domain_state.PlacedJob,
    end: decisions.AttemptEnd,
    culprits: tuple[ids.WorkerId, ...],
    now_ms: int,
) -> None:
    """Updates the state of the scheduler after the end of an attempt.

    Args:
        domain: Failure domain.
        placed: Attempt, whose capacity has been released.
        end: Outcome of the attempt.
        culprits: Workers at which the attempt failed.
        now_ms: Monotonic time.
    """
    entry = placed.entry
    spec = entry.spec
    run_ms = max(now_ms - placed.since_ms, 0)
    entry.attained_ms += run_ms * entry.shape.accelerators
    workers_to_refresh = set(domain.quarantine.release_probes(spec.job))
    if end is decisions.AttemptEnd.DONE:
        domain.estimator.observe(spec, entry.progress, run_ms)
        workers_to_refresh |= {
            group.worker
            for group in placed.groups
            if domain.quarantine.record_success(
                spec.job, spec.account, group.worker
            )
        }
    elif end in _FAILURES and culprits:
        has_run = end is decisions.AttemptEnd.FAILED_BY_JOB
        _record_failure(domain, entry, culprits, now_ms, has_run=has_run)
        workers_to_refresh |= {
            worker
            for worker in culprits
            if domain.quarantine.record_failure(
                spec.job, spec.account, worker, now_ms
            )
        }
    elif end is decisions.AttemptEnd.WORKER_LOST and culprits:
        _record_lost_worker(entry, culprits, run_ms)
    for worker in sorted(workers_to_refresh):
        domain.refresh_worker(worker, now_ms)


def _record_failure(
    domain: domain_state.DomainState,
    entry: job_queue.JobEntry,
    culprits: tuple[ids.WorkerId, ...],
    now_ms: int,
    *,
    has_run: bool,
) -> None:
    """Counts a failed attempt of a job and delays its retry.

    An attempt that failed to start (`has_run` is False) does not count as a
    failed run.
    """
    backoff_ms = min(RETRY_BASE_MS << entry.failed_attempts, RETRY_MAX_MS)
    entry.failed_attempts += 1
    entry.failed_runs += has_run
    entry.failed_workers |= set(culprits)
    entry.retry_at_ms = now_ms + backoff_ms
    heapq.heappush(domain.wake_up_times_ms, entry.retry_at_ms)


def _record_lost_worker(
    entry: job_queue.JobEntry, culprits: tuple[ids.WorkerId, ...], run_ms: int
) -> None:
    """Counts consecutive attempts whose workers were lost after their start.

    A job may crash each worker that starts it; a crashed worker reports no
    failure of the job.
    """
    if run_ms >= LOST_START_MS:
        entry.lost_starts = 0
        entry.lost_workers = frozenset()
        return
    entry.lost_starts += 1
    entry.lost_workers |= set(culprits)


def failed_everywhere(entry: job_queue.JobEntry) -> bool:
    """Returns whether a job has failed too often to run again.

    Failures on several workers are attributed to the job, and so is the loss of
    several workers soon after a start. With fewer workers the fault may be
    theirs, so the job is retried, with a growing delay, until
    `MAX_FAILED_RUNS`.

    Args:
        entry: Entry of the job.
    """
    if entry.failed_runs >= MAX_FAILED_RUNS:
        return True
    if (
        entry.lost_starts >= MAX_LOST_STARTS
        and len(entry.lost_workers) >= FAILED_EVERYWHERE_MIN_WORKERS
    ):
        return True
    return (
        entry.failed_attempts >= FAILED_EVERYWHERE_MIN_ATTEMPTS
        and len(entry.failed_workers) >= FAILED_EVERYWHERE_MIN_WORKERS
    )


def deadline_result(entry: job_queue.JobEntry) -> jobs.JobResult:
    """Returns the result of a queued job whose deadline has passed.

    Args:
        entry: Entry of the job. If the job has started before, the code is
            INTERRUPTED, since DEADLINE_PASSED proves that it did not run.
    """
    if entry.has_started:
        return jobs.JobResult(
            code=codes.ResultCode.INTERRUPTED,
            detail="the deadline passed before it could run again",
        )
    return jobs.JobResult(code=codes.ResultCode.DEADLINE_PASSED)
