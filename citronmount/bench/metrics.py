"""Metrics of a job replay."""

import collections
import itertools
import math

from citronmount.bench import accounting
from citronmount.bench import job_replay
from citronmount.bench import replay_events
from citronmount.bench import report
from citronmount.core import ids

__all__ = [
    "account_waits_s",
    "policy_metrics",
    "served_lag",
    "wait_s",
    "work_done_ratio",
]

MIN_DUE_ACCELERATOR_S = 3_600.0


def wait_s(job: replay_events.JobReplay, horizon_ms: int) -> float:
    """Returns how long a job waited for its first start.

    Args:
        job: The job after the replay.
        horizon_ms: End of the replay, which counts as the start of jobs that
            have not started.

    Returns:
        Seconds from arrival to the first start.
    """
    start_ms = job.first_start_ms
    if start_ms is None:
        start_ms = horizon_ms
    return (start_ms - job.job.arrival_ms) / 1_000


def _completion_s(job: replay_events.JobReplay, horizon_ms: int) -> float:
    end_ms = horizon_ms if job.ended_ms is None else job.ended_ms
    return (end_ms - job.job.arrival_ms) / 1_000


def _is_counted(job: replay_events.JobReplay, horizon_ms: int) -> bool:
    """Returns whether a job arrived, does not fail and is not cancelled."""
    return (
        job.job.cancel_ms is None
        and not job.job.fails
        and job.job.arrival_ms < horizon_ms
    )


def account_waits_s(
    replay: job_replay.Replay, account: ids.AccountId
) -> dict[int, float]:
    """Returns the waits of an account's jobs.

    Args:
        replay: A replay that has run.
        account: The account.

    Returns:
        Seconds by index of the job in the trace. Jobs that fail or are
        cancelled are left out.
    """
    return {
        number: wait_s(job, replay.horizon_ms)
        for number, job in enumerate(replay.jobs)
        if job.spec.account == account and _is_counted(job, replay.horizon_ms)
    }


def work_done_ratio(replay: job_replay.Replay) -> float:
    """Returns useful work as a share of the most that any scheduler could do.

    Args:
        replay: A replay that has run.

    Returns:
        A ratio of at most 1.
    """
    counted = [j for j in replay.jobs if _is_counted(j, replay.horizon_ms)]
    done = math.fsum(
        job.progress_at(replay.horizon_ms) * job.job.work_s for job in counted
    )
    upper_bound = accounting.work_upper_bound_s(
        accounting.unlimited_demand(tuple(job.job for job in counted)),
        replay.capacity,
        replay.horizon_ms,
    )
    return done / upper_bound if upper_bound else 1.0


def served_lag(replay: job_replay.Replay) -> float:
    """Returns the largest shortfall of a paying account from its fair share.

    Accounts that were due less than MIN_DUE_ACCELERATOR_S are left out.

    Args:
        replay: A replay that has run.

    Returns:
        The shortfall as a share of what the account was due while it had jobs
        queued.
    """
    due: dict[ids.AccountId, float] = collections.Counter()
    short: dict[ids.AccountId, float] = collections.Counter()
    for shares in replay.fair_shares.values():
        for account, (due_s, short_s) in shares.due_and_short_s().items():
            due[account] += due_s
            short[account] += short_s
    return max(
        (short[a] / due[a] for a in due if due[a] >= MIN_DUE_ACCELERATOR_S),
        default=0.0,
    )


def policy_metrics(replay: job_replay.Replay) -> report.PolicyMetrics:
    """Returns the metrics of a replay.

    Args:
        replay: A replay that has run.

    Returns:
        The metrics; times are grouped by class of work.
    """
    horizon_ms = replay.horizon_ms
    counted = sorted(
        (j for j in replay.jobs if _is_counted(j, horizon_ms)),
        key=lambda job: job.job.kind,
    )
    kinds = {
        kind: list(group)
        for kind, group in itertools.groupby(counted, lambda j: j.job.kind)
    }
    reclaim_waits = [
        wait_s(job, horizon_ms) for job in counted if job.waited_reclaim
    ]
    ratios = {
        "fragmentation_of_arrivals": replay.arrival_fragmentation.ratio,
        "served_lag": served_lag(replay),
        "deadlines_missed": _deadlines_missed(counted, horizon_ms),
        "wait_p99_with_reclaim_s": report.percentile(
            sorted(reclaim_waits), 0.99
        ),
    }
    return report.PolicyMetrics(
        completion_time_s={
            kind: report.percentiles(
                _completion_s(job, horizon_ms) for job in group
            )
            for kind, group in kinds.items()
        },
        wait_s={
            kind: report.percentiles(wait_s(job, horizon_ms) for job in group)
            for kind, group in kinds.items()
        },
        fragmentation=report.rounded(replay.fragmentation.ratio),
        work_done_ratio=report.rounded(work_done_ratio(replay)),
        counts={
            **replay.counts,
            "late_starts": replay.late_starts,
            "most_moves_of_a_job": max(
                (job.moves for job in counted), default=0
            ),
            "unfinished": sum(job.code is None for job in counted),
        },
        ratios={name: report.rounded(value) for name, value in ratios.items()},
    )


def _deadlines_missed(
    counted: list[replay_events.JobReplay], horizon_ms: int
) -> float:
    with_deadline = [
        job
        for job in counted
        if job.spec.deadline_ms is not None
        and job.spec.deadline_ms < horizon_ms
    ]
    missed = sum(
        job.ended_ms is None or job.ended_ms > job.spec.deadline_ms
        for job in with_deadline
    )
    return missed / len(with_deadline) if with_deadline else 0.0
