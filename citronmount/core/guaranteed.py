"""Places jobs inside the guarantees of their accounts."""

import itertools

from citronmount.core import backfill
from citronmount.core import cells
from citronmount.core import decisions
from citronmount.core import domain as domain_lib
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import policy as policy_lib
from citronmount.core import queueing
from citronmount.core import reclaim
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import siting

__all__ = ["SCAN_LIMIT", "place", "redeem", "settle"]

SCAN_LIMIT = 256


def settle(domain: domain_lib.Domain) -> None:
    """Puts free cells under placed jobs of their account, oldest first.

    A job that ran outside its account's guarantee is no longer revocable once
    the guarantee has room for it.

    Args:
        domain: The failure domain.
    """
    accounts = [
        account
        for account in domain.unsettled
        if any(not cell.held for cell in domain.plan.cells(account))
    ]
    domain.unsettled.clear()
    if not accounts:
        return
    outside: dict[ids.AccountId, list[domain_lib.Placed]] = {
        account: [] for account in sorted(accounts)
    }
    for job, placed in domain.placed.items():
        if placed.entry.spec.account in outside and domain.revocable(job):
            outside[placed.entry.spec.account].append(placed)
    for account, found in outside.items():
        found.sort(key=lambda placed: placed.entry.sequence)
        _settle_account(domain, account, found)


def _settle_account(
    domain: domain_lib.Domain,
    account: ids.AccountId,
    found: list[domain_lib.Placed],
) -> None:
    for placed in found[:SCAN_LIMIT]:
        uses = domain.plan.cover(account, placed.entry.shape, placed.groups)
        if uses is not None:
            domain.plan.bind(placed.entry.spec.job, uses)


def redeem(domain: domain_lib.Domain, now_ms: int) -> list[decisions.PlaceJob]:
    """Places jobs whose victims have all ended.

    Args:
        domain: The failure domain.
        now_ms: Monotonic time.

    Returns:
        The placements.
    """
    ready = [job for job, c in domain.claims.items() if not c.victims]
    placed = [domain.redeem(job, now_ms) for job in ready]
    return [_decision(each.entry, each.groups) for each in placed]


def place(domain: domain_lib.Domain, now_ms: int) -> list[decisions.Decision]:
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
    domain: domain_lib.Domain, account: ids.AccountId, now_ms: int
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
    domain: domain_lib.Domain, entry: queueing.Entry, now_ms: int
) -> list[decisions.Decision] | None:
    """Returns None if the job found no room in its account's cells."""
    tries = (
        siting.find(domain, entry, avoid, now_ms)
        for avoid in entry.avoidances(now_ms)
    )
    uses = next((uses for uses in tries if uses is not None), None)
    if uses is None:
        return None
    groups = _groups(uses)
    need = {
        group.worker: resources.scaled(entry.spec.per_task, group.tasks)
        for group in groups
    }
    free = domain.pool.free
    if all(resources.covers(free.room(w), n) for w, n in need.items()):
        domain.place(entry, groups, now_ms, uses)
        return [_decision(entry, groups)]
    return _reclaim(domain, entry, uses, groups, need, now_ms)


def _reclaim(
    domain: domain_lib.Domain,
    entry: queueing.Entry,
    uses: tuple[cells.Use, ...],
    groups: tuple[jobs.TaskGroup, ...],
    need: dict[ids.WorkerId, jobs.Resources],
    now_ms: int,
) -> list[decisions.Decision] | None:
    short = reclaim.shortfall(domain, need)
    victims = reclaim.choose(domain, short, now_ms)
    if victims is None:
        return None
    for victim in victims:
        domain.placed[victim].evicting = True
    waiting = {
        job
        for worker, wanted in need.items()
        if not resources.covers(domain.pool.free.room(worker), wanted)
        for job in reclaim.stopping(domain, worker)
    }
    domain.claim(entry, groups, now_ms, uses, waiting)
    urgent = entry.spec.urgent
    grace_ms = reclaim.URGENT_GRACE_MS if urgent else reclaim.GRACE_MS
    return [
        decisions.EvictJob(
            job=victim, beneficiary=entry.spec.job, grace_ms=grace_ms
        )
        for victim in victims
    ]


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
