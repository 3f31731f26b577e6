"""Orders in which the slots of cells are planned.

No single order packs every set of cells, so a new plan tries several.
"""

from collections.abc import Iterable

from citronmount.core import guarantee_cell
from citronmount.core import states

__all__ = ["PLANNING_ORDERS", "hardest_first"]


def hardest_first(
    cells: Iterable[guarantee_cell.Cell],
) -> list[guarantee_cell.Cell]:
    """Returns cells in the order in which one pass plans most of them."""
    return sorted(cells, key=_by_scope)


def _by_scope(cell: guarantee_cell.Cell) -> tuple:
    return (
        cell.shape.adjacency is states.Adjacency.FAILURE_DOMAIN,
        -cell.shape.accelerators,
        -cell.shape.per_task.accelerators,
    )


def _by_single_worker_need(cell: guarantee_cell.Cell) -> tuple:
    single_worker = cell.shape.adjacency is states.Adjacency.WORKER
    need = cell.shape.total if single_worker else cell.shape.per_task
    return (-need.accelerators, -cell.shape.accelerators)


def _by_size(cell: guarantee_cell.Cell) -> tuple:
    return (-cell.shape.accelerators, -cell.shape.per_task.accelerators)


PLANNING_ORDERS = (_by_scope, _by_single_worker_need, _by_size)
