"""Bench of one day at the size of the two-year plan."""

from citronmount.bench import job_mix
from citronmount.bench import job_replay
from citronmount.bench import metrics
from citronmount.bench import registry
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.core import jobs
from citronmount.core import states

__all__ = ["MAX_URGENT_WAIT_S", "make_trace", "run"]

JOBS_PER_DAY = 4_600
HOURS = 24.0
URGENT_SHARE = 0.03
MAX_URGENT_WAIT_S = 1.6
SAMPLE_MS = 20 * workload.MINUTE_MS
_SMALL = jobs.Resources(accelerators=1, cores=2, memory_gb=8)
_PAIR = jobs.Resources(accelerators=2, cores=8, memory_gb=24)
_CORES = jobs.Resources(cores=1, memory_gb=2)
_SHAPES = (
    ("cores", 0.60, (8, 16, 32, 64, 96, 128), _CORES),
    ("single", 0.25, (1, 2, 4), _SMALL),
    ("gang", 0.13, (4, 8, 16), _PAIR),
    ("large_gang", 0.02, (64, 128), _SMALL),
)


def make_trace(
    seed: int, hours: float, scale: float
) -> tuple[workload.TracedJob, ...]:
    """Returns the jobs of all teams.

    Args:
        seed: Seed of the bench.
        hours: Time over which jobs arrive.
        scale: Share of the teams and jobs to keep.

    Returns:
        The jobs in the order of arrival.
    """
    rng = workload.make_rng("two-year", seed)
    accounts = [a.name for a in sites.two_year(scale).configuration.accounts]
    weights = [1 / (rank + 10) for rank in range(len(accounts))]
    shares = [shape[1] for shape in _SHAPES]
    trace = []
    count = JOBS_PER_DAY * scale * hours / 24
    end_ms = round(hours * workload.HOUR_MS)
    for at_ms in workload.poisson_arrivals_ms(rng, 0, end_ms, count):
        kind, _, tasks, per_task = rng.choices(_SHAPES, shares)[0]
        urgent = kind == "single" and rng.random() < URGENT_SHARE * 4
        trace.append(
            workload.make_job(
                account=rng.choices(accounts, weights)[0],
                kind="urgent" if urgent else kind,
                arrival_ms=at_ms,
                true_run_s=workload.sample_log_normal(
                    rng, 14_400.0, 0.9, 86_400.0
                ),
                tasks=1 if urgent else rng.choice(tasks),
                per_task=per_task,
                adjacency=states.Adjacency.FAILURE_DOMAIN,
                declared_s=workload.sample_log_normal(
                    rng, 18_000.0, 0.8, 172_800.0
                ),
                urgent=urgent,
                checkpoint_ms=rng.randrange(200, 20_000),
            )
        )
    return job_mix.merge_by_arrival(trace)


@registry.bench("two-year")
def run(
    seed: int,
    policies: tuple[str, ...],
    hours: float = HOURS,
    scale: float = 1.0,
) -> report.BenchReport:
    """Runs a day of the two-year plan on a pool that is idle at the start.

    Args:
        seed: Seed of the workload.
        policies: The policies to compare.
        hours: Length of the replay.
        scale: Share of workers, teams and jobs to keep.

    Returns:
        The report, with a bar for the waits of urgent jobs.
    """
    trace = make_trace(seed, hours, scale)
    replays = {
        policy: job_replay.Replay(
            site=sites.two_year(scale),
            trace=trace,
            policy=policy,
            horizon_ms=round(hours * workload.HOUR_MS),
            sample_ms=SAMPLE_MS,
        ).run()
        for policy in policies
    }
    bars = [
        report.at_most(
            "urgent_wait_p99_s",
            policy,
            _urgent_wait_p99_s(replay),
            MAX_URGENT_WAIT_S,
        )
        for policy, replay in replays.items()
        if policy == "citron"
    ]
    return report.BenchReport(
        bench="two-year",
        seed=seed,
        metrics={p: metrics.policy_metrics(r) for p, r in replays.items()},
        bars=tuple(bars),
    )


def _urgent_wait_p99_s(replay: job_replay.Replay) -> float:
    """Returns the p99 wait of urgent jobs of paying accounts."""
    waits = [
        metrics.wait_s(job, replay.horizon_ms)
        for job in replay.jobs
        if job.job.kind == "urgent"
        and job.spec.account in replay.paying_accounts
    ]
    return report.percentile(sorted(waits), 0.99)
