"""Bench of bursts of small and large jobs and a wave of cancellations."""

import msgspec

from citronmount.bench import job_mix
from citronmount.bench import job_replay
from citronmount.bench import metrics
from citronmount.bench import private_pool
from citronmount.bench import registry
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.core import jobs
from citronmount.core import states

__all__ = ["run"]

HOURS = 6.0
JOBS_PER_HOUR = 60.0
SMALL_JOBS = 3_000
SMALL_BURST_AT_MS = 1 * workload.HOUR_MS
CANCELLED_SHARE = 0.6
CANCEL_AT_MS = SMALL_BURST_AT_MS + 5 * workload.MINUTE_MS
LARGE_JOBS = 30
LARGE_BURST_AT_MS = 2 * workload.HOUR_MS
QUIET_MEMBERS = ("chorok", "dalbit")


def _make_small_burst(seed: int, count: int) -> list[workload.TracedJob]:
    rng = workload.make_rng("small burst", seed)
    burst = [
        workload.make_job(
            account="ara",
            kind="burst_small",
            arrival_ms=SMALL_BURST_AT_MS + rng.randrange(workload.MINUTE_MS),
            true_run_s=workload.sample_log_normal(rng, 60.0, 0.7, 1_200.0),
            tasks=1,
            per_task=jobs.Resources(accelerators=1, cores=8, memory_gb=16),
            adjacency=states.Adjacency.WORKER,
        )
        for _ in range(count)
    ]
    return [
        msgspec.structs.replace(job, cancel_ms=CANCEL_AT_MS)
        if rng.random() < CANCELLED_SHARE
        else job
        for job in burst
    ]


def _make_large_burst(seed: int, count: int) -> list[workload.TracedJob]:
    rng = workload.make_rng("large burst", seed)
    return [
        workload.make_job(
            account="bora",
            kind="burst_large",
            arrival_ms=LARGE_BURST_AT_MS + rng.randrange(workload.MINUTE_MS),
            true_run_s=workload.sample_log_normal(rng, 1_200.0, 0.4, 3_600.0),
            tasks=4,
            per_task=sites.HANBIT_WORKER,
            adjacency=states.Adjacency.RACK,
            checkpoint_ms=4_000,
        )
        for _ in range(count)
    ]


@registry.bench("burst")
def run(
    seed: int, policies: tuple[str, ...], scale: float = 1.0
) -> report.BenchReport:
    """Replays bursts of two members on top of a steady load of all members.

    Args:
        seed: Seed of the workload.
        policies: The policies to compare.
        scale: Share of the bursts to keep.

    Returns:
        The report; the bars compare the waits of the members without bursts
        with those on their private pools.
    """
    site = sites.hanbit()
    trace = job_mix.merge_by_arrival(
        job_mix.make_steady_jobs(
            "burst", seed, hours=HOURS, jobs_per_hour=JOBS_PER_HOUR
        ),
        _make_small_burst(seed, round(SMALL_JOBS * scale)),
        _make_large_burst(seed, round(LARGE_JOBS * scale)),
    )
    horizon_ms = round((HOURS + 2) * workload.HOUR_MS)
    replays = {
        policy: job_replay.Replay(
            site=site, trace=trace, policy=policy, horizon_ms=horizon_ms
        ).run()
        for policy in policies
    }
    bars = []
    if "citron" in replays:
        bars = private_pool.wait_bars(
            site, trace, replays["citron"], QUIET_MEMBERS
        )
    return report.BenchReport(
        bench="burst",
        seed=seed,
        metrics={p: metrics.policy_metrics(r) for p, r in replays.items()},
        bars=tuple(bars),
    )
