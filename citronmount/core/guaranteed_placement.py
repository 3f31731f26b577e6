"""Places jobs inside the guarantees of their accounts."""

from collections.abc import Iterable
import itertools

from citronmount.core import backfill
from citronmount.core import cell_selection
from citronmount.core import cells
from citronmount.core import decisions
from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import placement
from citronmount.core import policy as policy_lib
from citronmount.core import preemption
from citronmount.core import queueing
from citronmount.core import resources
from citronmount.core import shapes

__all__ = ["SCAN_LIMIT", "place", "redeem", "settle"]

SCAN_LIMIT = 256
_MAX_DEMOTIONS = 8
_MAX_DEMOTED_SIZE = 2


def settle(domain: domain_state.DomainState) -> None:
    """Puts free cells under placed jobs of their account, oldest first.

    A job that ran outside its account's guarantee is no longer revocable once
    the guarantee has room for it. A cell that is wider than the job stays
    free for a wider gang until the job would be evicted.

    Args:
        domain: The failure domain.
    """
    accounts = [
        account
        for account in domain.unsettled
        if any(not cell.held for cell in domain.plan.cells(account))
    ]
    domain.unsettled.clear()
    if accounts:
        _settle_accounts(domain, accounts, tight=True)


def _settle_accounts(
    domain: domain_state.DomainState,
    accounts: Iterable[ids.AccountId],
    *,
    tight: bool,
) -> bool:
    """Returns whether any job is no longer revocable by this."""
    outside: dict[ids.AccountId, list[domain_state.PlacedJob]] = {
        account: [] for account in sorted(accounts)
    }
    for job, placed in domain.placed.items():
        if placed.entry.spec.account in outside and domain.revocable(job):
            outside[placed.entry.spec.account].append(placed)
    bound = False
    for found in outside.values():
        found.sort(key=lambda placed: placed.entry.sequence)
        for placed in found[:SCAN_LIMIT]:
            bound |= _settle_job(domain, placed, tight)
    return bound


def _settle_job(
    domain: domain_state.DomainState,
    placed: domain_state.PlacedJob,
    tight: bool,
) -> bool:
    entry = placed.entry
    uses = domain.plan.cover(
        entry.spec.account,
        entry.shape,
        placed.groups,
        entry.shape.accelerators if tight else None,
    )
    if uses is not None:
        domain.plan.bind(entry.spec.job, uses)
    return uses is not None


def redeem(
    domain: domain_state.DomainState, now_ms: int
) -> list[decisions.PlaceJob]:
    """Places jobs whose victims have all ended.

    Args:
        domain: The failure domain.
        now_ms: Monotonic time.

    Returns:
        The placements.
    """
    ready = [
        job for job, c in domain.pending_placements.items() if not c.victims
    ]
    placed = [domain.redeem(job, now_ms) for job in ready]
    return [_decision(each.entry, each.groups) for each in placed]


def place(
    domain: domain_state.DomainState, now_ms: int
) -> list[decisions.Decision]:
    """Places what fits into the free room of the accounts' own cells.

    Args:
        domain: The failure domain.
        now_ms: Monotonic time.

    Returns:
        Placements, and evictions for jobs that have to wait for them.
    """
    accounts = [a for a in domain.queue.accounts() if domain.plan.cells(a)]
    return [
        decision
        for account in accounts
        for decision in _place_account(domain, account, now_ms)
    ]


def _place_account(
    domain: domain_state.DomainState, account: ids.AccountId, now_ms: int
) -> list[decisions.Decision]:
    found: list[decisions.Decision] = []
    failed: set[shapes.Shape] = set()
    passing = backfill.OwnRoom(domain, account, now_ms)
    scan = itertools.islice(domain.queue.of_account(account), SCAN_LIMIT)
    for entry in list(scan):
        if entry.shape in failed or not passing.lets(entry):
            continue
        made = _place_entry(domain, entry, now_ms)
        if made is not None:
            found.extend(made)
            continue
        failed.add(entry.shape)
        if domain.plan.could_hold(account, entry.shape):
            passing.block(entry)
            if domain.policy.backfill is policy_lib.Backfill.NONE:
                break
    return found


def _place_entry(
    domain: domain_state.DomainState, entry: queueing.Entry, now_ms: int
) -> list[decisions.Decision] | None:
    """Returns None if the job found no room in its account's cells."""
    uses = _find(domain, entry, now_ms)
    if uses is None and entry.spec.urgent:
        uses = _find_by_demotion(domain, entry, now_ms)
    if uses is None:
        return None
    if _opens_wider_cell(uses):
        groups = _find_outside(domain, entry, now_ms)
        if groups is not None:
            domain.place(entry, groups, now_ms)
            return [_decision(entry, groups)]
    need = _need(uses)
    if _is_free(domain, need):
        groups = _groups(uses)
        domain.place(entry, groups, now_ms, uses)
        return [_decision(entry, groups)]
    return _reclaim(domain, entry, uses, now_ms)


def _find(
    domain: domain_state.DomainState, entry: queueing.Entry, now_ms: int
) -> tuple[cells.Use, ...] | None:
    tries = (
        cell_selection.find(domain, entry, avoid, now_ms)
        for avoid in entry.avoidances(now_ms)
    )
    return next((uses for uses in tries if uses is not None), None)


def _find_by_demotion(
    domain: domain_state.DomainState, entry: queueing.Entry, now_ms: int
) -> tuple[cells.Use, ...] | None:
    """Gives an urgent job the cells of later jobs of its account.

    Those jobs go on, but are revocable from then on.
    """
    loose: list[tuple[ids.JobId, tuple[cells.Use, ...]]] = []
    for job in _demotable(domain, entry)[:_MAX_DEMOTIONS]:
        loose.append((job, domain.plan.uses(job)))
        domain.plan.release(job)
        uses = _find(domain, entry, now_ms)
        if uses is not None:
            return uses
    for job, uses in loose:
        if all(use.worker in use.cell.slots for use in uses):
            domain.plan.bind(job, uses)
    return None


def _demotable(
    domain: domain_state.DomainState, entry: queueing.Entry
) -> list[ids.JobId]:
    """Returns small jobs in the account's cells, the latest first."""
    widest = _MAX_DEMOTED_SIZE * entry.shape.accelerators
    found = {
        job: domain.placed[job].entry
        for cell in domain.plan.cells(entry.spec.account)
        for job in cell.jobs
        if job in domain.placed
    }
    return sorted(
        (
            job
            for job, other in found.items()
            if not other.spec.urgent
            and other.spec.idempotent
            and other.shape.accelerators <= widest
        ),
        key=lambda job: -found[job].sequence,
    )


def _find_outside(
    domain: domain_state.DomainState, entry: queueing.Entry, now_ms: int
) -> tuple[jobs.TaskGroup, ...] | None:
    return placement.find(
        domain.pool.free,
        entry.shape,
        key=domain.key(entry, now_ms),
        avoid=entry.avoidances(now_ms)[0],
    )


def _opens_wider_cell(uses: tuple[cells.Use, ...]) -> bool:
    """Returns whether a gang wider than the job would lose its cell."""
    used: dict[cells.Cell, int] = {}
    for use in uses:
        accelerators = use.tasks * use.per_task.accelerators
        used[use.cell] = used.get(use.cell, 0) + accelerators
    return any(
        not cell.held and cell.shape.accelerators > accelerators
        for cell, accelerators in used.items()
    )


def _need(uses: tuple[cells.Use, ...]) -> dict[ids.WorkerId, jobs.Resources]:
    need: dict[ids.WorkerId, jobs.Resources] = {}
    for use in uses:
        amount = resources.scaled(use.per_task, use.tasks)
        before = need.get(use.worker, resources.NONE)
        need[use.worker] = resources.plus(before, amount)
    return need


def _is_free(
    domain: domain_state.DomainState, need: dict[ids.WorkerId, jobs.Resources]
) -> bool:
    free = domain.pool.free
    return all(
        resources.covers(free.room(worker), amount)
        for worker, amount in need.items()
    )


def _reclaim(
    domain: domain_state.DomainState,
    entry: queueing.Entry,
    uses: tuple[cells.Use, ...],
    now_ms: int,
) -> list[decisions.Decision] | None:
    domain.release_outside_claims(_need(uses), now_ms)
    victims = _victims(domain, uses, now_ms)
    owners = _paying_owners(domain, victims or ()) - {entry.spec.account}
    if owners and _settle_accounts(domain, owners, tight=False):
        uses = _find(domain, entry, now_ms)
        domain.release_outside_claims(_need(uses or ()), now_ms)
        victims = _victims(domain, uses, now_ms) if uses else None
    if victims is None:
        return None
    made, waiting = preemption.evict(domain, entry, _need(uses), victims)
    domain.claim(entry, _groups(uses), now_ms, uses, waiting)
    return made


def _victims(
    domain: domain_state.DomainState, uses: tuple[cells.Use, ...], now_ms: int
) -> list[ids.JobId] | None:
    short = preemption.shortfall(domain, _need(uses))
    return preemption.choose(domain, short, now_ms)


def _paying_owners(
    domain: domain_state.DomainState, victims: Iterable[ids.JobId]
) -> set[ids.AccountId]:
    accounts = {domain.placed[job].entry.spec.account for job in victims}
    return {account for account in accounts if not domain.is_trial(account)}


def _groups(uses: tuple[cells.Use, ...]) -> tuple[jobs.TaskGroup, ...]:
    tasks: dict[ids.WorkerId, int] = {}
    for use in uses:
        tasks[use.worker] = tasks.get(use.worker, 0) + use.tasks
    return tuple(
        jobs.TaskGroup(worker=worker, tasks=n) for worker, n in tasks.items()
    )


def _decision(
    entry: queueing.Entry, groups: tuple[jobs.TaskGroup, ...]
) -> decisions.PlaceJob:
    return decisions.PlaceJob(
        job=entry.spec.job, placement=jobs.Placement(groups=groups)
    )
