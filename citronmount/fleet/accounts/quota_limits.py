"""What a quota limits, and units that can never start within it."""

import enum

import msgspec

from citronmount.fleet import fleet_configuration
from citronmount.fleet.workers import worker_allocations
from citronmount.workflow import spec

__all__ = [
    "Limit",
    "Resource",
    "amount_of",
    "exceeded_resource",
    "fits",
    "limit_of",
    "never_fitting_gang",
]


class Resource(enum.Enum):
    """A resource that a quota may limit."""

    MILLICORES = "millicores"
    MEMORY_MB = "memory_mb"
    ACCELERATORS = "accelerators"


class Limit(msgspec.Struct, frozen=True, kw_only=True):
    """Why an account may not start a unit.

    Attributes:
        resource: The resource that limits it.
        used: What the account may have running of it.
        needed: What the unit needs of it.
        quota: The account's quota of it.
    """

    resource: Resource
    used: int
    needed: int
    quota: int

    @property
    def is_permanent(self) -> bool:
        """Whether the unit exceeds the quota even if nothing else runs."""
        return self.needed > self.quota


def amount_of(demand: spec.Demand, resource: Resource) -> int:
    """Returns the amount of one resource in a demand."""
    return getattr(demand, resource.value)


def limit_of(quota: fleet_configuration.Quota, resource: Resource) -> int:
    """Returns the limit of one resource, or 0 if there is none."""
    return getattr(quota, f"max_{resource.value}")


def fits(quota: fleet_configuration.Quota, demand: spec.Demand) -> bool:
    """Returns whether a demand exceeds no limit; called for each unit."""
    if 0 < quota.max_millicores < demand.millicores:
        return False
    if 0 < quota.max_memory_mb < demand.memory_mb:
        return False
    return not 0 < quota.max_accelerators < demand.accelerators


def exceeded_resource(
    quota: fleet_configuration.Quota, demand: spec.Demand
) -> Resource | None:
    """Returns a resource of which a demand exceeds a quota, or None."""
    exceeded = (
        resource
        for resource in Resource
        if 0 < limit_of(quota, resource) < amount_of(demand, resource)
    )
    return next(exceeded, None)


def never_fitting_gang(
    quota: fleet_configuration.Quota, workflow: spec.Workflow
) -> Limit | None:
    """Returns why a gang of a job can never start, or None.

    Args:
        quota: The quota of the job's account.
        workflow: The job.

    Returns:
        The limit that the first gang exceeds on its own, or None if each gang
        fits into the quota.
    """
    for step in workflow.steps:
        demand = worker_allocations.multiply_demand(step.demand, step.tasks)
        resource = exceeded_resource(quota, demand) if step.gang else None
        if resource is not None:
            return Limit(
                resource=resource,
                used=0,
                needed=amount_of(demand, resource),
                quota=limit_of(quota, resource),
            )
    return None
