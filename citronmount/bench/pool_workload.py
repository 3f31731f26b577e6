"""Arrivals of a day with more work than a pool of workers can run.

Three queues share the pool: urgent gangs that take seconds, gangs of middle
priority that need many workers at once, and steps of many single tasks.
Arrivals are Poisson processes; the first two queues have a burst. Sizes and run
times are log-normal, and run times are declared with a log-normal error.
"""

import itertools
import math
import random

import msgspec

from citronmount.bench import workload
from citronmount.core import ids
from citronmount.workflow import spec

__all__ = [
    "DAY_S",
    "QUEUES",
    "SERVICE",
    "WARM_UP_S",
    "Arrival",
    "Burst",
    "QueueMix",
    "arrivals",
]

DAY_S = 40.0
WARM_UP_S = 6.0
ACCOUNTS = 24
REFERENCE_WORKERS = 270

SERVICE = spec.ServiceName("pool")


class Burst(msgspec.Struct, frozen=True, kw_only=True):
    """A time with a higher rate of arrivals.

    Attributes:
        from_s: Begin, in seconds of the day.
        until_s: End, in seconds of the day.
        factor: Factor of the rate.
    """

    from_s: float
    until_s: float
    factor: float

    def factor_at(self, time_s: float) -> float:
        """Returns the factor of the rate at a time of the day."""
        return self.factor if self.from_s <= time_s < self.until_s else 1.0


class QueueMix(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs of one queue.

    Attributes:
        terms: Terms of the queue.
        jobs_per_s: Arrivals a second on `REFERENCE_WORKERS` workers.
        burst: Time with a higher rate.
        gang: Whether the tasks of a job run as a gang.
        mean_tasks: Mean number of tasks of a job.
        max_tasks: Largest number of tasks of a job.
        accelerators: Equally likely numbers of accelerators of a task.
        millicores: Thousandths of a core of a task.
        memory_mb: Memory of a task.
        mean_run_s: Mean run time of a task.
        run_spread: Spread of the run times relative to their mean.
        max_run_s: Longest run time of a task.
        declared_error: Standard deviation of the logarithm of the declared run
            time, relative to the true one.
        one_rack_share: Share of jobs that prefer one rack.
        checkpoint_share: Share of jobs that save checkpoints.
        worth: Worth of a job of mean size that ends in time.
        late_worth: Worth of such a job that ends late.
    """

    terms: spec.QueueTerms
    jobs_per_s: float
    burst: Burst
    gang: bool
    mean_tasks: float
    max_tasks: int
    accelerators: tuple[int, ...]
    millicores: int
    memory_mb: int
    mean_run_s: float
    run_spread: float
    max_run_s: float
    declared_error: float
    one_rack_share: float
    checkpoint_share: float
    worth: float
    late_worth: float


def _terms(
    queue: str, priority: int, slack_factor: float, objective_ms: int
) -> spec.QueueTerms:
    return spec.QueueTerms(
        queue=spec.QueueName(queue),
        service=SERVICE,
        priority=priority,
        slack_factor=slack_factor,
        objective_ms=objective_ms,
    )


QUEUES = (
    QueueMix(
        terms=_terms("urgent", 0, 1.5, 300),
        jobs_per_s=6.0,
        burst=Burst(from_s=0.5, until_s=6.5, factor=2.0),
        gang=True,
        mean_tasks=5.0,
        max_tasks=32,
        accelerators=(1, 2, 4, 8, 8),
        millicores=8_000,
        memory_mb=16_000,
        mean_run_s=2.5,
        run_spread=0.5,
        max_run_s=8.0,
        declared_error=0.3,
        one_rack_share=0.8,
        checkpoint_share=0.0,
        worth=4.0,
        late_worth=0.8,
    ),
    QueueMix(
        terms=_terms("gangs", 1, 3.0, 1_000),
        jobs_per_s=1.8,
        burst=Burst(from_s=2.0, until_s=6.0, factor=2.5),
        gang=True,
        mean_tasks=13.0,
        max_tasks=80,
        accelerators=(1, 2, 4, 8, 8),
        millicores=26_000,
        memory_mb=50_000,
        mean_run_s=7.0,
        run_spread=0.3,
        max_run_s=12.0,
        declared_error=0.5,
        one_rack_share=0.6,
        checkpoint_share=0.5,
        worth=3.0,
        late_worth=0.9,
    ),
    QueueMix(
        terms=_terms("singles", 2, 3.0, 3_000),
        jobs_per_s=1.2,
        burst=Burst(from_s=0.0, until_s=0.0, factor=1.0),
        gang=False,
        mean_tasks=40.0,
        max_tasks=250,
        accelerators=(1,),
        millicores=6_000,
        memory_mb=12_000,
        mean_run_s=9.0,
        run_spread=0.3,
        max_run_s=12.0,
        declared_error=0.5,
        one_rack_share=0.0,
        checkpoint_share=0.5,
        worth=1.0,
        late_worth=0.3,
    ),
)
_TASK_SPREAD = 0.8


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A job of the day.

    Attributes:
        time_s: Time of arrival, negative during the warm-up.
        queue: The queue's jobs.
        submission: The job, accepted at its arrival in milliseconds of the day.
        run_s: True run time of a task on a fast worker.
    """

    time_s: float
    queue: QueueMix
    submission: spec.Submission
    run_s: float


def arrivals(seed: int, workers: int, load: float) -> list[Arrival]:
    """Draws the jobs of a day.

    Args:
        seed: Seed of the day.
        workers: Number of workers, to which the rates are proportional.
        load: Factor of the rates.

    Returns:
        The jobs in the order of their arrival.
    """
    rate_factor = load * workers / REFERENCE_WORKERS
    drawn = itertools.chain.from_iterable(
        _arrivals_of_queue(seed, queue, rate_factor) for queue in QUEUES
    )
    return sorted(drawn, key=lambda arrival: arrival.time_s)


def _arrivals_of_queue(
    seed: int, queue: QueueMix, rate_factor: float
) -> list[Arrival]:
    rng = workload.make_rng(f"pool {queue.terms.queue}", seed)
    drawn: list[Arrival] = []
    time_s = -WARM_UP_S
    while True:
        rate = queue.jobs_per_s * rate_factor * queue.burst.factor_at(time_s)
        time_s += rng.expovariate(rate)
        if time_s >= DAY_S:
            return drawn
        drawn.append(_draw_job(rng, queue, time_s, len(drawn)))


def _draw_job(
    rng: random.Random, queue: QueueMix, time_s: float, number: int
) -> Arrival:
    run_s = _log_normal(
        rng, queue.mean_run_s, queue.run_spread, queue.max_run_s
    )
    tasks = _log_normal(rng, queue.mean_tasks, _TASK_SPREAD, queue.max_tasks)
    declared_s = run_s * math.exp(rng.gauss(0.0, queue.declared_error))
    step = spec.Step(
        tasks=max(round(tasks), 1),
        demand=spec.Demand(
            millicores=queue.millicores,
            memory_mb=queue.memory_mb,
            accelerators=rng.choice(queue.accelerators),
        ),
        estimate_ms=round(declared_s * 1_000),
        gang=queue.gang,
        one_rack=rng.random() < queue.one_rack_share,
        checkpoints=rng.random() < queue.checkpoint_share,
    )
    workflow = spec.Workflow(
        job=ids.JobId(f"{queue.terms.queue}-{number}"),
        payload="",
        steps=(step,),
    )
    account = min(int(rng.expovariate(5 / ACCOUNTS)), ACCOUNTS - 1)
    submission = spec.Submission(
        workflow=workflow,
        account=ids.AccountId(f"account-{account}"),
        terms=queue.terms,
        accepted_ms=round(time_s * 1_000),
    )
    return Arrival(
        time_s=time_s, queue=queue, submission=submission, run_s=run_s
    )


def _log_normal(
    rng: random.Random, mean: float, spread: float, most: float
) -> float:
    """Draws from a log-normal distribution with the given mean, at most `most`.

    Args:
        rng: The source of randomness.
        mean: Mean of the distribution before it is cut.
        spread: Standard deviation relative to the mean.
        most: Largest value.

    Returns:
        The value.
    """
    variance = math.log(1 + spread * spread)
    value = rng.lognormvariate(
        math.log(mean) - variance / 2, math.sqrt(variance)
    )
    return min(value, most)
