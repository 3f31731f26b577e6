"""Chooses which jobs to evict: fewest victims, then least lost work."""

from collections.abc import Mapping

from citronmount.core import decisions
from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import queueing
from citronmount.core import resources

__all__ = [
    "GRACE_MS",
    "URGENT_GRACE_MS",
    "choose_victims",
    "eviction_cost",
    "evict",
    "shortfall",
    "stopping_jobs",
]

GRACE_MS = 5_000
URGENT_GRACE_MS = 500

_Shortage = dict[ids.WorkerId, jobs.Resources]


def stopping_jobs(
    domain: domain_state.DomainState, worker: ids.WorkerId
) -> dict[ids.JobId, int]:
    """Returns the jobs on a worker that were told to stop, with tasks."""
    return {
        job: tasks
        for job, tasks in domain.pool.jobs_on(worker).items()
        if job in domain.placed and domain.placed[job].evicting
    }


def shortfall(
    domain: domain_state.DomainState,
    need: Mapping[ids.WorkerId, jobs.Resources],
) -> _Shortage:
    """Returns what has to be evicted of each worker for a gang.

    Room of jobs that are stopping already counts as free.

    Args:
        domain: The failure domain.
        need: What the gang needs of each worker.

    Returns:
        What is missing of each worker where anything is.
    """
    shortage = {}
    for worker, needed in need.items():
        available = domain.pool.free.available(worker)
        for job, tasks in stopping_jobs(domain, worker).items():
            per_task = domain.placed[job].entry.spec.per_task
            available = resources.plus(
                available, resources.scaled(per_task, tasks)
            )
        if not resources.covers(available, needed):
            shortage[worker] = resources.minus(needed, available)
    return shortage


def evict(
    domain: domain_state.DomainState,
    entry: queueing.Entry,
    need: Mapping[ids.WorkerId, jobs.Resources],
    victims: list[ids.JobId],
) -> tuple[list[decisions.EvictJob], set[ids.JobId]]:
    """Tells victims to stop for a job.

    Args:
        domain: The failure domain.
        entry: The job that needs the room.
        need: What it needs of each worker.
        victims: The jobs to stop.

    Returns:
        The decisions, and all jobs that have to end before the room is free.
    """
    for victim in victims:
        domain.mark_evicting(victim)
    free = domain.pool.free
    blocking_jobs = {
        job
        for worker, needed in need.items()
        if not resources.covers(free.available(worker), needed)
        for job in stopping_jobs(domain, worker)
    }
    grace_ms = URGENT_GRACE_MS if entry.spec.urgent else GRACE_MS
    evictions = [
        decisions.EvictJob(
            job=victim, beneficiary=entry.spec.job, grace_ms=grace_ms
        )
        for victim in victims
    ]
    return evictions, blocking_jobs


def choose_victims(
    domain: domain_state.DomainState,
    shortage: _Shortage,
    now_ms: int,
    *,
    preemptible_only: bool = False,
) -> list[ids.JobId] | None:
    """Chooses victims that free what is short.

    Trials go before paying work, work that can run again before work that
    cannot. A greedy cover takes the victim that frees most of what is short;
    victims that later ones made needless are dropped.

    Args:
        domain: The failure domain.
        short: What is missing of each worker.
        now_ms: Monotonic time.
        lent_only: Whether only trials that can run again may be chosen.

    Returns:
        The victims, or None if revocable work is not enough.
    """
    victims: list[ids.JobId] = []
    remaining = dict(shortage)
    while remaining:
        candidates = {
            job
            for worker in remaining
            for job in domain.pool.jobs_on(worker)
            if domain.revocable(job)
            and job not in victims
            and (domain.placed[job].preemptible or not preemptible_only)
        }
        if not candidates:
            return None
        ranked = {
            job: _victim_rank(domain, job, remaining, now_ms)
            for job in candidates
        }
        best = min(candidates, key=ranked.get)
        victims.append(best)
        remaining = _shortage_after(domain, remaining, [best])
    return _drop_needless(domain, shortage, victims)


def eviction_cost(
    domain: domain_state.DomainState, victims: list[ids.JobId], now_ms: int
) -> tuple[int, int, int, int]:
    """Ranks sets of victims; the smallest is the least harm.

    Args:
        domain: The failure domain.
        victims: Jobs that would be evicted.
        now_ms: Monotonic time.

    Returns:
        Paying jobs, jobs that cannot run again, all jobs, and lost work in
        accelerator milliseconds.
    """
    placed = [domain.placed[job] for job in victims]
    return (
        sum(
            not domain.is_trial(placed_job.entry.spec.account)
            for placed_job in placed
        ),
        sum(not placed_job.entry.spec.idempotent for placed_job in placed),
        len(placed),
        sum(_lost_accelerator_ms(placed_job, now_ms) for placed_job in placed),
    )


def _lost_accelerator_ms(placed: domain_state.PlacedJob, now_ms: int) -> int:
    ran_ms = max(now_ms - placed.since_ms, 0)
    return ran_ms * max(placed.entry.shape.accelerators, 1)


def _drop_needless(
    domain: domain_state.DomainState,
    shortage: _Shortage,
    victims: list[ids.JobId],
) -> list[ids.JobId]:
    kept = list(victims)
    for victim in reversed(victims):
        others = [job for job in kept if job != victim]
        if not _shortage_after(domain, shortage, others):
            kept = others
    return kept


def _shortage_after(
    domain: domain_state.DomainState,
    shortage: _Shortage,
    victims: list[ids.JobId],
) -> _Shortage:
    remaining = dict(shortage)
    for victim in victims:
        placed = domain.placed[victim]
        for group in placed.groups:
            if group.worker in remaining:
                freed = resources.scaled(
                    placed.entry.spec.per_task, group.tasks
                )
                remaining[group.worker] = resources.minus(
                    remaining[group.worker], freed
                )
    return {
        worker: missing
        for worker, missing in remaining.items()
        if not resources.covers(resources.NONE, _positive(missing))
    }


def _positive(amount: jobs.Resources) -> jobs.Resources:
    return jobs.Resources(
        accelerators=max(amount.accelerators, 0),
        cores=max(amount.cores, 0),
        memory_gb=max(amount.memory_gb, 0),
    )


def _victim_rank(
    domain: domain_state.DomainState,
    job: ids.JobId,
    remaining: _Shortage,
    now_ms: int,
) -> tuple:
    placed = domain.placed[job]
    spec = placed.entry.spec
    freed = sum(
        min(
            group.tasks * spec.per_task.accelerators,
            max(remaining[group.worker].accelerators, 1),
        )
        for group in placed.groups
        if group.worker in remaining
    )
    return (
        not domain.is_trial(spec.account),
        not spec.idempotent,
        -freed,
        _lost_accelerator_ms(placed, now_ms),
        job,
    )
