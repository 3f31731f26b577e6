"""Preemption by a failure domain's scheduler: chooses the jobs to evict.

Trial jobs are evicted before paying ones, then idempotent jobs before others.
Among equals, few victims that lose little work are preferred.
"""

from collections.abc import Mapping

from citronmount.core import decisions
from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import job_queue
from citronmount.core import jobs
from citronmount.core import resources

__all__ = [
    "GRACE_MS",
    "URGENT_GRACE_MS",
    "choose_victims",
    "evict",
    "eviction_cost",
    "find_shortage",
    "jobs_being_evicted",
]

GRACE_MS = 5_000
URGENT_GRACE_MS = 500

_Shortage = dict[ids.WorkerId, jobs.Resources]


def jobs_being_evicted(
    domain: domain_state.DomainState, worker: ids.WorkerId
) -> dict[ids.JobId, int]:
    """Returns the number of tasks on a worker of each job being evicted."""
    return {
        job: tasks
        for job, tasks in domain.pool.jobs_on(worker).items()
        if job in domain.placed and domain.placed[job].evicting
    }


def find_shortage(
    domain: domain_state.DomainState,
    need: Mapping[ids.WorkerId, jobs.Resources],
) -> _Shortage:
    """Returns the resources that must be freed on each worker for a gang.

    Resources of jobs that are already being evicted count as free.

    Args:
        domain: State of the failure domain.
        need: Resources that the gang needs on each worker.

    Returns:
        The missing resources, for workers on which any are missing.
    """
    shortage = {}
    for worker, needed in need.items():
        available = domain.pool.free.available(worker)
        for job, tasks in jobs_being_evicted(domain, worker).items():
            per_task = domain.placed[job].entry.spec.per_task
            available = resources.plus(
                available, resources.scaled(per_task, tasks)
            )
        if not resources.covers(available, needed):
            shortage[worker] = resources.minus(needed, available)
    return shortage


def evict(
    domain: domain_state.DomainState,
    entry: job_queue.JobEntry,
    need: Mapping[ids.WorkerId, jobs.Resources],
    victims: list[ids.JobId],
) -> tuple[list[decisions.EvictJob], set[ids.JobId]]:
    """Evicts victims for a job.

    Args:
        domain: State of the failure domain.
        entry: The job for which they are evicted.
        need: Resources that it needs on each worker.
        victims: The jobs to evict.

    Returns:
        The eviction decisions, and all jobs that must end before the needed
        resources are free.
    """
    for victim in victims:
        domain.mark_evicting(victim)
    free = domain.pool.free
    blocking_jobs = {
        job
        for worker, needed in need.items()
        if not resources.covers(free.available(worker), needed)
        for job in jobs_being_evicted(domain, worker)
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
    """Chooses victims that free the missing resources.

    Trial jobs are chosen before paying ones, idempotent jobs before others.
    Among equals a greedy cover takes the job that frees most of the missing
    accelerators, then the one that loses least work. Victims that later ones
    make unnecessary are dropped.

    Args:
        domain: State of the failure domain.
        shortage: Missing resources on each worker.
        now_ms: Monotonic time.
        preemptible_only: Whether only idempotent trial jobs may be chosen.

    Returns:
        The victims, or None if the revocable jobs do not free enough.
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
        ranks = {
            job: _victim_rank(domain, job, remaining, now_ms)
            for job in candidates
        }
        best = min(candidates, key=ranks.get)
        victims.append(best)
        remaining = _shortage_after(domain, remaining, [best])
    return _drop_unnecessary(domain, shortage, victims)


def eviction_cost(
    domain: domain_state.DomainState, victims: list[ids.JobId], now_ms: int
) -> tuple[int, int, int, int]:
    """Returns the cost of evicting a set of jobs, for comparison.

    Args:
        domain: State of the failure domain.
        victims: Jobs that would be evicted.
        now_ms: Monotonic time.

    Returns:
        Number of paying jobs, number of jobs that are not idempotent, number
        of jobs, and lost work in accelerator milliseconds.
    """
    placed_jobs = [domain.placed[job] for job in victims]
    return (
        sum(
            not domain.is_trial(placed_job.entry.spec.account)
            for placed_job in placed_jobs
        ),
        sum(not placed_job.entry.spec.idempotent for placed_job in placed_jobs),
        len(placed_jobs),
        sum(
            _lost_accelerator_ms(placed_job, now_ms)
            for placed_job in placed_jobs
        ),
    )


def _lost_accelerator_ms(placed: domain_state.PlacedJob, now_ms: int) -> int:
    ran_ms = max(now_ms - placed.since_ms, 0)
    return ran_ms * max(placed.entry.shape.accelerators, 1)


def _drop_unnecessary(
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
        if not resources.covers(resources.ZERO, _positive(missing))
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
