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
    "choose",
    "cost",
    "evict",
    "shortfall",
    "stopping",
]

GRACE_MS = 5_000
URGENT_GRACE_MS = 500

_Short = dict[ids.WorkerId, jobs.Resources]


def stopping(
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
) -> _Short:
    """Returns what has to be evicted of each worker for a gang.

    Room of jobs that are stopping already counts as free.

    Args:
        domain: The failure domain.
        need: What the gang needs of each worker.

    Returns:
        What is missing of each worker where anything is.
    """
    short = {}
    for worker, wanted in need.items():
        room = domain.pool.free.room(worker)
        for job, tasks in stopping(domain, worker).items():
            per_task = domain.placed[job].entry.spec.per_task
            room = resources.plus(room, resources.scaled(per_task, tasks))
        if not resources.covers(room, wanted):
            short[worker] = resources.minus(wanted, room)
    return short


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
        domain.evict(victim)
    free = domain.pool.free
    waiting = {
        job
        for worker, wanted in need.items()
        if not resources.covers(free.room(worker), wanted)
        for job in stopping(domain, worker)
    }
    grace_ms = URGENT_GRACE_MS if entry.spec.urgent else GRACE_MS
    made = [
        decisions.EvictJob(
            job=victim, beneficiary=entry.spec.job, grace_ms=grace_ms
        )
        for victim in victims
    ]
    return made, waiting


def choose(
    domain: domain_state.DomainState,
    short: _Short,
    now_ms: int,
    *,
    lent_only: bool = False,
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
    left = dict(short)
    while left:
        candidates = {
            job
            for worker in left
            for job in domain.pool.jobs_on(worker)
            if domain.revocable(job)
            and job not in victims
            and (domain.placed[job].lent or not lent_only)
        }
        if not candidates:
            return None
        ranked = {job: _rank(domain, job, left, now_ms) for job in candidates}
        best = min(candidates, key=ranked.get)
        victims.append(best)
        left = _without(domain, left, [best])
    return _needed(domain, short, victims)


def cost(
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
        sum(not domain.is_trial(each.entry.spec.account) for each in placed),
        sum(not each.entry.spec.idempotent for each in placed),
        len(placed),
        sum(_lost(each, now_ms) for each in placed),
    )


def _lost(placed: domain_state.PlacedJob, now_ms: int) -> int:
    ran_ms = max(now_ms - placed.since_ms, 0)
    return ran_ms * max(placed.entry.shape.accelerators, 1)


def _needed(
    domain: domain_state.DomainState, short: _Short, victims: list[ids.JobId]
) -> list[ids.JobId]:
    kept = list(victims)
    for victim in reversed(victims):
        others = [job for job in kept if job != victim]
        if not _without(domain, short, others):
            kept = others
    return kept


def _without(
    domain: domain_state.DomainState, short: _Short, victims: list[ids.JobId]
) -> _Short:
    left = dict(short)
    for victim in victims:
        placed = domain.placed[victim]
        for group in placed.groups:
            if group.worker in left:
                freed = resources.scaled(
                    placed.entry.spec.per_task, group.tasks
                )
                left[group.worker] = resources.minus(left[group.worker], freed)
    return {
        worker: missing
        for worker, missing in left.items()
        if not resources.covers(resources.NONE, _positive(missing))
    }


def _positive(amount: jobs.Resources) -> jobs.Resources:
    return jobs.Resources(
        accelerators=max(amount.accelerators, 0),
        cores=max(amount.cores, 0),
        memory_gb=max(amount.memory_gb, 0),
    )


def _rank(
    domain: domain_state.DomainState, job: ids.JobId, left: _Short, now_ms: int
) -> tuple:
    placed = domain.placed[job]
    spec = placed.entry.spec
    freed = sum(
        min(
            group.tasks * spec.per_task.accelerators,
            max(left[group.worker].accelerators, 1),
        )
        for group in placed.groups
        if group.worker in left
    )
    return (
        not domain.is_trial(spec.account),
        not spec.idempotent,
        -freed,
        _lost(placed, now_ms),
        job,
    )
