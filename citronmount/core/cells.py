"""A standing plan of where every guaranteed gang could run.

Each copy of a guarantee is a cell: slots on concrete workers, as the virtual
cells of HiveD (Zhao et al., OSDI 2020). All cells together never exceed the
capacity of a worker. Guaranteed work runs inside cells of its own account
only, so a cell without jobs can be handed over at any time by evicting work
that runs in no cell. Cells without jobs may be moved.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import placement
from citronmount.core import pool
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import states

__all__ = ["Cell", "CellPlan", "Use"]


class Cell:
    """One copy of a guarantee.

    Attributes:
        account: The paying account.
        shape: The guaranteed gang.
        slots: Tasks of the gang planned on each worker; empty if no room
            could be found.
        rest: Room on each worker that no job of the cell uses.
        jobs: The jobs that run in the cell.
    """

    __slots__ = ("account", "jobs", "rest", "shape", "slots")

    def __init__(self, *, account: ids.AccountId, shape: shapes.Shape) -> None:
        """Initializes a cell that has no place yet."""
        self.account = account
        self.shape = shape
        self.slots: dict[ids.WorkerId, int] = {}
        self.rest: dict[ids.WorkerId, jobs.Resources] = {}
        self.jobs: set[ids.JobId] = set()

    @property
    def held(self) -> bool:
        """Whether jobs run in the cell, so that it cannot move."""
        return bool(self.jobs)

    @property
    def spare_accelerators(self) -> int:
        """Accelerators that no job of the cell uses."""
        return sum(rest.accelerators for rest in self.rest.values())


class Use(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks of a job in one cell on one worker.

    Attributes:
        cell: The cell.
        worker: The worker.
        tasks: How many tasks of the job.
        per_task: Resources of each.
    """

    cell: Cell
    worker: ids.WorkerId
    tasks: int
    per_task: jobs.Resources


class CellPlan:
    """The cells of one failure domain and where they are.

    Attributes:
        room: Capacity of usable workers that no cell has.
    """

    def __init__(self) -> None:
        """Initializes a plan without workers and cells."""
        self.room = pool.RoomIndex()
        self._capacity: dict[ids.WorkerId, jobs.Resources] = {}
        self._committed: dict[ids.WorkerId, jobs.Resources] = {}
        self._held: dict[ids.WorkerId, jobs.Resources] = {}
        self._on: dict[ids.WorkerId, dict[Cell, None]] = {}
        self._cells: dict[ids.AccountId, list[Cell]] = {}
        self._uses: dict[ids.JobId, tuple[Use, ...]] = {}
        self._journal: dict[Cell, dict[ids.WorkerId, int]] | None = None
        self._unplanned: dict[Cell, None] = {}

    def cells(self, account: ids.AccountId) -> list[Cell]:
        """Returns the cells of an account."""
        return self._cells.get(account, [])

    def all_cells(self) -> list[Cell]:
        """Returns every cell."""
        return [cell for cells in self._cells.values() for cell in cells]

    def unplanned(self) -> list[Cell]:
        """Returns the cells for which no room was found."""
        return list(self._unplanned)

    def holds(self, job: ids.JobId) -> bool:
        """Returns whether a job runs in cells and so is not revocable."""
        return job in self._uses

    def room_beside_held(self, worker: ids.WorkerId) -> jobs.Resources:
        """Returns the capacity of a worker less cells in which jobs run."""
        if worker not in self.room:
            return resources.ZERO
        held = self._held.get(worker, resources.ZERO)
        return resources.minus(self._capacity[worker], held)

    def set_worker(
        self,
        worker: ids.WorkerId,
        rack: ids.RackId,
        capacity: jobs.Resources,
    ) -> None:
        """Adds a usable worker, or changes its rack or capacity."""
        moved = worker in self.room and self.room.rack(worker) != rack
        self._capacity[worker] = capacity
        self.room.put(worker, rack, self._room(worker))
        if moved or _negative(self._room(worker)):
            self._lift_free(self._on.get(worker, ()))

    def drop_worker(self, worker: ids.WorkerId) -> None:
        """Removes a worker that may get no new tasks."""
        self.room.drop(worker)
        self._lift_free(self._on.get(worker, ()))

    def require(
        self, wanted: Mapping[tuple[ids.AccountId, shapes.Shape], int]
    ) -> list[ids.JobId]:
        """Changes the number of cells to that of a new configuration.

        Args:
            wanted: Cells wanted for each account and shape.

        Returns:
            Jobs that lost their cell and are revocable now.
        """
        present: dict[tuple[ids.AccountId, shapes.Shape], list[Cell]] = {}
        for cell in self.all_cells():
            present.setdefault((cell.account, cell.shape), []).append(cell)
        loose: list[ids.JobId] = []
        for kind, cells in present.items():
            excess = len(cells) - wanted.get(kind, 0)
            cells.sort(key=lambda cell: len(cell.jobs))
            for cell in cells[: max(excess, 0)]:
                loose.extend(self._delete(cell))
        for (account, shape), copies in wanted.items():
            missing = copies - len(present.get((account, shape), ()))
            for _ in range(missing):
                cell = Cell(account=account, shape=shape)
                self._cells.setdefault(account, []).append(cell)
                self._unplanned[cell] = None
        return loose

    def secure(self) -> None:
        """Finds room for cells that have none, moving free ones if needed."""
        for cell in _largest_first(self._unplanned):
            self._plan(cell)
        if self._unplanned:
            self._plan_anew()

    def fit(
        self,
        account: ids.AccountId,
        shape: shapes.Shape,
        free: pool.RoomIndex,
        avoid: Collection[ids.WorkerId] = (),
    ) -> tuple[Use, ...] | None:
        """Finds room for a job in the cells of its account.

        The fewest cells without jobs are opened, then cells of the gang's own
        shape, then the least spare room is touched, then room that is free at
        once is preferred.

        Args:
            account: The account.
            shape: The gang.
            free: Room that no job uses.
            avoid: Workers that must not be used.

        Returns:
            The uses, or None if the job does not fit.
        """
        options = self._options(account, shape, free, avoid)
        found = []
        for scope in options.values():
            uses = _fill(sorted(scope, key=lambda o: o[0]), shape)
            if uses:
                found.append(uses)
        return min(
            found, key=lambda uses: _cost(uses, shape, free), default=None
        )

    def bind(self, job: ids.JobId, uses: tuple[Use, ...]) -> None:
        """Lets a job run in cells."""
        for use in uses:
            if not use.cell.held:
                self._hold(use.cell, 1)
            use.cell.jobs.add(job)
            need = resources.scaled(use.per_task, use.tasks)
            rest = use.cell.rest[use.worker]
            use.cell.rest[use.worker] = resources.minus(rest, need)
        self._uses[job] = uses

    def release(self, job: ids.JobId) -> None:
        """Takes a job out of its cells, if it runs in any."""
        uses = self._uses.pop(job, ())
        for use in uses:
            need = resources.scaled(use.per_task, use.tasks)
            rest = use.cell.rest[use.worker]
            use.cell.rest[use.worker] = resources.plus(rest, need)
        for cell in dict.fromkeys(use.cell for use in uses):
            cell.jobs.discard(job)
            if not cell.held:
                self._hold(cell, -1)
                self._lift_if_unusable(cell)

    def uses(self, job: ids.JobId) -> tuple[Use, ...]:
        """Returns the cells that a job uses."""
        return self._uses.get(job, ())

    def move(self, cell: Cell, slots: Mapping[ids.WorkerId, int]) -> bool:
        """Moves a cell without jobs, and others out of its way.

        Args:
            cell: The cell.
            slots: Where its tasks shall be planned.

        Returns:
            Whether all cells have room; otherwise nothing has changed.
        """
        outer = self._journal
        self._journal = {}
        self._lift(cell)
        if self._clear(cell, slots) and self._settle(cell, slots):
            journal, self._journal = self._journal, outer
            if outer is not None:
                for moved, before in journal.items():
                    outer.setdefault(moved, before)
            return True
        self._roll_back(self._journal)
        self._journal = outer
        return False

    def cover(
        self,
        account: ids.AccountId,
        shape: shapes.Shape,
        groups: tuple[jobs.TaskGroup, ...],
        widest: int | None = None,
    ) -> tuple[Use, ...] | None:
        """Puts cells of an account under a gang that already has its place.

        Args:
            account: The account.
            shape: The gang.
            groups: Where it runs.
            widest: The most accelerators of a cell to be opened, or None.

        Returns:
            The uses to bind, or None, in which case nothing has changed.
        """
        self._journal = {}
        uses = self._cover(account, shape, groups, widest)
        if uses is None:
            self._roll_back(self._journal)
        self._journal = None
        return uses

    def could_hold(
        self,
        account: ids.AccountId,
        shape: shapes.Shape,
        staying: Collection[ids.JobId] = (),
    ) -> bool:
        """Returns whether a job would fit into its account's cells.

        Args:
            account: The account.
            shape: The gang.
            staying: Jobs that keep their room; all others count as ended.
        """
        kept: dict[tuple[Cell, ids.WorkerId], jobs.Resources] = {}
        for job in staying:
            for use in self._uses.get(job, ()):
                place = (use.cell, use.worker)
                need = resources.scaled(use.per_task, use.tasks)
                kept[place] = resources.plus(
                    kept.get(place, resources.ZERO), need
                )
        fits: dict[object, int] = {}
        for cell in self.cells(account):
            for worker, slots in cell.slots.items():
                rest = resources.minus(
                    resources.scaled(cell.shape.per_task, slots),
                    kept.get((cell, worker), resources.ZERO),
                )
                scope = self._scope(worker, shape.adjacency)
                tasks = resources.task_capacity(rest, shape.per_task)
                fits[scope] = fits.get(scope, 0) + tasks
        return any(tasks >= shape.tasks for tasks in fits.values())

    def relocate(
        self,
        cell: Cell,
        shape: shapes.Shape,
        free: pool.RoomIndex,
        key: placement.Key,
        avoid: Collection[ids.WorkerId] = (),
    ) -> bool:
        """Moves a cell to where a job in it needs no eviction.

        Args:
            cell: A cell without jobs.
            shape: The part of the cell's gang that must be free at once.
            free: Room that no job uses.
            key: Ranks workers.
            avoid: Workers that must not be used.

        Returns:
            Whether the cell was moved.
        """
        groups = placement.find(
            free,
            shape,
            key=key,
            limit=self.room_beside_held,
            avoid=avoid,
        )
        if groups is None or all(
            cell.slots.get(group.worker, 0) >= group.tasks for group in groups
        ):
            return False
        return self.move_onto(cell, groups)

    def move_onto(self, cell: Cell, groups: tuple[jobs.TaskGroup, ...]) -> bool:
        """Moves a cell so that some of its tasks are where they are wanted.

        Args:
            cell: A cell without jobs.
            groups: Tasks of the cell's gang and where they shall be.

        Returns:
            Whether the cell was moved; otherwise nothing has changed.
        """
        slots = self._complete(cell, groups)
        return slots is not None and self.move(cell, slots)

    def _options(
        self,
        account: ids.AccountId,
        shape: shapes.Shape,
        free: pool.RoomIndex,
        avoid: Collection[ids.WorkerId],
    ) -> dict[object, list[tuple[tuple, Use]]]:
        options: dict[object, list[tuple[tuple, Use]]] = {}
        for cell in self.cells(account):
            spare = cell.spare_accelerators
            for worker, rest in cell.rest.items():
                tasks = resources.task_capacity(rest, shape.per_task)
                if not tasks or worker in avoid or worker not in self.room:
                    continue
                use = Use(
                    cell=cell,
                    worker=worker,
                    tasks=min(tasks, shape.tasks),
                    per_task=shape.per_task,
                )
                at_once = resources.task_capacity(
                    free.room(worker), shape.per_task
                )
                rank = (
                    not cell.held,
                    cell.shape != shape,
                    spare,
                    at_once < use.tasks,
                    rest.accelerators,
                    worker,
                )
                scope = self._scope(worker, shape.adjacency)
                options.setdefault(scope, []).append((rank, use))
                options.setdefault((cell, scope), []).append((rank, use))
        return options

    def _scope(
        self, worker: ids.WorkerId, adjacency: states.Adjacency
    ) -> object:
        if adjacency is states.Adjacency.WORKER:
            return worker
        if adjacency is states.Adjacency.RACK:
            return self.room.rack(worker)
        return None

    def _cover(
        self,
        account: ids.AccountId,
        shape: shapes.Shape,
        groups: tuple[jobs.TaskGroup, ...],
        widest: int | None,
    ) -> tuple[Use, ...] | None:
        uses: list[Use] = []
        open_to = [
            cell
            for cell in self.cells(account)
            if widest is None or cell.held or cell.shape.accelerators <= widest
        ]
        left = {group.worker: group.tasks for group in groups}
        taken: set[Cell] = set()
        while True:
            self._use_rest(open_to, shape, left, taken, uses)
            if not left:
                return tuple(uses)
            if any(worker not in self.room for worker in left):
                return None
            if not self._bring_cell(open_to, shape, left, taken):
                return None

    def _use_rest(
        self,
        cells: list[Cell],
        shape: shapes.Shape,
        left: dict[ids.WorkerId, int],
        taken: set[Cell],
        uses: list[Use],
    ) -> None:
        seen = {(use.cell, use.worker) for use in uses}
        for cell in cells:
            for worker in [w for w in left if w in cell.rest]:
                if (cell, worker) in seen:
                    continue
                rest = cell.rest[worker]
                fits = resources.task_capacity(rest, shape.per_task)
                tasks = min(left[worker], fits)
                if not tasks:
                    continue
                taken.add(cell)
                uses.append(
                    Use(
                        cell=cell,
                        worker=worker,
                        tasks=tasks,
                        per_task=shape.per_task,
                    )
                )
                left[worker] -= tasks
                if not left[worker]:
                    del left[worker]

    def _bring_cell(
        self,
        cells: list[Cell],
        shape: shapes.Shape,
        left: dict[ids.WorkerId, int],
        taken: set[Cell],
    ) -> bool:
        tried: set[shapes.Shape] = set()
        for cell in cells:
            if cell.held or cell in taken or cell.shape in tried:
                continue
            tried.add(cell.shape)
            groups = self._slots_under(cell, shape, left)
            slots = self._complete(cell, groups) if groups else None
            if slots is not None and self._move_past(cell, slots, taken):
                return True
        return False

    def _move_past(
        self,
        cell: Cell,
        slots: Mapping[ids.WorkerId, int],
        taken: set[Cell],
    ) -> bool:
        """Moves a cell while those in `taken` stay where they are."""
        pinned = [other for other in taken if not other.held]
        for other in pinned:
            other.jobs.add(_PIN)
        try:
            return self.move(cell, slots)
        finally:
            for other in pinned:
                other.jobs.discard(_PIN)

    def _slots_under(
        self,
        cell: Cell,
        shape: shapes.Shape,
        left: Mapping[ids.WorkerId, int],
    ) -> tuple[jobs.TaskGroup, ...]:
        each = resources.task_capacity(cell.shape.per_task, shape.per_task)
        if not each:
            return ()
        groups = []
        spare = cell.shape.tasks
        scope: object = None
        for worker, tasks in left.items():
            here = self._scope(worker, cell.shape.adjacency)
            if groups and here != scope:
                continue
            slots = min(-(-tasks // each), spare)
            if slots:
                scope = here
                groups.append(jobs.TaskGroup(worker=worker, tasks=slots))
                spare -= slots
        return tuple(groups)

    def _complete(
        self, cell: Cell, groups: Iterable[jobs.TaskGroup]
    ) -> dict[ids.WorkerId, int] | None:
        """Adds places for those tasks of a cell that `groups` leaves out."""
        slots = {group.worker: group.tasks for group in groups}
        left = cell.shape.tasks - sum(slots.values())
        per_task = cell.shape.per_task
        if any(
            resources.task_capacity(self.room_beside_held(worker), per_task)
            < tasks
            for worker, tasks in slots.items()
        ):
            return None
        if not left:
            return slots
        for worker in self._near(next(iter(slots)), cell.shape.adjacency):
            room = self.room_beside_held(worker)
            used = slots.get(worker, 0)
            more = min(resources.task_capacity(room, per_task) - used, left)
            if more > 0:
                slots[worker] = used + more
                left -= more
            if not left:
                return slots
        return None

    def _near(
        self, worker: ids.WorkerId, adjacency: states.Adjacency
    ) -> Iterable[ids.WorkerId]:
        if adjacency is states.Adjacency.WORKER:
            return (worker,)
        if adjacency is states.Adjacency.RACK:
            return self.room.members(self.room.rack(worker))
        return iter(self.room)

    def _clear(self, cell: Cell, slots: Mapping[ids.WorkerId, int]) -> bool:
        for worker, tasks in slots.items():
            need = resources.scaled(cell.shape.per_task, tasks)
            while not resources.covers(self.room.room(worker), need):
                others = [c for c in self._on.get(worker, ()) if not c.held]
                if not others:
                    return False
                self._lift(min(others, key=lambda c: c.shape.accelerators))
        return True

    def _settle(self, cell: Cell, slots: Mapping[ids.WorkerId, int]) -> bool:
        self._lay(cell, slots)
        displaced = [
            other
            for other, before in self._journal.items()
            if before and not other.slots
        ]
        return all(self._plan(other) for other in _largest_first(displaced))

    def _plan(self, cell: Cell) -> bool:
        groups = placement.find(self.room, cell.shape, key=placement.best_fit)
        if groups is None:
            return False
        self._lay(cell, {group.worker: group.tasks for group in groups})
        return True

    def _plan_anew(self) -> None:
        lacking = len(self._unplanned)
        free = [cell for cell in self.all_cells() if not cell.held]
        for order in _ORDERS:
            self._journal = {}
            for cell in free:
                self._lift(cell)
            for cell in sorted(free, key=order):
                self._plan(cell)
            if len(self._unplanned) < lacking:
                self._journal = None
                lacking = len(self._unplanned)
            else:
                self._roll_back(self._journal)
                self._journal = None
            if not lacking:
                return

    def _roll_back(self, journal: dict[Cell, dict[ids.WorkerId, int]]) -> None:
        self._journal = None
        for cell in journal:
            self._lift(cell)
        for cell, slots in journal.items():
            if slots:
                self._lay(cell, slots)

    def _note(self, cell: Cell) -> None:
        if self._journal is not None:
            self._journal.setdefault(cell, dict(cell.slots))

    def _lift(self, cell: Cell) -> None:
        self._note(cell)
        for worker, tasks in cell.slots.items():
            self._commit(worker, resources.scaled(cell.shape.per_task, -tasks))
            del self._on[worker][cell]
        cell.slots = {}
        cell.rest = {}
        self._unplanned[cell] = None

    def _lay(self, cell: Cell, slots: Mapping[ids.WorkerId, int]) -> None:
        self._note(cell)
        for worker, tasks in slots.items():
            amount = resources.scaled(cell.shape.per_task, tasks)
            self._commit(worker, amount)
            self._on.setdefault(worker, {})[cell] = None
            cell.rest[worker] = amount
        cell.slots = dict(slots)
        self._unplanned.pop(cell, None)

    def _lift_free(self, cells: Iterable[Cell]) -> None:
        for cell in [cell for cell in cells if not cell.held]:
            self._lift(cell)

    def _lift_if_unusable(self, cell: Cell) -> None:
        scopes = {
            self._scope(worker, cell.shape.adjacency) for worker in cell.slots
        }
        if len(scopes) > 1 or any(
            worker not in self.room or _negative(self._room(worker))
            for worker in cell.slots
        ):
            self._lift(cell)

    def _delete(self, cell: Cell) -> list[ids.JobId]:
        loose = list(cell.jobs)
        for job in loose:
            self.release(job)
        self._lift(cell)
        del self._unplanned[cell]
        self._cells[cell.account].remove(cell)
        return loose

    def _hold(self, cell: Cell, sign: int) -> None:
        for worker, tasks in cell.slots.items():
            amount = resources.scaled(cell.shape.per_task, sign * tasks)
            held = self._held.get(worker, resources.ZERO)
            self._held[worker] = resources.plus(held, amount)

    def _commit(self, worker: ids.WorkerId, amount: jobs.Resources) -> None:
        committed = self._committed.get(worker, resources.ZERO)
        self._committed[worker] = resources.plus(committed, amount)
        self.room.set_room(worker, self._room(worker))

    def _room(self, worker: ids.WorkerId) -> jobs.Resources:
        committed = self._committed.get(worker, resources.ZERO)
        capacity = self._capacity.get(worker, resources.ZERO)
        return resources.minus(capacity, committed)


_PIN = ids.JobId("")


def _negative(room: jobs.Resources) -> bool:
    return min(room.accelerators, room.cores, room.memory_gb) < 0


def _fill(
    ranked: list[tuple[tuple, Use]], shape: shapes.Shape
) -> tuple[Use, ...]:
    uses = []
    left = shape.tasks
    for _, use in ranked:
        tasks = min(use.tasks, left)
        uses.append(msgspec.structs.replace(use, tasks=tasks))
        left -= tasks
        if not left:
            return tuple(uses)
    return ()


def _cost(
    uses: tuple[Use, ...], shape: shapes.Shape, free: pool.RoomIndex
) -> tuple:
    short = sum(
        resources.task_capacity(free.room(use.worker), use.per_task) < use.tasks
        for use in uses
    )
    opened = len({use.cell for use in uses if not use.cell.held})
    used = {use.cell for use in uses}
    other = sum(not cell.held and cell.shape != shape for cell in used)
    spare = sum(cell.spare_accelerators for cell in used)
    return (opened, other, spare, short)


def _largest_first(cells: Iterable[Cell]) -> list[Cell]:
    return sorted(cells, key=_by_enclosure)


def _by_enclosure(cell: Cell) -> tuple:
    return (
        cell.shape.adjacency is states.Adjacency.FAILURE_DOMAIN,
        -cell.shape.accelerators,
        -cell.shape.per_task.accelerators,
    )


def _by_need_of_one_worker(cell: Cell) -> tuple:
    on_one = cell.shape.adjacency is states.Adjacency.WORKER
    need = cell.shape.total if on_one else cell.shape.per_task
    return (-need.accelerators, -cell.shape.accelerators)


def _by_size(cell: Cell) -> tuple:
    return (-cell.shape.accelerators, -cell.shape.per_task.accelerators)


_ORDERS = (_by_enclosure, _by_need_of_one_worker, _by_size)
