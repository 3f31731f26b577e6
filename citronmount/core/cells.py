"""Maintains a plan of where each guaranteed gang can run.

Each copy of a guarantee is a cell: slots on concrete workers, like the virtual
cells of HiveD (Zhao et al., OSDI 2020). Together, the cells on a worker never
exceed its capacity. Guaranteed work runs only in the cells of its own account,
so the capacity of a cell without jobs can be reclaimed at any time by evicting
work that runs outside cells. A cell is occupied while jobs run in it and free
otherwise; free cells may be moved to other workers.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from citronmount.core import cell_orders
from citronmount.core import cell_slots
from citronmount.core import cell_uses
from citronmount.core import guarantee_cell
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import placement
from citronmount.core import pool
from citronmount.core import resources
from citronmount.core import shapes

__all__ = ["CellPlan"]


class CellPlan:
    """The cells of one failure domain and their slots on workers.

    Attributes:
        slots: The slots of the cells, and the capacity outside of them.
    """

    def __init__(self) -> None:
        """Initializes a plan without workers and cells."""
        self.slots = cell_slots.CellSlots()
        self._cells: dict[ids.AccountId, list[guarantee_cell.Cell]] = {}
        self._uses: dict[ids.JobId, tuple[guarantee_cell.CellUse, ...]] = {}

    def cells(self, account: ids.AccountId) -> list[guarantee_cell.Cell]:
        """Returns the cells of an account."""
        return self._cells.get(account, [])

    def all_cells(self) -> list[guarantee_cell.Cell]:
        """Returns the cells of all accounts."""
        return [cell for cells in self._cells.values() for cell in cells]

    def unplanned(self) -> list[guarantee_cell.Cell]:
        """Returns the cells for which no capacity was found."""
        return list(self.slots.unplanned)

    def runs_in_cells(self, job: ids.JobId) -> bool:
        """Returns whether a job runs in cells and is thus not revocable."""
        return job in self._uses

    def set_required(
        self, required: Mapping[tuple[ids.AccountId, shapes.Shape], int]
    ) -> list[ids.JobId]:
        """Adds and deletes cells to match a new configuration.

        Cells with the fewest jobs are deleted first.

        Args:
            required: Required number of cells for each account and shape.

        Returns:
            The jobs whose cell was deleted; they are revocable from now on.
        """
        cells_by_kind: dict[
            tuple[ids.AccountId, shapes.Shape], list[guarantee_cell.Cell]
        ] = {}
        for cell in self.all_cells():
            cells_by_kind.setdefault((cell.account, cell.shape), []).append(
                cell
            )
        unbound: list[ids.JobId] = []
        for kind, cells in cells_by_kind.items():
            excess = len(cells) - required.get(kind, 0)
            cells.sort(key=lambda cell: len(cell.jobs))
            for cell in cells[: max(excess, 0)]:
                unbound.extend(self._delete_cell(cell))
        for (account, shape), copies in required.items():
            missing = copies - len(cells_by_kind.get((account, shape), ()))
            for _ in range(missing):
                cell = guarantee_cell.Cell(account=account, shape=shape)
                self._cells.setdefault(account, []).append(cell)
                self.slots.unplanned[cell] = None
        return unbound

    def plan_cells(self) -> None:
        """Finds slots for unplanned cells, moving free cells if needed."""
        for cell in cell_orders.hardest_first(self.slots.unplanned):
            self._plan_cell(cell)
        if self.slots.unplanned:
            self._replan_all()

    def find_uses(
        self,
        account: ids.AccountId,
        shape: shapes.Shape,
        free: pool.CapacityIndex,
        avoid: Collection[ids.WorkerId] = (),
    ) -> tuple[guarantee_cell.CellUse, ...] | None:
        """Finds capacity for a job in the cells of its account.

        See `cell_uses.cheapest_uses`.
        """
        return cell_uses.cheapest_uses(
            self.cells(account), self.slots, shape, free, avoid
        )

    def bind(
        self, job: ids.JobId, uses: tuple[guarantee_cell.CellUse, ...]
    ) -> None:
        """Binds a job to cells, which become occupied."""
        for use in uses:
            if not use.cell.occupied:
                self.slots.mark_occupied(use.cell)
            use.cell.jobs.add(job)
            need = resources.scaled(use.per_task, use.tasks)
            unused = use.cell.unused[use.worker]
            use.cell.unused[use.worker] = resources.minus(unused, need)
        self._uses[job] = uses

    def unbind(self, job: ids.JobId) -> None:
        """Unbinds a job from its cells, if it runs in any.

        A cell that becomes free loses its slots if they are no longer usable.
        """
        uses = self._uses.pop(job, ())
        for use in uses:
            need = resources.scaled(use.per_task, use.tasks)
            unused = use.cell.unused[use.worker]
            use.cell.unused[use.worker] = resources.plus(unused, need)
        for cell in dict.fromkeys(use.cell for use in uses):
            cell.jobs.discard(job)
            if not cell.occupied:
                self.slots.mark_free(cell)
                self.slots.clear_if_unusable(cell)

    def uses(self, job: ids.JobId) -> tuple[guarantee_cell.CellUse, ...]:
        """Returns the cell uses of a job, empty if it runs in no cell."""
        return self._uses.get(job, ())

    def move(
        self, cell: guarantee_cell.Cell, slots: Mapping[ids.WorkerId, int]
    ) -> bool:
        """Moves a free cell, displacing other free cells if needed.

        Args:
            cell: The free cell.
            slots: Its new slots: number of tasks on each worker.

        Returns:
            Whether the cell was moved and all displaced cells found new
            slots; if not, every cell is left as it was.
        """
        self.slots.begin()
        self.slots.clear_slots(cell)
        if self.slots.vacate(
            cell, slots
        ) and self._set_slots_and_replan_displaced(cell, slots):
            self.slots.commit()
            return True
        self.slots.roll_back()
        return False

    def cover_placed(
        self,
        account: ids.AccountId,
        shape: shapes.Shape,
        groups: tuple[jobs.TaskGroup, ...],
        max_free_cell_accelerators: int | None = None,
    ) -> tuple[guarantee_cell.CellUse, ...] | None:
        """Moves cells of an account onto the workers of a placed gang.

        Args:
            account: The account.
            shape: Shape of the gang.
            groups: Placement of the gang.
            max_free_cell_accelerators: Largest free cell that may be used;
                None for no limit.

        Returns:
            The cell uses to bind, or None if the cells cannot cover the gang;
            every cell is then left as it was.
        """
        self.slots.begin()
        uses = self._cover_placed(
            account, shape, groups, max_free_cell_accelerators
        )
        if uses is None:
            self.slots.roll_back()
        else:
            self.slots.commit()
        return uses

    def could_fit(
        self,
        account: ids.AccountId,
        shape: shapes.Shape,
        remaining_jobs: Collection[ids.JobId] = (),
    ) -> bool:
        """Returns whether a job would fit into its account's cells.

        Args:
            account: The account.
            shape: Shape of the job's gang.
            remaining_jobs: Jobs that keep their slots; all others count as
                ended.
        """
        used_by_remaining: dict[
            tuple[guarantee_cell.Cell, ids.WorkerId], jobs.Resources
        ] = {}
        for job in remaining_jobs:
            for use in self._uses.get(job, ()):
                location = (use.cell, use.worker)
                need = resources.scaled(use.per_task, use.tasks)
                used_by_remaining[location] = resources.plus(
                    used_by_remaining.get(location, resources.ZERO), need
                )
        tasks_by_scope: dict[object, int] = {}
        for cell in self.cells(account):
            for worker, slots in cell.slots.items():
                unused = resources.minus(
                    resources.scaled(cell.shape.per_task, slots),
                    used_by_remaining.get((cell, worker), resources.ZERO),
                )
                scope = self.slots.scope(worker, shape.adjacency)
                tasks = resources.task_capacity(unused, shape.per_task)
                tasks_by_scope[scope] = tasks_by_scope.get(scope, 0) + tasks
        return any(tasks >= shape.tasks for tasks in tasks_by_scope.values())

    def move_to_free_capacity(
        self,
        cell: guarantee_cell.Cell,
        shape: shapes.Shape,
        free: pool.CapacityIndex,
        key: placement.WorkerKey,
        avoid: Collection[ids.WorkerId] = (),
    ) -> bool:
        """Moves a free cell to where a job in it needs no eviction.

        Args:
            cell: The free cell.
            shape: Part of the cell's gang that needs free capacity now.
            free: Capacity that no job uses.
            key: Sort key of workers.
            avoid: Workers that must not be used.

        Returns:
            Whether the cell was moved.
        """
        groups = placement.find(
            free,
            shape,
            key=key,
            limit=self.slots.capacity_outside_occupied,
            avoid=avoid,
        )
        if groups is None or all(
            cell.slots.get(group.worker, 0) >= group.tasks for group in groups
        ):
            return False
        return self.move_onto(cell, groups)

    def move_onto(
        self, cell: guarantee_cell.Cell, groups: tuple[jobs.TaskGroup, ...]
    ) -> bool:
        """Moves a free cell so that it has slots on the given workers.

        Args:
            cell: The free cell.
            groups: Slots required on each worker; the cell's other slots go
                to workers of the same scope.

        Returns:
            Whether the cell was moved; if not, every cell is left as it was.
        """
        slots = self._complete_slots(cell, groups)
        return slots is not None and self.move(cell, slots)

    def _cover_placed(
        self,
        account: ids.AccountId,
        shape: shapes.Shape,
        groups: tuple[jobs.TaskGroup, ...],
        max_free_cell_accelerators: int | None,
    ) -> tuple[guarantee_cell.CellUse, ...] | None:
        uses: list[guarantee_cell.CellUse] = []
        usable = [
            cell
            for cell in self.cells(account)
            if max_free_cell_accelerators is None
            or cell.occupied
            or cell.shape.accelerators <= max_free_cell_accelerators
        ]
        remaining = {group.worker: group.tasks for group in groups}
        chosen: set[guarantee_cell.Cell] = set()
        while True:
            self._use_unused(usable, shape, remaining, chosen, uses)
            if not remaining:
                return tuple(uses)
            if any(
                worker not in self.slots.uncommitted for worker in remaining
            ):
                return None
            if not self._move_free_cell(usable, shape, remaining, chosen):
                return None

    def _use_unused(
        self,
        cells: list[guarantee_cell.Cell],
        shape: shapes.Shape,
        remaining: dict[ids.WorkerId, int],
        chosen: set[guarantee_cell.Cell],
        uses: list[guarantee_cell.CellUse],
    ) -> None:
        """Assigns tasks in `remaining` to unused capacity of cells.

        Moves the tasks from `remaining` to `uses` and adds the cells to
        `chosen`.
        """
        seen = {(use.cell, use.worker) for use in uses}
        for cell in cells:
            for worker in [w for w in remaining if w in cell.unused]:
                if (cell, worker) in seen:
                    continue
                unused = cell.unused[worker]
                max_tasks = resources.task_capacity(unused, shape.per_task)
                tasks = min(remaining[worker], max_tasks)
                if not tasks:
                    continue
                chosen.add(cell)
                uses.append(
                    guarantee_cell.CellUse(
                        cell=cell,
                        worker=worker,
                        tasks=tasks,
                        per_task=shape.per_task,
                    )
                )
                remaining[worker] -= tasks
                if not remaining[worker]:
                    del remaining[worker]

    def _move_free_cell(
        self,
        cells: list[guarantee_cell.Cell],
        shape: shapes.Shape,
        remaining: dict[ids.WorkerId, int],
        chosen: set[guarantee_cell.Cell],
    ) -> bool:
        tried: set[shapes.Shape] = set()
        for cell in cells:
            if cell.occupied or cell in chosen or cell.shape in tried:
                continue
            tried.add(cell.shape)
            groups = self._slots_for(cell, shape, remaining)
            slots = self._complete_slots(cell, groups) if groups else None
            if slots is not None and self._move_keeping(cell, slots, chosen):
                return True
        return False

    def _move_keeping(
        self,
        cell: guarantee_cell.Cell,
        slots: Mapping[ids.WorkerId, int],
        chosen: set[guarantee_cell.Cell],
    ) -> bool:
        """Moves a free cell without displacing the cells in `chosen`.

        The free ones among them are marked as occupied during the move.
        """
        pinned = [other for other in chosen if not other.occupied]
        for other in pinned:
            other.jobs.add(_PIN_JOB)
        try:
            return self.move(cell, slots)
        finally:
            for other in pinned:
                other.jobs.discard(_PIN_JOB)

    def _slots_for(
        self,
        cell: guarantee_cell.Cell,
        shape: shapes.Shape,
        remaining: Mapping[ids.WorkerId, int],
    ) -> tuple[jobs.TaskGroup, ...]:
        """Returns slots of a cell for tasks that remain, in one scope.

        They may hold only part of the tasks, and may be fewer than the cell
        has.
        """
        tasks_per_slot = resources.task_capacity(
            cell.shape.per_task, shape.per_task
        )
        if not tasks_per_slot:
            return ()
        groups = []
        unassigned = cell.shape.tasks
        scope: object = None
        for worker, tasks in remaining.items():
            worker_scope = self.slots.scope(worker, cell.shape.adjacency)
            if groups and worker_scope != scope:
                continue
            slots = min(-(-tasks // tasks_per_slot), unassigned)
            if slots:
                scope = worker_scope
                groups.append(jobs.TaskGroup(worker=worker, tasks=slots))
                unassigned -= slots
        return tuple(groups)

    def _complete_slots(
        self, cell: guarantee_cell.Cell, groups: Iterable[jobs.TaskGroup]
    ) -> dict[ids.WorkerId, int] | None:
        """Returns slots for all tasks of a cell, those in `groups` included.

        Returns None if the capacity outside occupied cells is too small.
        """
        slots = {group.worker: group.tasks for group in groups}
        remaining = cell.shape.tasks - sum(slots.values())
        per_task = cell.shape.per_task
        if any(
            resources.task_capacity(
                self.slots.capacity_outside_occupied(worker), per_task
            )
            < tasks
            for worker, tasks in slots.items()
        ):
            return None
        if not remaining:
            return slots
        for worker in self.slots.workers_in_scope(
            next(iter(slots)), cell.shape.adjacency
        ):
            available = self.slots.capacity_outside_occupied(worker)
            used = slots.get(worker, 0)
            extra = min(
                resources.task_capacity(available, per_task) - used, remaining
            )
            if extra > 0:
                slots[worker] = used + extra
                remaining -= extra
            if not remaining:
                return slots
        return None

    def _set_slots_and_replan_displaced(
        self, cell: guarantee_cell.Cell, slots: Mapping[ids.WorkerId, int]
    ) -> bool:
        self.slots.set_slots(cell, slots)
        displaced = cell_orders.hardest_first(self.slots.displaced())
        return all(self._plan_cell(other) for other in displaced)

    def _plan_cell(self, cell: guarantee_cell.Cell) -> bool:
        groups = placement.find(
            self.slots.uncommitted, cell.shape, key=placement.best_fit
        )
        if groups is None:
            return False
        self.slots.set_slots(
            cell, {group.worker: group.tasks for group in groups}
        )
        return True

    def _replan_all(self) -> None:
        """Replans all free cells in several orders.

        Keeps a result only if it leaves fewer cells unplanned, and stops when
        none is left.
        """
        unplanned_count = len(self.slots.unplanned)
        free = [cell for cell in self.all_cells() if not cell.occupied]
        for sort_key in cell_orders.PLANNING_ORDERS:
            self.slots.begin()
            for cell in free:
                self.slots.clear_slots(cell)
            for cell in sorted(free, key=sort_key):
                self._plan_cell(cell)
            if len(self.slots.unplanned) < unplanned_count:
                self.slots.commit()
                unplanned_count = len(self.slots.unplanned)
            else:
                self.slots.roll_back()
            if not unplanned_count:
                return

    def _delete_cell(self, cell: guarantee_cell.Cell) -> list[ids.JobId]:
        unbound = list(cell.jobs)
        for job in unbound:
            self.unbind(job)
        self.slots.clear_slots(cell)
        del self.slots.unplanned[cell]
        self._cells[cell.account].remove(cell)
        return unbound


# Marks a free cell as occupied while another one moves.
_PIN_JOB = ids.JobId("")
