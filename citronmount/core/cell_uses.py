"""Finds the cells whose capacity a job uses at the lowest cost."""

from collections.abc import Collection
from collections.abc import Iterable

import msgspec

from citronmount.core import cell_slots
from citronmount.core import guarantee_cell
from citronmount.core import ids
from citronmount.core import pool
from citronmount.core import resources
from citronmount.core import shapes

__all__ = ["cheapest_uses"]

_RankedUse = tuple[tuple, guarantee_cell.CellUse]


def cheapest_uses(
    cells: Iterable[guarantee_cell.Cell],
    slots: cell_slots.CellSlots,
    shape: shapes.Shape,
    free: pool.CapacityIndex,
    avoid: Collection[ids.WorkerId] = (),
) -> tuple[guarantee_cell.CellUse, ...] | None:
    """Finds capacity for a job in the cells of its account.

    Minimizes, in this order: the number of free cells used, the number of free
    cells of another shape, the unused accelerators of the cells used, and the
    uses that must wait for capacity to be freed.

    Args:
        cells: The cells of the account.
        slots: The slots of all cells on workers.
        shape: Shape of the job's gang.
        free: Capacity that no job uses.
        avoid: Workers that must not be used.

    Returns:
        The cell uses, or None if the job does not fit.
    """
    candidates = _candidate_uses(cells, slots, shape, free, avoid)
    found = []
    for ranked_uses in candidates.values():
        uses = _select_uses(
            sorted(ranked_uses, key=lambda candidate: candidate[0]), shape
        )
        if uses:
            found.append(uses)
    return min(
        found,
        key=lambda uses: _cost_of_uses(uses, shape, free),
        default=None,
    )


def _candidate_uses(
    cells: Iterable[guarantee_cell.Cell],
    slots: cell_slots.CellSlots,
    shape: shapes.Shape,
    free: pool.CapacityIndex,
    avoid: Collection[ids.WorkerId],
) -> dict[object, list[_RankedUse]]:
    """Returns cell uses with their ranks.

    The keys are scopes and (cell, scope) pairs, so that the use of one
    cell alone can be compared with that of several cells in a scope.
    """
    candidates: dict[object, list[_RankedUse]] = {}
    for cell in cells:
        unused_accelerators = cell.unused_accelerators
        for worker, unused in cell.unused.items():
            tasks = resources.task_capacity(unused, shape.per_task)
            if not tasks or worker in avoid or worker not in slots.uncommitted:
                continue
            use = guarantee_cell.CellUse(
                cell=cell,
                worker=worker,
                tasks=min(tasks, shape.tasks),
                per_task=shape.per_task,
            )
            free_tasks = resources.task_capacity(
                free.available(worker), shape.per_task
            )
            rank = (
                not cell.occupied,
                cell.shape != shape,
                unused_accelerators,
                free_tasks < use.tasks,
                unused.accelerators,
                worker,
            )
            scope = slots.scope(worker, shape.adjacency)
            candidates.setdefault(scope, []).append((rank, use))
            candidates.setdefault((cell, scope), []).append((rank, use))
    return candidates


def _select_uses(
    ranked: list[_RankedUse], shape: shapes.Shape
) -> tuple[guarantee_cell.CellUse, ...]:
    uses = []
    remaining = shape.tasks
    for _, use in ranked:
        tasks = min(use.tasks, remaining)
        uses.append(msgspec.structs.replace(use, tasks=tasks))
        remaining -= tasks
        if not remaining:
            return tuple(uses)
    return ()


def _cost_of_uses(
    uses: tuple[guarantee_cell.CellUse, ...],
    shape: shapes.Shape,
    free: pool.CapacityIndex,
) -> tuple:
    not_free = sum(
        resources.task_capacity(free.available(use.worker), use.per_task)
        < use.tasks
        for use in uses
    )
    free_cells_used = len({use.cell for use in uses if not use.cell.occupied})
    used = {use.cell for use in uses}
    other_shapes = sum(
        not cell.occupied and cell.shape != shape for cell in used
    )
    unused = sum(cell.unused_accelerators for cell in used)
    return (free_cells_used, other_shapes, unused, not_free)
