"""Room on workers: capacity less what was given to runs."""

import collections
from collections.abc import Iterable

from citronmount.core import ids
from citronmount.workflow import spec

__all__ = [
    "NO_DEMAND",
    "WorkerAllocations",
    "add_demands",
    "allocated_demand",
    "max_task_count",
    "subtract_demands",
]

NO_DEMAND = spec.Demand()


def add_demands(left: spec.Demand, right: spec.Demand) -> spec.Demand:
    """Returns the sum of two amounts."""
    return spec.Demand(
        millicores=left.millicores + right.millicores,
        memory_mb=left.memory_mb + right.memory_mb,
        accelerators=left.accelerators + right.accelerators,
    )


def subtract_demands(left: spec.Demand, right: spec.Demand) -> spec.Demand:
    """Returns the difference of two amounts, which may be negative."""
    return spec.Demand(
        millicores=left.millicores - right.millicores,
        memory_mb=left.memory_mb - right.memory_mb,
        accelerators=left.accelerators - right.accelerators,
    )


def allocated_demand(step: spec.Step) -> spec.Demand:
    """Returns what a task of a step takes of a worker's room.

    A filling task runs on processor time that others leave, so only its
    memory and accelerators count.
    """
    if not step.fills:
        return step.demand
    return spec.Demand(
        memory_mb=step.demand.memory_mb, accelerators=step.demand.accelerators
    )


def max_task_count(free: spec.Demand, demand: spec.Demand, most: int) -> int:
    """Returns how many tasks fit into free room.

    Args:
        free: The room.
        demand: What one task takes.
        most: The most that are wanted.

    Returns:
        A number from 0 to `most`.
    """
    pairs = (
        (free.millicores, demand.millicores),
        (free.memory_mb, demand.memory_mb),
        (free.accelerators, demand.accelerators),
    )
    return max(min([most, *(have // need for have, need in pairs if need)]), 0)


class WorkerAllocations:
    """What is given of each worker's room."""

    def __init__(self) -> None:
        """Initializes with nothing given."""
        self._used: dict[ids.WorkerId, spec.Demand] = collections.defaultdict(
            spec.Demand
        )

    def used(self, worker: ids.WorkerId) -> spec.Demand:
        """Returns what is given of a worker's room."""
        return self._used.get(worker, NO_DEMAND)

    def take(self, worker: ids.WorkerId, demand: spec.Demand) -> None:
        """Gives room of a worker."""
        self._used[worker] = add_demands(self._used[worker], demand)

    def give_back(self, worker: ids.WorkerId, demand: spec.Demand) -> None:
        """Takes room of a worker back."""
        left = subtract_demands(self._used[worker], demand)
        self._used[worker] = left
        if left == NO_DEMAND:
            del self._used[worker]

    def copy(self) -> "WorkerAllocations":
        """Returns a copy to try decisions on."""
        other = WorkerAllocations()
        other._used.update(self._used)
        return other

    def total(self, workers: Iterable[ids.WorkerId]) -> spec.Demand:
        """Returns what is given of the room of several workers."""
        total = NO_DEMAND
        for worker in workers:
            total = add_demands(total, self.used(worker))
        return total
