"""Finds workers for a unit: the tightest room that holds all of it.

Load pattern: small tasks and gangs of whole workers arrive mixed. Small ones
go where least is left, so that whole racks stay free for gangs.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import itertools

import msgspec

from citronmount.core import ids
from citronmount.fleet import worker_allocations
from citronmount.fleet import worker_directory
from citronmount.workflow import spec

__all__ = [
    "Requirements",
    "TaskSlots",
    "Spread",
    "choose_workers",
    "task_slots",
    "suits",
]

FreeCapacity = Callable[[worker_directory.Worker], spec.Demand]


class Spread(enum.Enum):
    """How far a unit may be spread."""

    PREFERRED = "preferred"
    ANYWHERE = "anywhere"


class Requirements(msgspec.Struct, frozen=True, kw_only=True):
    """What one unit needs.

    Attributes:
        tasks: How many tasks start together.
        step: Their step.
        service: The service whose workers may run them.
        avoid: Workers that must not be used.
        last: Workers that are used only where the others are full.
        taken: Tasks of the same step and occurrence on each worker.
    """

    tasks: int
    step: spec.Step
    service: spec.ServiceName
    avoid: frozenset[ids.WorkerId] = frozenset()
    last: frozenset[ids.WorkerId] = frozenset()
    taken: dict[ids.WorkerId, int] = {}


class TaskSlots:
    """Room for single tasks of one shape, the tightest worker first.

    Load pattern: steps of many equal tasks arrive at once. Taking a task's room
    leaves a worker the tightest, so the order holds until the room is used up
    and the workers are looked at once for all tasks.
    """

    def __init__(
        self, *, slots: Sequence[tuple[worker_directory.Worker, int]]
    ) -> None:
        """Initializes the room.

        Args:
            slots: Workers and how many tasks each can take, in order.
        """
        self._workers = itertools.chain.from_iterable(
            itertools.repeat(worker, count) for worker, count in slots
        )

    def take(self) -> worker_directory.Worker | None:
        """Returns the worker for the next task, or None if there is none."""
        return next(self._workers, None)


def suits(requirements: Requirements, worker: worker_directory.Worker) -> bool:
    """Returns whether a worker may ever run tasks of a unit."""
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
    """Finds workers for all tasks of a unit.

    Args:
        requirements: The unit.
        workers: The workers that may get work.
        free: The free room of a worker.
        spread: Whether the unit may leave its preferred rack.

    Returns:
        A worker for each task, or None if the unit does not fit.
    """
    slots = _slots(requirements, workers, free)
    if requirements.last:
        preferred = [p for p in slots if p[0].worker not in requirements.last]
        chosen = _choose_from_slots(requirements, preferred, free, spread)
        if chosen is not None:
            return chosen
    return _choose_from_slots(requirements, slots, free, spread)


def _choose_from_slots(
    requirements: Requirements,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeCapacity,
    spread: Spread,
) -> list[worker_directory.Worker] | None:
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
    """Finds the workers for many single tasks of one shape.

    Args:
        requirements: The tasks; as many as may ever want to start.
        workers: The workers that may get work.
        free: The free room of a worker.
        spread: Whether the tasks may leave their preferred rack.

    Returns:
        The room, which holds as long as nothing else takes or gives any.
    """
    slots = _slots(requirements, workers, free)
    slots = _tightest_first(requirements, slots, free)
    rack = requirements.step.data_rack
    if not rack:
        return TaskSlots(slots=slots)
    in_rack = [pair for pair in slots if pair[0].rack == rack]
    if spread is Spread.PREFERRED:
        return TaskSlots(slots=in_rack)
    return TaskSlots(slots=in_rack + [p for p in slots if p[0].rack != rack])


def _slots(
    requirements: Requirements,
    workers: Iterable[worker_directory.Worker],
    free: FreeCapacity,
) -> list[tuple[worker_directory.Worker, int]]:
    demand = worker_allocations.allocated_demand(requirements.step)
    slots = [
        (worker, _task_limit(requirements, worker, free(worker), demand))
        for worker in workers
        if suits(requirements, worker)
    ]
    return [pair for pair in slots if pair[1] > 0]


def _task_limit(
    requirements: Requirements,
    worker: worker_directory.Worker,
    free: spec.Demand,
    demand: spec.Demand,
) -> int:
    count = worker_allocations.max_task_count(free, demand, requirements.tasks)
    limit = requirements.step.max_tasks_per_worker
    if not limit:
        return count
    return min(count, limit - requirements.taken.get(worker.worker, 0))


def _fill_one_rack(
    requirements: Requirements,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeCapacity,
) -> list[worker_directory.Worker] | None:
    """Finds the tightest rack, or any workers where racks do not matter."""
    if requirements.step.data_rack:
        in_rack = [
            pair
            for pair in slots
            if pair[0].rack == requirements.step.data_rack
        ]
        return _fill(requirements, in_rack, free)
    if requirements.tasks == 1 or not requirements.step.one_rack:
        return _fill(requirements, slots, free)
    racks = collections.defaultdict(list)
    for worker, count in slots:
        racks[worker.rack].append((worker, count))
    ranked = sorted(
        racks.items(), key=lambda item: (sum(n for _, n in item[1]), item[0])
    )
    found = (_fill(requirements, members, free) for _, members in ranked)
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
    """Returns slots, the tightest first, those to be used last at the end."""
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
    """Ranks a worker by the share of its room that is free."""
    left = free(worker)
    whole = worker.capacity
    share = sum(
        have / total
        for have, total in (
            (left.millicores, whole.millicores),
            (left.memory_mb, whole.memory_mb),
            (left.accelerators, whole.accelerators),
        )
        if total
    )
    return share, worker.worker
