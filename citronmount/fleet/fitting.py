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

__all__ = ["Need", "Shelf", "Spread", "fit", "shelf", "suits"]

FreeRoom = Callable[[worker_directory.Worker], spec.Demand]


class Spread(enum.Enum):
    """How far a unit may be spread."""

    PREFERRED = "preferred"
    ANYWHERE = "anywhere"


class Need(msgspec.Struct, frozen=True, kw_only=True):
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


class Shelf:
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


def suits(need: Need, worker: worker_directory.Worker) -> bool:
    """Returns whether a worker may ever run tasks of a unit."""
    label = need.step.worker_label
    return (
        worker.service == need.service
        and worker.worker not in need.avoid
        and (not label or label in worker.labels)
    )


def fit(
    need: Need,
    workers: Iterable[worker_directory.Worker],
    free: FreeRoom,
    spread: Spread,
) -> list[worker_directory.Worker] | None:
    """Finds workers for all tasks of a unit.

    Args:
        need: The unit.
        workers: The workers that may get work.
        free: The free room of a worker.
        spread: Whether the unit may leave its preferred rack.

    Returns:
        A worker for each task, or None if the unit does not fit.
    """
    slots = _slots(need, workers, free)
    if need.last:
        first = [p for p in slots if p[0].worker not in need.last]
        chosen = _fit_slots(need, first, free, spread)
        if chosen is not None:
            return chosen
    return _fit_slots(need, slots, free, spread)


def _fit_slots(
    need: Need,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeRoom,
    spread: Spread,
) -> list[worker_directory.Worker] | None:
    if sum(count for _, count in slots) < need.tasks:
        return None
    near = _in_one_rack(need, slots, free)
    if near is not None or spread is Spread.PREFERRED:
        return near
    return _fill(need, slots, free)


def shelf(
    need: Need,
    workers: Iterable[worker_directory.Worker],
    free: FreeRoom,
    spread: Spread,
) -> Shelf:
    """Finds the workers for many single tasks of one shape.

    Args:
        need: The tasks; as many as may ever want to start.
        workers: The workers that may get work.
        free: The free room of a worker.
        spread: Whether the tasks may leave their preferred rack.

    Returns:
        The room, which holds as long as nothing else takes or gives any.
    """
    slots = _slots(need, workers, free)
    slots = _ranked(need, slots, free)
    rack = need.step.data_rack
    if not rack:
        return Shelf(slots=slots)
    near = [pair for pair in slots if pair[0].rack == rack]
    if spread is Spread.PREFERRED:
        return Shelf(slots=near)
    return Shelf(slots=near + [p for p in slots if p[0].rack != rack])


def _slots(
    need: Need, workers: Iterable[worker_directory.Worker], free: FreeRoom
) -> list[tuple[worker_directory.Worker, int]]:
    demand = worker_allocations.allocated_demand(need.step)
    slots = [
        (worker, _limited(need, worker, free(worker), demand))
        for worker in workers
        if suits(need, worker)
    ]
    return [pair for pair in slots if pair[1] > 0]


def _limited(
    need: Need,
    worker: worker_directory.Worker,
    free: spec.Demand,
    demand: spec.Demand,
) -> int:
    count = worker_allocations.max_task_count(free, demand, need.tasks)
    limit = need.step.max_tasks_per_worker
    if not limit:
        return count
    return min(count, limit - need.taken.get(worker.worker, 0))


def _in_one_rack(
    need: Need,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeRoom,
) -> list[worker_directory.Worker] | None:
    """Finds the tightest rack, or any workers where racks do not matter."""
    if need.step.data_rack:
        near = [pair for pair in slots if pair[0].rack == need.step.data_rack]
        return _fill(need, near, free)
    if need.tasks == 1 or not need.step.one_rack:
        return _fill(need, slots, free)
    racks = collections.defaultdict(list)
    for worker, count in slots:
        racks[worker.rack].append((worker, count))
    ranked = sorted(
        racks.items(), key=lambda item: (sum(n for _, n in item[1]), item[0])
    )
    found = (_fill(need, members, free) for _, members in ranked)
    return next((chosen for chosen in found if chosen is not None), None)


def _fill(
    need: Need,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeRoom,
) -> list[worker_directory.Worker] | None:
    if sum(count for _, count in slots) < need.tasks:
        return None
    chosen: list[worker_directory.Worker] = []
    for worker, count in _ranked(need, slots, free):
        chosen += [worker] * min(count, need.tasks - len(chosen))
    return chosen


def _ranked(
    need: Need,
    slots: Sequence[tuple[worker_directory.Worker, int]],
    free: FreeRoom,
) -> list[tuple[worker_directory.Worker, int]]:
    """Returns slots, the tightest first, those to be used last at the end."""
    return sorted(
        slots,
        key=lambda pair: (pair[0].worker in need.last, _left(pair[0], free)),
    )


def _left(
    worker: worker_directory.Worker, free: FreeRoom
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
