"""Best-fit placement of units on workers.

The load mixes small tasks with gangs that need whole workers. Small tasks go to
the workers with the least free capacity, so that whole racks stay free for
gangs.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import itertools

import msgspec

from citronmount.core import ids
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

__all__ = [
    "Requirements",
    "Spread",
    "TaskSlots",
    "choose_from_slots",
    "choose_workers",
    "ordered_slots",
    "suits",
    "task_limit",
    "task_slots",
    "usable_slots",
    "worker_groups",
]

FreeCapacity = Callable[[worker_directory.Worker], spec.Demand]


class Spread(enum.Enum):
    """Whether a unit may be placed outside its preferred rack."""

    PREFERRED = "preferred"
    ANYWHERE = "anywhere"


class Requirements(msgspec.Struct, frozen=True, kw_only=True):
    """Placement requirements of one unit.

    Attributes:
        tasks: Number of tasks that start together.
        step: The step of the tasks.
        service: Service whose workers may run the tasks.
        avoid: Workers that must not be used.
        last: Workers that are used only if the others do not suffice.
        taken: Number of tasks of the same step and occurrence that each worker
            already holds.
    """

    tasks: int
    step: spec.Step
    service: spec.ServiceName
    avoid: frozenset[ids.WorkerId] = frozenset()
    last: frozenset[ids.WorkerId] = frozenset()
    taken: dict[ids.WorkerId, int] = {}


class TaskSlots:
    """Slots for single tasks with equal requirements, in best-fit order.

    Steps of many equal tasks arrive at once. A worker that receives a task
    stays the one with the least free capacity, so the order remains valid
    until all slots are used and the workers are examined only once for all
    tasks.
    """

    def __init__(
        self, *, slots: Sequence[tuple[worker_directory.Worker, int]]
    ) -> None:
        """Initializes the slots.

        Args:
            slots: Pairs of a worker and the number of tasks that fit on it, in
                the order of use.
        """
        self._workers = itertools.chain.from_iterable(
            itertools.repeat(worker, count) for worker, count in slots
        )

    def take(self) -> worker_directory.Worker | None:
        """Returns the worker for the next task, or None if no slot is left."""
        return next(self._workers, None)


def suits(requirements: Requirements, worker: worker_directory.Worker) -> bool:
    """Returns whether a worker may run tasks of a unit, capacity aside."""
    label = requirements.step.worker_label
    return (
        worker.service == requirements.service
        and worker.worker not in requirements.avoid
        and (not label or label in worker.labels)
    )


def choose_workers(
    requirements: Requirements,
    workers: Iterable[worker_directory.Worker],
    free: FreeCapacity,
    spread: Spread,
) -> list[worker_directory.Worker] | None:
    """Chooses workers for all tasks of a unit.

    Args:
        requirements: Placement requirements of the unit.
        workers: The workers that may receive tasks.
        free: Returns the free capacity of a worker.
        spread: Whether the unit may leave its preferred rack.

    Returns:
        A worker for each task, or None if the unit does not fit.
    """
    slots = usable_slots(requirements, workers, free)
    if requirements.last:
        preferred = [p for p in slots if p[0].worker not in requirements.last]
        chosen = choose_from_slots(requirements, preferred, free, spread)
        if chosen is not None:
            return chosen
    return choose_from_slots(requirements, slots, free, spread)


def choose_from_slots(
    requirements: Requirements,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeCapacity,
    spread: Spread,
) -> list[worker_directory.Worker] | None:
    """Chooses workers for all tasks of a unit among usable slots.

    Args:
        requirements: Placement requirements of the unit.
        slots: Return value of `usable_slots`, or a part of it.
        free: Returns the free capacity of a worker.
        spread: Whether the unit may leave its preferred rack.

    Returns:
        A worker for each task, or None if the unit does not fit.
    """
    if sum(count for _, count in slots) < requirements.tasks:
        return None
    in_rack = _fill_one_rack(requirements, slots, free)
    if in_rack is not None or spread is Spread.PREFERRED:
        return in_rack
    return _fill(requirements, slots, free)


def task_slots(
    requirements: Requirements,
    workers: Iterable[worker_directory.Worker],
    free: FreeCapacity,
    spread: Spread,
) -> TaskSlots:
    """Finds slots for many single tasks with equal requirements.

    Args:
        requirements: Placement requirements; `tasks` is the maximum number of
            tasks that may start.
        workers: The workers that may receive tasks.
        free: Returns the free capacity of a worker.
        spread: Whether the tasks may leave their preferred rack.

    Returns:
        The slots, valid until other tasks allocate or release capacity.
    """
    slots = ordered_slots(requirements, workers, free)
    rack = requirements.step.data_rack
    if not rack:
        return TaskSlots(slots=slots)
    in_rack = [pair for pair in slots if pair[0].rack == rack]
    if spread is Spread.PREFERRED:
        return TaskSlots(slots=in_rack)
    return TaskSlots(slots=in_rack + [p for p in slots if p[0].rack != rack])


def ordered_slots(
    requirements: Requirements,
    workers: Iterable[worker_directory.Worker],
    free: FreeCapacity,
) -> list[tuple[worker_directory.Worker, int]]:
    """Returns the usable workers, those with the least free capacity first.

    Args:
        requirements: Placement requirements.
        workers: The workers that may receive tasks.
        free: Returns the free capacity of a worker.

    Returns:
        Pairs of a worker and the number of tasks that fit on it.
    """
    return _tightest_first(
        requirements, usable_slots(requirements, workers, free), free
    )


def usable_slots(
    requirements: Requirements,
    workers: Iterable[worker_directory.Worker],
    free: FreeCapacity,
) -> list[tuple[worker_directory.Worker, int]]:
    """Returns each usable worker with the number of tasks that fit on it.

    Args:
        requirements: Placement requirements.
        workers: The workers that may receive tasks.
        free: Returns the free capacity of a worker.
    """
    slots = [
        (worker, task_limit(requirements, worker, free(worker)))
        for worker in workers
        if suits(requirements, worker)
    ]
    return [pair for pair in slots if pair[1] > 0]


def task_limit(
    requirements: Requirements,
    worker: worker_directory.Worker,
    free: spec.Demand,
) -> int:
    """Returns how many tasks of a unit fit into free capacity of a worker.

    Args:
        requirements: Placement requirements of the unit.
        worker: The worker.
        free: Its free capacity.

    Returns:
        A number from 0 to the number of tasks of the unit.
    """
    demand = worker_allocations.allocated_demand(requirements.step)
    count = worker_allocations.max_task_count(free, demand, requirements.tasks)
    limit = requirements.step.max_tasks_per_worker
    if not limit:
        return count
    taken = requirements.taken.get(worker.worker, 0)
    return max(min(count, limit - taken), 0)


def worker_groups(
    requirements: Requirements,
    workers: Sequence[worker_directory.Worker],
    spread: Spread,
) -> list[list[worker_directory.Worker]]:
    """Returns the sets of workers of which one has to hold the whole unit.

    Args:
        requirements: Placement requirements of the unit.
        workers: The workers that may receive tasks.
        spread: Whether the unit may leave its preferred rack.

    Returns:
        The workers of each rack if the unit must stay in one, those of the rack
        of its data if it must use that one, otherwise all workers.
    """
    if spread is Spread.ANYWHERE:
        return [list(workers)]
    step = requirements.step
    if step.data_rack:
        return [[w for w in workers if w.rack == step.data_rack]]
    if not step.one_rack:
        return [list(workers)]
    by_rack: dict[ids.RackId, list[worker_directory.Worker]] = (
        collections.defaultdict(list)
    )
    for worker in workers:
        by_rack[worker.rack].append(worker)
    return [by_rack[rack] for rack in sorted(by_rack)]


def _fill_one_rack(
    requirements: Requirements,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeCapacity,
) -> list[worker_directory.Worker] | None:
    """Fills the rack with the fewest slots that suffice.

    Uses the rack of the data if the step has one, and any workers if racks do
    not matter for the unit.
    """
    if requirements.step.data_rack:
        in_rack = [
            pair
            for pair in slots
            if pair[0].rack == requirements.step.data_rack
        ]
        return _fill(requirements, in_rack, free)
    if requirements.tasks == 1 or not requirements.step.one_rack:
        return _fill(requirements, slots, free)
    slots_by_rack = collections.defaultdict(list)
    for worker, count in slots:
        slots_by_rack[worker.rack].append((worker, count))
    ranked = sorted(
        slots_by_rack.items(),
        key=lambda item: (sum(n for _, n in item[1]), item[0]),
    )
    found = (_fill(requirements, rack_slots, free) for _, rack_slots in ranked)
    return next((chosen for chosen in found if chosen is not None), None)


def _fill(
    requirements: Requirements,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeCapacity,
) -> list[worker_directory.Worker] | None:
    if sum(count for _, count in slots) < requirements.tasks:
        return None
    chosen: list[worker_directory.Worker] = []
    for worker, count in _tightest_first(requirements, slots, free):
        chosen += [worker] * min(count, requirements.tasks - len(chosen))
    return chosen


def _tightest_first(
    requirements: Requirements,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeCapacity,
) -> list[tuple[worker_directory.Worker, int]]:
    """Sorts slots by ascending free capacity, workers of last resort last."""
    return sorted(
        slots,
        key=lambda pair: (
            pair[0].worker in requirements.last,
            _free_share(pair[0], free),
        ),
    )


def _free_share(
    worker: worker_directory.Worker, free: FreeCapacity
) -> tuple[float, ids.WorkerId]:
    """Returns a worker's sort key: the sum of its free shares, then its id."""
    unused = free(worker)
    capacity = worker.capacity
    share = sum(
        amount / total
        for amount, total in (
            (unused.millicores, capacity.millicores),
            (unused.memory_mb, capacity.memory_mb),
            (unused.accelerators, capacity.accelerators),
        )
        if total
    )
    return share, worker.worker
