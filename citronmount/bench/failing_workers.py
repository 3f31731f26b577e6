"""Bench of workers that fail every job and jobs that fail on every worker."""

import msgspec

from citronmount.bench import job_mix
from citronmount.bench import job_replay
from citronmount.bench import metrics
from citronmount.bench import registry
from citronmount.bench import replay_events
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.core import ids

__all__ = ["run"]

JOBS_PER_HOUR = 60.0
BROKEN_WORKERS = tuple(
    ids.WorkerId(name)
    for name in (
        "kr-central-a-w0003",
        "kr-central-b-w0000",
        "kr-central-c-w0005",
    )
)
BROKEN_AT_MS = 1 * workload.HOUR_MS
REPAIRED_AT_MS = 4 * workload.HOUR_MS
FAILING_JOBS_SHARE = 0.02


def _mark_failing_jobs(
    trace: tuple[workload.TracedJob, ...], seed: int
) -> tuple[workload.TracedJob, ...]:
    rng = workload.make_rng("failing jobs", seed)
    return tuple(
        msgspec.structs.replace(job, fails=rng.random() < FAILING_JOBS_SHARE)
        for job in trace
    )


@registry.bench("failing-workers")
def run(
    seed: int, policies: tuple[str, ...], hours: float = 6.0
) -> report.BenchReport:
    """Breaks one worker of each failure domain for three hours.

    Args:
        seed: Seed of the workload.
        policies: The policies to compare.
        hours: Time over which jobs arrive.

    Returns:
        The report; its bar requires that no healthy job ends without having
        done its work.
    """
    trace = _mark_failing_jobs(
        job_mix.merge_by_arrival(
            job_mix.make_steady_jobs(
                "failing", seed, hours=hours, jobs_per_hour=JOBS_PER_HOUR
            )
        ),
        seed,
    )
    changes = tuple(
        (at_ms, change(worker=worker))
        for at_ms, change in (
            (BROKEN_AT_MS, replay_events.BreakWorker),
            (REPAIRED_AT_MS, replay_events.RepairWorker),
        )
        for worker in BROKEN_WORKERS
    )
    replays = {
        policy: job_replay.Replay(
            site=sites.hanbit(),
            trace=trace,
            policy=policy,
            horizon_ms=round((hours + 4) * workload.HOUR_MS),
            changes=changes,
        ).run()
        for policy in policies
    }
    return report.BenchReport(
        bench="failing-workers",
        seed=seed,
        metrics={p: metrics.policy_metrics(r) for p, r in replays.items()},
        bars=tuple(
            report.at_most(
                "healthy_jobs_failed", p, _count_healthy_failed(r), 0
            )
            for p, r in replays.items()
            if p == "citron"
        ),
    )


def _count_healthy_failed(replay: job_replay.Replay) -> int:
    """Counts the jobs without faults that ended before their work was done."""
    return sum(
        job.code is not None and not job.job.fails and job.progress < 1.0
        for job in replay.jobs
    )
