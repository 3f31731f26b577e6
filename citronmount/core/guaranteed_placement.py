"""Places jobs in the cells that guarantee capacity to their accounts."""

from collections.abc import Iterable
import itertools

from citronmount.core import backfill
from citronmount.core import cell_selection
from citronmount.core import decisions
from citronmount.core import domain_state
from citronmount.core import guarantee_cell
from citronmount.core import ids
from citronmount.core import job_queue
from citronmount.core import jobs
from citronmount.core import placement
from citronmount.core import policies
from citronmount.core import preemption
from citronmount.core import resources
from citronmount.core import shapes

__all__ = ["SCAN_LIMIT_JOBS", "bind_placed_jobs", "place", "place_pending"]

SCAN_LIMIT_JOBS = 256
_MAX_UNBOUND_JOBS = 8
_MAX_UNBOUND_SIZE_FACTOR = 2


def bind_placed_jobs(domain: domain_state.DomainState) -> None:
    """Binds revocable placed jobs to free cells of their account.

    A job that was placed outside the cells is no longer revocable once it fits
    into them; jobs submitted first are bound first. A cell that is larger than
    the job stays free for a larger gang until the job would be evicted.

    Args:
        domain: State of the failure domain.
    """
    accounts = [
        account
        for account in domain.accounts_to_bind
        if any(not cell.occupied for cell in domain.plan.cells(account))
    ]
    domain.accounts_to_bind.clear()
    if accounts:
        _bind_jobs_of(domain, accounts, no_larger_cells=True)


def _bind_jobs_of(
    domain: domain_state.DomainState,
    accounts: Iterable[ids.AccountId],
    *,
    no_larger_cells: bool,
) -> bool:
    """Binds revocable jobs of some accounts to the accounts' cells.

    Args:
        domain: State of the failure domain.
        accounts: The accounts.
        no_larger_cells: Whether to leave free cells that are larger than the
            job unused.

    Returns:
        Whether any job was bound and is thus no longer revocable.
    """
    revocable_jobs: dict[ids.AccountId, list[domain_state.PlacedJob]] = {
        account: [] for account in sorted(accounts)
    }
    for job, placed in domain.placed.items():
        if placed.entry.spec.account in revocable_jobs and domain.revocable(
            job
        ):
            revocable_jobs[placed.entry.spec.account].append(placed)
    bound = False
    for jobs_of_account in revocable_jobs.values():
        jobs_of_account.sort(key=lambda placed: placed.entry.sequence)
        for placed in jobs_of_account[:SCAN_LIMIT_JOBS]:
            bound |= _bind_job(domain, placed, no_larger_cells)
    return bound


def _bind_job(
    domain: domain_state.DomainState,
    placed: domain_state.PlacedJob,
    no_larger_cells: bool,
) -> bool:
    entry = placed.entry
    uses = domain.plan.cover_placed(
        entry.spec.account,
        entry.shape,
        placed.groups,
        entry.shape.accelerators if no_larger_cells else None,
    )
    if uses is not None:
        domain.plan.bind(entry.spec.job, uses)
    return uses is not None


def place_pending(
    domain: domain_state.DomainState, now_ms: int
) -> list[decisions.PlaceJob]:
    """Places the pending jobs whose victims have all ended.

    Args:
        domain: State of the failure domain.
        now_ms: Monotonic time.

    Returns:
        The placement decisions.
    """
    ready = [
        job
        for job, pending in domain.pending_placements.items()
        if not pending.victims
    ]
    placed_jobs = [domain.place_pending(job, now_ms) for job in ready]
    return [
        _place_decision(placed_job.entry, placed_job.groups)
        for placed_job in placed_jobs
    ]


def place(
    domain: domain_state.DomainState, now_ms: int
) -> list[decisions.Decision]:
    """Places queued jobs that fit into the cells of their accounts.

    Args:
        domain: State of the failure domain.
        now_ms: Monotonic time.

    Returns:
        Placements, and evictions for jobs whose cells are in use by other
        work; those jobs become pending.
    """
    accounts = [
        name for name in domain.queue.accounts() if domain.plan.cells(name)
    ]
    return [
        decision
        for account in accounts
        for decision in _place_account(domain, account, now_ms)
    ]


def _place_account(
    domain: domain_state.DomainState, account: ids.AccountId, now_ms: int
) -> list[decisions.Decision]:
    made_decisions: list[decisions.Decision] = []
    failed_shapes: set[shapes.Shape] = set()
    cell_backfill = backfill.CellBackfill(domain, account, now_ms)
    entries = itertools.islice(
        domain.queue.account_entries(account), SCAN_LIMIT_JOBS
    )
    for entry in list(entries):
        if entry.shape in failed_shapes or not cell_backfill.allows(entry):
            continue
        entry_decisions = _place_entry(domain, entry, now_ms)
        if entry_decisions is not None:
            made_decisions.extend(entry_decisions)
            continue
        failed_shapes.add(entry.shape)
        if domain.plan.could_fit(account, entry.shape):
            cell_backfill.set_blocked(entry)
            if domain.policy.backfill is policies.Backfill.NONE:
                break
    return made_decisions


def _place_entry(
    domain: domain_state.DomainState, entry: job_queue.JobEntry, now_ms: int
) -> list[decisions.Decision] | None:
    """Places a job, evicting other work if needed.

    A job that would use a free cell larger than needed is placed outside cells
    if it fits there, so that the cell stays free for a larger gang.

    Returns:
        The decisions, or None if the job does not fit into its account's
        cells.
    """
    uses = _find_uses(domain, entry, now_ms)
    if uses is None and entry.spec.urgent:
        uses = _find_by_unbinding(domain, entry, now_ms)
    if uses is None:
        return None
    if _uses_larger_free_cell(uses):
        groups = _find_outside_cells(domain, entry, now_ms)
        if groups is not None:
            domain.place(entry, groups, now_ms)
            return [_place_decision(entry, groups)]
    need = _need_by_worker(uses)
    if _is_free(domain, need):
        groups = _task_groups(uses)
        domain.place(entry, groups, now_ms, uses)
        return [_place_decision(entry, groups)]
    return _reclaim(domain, entry, uses, now_ms)


def _find_uses(
    domain: domain_state.DomainState, entry: job_queue.JobEntry, now_ms: int
) -> tuple[guarantee_cell.CellUse, ...] | None:
    tries = (
        cell_selection.find(domain, entry, avoid, now_ms)
        for avoid in entry.avoided_worker_sets(now_ms)
    )
    return next((uses for uses in tries if uses is not None), None)


def _find_by_unbinding(
    domain: domain_state.DomainState, entry: job_queue.JobEntry, now_ms: int
) -> tuple[guarantee_cell.CellUse, ...] | None:
    """Finds cells for an urgent job by unbinding other jobs of its account.

    The jobs submitted last are unbound first. They keep running but become
    revocable. If no cells are found, those whose slots still exist are bound
    again.
    """
    unbound: list[tuple[ids.JobId, tuple[guarantee_cell.CellUse, ...]]] = []
    for job in _unbindable_jobs(domain, entry)[:_MAX_UNBOUND_JOBS]:
        unbound.append((job, domain.plan.uses(job)))
        domain.plan.unbind(job)
        uses = _find_uses(domain, entry, now_ms)
        if uses is not None:
            return uses
    for job, uses in unbound:
        if all(use.worker in use.cell.slots for use in uses):
            domain.plan.bind(job, uses)
    return None


def _unbindable_jobs(
    domain: domain_state.DomainState, entry: job_queue.JobEntry
) -> list[ids.JobId]:
    """Returns jobs that may lose their cells to an urgent one.

    They are idempotent, not urgent and at most twice as large as the urgent
    job. The job submitted last comes first.
    """
    max_accelerators = _MAX_UNBOUND_SIZE_FACTOR * entry.shape.accelerators
    entries = {
        job: domain.placed[job].entry
        for cell in domain.plan.cells(entry.spec.account)
        for job in cell.jobs
        if job in domain.placed
    }
    return sorted(
        (
            job
            for job, other in entries.items()
            if not other.spec.urgent
            and other.spec.idempotent
            and other.shape.accelerators <= max_accelerators
        ),
        key=lambda job: -entries[job].sequence,
    )


def _find_outside_cells(
    domain: domain_state.DomainState, entry: job_queue.JobEntry, now_ms: int
) -> tuple[jobs.TaskGroup, ...] | None:
    return placement.find(
        domain.pool.free,
        entry.shape,
        key=domain.worker_key(entry, now_ms),
        avoid=entry.avoided_worker_sets(now_ms)[0],
    )


def _uses_larger_free_cell(uses: tuple[guarantee_cell.CellUse, ...]) -> bool:
    """Returns whether the job would use a free cell larger than it needs."""
    accelerators_used: dict[guarantee_cell.Cell, int] = {}
    for use in uses:
        accelerators = use.tasks * use.per_task.accelerators
        accelerators_used[use.cell] = (
            accelerators_used.get(use.cell, 0) + accelerators
        )
    return any(
        not cell.occupied and cell.shape.accelerators > accelerators
        for cell, accelerators in accelerators_used.items()
    )


def _need_by_worker(
    uses: tuple[guarantee_cell.CellUse, ...],
) -> dict[ids.WorkerId, jobs.Resources]:
    need: dict[ids.WorkerId, jobs.Resources] = {}
    for use in uses:
        amount = resources.scaled(use.per_task, use.tasks)
        before = need.get(use.worker, resources.ZERO)
        need[use.worker] = resources.plus(before, amount)
    return need


def _is_free(
    domain: domain_state.DomainState, need: dict[ids.WorkerId, jobs.Resources]
) -> bool:
    free = domain.pool.free
    return all(
        resources.covers(free.available(worker), amount)
        for worker, amount in need.items()
    )


def _reclaim(
    domain: domain_state.DomainState,
    entry: job_queue.JobEntry,
    uses: tuple[guarantee_cell.CellUse, ...],
    now_ms: int,
) -> list[decisions.Decision] | None:
    """Evicts other work from cells that a job will use; the job is pending.

    If some victims belong to other paying accounts, the jobs of those accounts
    are first bound to free cells of their own, larger ones included; if any
    could be bound, the victims are chosen again.

    Returns:
        The evictions, or None if revocable work does not free enough.
    """
    domain.cancel_pending_outside_cells(_need_by_worker(uses), now_ms)
    victims = _choose_victims(domain, uses, now_ms)
    paying_accounts = _paying_accounts(domain, victims or ()) - {
        entry.spec.account
    }
    if paying_accounts and _bind_jobs_of(
        domain, paying_accounts, no_larger_cells=False
    ):
        uses = _find_uses(domain, entry, now_ms)
        domain.cancel_pending_outside_cells(_need_by_worker(uses or ()), now_ms)
        victims = _choose_victims(domain, uses, now_ms) if uses else None
    if victims is None:
        return None
    evictions, blocking_jobs = preemption.evict(
        domain, entry, _need_by_worker(uses), victims
    )
    domain.add_pending(entry, _task_groups(uses), now_ms, uses, blocking_jobs)
    return evictions


def _choose_victims(
    domain: domain_state.DomainState,
    uses: tuple[guarantee_cell.CellUse, ...],
    now_ms: int,
) -> list[ids.JobId] | None:
    shortage = preemption.find_shortage(domain, _need_by_worker(uses))
    return preemption.choose_victims(domain, shortage, now_ms)


def _paying_accounts(
    domain: domain_state.DomainState, victims: Iterable[ids.JobId]
) -> set[ids.AccountId]:
    accounts = {domain.placed[job].entry.spec.account for job in victims}
    return {account for account in accounts if not domain.is_trial(account)}


def _task_groups(
    uses: tuple[guarantee_cell.CellUse, ...],
) -> tuple[jobs.TaskGroup, ...]:
    tasks: dict[ids.WorkerId, int] = {}
    for use in uses:
        tasks[use.worker] = tasks.get(use.worker, 0) + use.tasks
    return tuple(
        jobs.TaskGroup(worker=worker, tasks=task_count)
        for worker, task_count in tasks.items()
    )


def _place_decision(
    entry: job_queue.JobEntry, groups: tuple[jobs.TaskGroup, ...]
) -> decisions.PlaceJob:
    return decisions.PlaceJob(
        job=entry.spec.job, placement=jobs.Placement(groups=groups)
    )
