"""Bench of jobs whose declared run times are far from the true ones."""

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
DECLARED_FACTORS = {
    "ara": 10.0,
    "bora": 0.1,
    "chorok": 3.0,
    "dalbit": 1.0,
    "newcomer": 0.3,
}
FACTOR_SIGMA = 0.7
TRUTHFUL_NAME = "citron_truthful"


def _misdeclare(
    trace: tuple[workload.TracedJob, ...], seed: int
) -> tuple[workload.TracedJob, ...]:
    rng = workload.make_rng("declared", seed)
    return tuple(
        msgspec.structs.replace(
            job,
            spec=msgspec.structs.replace(
                job.spec,
                run_time_s=job.true_run_s
                * workload.sample_log_normal(
                    rng, DECLARED_FACTORS[job.spec.account], FACTOR_SIGMA
                ),
            ),
        )
        for job in trace
    )


@registry.bench("misdeclared")
def run(
    seed: int, policies: tuple[str, ...], hours: float = 8.0
) -> report.BenchReport:
    """Compares the policies on run times declared wrongly by up to ten times.

    The median error of an account is at most ten times; errors of its jobs
    are spread around it.

    Args:
        seed: Seed of the workload.
        policies: The policies to compare.
        hours: Time over which jobs arrive.

    Returns:
        The report; the entry `citron_truthful` is the citron policy on the
        same workload with true declarations.
    """
    site = sites.hanbit()
    truthful = job_mix.merge_by_arrival(
        job_mix.make_steady_jobs(
            "misdeclared", seed, hours=hours, jobs_per_hour=JOBS_PER_HOUR
        )
    )
    misdeclared = _misdeclare(truthful, seed)
    runs = [(policy, policy, misdeclared) for policy in policies]
    if "citron" in policies:
        runs.append((TRUTHFUL_NAME, "citron", truthful))
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
