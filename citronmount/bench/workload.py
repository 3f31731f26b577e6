"""Jobs of a workload trace: what is submitted and how it really behaves."""

import math
import random

import msgspec

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = [
    "DAY_MS",
    "HOUR_MS",
    "MINUTE_MS",
    "SECOND_MS",
    "TracedJob",
    "make_job",
    "make_rng",
    "poisson_arrivals_ms",
    "sample_log_normal",
]

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
UNROUTED_DOMAIN = ids.FailureDomainId("unrouted")


class TracedJob(msgspec.Struct, frozen=True, kw_only=True):
    """One job of a workload.

    Attributes:
        spec: Specification that the caller submits; its job id is replaced
            when the job is routed.
        kind: Class of work in reports.
        arrival_ms: Time of submission.
        true_run_s: Real run time without interruption.
        checkpoint_ms: Time that a checkpoint takes.
        fails: Whether its tasks fail to start on every worker.
        cancel_ms: Time at which the caller cancels the job, if ever.
    """

    spec: jobs.JobSpec
    kind: str
    arrival_ms: int
    true_run_s: float
    checkpoint_ms: int = 2 * SECOND_MS
    fails: bool = False
    cancel_ms: int | None = None

    @property
    def work_s(self) -> float:
        """Accelerator seconds of the whole job without interruption."""
        return self.spec.accelerators * self.true_run_s


def make_rng(name: str, seed: int) -> random.Random:
    """Returns the random generator of one part of a workload.

    Each part has its own, so that a change of one part does not change the
    samples of another.

    Args:
        name: Name of the part.
        seed: Seed of the bench.

    Returns:
        A new generator, seeded by both.
    """
    return random.Random(f"{name}/{seed}")


def poisson_arrivals_ms(
    rng: random.Random, start_ms: int, end_ms: int, count: float
) -> list[int]:
    """Samples the arrival times of a Poisson process.

    Args:
        rng: The random generator.
        start_ms: Start of the process.
        end_ms: End of the process.
        count: Expected number of arrivals.

    Returns:
        Times in ms, in ascending order.
    """
    gap_ms = (end_ms - start_ms) / count
    times = []
    at_ms = start_ms + rng.expovariate(1 / gap_ms)
    while at_ms < end_ms:
        times.append(int(at_ms))
        at_ms += rng.expovariate(1 / gap_ms)
    return times


def sample_log_normal(
    rng: random.Random, median: float, sigma: float, high: float = math.inf
) -> float:
    """Samples a log-normal distribution.

    Args:
        rng: The random generator.
        median: Median of the distribution.
        sigma: Standard deviation of the natural logarithm.
        high: Upper limit; larger samples are cut to it.

    Returns:
        The sample.
    """
    return min(high, median * math.exp(rng.gauss(0, sigma)))


def make_job(
    *,
    account: str,
    kind: str,
    arrival_ms: int,
    true_run_s: float,
    tasks: int,
    per_task: jobs.Resources,
    adjacency: states.Adjacency,
    declared_s: float | None = None,
    urgent: bool = False,
    deadline_ms: int | None = None,
    checkpoint_ms: int = 2 * SECOND_MS,
    fails: bool = False,
    cancel_ms: int | None = None,
) -> TracedJob:
    """Returns a job with a placeholder id in no failure domain.

    Args:
        account: The client account.
        kind: Class of work in reports.
        arrival_ms: Time of submission.
        true_run_s: Real run time without interruption.
        tasks: Gang size.
        per_task: Resources of each task.
        adjacency: Scope in which the whole gang must be placed.
        declared_s: Declared run time, or None to declare the true one.
        urgent: Whether the job is urgent.
        deadline_ms: Time by which the job must end, if any.
        checkpoint_ms: Time that a checkpoint takes.
        fails: Whether its tasks fail to start on every worker.
        cancel_ms: Time at which the caller cancels the job, if ever.

    Returns:
        The job.
    """
    spec = jobs.JobSpec(
        job=ids.job_id(UNROUTED_DOMAIN, ""),
        account=ids.AccountId(account),
        tasks=tasks,
        per_task=per_task,
        adjacency=adjacency,
        run_time_s=true_run_s if declared_s is None else declared_s,
        deadline_ms=deadline_ms,
        urgent=urgent,
        submitted_ms=arrival_ms,
    )
    return TracedJob(
        spec=spec,
        kind=kind,
        arrival_ms=arrival_ms,
        true_run_s=true_run_s,
        checkpoint_ms=checkpoint_ms,
        fails=fails,
        cancel_ms=cancel_ms,
    )
