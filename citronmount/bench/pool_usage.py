"""Free resources of each worker and their fragmentation.

Fragmentation follows the idea of Weng et al., "Beware of Fragmentation",
USENIX ATC 2023: free accelerators are fragmented as far as the shapes of the
expected workload cannot use them. The adjacency of a shape says whether its
gang must fit into one worker, one rack or one failure domain. Here the free
accelerators of such a scope are usable only if one whole gang fits there.
Scopes that are too small for the shape even when idle are left out, since no
placement decision could make them usable.
"""

import collections
from collections.abc import Iterable

import msgspec

from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = [
    "FragmentationMean",
    "GangShape",
    "PoolUsage",
    "shape_of",
    "tasks_that_fit",
]


class GangShape(msgspec.Struct, frozen=True, kw_only=True):
    """Requirements of a gang that decide where it fits.

    Attributes:
        tasks: Gang size.
        per_task: Resources of each task.
        adjacency: Scope in which the whole gang must be placed.
    """

    tasks: int
    per_task: jobs.Resources
    adjacency: states.Adjacency


def shape_of(spec: jobs.JobSpec) -> GangShape:
    """Returns the shape of a job's gang."""
    return GangShape(
        tasks=spec.tasks, per_task=spec.per_task, adjacency=spec.adjacency
    )


def tasks_that_fit(free: jobs.Resources, per_task: jobs.Resources) -> int:
    """Returns how many tasks fit into free resources.

    Args:
        free: Free resources.
        per_task: Resources of one task, of which at least one is not zero.

    Returns:
        The number of tasks.
    """
    pairs = (
        (free.accelerators, per_task.accelerators),
        (free.cores, per_task.cores),
        (free.memory_gb, per_task.memory_gb),
    )
    return max(0, min((has // needs for has, needs in pairs if needs)))


class PoolUsage:
    """Free resources of every worker, updated as gangs start and end.

    Attributes:
        workers: All workers by name.
        free: Free resources by worker.
        usable: Whether a worker may run tasks.
        workers_by_domain: Names of the workers of each failure domain.
    """

    def __init__(self, *, workers: Iterable[messages.ListedTarget]) -> None:
        """Initializes an idle pool.

        Args:
            workers: All workers.
        """
        self.workers = {ids.WorkerId(w.name): w for w in workers}
        self.free = {name: w.capacity for name, w in self.workers.items()}
        self.usable = dict.fromkeys(self.workers, True)
        self.workers_by_domain: dict[
            ids.FailureDomainId, list[ids.WorkerId]
        ] = collections.defaultdict(list)
        for name, worker in self.workers.items():
            self.workers_by_domain[worker.failure_domain].append(name)

    def update_allocation(
        self, spec: jobs.JobSpec, placement: jobs.Placement, sign: int
    ) -> None:
        """Allocates or frees the resources of a gang.

        Args:
            spec: The job.
            placement: The workers of its tasks.
            sign: 1 to allocate, -1 to free.

        Raises:
            ValueError: If the gang does not fit there or if the placement
                does not hold all of its tasks.
        """
        if sum(group.tasks for group in placement.groups) != spec.tasks:
            raise ValueError(f"{spec.job}: placement is not the whole gang")
        for group in placement.groups:
            amount = sign * group.tasks
            free = self.free[group.worker]
            left = jobs.Resources(
                accelerators=free.accelerators
                - amount * spec.per_task.accelerators,
                cores=free.cores - amount * spec.per_task.cores,
                memory_gb=free.memory_gb - amount * spec.per_task.memory_gb,
            )
            if min(left.accelerators, left.cores, left.memory_gb) < 0:
                raise ValueError(
                    f"{spec.job} exceeds the capacity of {group.worker}"
                )
            self.free[group.worker] = left

    def usable_accelerators(self, domain: ids.FailureDomainId) -> int:
        """Returns the accelerators of a failure domain's usable workers."""
        return sum(
            self.workers[name].capacity.accelerators
            for name in self.workers_by_domain[domain]
            if self.usable[name]
        )


class FragmentationMean:
    """Fragmentation over several samples.

    Attributes:
        free: Weighted sum of the free accelerators.
        unusable: Weighted sum of those that no gang can use.
    """

    def __init__(self) -> None:
        """Initializes without samples."""
        self.free = 0.0
        self.unusable = 0.0

    @property
    def ratio(self) -> float:
        """Unusable as a share of free accelerators over all samples."""
        return self.unusable / self.free if self.free else 0.0

    def record(
        self,
        usage: PoolUsage,
        domain: ids.FailureDomainId,
        mix: dict[GangShape, float],
    ) -> None:
        """Adds a sample of the current state of one failure domain.

        Args:
            usage: The pool.
            domain: The failure domain.
            mix: Weights of the expected shapes.
        """
        names = [
            name
            for name in usage.workers_by_domain[domain]
            if usage.usable[name]
        ]
        for shape, weight in mix.items():
            free, usable = _free_and_usable(usage, names, shape)
            self.free += weight * free
            self.unusable += weight * (free - usable)


def _free_and_usable(
    usage: PoolUsage, names: list[ids.WorkerId], shape: GangShape
) -> tuple[int, int]:
    """Counts the accelerators that are free and those that a shape can use.

    Scopes that are too small for the shape even when idle do not count.

    Args:
        usage: The pool.
        names: Workers to count.
        shape: The shape.

    Returns:
        Free accelerators, and those that whole gangs of the shape can use.
    """
    fits: dict[str, int] = collections.Counter()
    idle_fits: dict[str, int] = collections.Counter()
    free: dict[str, int] = collections.Counter()
    for name in names:
        worker = usage.workers[name]
        scope = _scope(worker, shape.adjacency)
        fits[scope] += tasks_that_fit(usage.free[name], shape.per_task)
        idle_fits[scope] += tasks_that_fit(worker.capacity, shape.per_task)
        free[scope] += usage.free[name].accelerators
    large_enough = [s for s, fit in idle_fits.items() if fit >= shape.tasks]
    usable_tasks = sum(fits[s] for s in large_enough if fits[s] >= shape.tasks)
    return (
        sum(free[s] for s in large_enough),
        usable_tasks * shape.per_task.accelerators,
    )


def _scope(worker: messages.ListedTarget, adjacency: states.Adjacency) -> str:
    if adjacency is states.Adjacency.WORKER:
        return worker.name
    if adjacency is states.Adjacency.RACK:
        return worker.rack
    return worker.failure_domain
