"""What jobs hold at each worker, and how fragmented the rest is.

Fragmentation follows the idea of Weng et al., "Beware of Fragmentation",
USENIX ATC 2023: free accelerators are fragmented as far as the shapes of the
expected workload cannot use them. Here a shape can use the free accelerators
of an enclosure, of the kind that its adjacency names, only if one whole gang
fits there. Enclosures that could not hold the shape even when idle are left
out, since no placement could mend them.
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
    "PoolUsage",
    "GangShape",
    "shape_of",
    "tasks_that_fit",
]


class GangShape(msgspec.Struct, frozen=True, kw_only=True):
    """What a gang needs, without its account and times.

    Attributes:
        tasks: Gang size.
        per_task: Resources of each task.
        adjacency: What must hold the gang.
    """

    tasks: int
    per_task: jobs.Resources
    adjacency: states.Adjacency


def shape_of(spec: jobs.JobSpec) -> GangShape:
    """Returns the shape of a job.

    Args:
        spec: The job.

    Returns:
        Its shape.
    """
    return GangShape(
        tasks=spec.tasks, per_task=spec.per_task, adjacency=spec.adjacency
    )


def tasks_that_fit(free: jobs.Resources, per_task: jobs.Resources) -> int:
    """Returns how many tasks fit into what is free.

    Args:
        free: Free resources.
        per_task: Resources of one task.

    Returns:
        The number of tasks.
    """
    pairs = (
        (free.accelerators, per_task.accelerators),
        (free.cores, per_task.cores),
        (free.memory_gb, per_task.memory_gb),
    )
    return max(0, min((have // need for have, need in pairs if need)))


class PoolUsage:
    """Free resources of every worker, by what was placed and ended."""

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
        """Takes or returns what a gang holds.

        Args:
            spec: The job.
            placement: Where it runs.
            sign: 1 to take, -1 to return.

        Raises:
            ValueError: If the gang does not fit there or is not whole.
        """
        if sum(group.tasks for group in placement.groups) != spec.tasks:
            raise ValueError(f"partial gang {spec.job}")
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
                raise ValueError(f"{spec.job} overfills {group.worker}")
            self.free[group.worker] = left

    def usable_accelerators(self, domain: ids.FailureDomainId) -> int:
        """Returns the accelerators of a failure domain's usable workers.

        Args:
            domain: The failure domain.

        Returns:
            Their number.
        """
        return sum(
            self.workers[name].capacity.accelerators
            for name in self.workers_by_domain[domain]
            if self.usable[name]
        )


class FragmentationMean:
    """Adds up free and unusable accelerators over samples."""

    def __init__(self) -> None:
        """Initializes without samples."""
        self.free = 0.0
        self.unusable = 0.0

    @property
    def ratio(self) -> float:
        """Unusable over free accelerators of all samples."""
        return self.unusable / self.free if self.free else 0.0

    def add_sample(
        self,
        usage: PoolUsage,
        domain: ids.FailureDomainId,
        mix: dict[GangShape, float],
    ) -> None:
        """Adds the present state of one failure domain.

        Args:
            usage: The pool.
            domain: The failure domain.
            mix: Shapes with their weights.
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
    """Returns free accelerators where the shape could ever run, and usable.

    Enclosures that are too small for the shape even when idle do not count.
    """
    fits: dict[str, int] = collections.Counter()
    idle_fits: dict[str, int] = collections.Counter()
    free: dict[str, int] = collections.Counter()
    for name in names:
        worker = usage.workers[name]
        enclosure = _scope(worker, shape.adjacency)
        fits[enclosure] += tasks_that_fit(usage.free[name], shape.per_task)
        idle_fits[enclosure] += tasks_that_fit(worker.capacity, shape.per_task)
        free[enclosure] += usage.free[name].accelerators
    able = [e for e, fit in idle_fits.items() if fit >= shape.tasks]
    usable = sum(fits[e] for e in able if fits[e] >= shape.tasks)
    return (
        sum(free[e] for e in able),
        usable * shape.per_task.accelerators,
    )


def _scope(worker: messages.ListedTarget, adjacency: states.Adjacency) -> str:
    if adjacency is states.Adjacency.WORKER:
        return worker.name
    if adjacency is states.Adjacency.RACK:
        return worker.rack
    return worker.failure_domain
