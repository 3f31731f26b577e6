"""Selects the cells of its account that a guaranteed job uses."""

from collections.abc import Collection
from collections.abc import Iterable

from citronmount.core import domain_state
from citronmount.core import guarantee_cell
from citronmount.core import ids
from citronmount.core import job_queue
from citronmount.core import jobs
from citronmount.core import preemption
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import states

__all__ = ["find"]

_MAX_CANDIDATE_SCOPES = 16
_ZERO_COST = (0, 0, 0, 0)


def find(
    domain: domain_state.DomainState,
    entry: job_queue.JobEntry,
    avoid: Collection[ids.WorkerId],
    now_ms: int,
) -> tuple[guarantee_cell.CellUse, ...] | None:
    """Finds cells for a job, moving free cells to avoid costly evictions.

    A free cell moves to the best-ranked free capacity. If there is none, it
    moves to the candidate workers or racks with the lowest eviction cost.

    Args:
        domain: State of the failure domain.
        entry: The job.
        avoid: Workers that must not be used.
        now_ms: Monotonic time.

    Returns:
        The cell uses, or None if the job does not fit into the account's
        cells now.
    """
    plan = domain.plan
    account = entry.spec.account
    free = domain.pool.free
    uses = plan.find_uses(account, entry.shape, free, avoid)
    key = domain.worker_key(entry, now_ms)
    free_cells_used = dict.fromkeys(
        use.cell for use in uses or () if not use.cell.occupied
    )
    for cell in free_cells_used:
        part = _needed_part(cell, entry.shape)
        if part is not None and (
            plan.move_to_free_capacity(cell, part, free, key, avoid)
            or _move_to_least_cost(domain, cell, part, avoid, now_ms)
        ):
            uses = plan.find_uses(account, entry.shape, free, avoid)
    return uses


def _needed_part(
    cell: guarantee_cell.Cell, shape: shapes.Shape
) -> shapes.Shape | None:
    """Returns the shape of the slots of a cell that a gang would use.

    Returns None if a slot holds no task of the gang, unless all slots of the
    cell are on one worker: the gang may then use them together.
    """
    tasks_per_slot = resources.task_capacity(
        cell.shape.per_task, shape.per_task
    )
    if tasks_per_slot:
        tasks = min(-(-shape.tasks // tasks_per_slot), cell.shape.tasks)
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


def _move_to_least_cost(
    domain: domain_state.DomainState,
    cell: guarantee_cell.Cell,
    part: shapes.Shape,
    avoid: Collection[ids.WorkerId],
    now_ms: int,
) -> bool:
    """Moves a free cell to where a job in it evicts the least work.

    Returns:
        Whether the cell was moved.
    """
    current_groups = tuple(
        jobs.TaskGroup(worker=worker, tasks=tasks)
        for worker, tasks in cell.slots.items()
    )
    current_cost = _eviction_cost(domain, current_groups, part.per_task, now_ms)
    if current_cost == _ZERO_COST:
        return False
    candidates = [
        (cost, groups)
        for workers in _candidate_scopes(domain, part)
        if (groups := _fill_workers(domain, workers, part, avoid))
        and (cost := _eviction_cost(domain, groups, part.per_task, now_ms))
        is not None
        and (current_cost is None or cost < current_cost)
    ]
    return any(
        domain.plan.move_onto(cell, groups)
        for _, groups in sorted(candidates, key=lambda candidate: candidate[0])
    )


def _candidate_scopes(
    domain: domain_state.DomainState, part: shapes.Shape
) -> Iterable[list[ids.WorkerId]]:
    free = domain.pool.free
    if part.tasks == 1 or part.adjacency is states.Adjacency.WORKER:
        return (
            [worker] for worker in free.emptiest_workers(_MAX_CANDIDATE_SCOPES)
        )
    if part.adjacency is states.Adjacency.RACK:
        return (
            free.workers_of_rack(rack)
            for rack in free.emptiest_racks(_MAX_CANDIDATE_SCOPES)
        )
    return ()


def _fill_workers(
    domain: domain_state.DomainState,
    workers: Iterable[ids.WorkerId],
    part: shapes.Shape,
    avoid: Collection[ids.WorkerId],
) -> tuple[jobs.TaskGroup, ...]:
    remaining = part.tasks
    groups = []
    for worker in workers:
        available = domain.plan.slots.capacity_outside_occupied(worker)
        tasks = min(
            resources.task_capacity(available, part.per_task), remaining
        )
        if tasks and worker not in avoid:
            groups.append(jobs.TaskGroup(worker=worker, tasks=tasks))
            remaining -= tasks
        if not remaining:
            return tuple(groups)
    return ()


def _eviction_cost(
    domain: domain_state.DomainState,
    groups: tuple[jobs.TaskGroup, ...],
    per_task: jobs.Resources,
    now_ms: int,
) -> tuple | None:
    """Returns the cost of freeing capacity, None if it cannot be freed."""
    need = {
        group.worker: resources.scaled(per_task, group.tasks)
        for group in groups
    }
    shortage = preemption.find_shortage(domain, need)
    victims = preemption.choose_victims(domain, shortage, now_ms)
    return (
        None
        if victims is None
        else preemption.eviction_cost(domain, victims, now_ms)
    )
