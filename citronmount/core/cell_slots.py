"""Records which slots on workers belong to which cell, with undo.

The slots of the cells on a worker never exceed its capacity.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from citronmount.core import guarantee_cell
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import pool
from citronmount.core import resources
from citronmount.core import states

__all__ = ["CellSlots"]

_Slots = dict[ids.WorkerId, int]


class CellSlots:
    """The slots of all cells of one failure domain.

    Changes between `begin` and `commit` or `roll_back` form a transaction;
    transactions may be nested.

    Attributes:
        uncommitted: Capacity of usable workers that belongs to no cell.
        unplanned: The cells without slots, in the order in which they lost
            them.
    """

    def __init__(self) -> None:
        """Initializes without workers and cells."""
        self.uncommitted = pool.CapacityIndex()
        self.unplanned: dict[guarantee_cell.Cell, None] = {}
        self._capacity: dict[ids.WorkerId, jobs.Resources] = {}
        self._committed: dict[ids.WorkerId, jobs.Resources] = {}
        self._occupied_capacity: dict[ids.WorkerId, jobs.Resources] = {}
        self._cells_on: dict[ids.WorkerId, dict[guarantee_cell.Cell, None]] = {}
        self._undo_logs: list[dict[guarantee_cell.Cell, _Slots]] = []

    def begin(self) -> None:
        """Begins a transaction."""
        self._undo_logs.append({})

    def commit(self) -> None:
        """Ends the innermost transaction and keeps its changes."""
        undo_log = self._undo_logs.pop()
        if self._undo_logs:
            for cell, before in undo_log.items():
                self._undo_logs[-1].setdefault(cell, before)

    def roll_back(self) -> None:
        """Ends the innermost transaction and undoes its changes."""
        undo_log = self._undo_logs.pop()
        for cell in undo_log:
            self._clear(cell)
        for cell, slots in undo_log.items():
            if slots:
                self._set(cell, slots)

    def displaced(self) -> list[guarantee_cell.Cell]:
        """Returns the cells that have lost their slots in this transaction."""
        return [
            cell
            for cell, before in self._undo_logs[-1].items()
            if before and not cell.slots
        ]

    def set_worker(
        self, worker: ids.WorkerId, rack: ids.RackId, capacity: jobs.Resources
    ) -> None:
        """Adds a usable worker or updates its rack and capacity.

        The worker's free cells lose their slots if its rack has changed or
        its cells exceed the new capacity.
        """
        moved = (
            worker in self.uncommitted and self.uncommitted.rack(worker) != rack
        )
        self._capacity[worker] = capacity
        self.uncommitted.put(worker, rack, self._uncommitted_on(worker))
        if moved or _has_negative(self._uncommitted_on(worker)):
            self._clear_free_cells_on(worker)

    def drop_worker(self, worker: ids.WorkerId) -> None:
        """Removes a worker that may not get new tasks.

        Its free cells lose their slots; occupied ones keep them until their
        jobs have ended.
        """
        self.uncommitted.drop(worker)
        self._clear_free_cells_on(worker)

    def capacity_outside_occupied(self, worker: ids.WorkerId) -> jobs.Resources:
        """Returns the capacity of a worker minus that of occupied cells."""
        if worker not in self.uncommitted:
            return resources.ZERO
        occupied = self._occupied_capacity.get(worker, resources.ZERO)
        return resources.minus(self._capacity[worker], occupied)

    def set_slots(
        self,
        cell: guarantee_cell.Cell,
        slots: Mapping[ids.WorkerId, int],
    ) -> None:
        """Gives a cell without slots the number of tasks on each worker."""
        self._record_undo(cell)
        self._set(cell, slots)

    def clear_slots(self, cell: guarantee_cell.Cell) -> None:
        """Takes all slots from a cell, which becomes unplanned."""
        self._record_undo(cell)
        self._clear(cell)

    def clear_if_unusable(self, cell: guarantee_cell.Cell) -> None:
        """Takes the slots from a free cell that could not be used any more."""
        scopes = {
            self.scope(worker, cell.shape.adjacency) for worker in cell.slots
        }
        if len(scopes) > 1 or any(
            worker not in self.uncommitted
            or _has_negative(self._uncommitted_on(worker))
            for worker in cell.slots
        ):
            self.clear_slots(cell)

    def mark_occupied(self, cell: guarantee_cell.Cell) -> None:
        """Counts the slots of a cell as occupied."""
        self._add_occupied(cell, 1)

    def mark_free(self, cell: guarantee_cell.Cell) -> None:
        """Counts the slots of a cell as free."""
        self._add_occupied(cell, -1)

    def vacate(
        self, cell: guarantee_cell.Cell, slots: Mapping[ids.WorkerId, int]
    ) -> bool:
        """Takes the slots from other free cells until a cell's slots fit.

        Returns:
            Whether the slots fit.
        """
        for worker, tasks in slots.items():
            need = resources.scaled(cell.shape.per_task, tasks)
            while not resources.covers(
                self.uncommitted.available(worker), need
            ):
                others = [
                    other
                    for other in self._cells_on.get(worker, ())
                    if not other.occupied
                ]
                if not others:
                    return False
                self.clear_slots(
                    min(others, key=lambda other: other.shape.accelerators)
                )
        return True

    def scope(
        self, worker: ids.WorkerId, adjacency: states.Adjacency
    ) -> object:
        """Returns the worker, its rack or None for the failure domain."""
        if adjacency is states.Adjacency.WORKER:
            return worker
        if adjacency is states.Adjacency.RACK:
            return self.uncommitted.rack(worker)
        return None

    def workers_in_scope(
        self, worker: ids.WorkerId, adjacency: states.Adjacency
    ) -> Iterable[ids.WorkerId]:
        """Returns the usable workers in the scope of a worker."""
        if adjacency is states.Adjacency.WORKER:
            return (worker,)
        if adjacency is states.Adjacency.RACK:
            return self.uncommitted.workers_of_rack(
                self.uncommitted.rack(worker)
            )
        return iter(self.uncommitted)

    def _record_undo(self, cell: guarantee_cell.Cell) -> None:
        if self._undo_logs:
            self._undo_logs[-1].setdefault(cell, dict(cell.slots))

    def _clear(self, cell: guarantee_cell.Cell) -> None:
        for worker, tasks in cell.slots.items():
            self._add_committed(
                worker, resources.scaled(cell.shape.per_task, -tasks)
            )
            del self._cells_on[worker][cell]
        cell.slots = {}
        cell.unused = {}
        self.unplanned[cell] = None

    def _set(
        self, cell: guarantee_cell.Cell, slots: Mapping[ids.WorkerId, int]
    ) -> None:
        for worker, tasks in slots.items():
            amount = resources.scaled(cell.shape.per_task, tasks)
            self._add_committed(worker, amount)
            self._cells_on.setdefault(worker, {})[cell] = None
            cell.unused[worker] = amount
        cell.slots = dict(slots)
        self.unplanned.pop(cell, None)

    def _clear_free_cells_on(self, worker: ids.WorkerId) -> None:
        cells = self._cells_on.get(worker, ())
        for cell in [cell for cell in cells if not cell.occupied]:
            self.clear_slots(cell)

    def _add_occupied(self, cell: guarantee_cell.Cell, sign: int) -> None:
        for worker, tasks in cell.slots.items():
            amount = resources.scaled(cell.shape.per_task, sign * tasks)
            occupied = self._occupied_capacity.get(worker, resources.ZERO)
            self._occupied_capacity[worker] = resources.plus(occupied, amount)

    def _add_committed(
        self, worker: ids.WorkerId, amount: jobs.Resources
    ) -> None:
        committed = self._committed.get(worker, resources.ZERO)
        self._committed[worker] = resources.plus(committed, amount)
        self.uncommitted.set_available(worker, self._uncommitted_on(worker))

    def _uncommitted_on(self, worker: ids.WorkerId) -> jobs.Resources:
        committed = self._committed.get(worker, resources.ZERO)
        capacity = self._capacity.get(worker, resources.ZERO)
        return resources.minus(capacity, committed)


def _has_negative(available: jobs.Resources) -> bool:
    return min(available.accelerators, available.cores, available.memory_gb) < 0
