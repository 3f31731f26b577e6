"""Tells how much of the capacity of each service is in use.

The capacity of a service may be read as one figure in cores, in which an
accelerator counts as several, or as the resource that a unit needs most; and as
that of all its workers, or of those that may receive tasks. A unit has to be
served by any reading, so the lowest one counts for it.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

__all__ = ["ServiceUse", "service_uses"]


class ServiceUse(msgspec.Struct, frozen=True, kw_only=True):
    """Used shares of the capacity of a service, each from 0 to 1.

    Attributes:
        accelerators: Used share of the accelerators.
        millicores: Used share of the processors.
        cores: Used share of both, with accelerators counted as cores.
    """

    accelerators: float = 0.0
    millicores: float = 0.0
    cores: float = 0.0

    def for_demand(self, demand: spec.Demand) -> float:
        """Returns the used share that counts for a task.

        Args:
            demand: Resources of the task.

        Returns:
            A number from 0 to 1: the lower one of the share in cores and that
            of the accelerators, or of the processors for a task without any.
        """
        own = self.accelerators if demand.accelerators else self.millicores
        return min(own, self.cores)


def service_uses(
    usable: Sequence[worker_directory.Worker],
    listed: Sequence[worker_directory.Worker],
    allocations: worker_allocations.WorkerAllocations,
) -> Mapping[spec.ServiceName, ServiceUse]:
    """Returns the used shares of each service that has usable workers.

    Args:
        usable: The workers of all services that may receive tasks.
        listed: All workers, also those that drain, do not answer or are in a
            failure domain out of service.
        allocations: Resources allocated on them.

    Returns:
        The lower share of each resource, by the usable or by all workers.
    """
    uses = _uses(usable, allocations)
    if len(listed) <= len(usable):
        return uses
    by_all = _uses(listed, allocations)
    return {
        service: _lower(use, by_all.get(service, use))
        for service, use in uses.items()
    }


def _uses(
    workers: Sequence[worker_directory.Worker],
    allocations: worker_allocations.WorkerAllocations,
) -> dict[spec.ServiceName, ServiceUse]:
    by_service = collections.defaultdict(list)
    for worker in workers:
        by_service[worker.service].append(worker)
    return {
        service: _use(of_service, allocations)
        for service, of_service in by_service.items()
    }


def _lower(one: ServiceUse, other: ServiceUse) -> ServiceUse:
    return ServiceUse(
        accelerators=min(one.accelerators, other.accelerators),
        millicores=min(one.millicores, other.millicores),
        cores=min(one.cores, other.cores),
    )


def _use(
    workers: list[worker_directory.Worker],
    allocations: worker_allocations.WorkerAllocations,
) -> ServiceUse:
    used = allocations.total(worker.worker for worker in workers)
    capacity = spec.Demand(
        millicores=sum(worker.capacity.millicores for worker in workers),
        accelerators=sum(worker.capacity.accelerators for worker in workers),
    )
    return ServiceUse(
        accelerators=_share(used.accelerators, capacity.accelerators),
        millicores=_share(used.millicores, capacity.millicores),
        cores=_share(
            worker_allocations.core_count(used),
            worker_allocations.core_count(capacity),
        ),
    )


def _share(used: float, available: float) -> float:
    return used / available if available else 0.0
