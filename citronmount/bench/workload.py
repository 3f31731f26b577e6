"""Traced jobs: what is submitted, and how it really behaves."""

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
    "poisson_arrivals_ms",
    "random_stream",
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
        spec: What the caller declares; its id is made when it is routed.
        kind: The class of work in reports.
        arrival_ms: When it is submitted.
        true_run_s: How long it really runs without interruption.
        checkpoint_ms: How long it takes to save its work.
        fails: Whether its tasks fail wherever they start.
        cancel_ms: When its caller cancels it, if ever.
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
        """Accelerator seconds of the whole job."""
        return self.spec.accelerators * self.true_run_s


def random_stream(name: str, seed: int) -> random.Random:
    """Returns the random stream of one part of a workload.

    Args:
        name: The part.
        seed: The seed of the bench.

    Returns:
        A generator that no other part uses.
    """
    return random.Random(f"{name}/{seed}")


def poisson_arrivals_ms(
    rng: random.Random, start_ms: int, end_ms: int, count: float
) -> list[int]:
    """Returns the times of a Poisson process.

    Args:
        rng: The random stream.
        start_ms: When it begins.
        end_ms: When it ends.
        count: The expected number of times.

    Returns:
        Times in ms, rising.
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
    """Returns a log-normal sample.

    Args:
        rng: The random stream.
        median: The median.
        sigma: The standard deviation of the logarithm.
        high: The largest value to return.

    Returns:
        The sample, at most `high`.
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
    """Returns a traced job whose id is still to be made.

    Args:
        account: The client account.
        kind: The class of work in reports.
        arrival_ms: When it is submitted.
        true_run_s: How long it really runs.
        tasks: Gang size.
        per_task: Resources of each task.
        adjacency: What must hold the gang.
        declared_s: Declared run time, or None to declare the true one.
        urgent: Whether it is urgent.
        deadline_ms: When it must have ended, if ever.
        checkpoint_ms: How long it takes to save its work.
        fails: Whether it fails wherever it starts.
        cancel_ms: When it is cancelled, if ever.

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
