"""Chooses where a guaranteed job uses its account's cells."""

from collections.abc import Collection
from collections.abc import Iterable

from citronmount.core import cells
from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import preemption
from citronmount.core import queueing
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import states

__all__ = ["find"]

_SITES = 16
_NO_HARM = (0, 0, 0, 0)


def find(
    domain: domain_state.DomainState,
    entry: queueing.Entry,
    avoid: Collection[ids.WorkerId],
    now_ms: int,
) -> tuple[cells.Use, ...] | None:
    """Finds uses of cells, moving free cells to where they harm least.

    A free cell moves to the best room that is free at once; where there is
    none, to the least harmful of some sites by what would be evicted.

    Args:
        domain: The failure domain.
        entry: The job.
        avoid: Workers that must not be used.
        now_ms: Monotonic time.

    Returns:
        The uses, or None if the account's cells cannot hold the job now.
    """
    plan = domain.plan
    account = entry.spec.account
    free = domain.pool.free
    uses = plan.fit(account, entry.shape, free, avoid)
    key = domain.key(entry, now_ms)
    opened = dict.fromkeys(u.cell for u in uses or () if not u.cell.held)
    for cell in opened:
        part = _part(cell, entry.shape)
        if part is not None and (
            plan.relocate(cell, part, free, key, avoid)
            or _move_to_least_harm(domain, cell, part, avoid, now_ms)
        ):
            uses = plan.fit(account, entry.shape, free, avoid)
    return uses


def _part(cell: cells.Cell, shape: shapes.Shape) -> shapes.Shape | None:
    """Returns the slots of a cell that a gang would use."""
    each = resources.count(cell.shape.per_task, shape.per_task)
    if each:
        tasks = min(-(-shape.tasks // each), cell.shape.tasks)
    elif cell.shape.adjacency is states.Adjacency.WORKER:
        tasks = cell.shape.tasks
    else:
        return None
    adjacency = cell.shape.adjacency
    if shape.adjacency is states.Adjacency.WORKER:
        adjacency = shape.adjacency
    return shapes.Shape(
        tasks=tasks, per_task=cell.shape.per_task, adjacency=adjacency
    )


def _move_to_least_harm(
    domain: domain_state.DomainState,
    cell: cells.Cell,
    part: shapes.Shape,
    avoid: Collection[ids.WorkerId],
    now_ms: int,
) -> bool:
    here = tuple(
        jobs.TaskGroup(worker=worker, tasks=tasks)
        for worker, tasks in cell.slots.items()
    )
    present = _harm(domain, here, part.per_task, now_ms)
    if present == _NO_HARM:
        return False
    sites = [
        (harm, groups)
        for workers in _enclosures(domain, part)
        if (groups := _fill(domain, workers, part, avoid))
        and (harm := _harm(domain, groups, part.per_task, now_ms)) is not None
        and (present is None or harm < present)
    ]
    return any(
        domain.plan.move_onto(cell, groups)
        for _, groups in sorted(sites, key=lambda site: site[0])
    )


def _enclosures(
    domain: domain_state.DomainState, part: shapes.Shape
) -> Iterable[list[ids.WorkerId]]:
    free = domain.pool.free
    if part.tasks == 1 or part.adjacency is states.Adjacency.WORKER:
        return ([worker] for worker in free.emptiest_workers(_SITES))
    if part.adjacency is states.Adjacency.RACK:
        return (free.members(rack) for rack in free.emptiest_racks(_SITES))
    return ()


def _fill(
    domain: domain_state.DomainState,
    workers: Iterable[ids.WorkerId],
    part: shapes.Shape,
    avoid: Collection[ids.WorkerId],
) -> tuple[jobs.TaskGroup, ...]:
    left = part.tasks
    groups = []
    for worker in workers:
        room = domain.plan.room_beside_held(worker)
        tasks = min(resources.count(room, part.per_task), left)
        if tasks and worker not in avoid:
            groups.append(jobs.TaskGroup(worker=worker, tasks=tasks))
            left -= tasks
        if not left:
            return tuple(groups)
    return ()


def _harm(
    domain: domain_state.DomainState,
    groups: tuple[jobs.TaskGroup, ...],
    per_task: jobs.Resources,
    now_ms: int,
) -> tuple | None:
    need = {
        group.worker: resources.scaled(per_task, group.tasks)
        for group in groups
    }
    short = preemption.shortfall(domain, need)
    victims = preemption.choose(domain, short, now_ms)
    return None if victims is None else preemption.cost(domain, victims, now_ms)
