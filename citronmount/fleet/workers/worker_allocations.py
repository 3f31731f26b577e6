"""Accounting of the worker resources allocated to runs."""

import collections
from collections.abc import Iterable

from citronmount.core import ids
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

__all__ = [
    "CORES_PER_ACCELERATOR",
    "NO_DEMAND",
    "WorkerAllocations",
    "add_demands",
    "allocated_demand",
    "core_count",
    "max_task_count",
    "multiply_demand",
    "subtract_demands",
]

NO_DEMAND = spec.Demand()
CORES_PER_ACCELERATOR = 8

_MILLICORES_PER_CORE = 1_000


def add_demands(left: spec.Demand, right: spec.Demand) -> spec.Demand:
    """Returns the sum of two resource amounts."""
    return spec.Demand(
        millicores=left.millicores + right.millicores,
        memory_mb=left.memory_mb + right.memory_mb,
        accelerators=left.accelerators + right.accelerators,
    )


def subtract_demands(left: spec.Demand, right: spec.Demand) -> spec.Demand:
    """Returns the difference of two resource amounts, possibly negative."""
    return spec.Demand(
        millicores=left.millicores - right.millicores,
        memory_mb=left.memory_mb - right.memory_mb,
        accelerators=left.accelerators - right.accelerators,
    )


def multiply_demand(demand: spec.Demand, count: int) -> spec.Demand:
    """Returns the resources of several equal tasks."""
    return spec.Demand(
        millicores=demand.millicores * count,
        memory_mb=demand.memory_mb * count,
        accelerators=demand.accelerators * count,
    )


def core_count(demand: spec.Demand) -> float:
    """Returns a resource amount in cores.

    An accelerator counts as `CORES_PER_ACCELERATOR` cores, memory as none.
    """
    return (
        demand.millicores / _MILLICORES_PER_CORE
        + demand.accelerators * CORES_PER_ACCELERATOR
    )


def allocated_demand(step: spec.Step) -> spec.Demand:
    """Returns the resources that a task of a step allocates on a worker.

    A filling task uses only idle processor time, so only its memory and
    accelerators are allocated.
    """
    if not step.fills:
        return step.demand
    return spec.Demand(
        memory_mb=step.demand.memory_mb, accelerators=step.demand.accelerators
    )


def max_task_count(free: spec.Demand, demand: spec.Demand, limit: int) -> int:
    """Returns how many tasks fit into free capacity.

    Args:
        free: The free capacity.
        demand: Resources that one task allocates.
        limit: Maximum number of tasks.

    Returns:
        A number from 0 to `limit`.
    """
    # Called for each worker and shape in each planning round, so it builds no
    # intermediate objects.
    count = limit
    if demand.accelerators:
        count = min(count, free.accelerators // demand.accelerators)
    if demand.millicores:
        count = min(count, free.millicores // demand.millicores)
    if demand.memory_mb:
        count = min(count, free.memory_mb // demand.memory_mb)
    return max(count, 0)


class WorkerAllocations:
    """Resources allocated on each worker."""

    def __init__(self) -> None:
        """Initializes without allocations."""
        self._used: dict[ids.WorkerId, spec.Demand] = collections.defaultdict(
            spec.Demand
        )
        self._cached_free: dict[ids.WorkerId, spec.Demand] = {}

    def used(self, worker: ids.WorkerId) -> spec.Demand:
        """Returns the resources allocated on a worker."""
        return self._used.get(worker, NO_DEMAND)

    def cached_free(self, worker: worker_directory.Worker) -> spec.Demand:
        """Returns the capacity of a worker that is not allocated.

        Only for a copy of the allocations that serves one planning round: the
        cache assumes that the capacity of a worker does not change.
        """
        free = self._cached_free.get(worker.worker)
        if free is None:
            free = self.free(worker)
            self._cached_free[worker.worker] = free
        return free

    def free(self, worker: worker_directory.Worker) -> spec.Demand:
        """Returns the capacity of a worker that is not allocated."""
        return subtract_demands(worker.capacity, self.used(worker.worker))

    def allocate(self, worker: ids.WorkerId, demand: spec.Demand) -> None:
        """Allocates resources on a worker."""
        self._cached_free.pop(worker, None)
        self._used[worker] = add_demands(self._used[worker], demand)

    def release(self, worker: ids.WorkerId, demand: spec.Demand) -> None:
        """Releases resources on a worker."""
        self._cached_free.pop(worker, None)
        remaining = subtract_demands(self._used[worker], demand)
        self._used[worker] = remaining
        if remaining == NO_DEMAND:
            del self._used[worker]

    def copy(self) -> "WorkerAllocations":
        """Returns an independent copy, for decisions not yet applied."""
        duplicate = WorkerAllocations()
        duplicate._used.update(self._used)
        return duplicate

    def total(self, workers: Iterable[ids.WorkerId]) -> spec.Demand:
        """Returns the resources allocated on several workers in total."""
        total = NO_DEMAND
        for worker in workers:
            total = add_demands(total, self.used(worker))
        return total
