"""The bench of declared run times that are far off."""

import msgspec

from citronmount.bench import job_mix
from citronmount.bench import job_replay
from citronmount.bench import metrics
from citronmount.bench import registry
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.bench import workload

__all__ = ["run"]

JOBS_PER_HOUR = 110.0
FACTORS = {
    "ara": 10.0,
    "bora": 0.1,
    "chorok": 3.0,
    "dalbit": 1.0,
    "newcomer": 0.3,
}
FACTOR_SIGMA = 0.7
TRUTHFUL = "citron_truthful"


def _misdeclared(
    trace: tuple[workload.TracedJob, ...], seed: int
) -> tuple[workload.TracedJob, ...]:
    rng = workload.random_stream("declared", seed)
    return tuple(
        msgspec.structs.replace(
            job,
            spec=msgspec.structs.replace(
                job.spec,
                run_time_s=job.true_run_s
                * workload.sample_log_normal(
                    rng, FACTORS[job.spec.account], FACTOR_SIGMA
                ),
            ),
        )
        for job in trace
    )


@registry.bench("misdeclared")
def run(
    seed: int, policies: tuple[str, ...], hours: float = 8.0
) -> report.BenchReport:
    """Compares the policies on declarations off by up to ten times.

    Args:
        seed: Seed of the workload.
        policies: The policies to compare.
        hours: How long jobs arrive.

    Returns:
        The report; the entry `citron_truthful` is the same workload with
        true declarations.
    """
    site = sites.hanbit()
    truthful = job_mix.merge_by_arrival(
        job_mix.make_steady_jobs(
            "misdeclared", seed, hours=hours, jobs_per_hour=JOBS_PER_HOUR
        )
    )
    declared = _misdeclared(truthful, seed)
    runs = [(policy, policy, declared) for policy in policies]
    if "citron" in policies:
        runs.append((TRUTHFUL, "citron", truthful))
    return report.BenchReport(
        bench="misdeclared",
        seed=seed,
        metrics={
            name: metrics.policy_metrics(
                job_replay.Replay(
                    site=site,
                    trace=trace,
                    policy=policy,
                    horizon_ms=round((hours + 4) * workload.HOUR_MS),
                ).run()
            )
            for name, policy, trace in runs
        },
    )
