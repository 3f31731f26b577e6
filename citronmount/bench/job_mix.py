"""A steady mix of jobs of the Hanbit members, for benches of disturbances."""

import itertools

from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.core import jobs
from citronmount.core import states

__all__ = ["MEMBERS", "make_steady_jobs", "merge_by_arrival"]

MEMBERS = ("ara", "bora", "chorok", "dalbit")
TRIAL_ACCOUNT = "newcomer"
_WORKER = sites.HANBIT_WORKER
_SHAPES = (
    ("small", 0.70, (1, 1, 2), (1, 2), states.Adjacency.WORKER),
    ("medium", 0.25, (1, 2, 4), (4,), states.Adjacency.FAILURE_DOMAIN),
    ("large", 0.05, (2, 4), (8,), states.Adjacency.RACK),
)


def merge_by_arrival(
    *parts: list[workload.TracedJob],
) -> tuple[workload.TracedJob, ...]:
    """Merges parts of a workload.

    Args:
        *parts: Jobs of each part.

    Returns:
        All jobs in the order of arrival.
    """
    return tuple(
        sorted(
            itertools.chain.from_iterable(parts),
            key=lambda job: job.arrival_ms,
        )
    )


def make_steady_jobs(
    name: str,
    seed: int,
    *,
    hours: float,
    jobs_per_hour: float,
    median_s: float = 1_200.0,
    trial_share: float = 0.2,
) -> list[workload.TracedJob]:
    """Returns small, medium and large jobs of the members and a trial account.

    Args:
        name: Name of the random generator.
        seed: Seed of the bench.
        hours: Time over which jobs arrive.
        jobs_per_hour: Expected number of arrivals in an hour.
        median_s: Median run time.
        trial_share: Share of the jobs that the trial account submits.

    Returns:
        The jobs, which declare their true run times.
    """
    rng = workload.make_rng(name, seed)
    end_ms = round(hours * workload.HOUR_MS)
    weights = [shape[1] for shape in _SHAPES]
    trace = []
    for at_ms in workload.poisson_arrivals_ms(
        rng, 0, end_ms, hours * jobs_per_hour
    ):
        trial = rng.random() < trial_share
        shapes = _SHAPES[:2] if trial else _SHAPES
        kind, _, tasks, sizes, adjacency = rng.choices(
            shapes, weights[: len(shapes)]
        )[0]
        accelerators = rng.choice(sizes)
        trace.append(
            workload.make_job(
                account=TRIAL_ACCOUNT if trial else rng.choice(MEMBERS),
                kind=f"trial_{kind}" if trial else kind,
                arrival_ms=at_ms,
                true_run_s=workload.sample_log_normal(
                    rng, median_s, 0.8, 14_400.0
                ),
                tasks=rng.choice(tasks),
                per_task=jobs.Resources(
                    accelerators=accelerators,
                    cores=8 * accelerators,
                    memory_gb=16 * accelerators,
                ),
                adjacency=adjacency,
                checkpoint_ms=rng.randrange(500, 8_000),
            )
        )
    return trace
