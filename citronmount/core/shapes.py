"""Gang shapes, which jobs request and guarantees promise."""

import msgspec

from citronmount.config import configuration as configuration_lib
from citronmount.core import jobs
from citronmount.core import resources
from citronmount.core import states

__all__ = ["Shape", "of_guarantee", "of_job"]


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Size, resources and adjacency of a gang.

    Attributes:
        tasks: Number of tasks, which are placed all at once.
        per_task: Resources of each task.
        adjacency: Topology level within which all tasks must be placed.
    """

    tasks: int
    per_task: jobs.Resources
    adjacency: states.Adjacency

    @property
    def accelerators(self) -> int:
        """Total number of accelerators."""
        return self.tasks * self.per_task.accelerators

    @property
    def total(self) -> jobs.Resources:
        """Total resources."""
        return resources.scaled(self.per_task, self.tasks)


def of_job(spec: jobs.JobSpec) -> Shape:
    """Returns the shape that a job requests."""
    return Shape(
        tasks=spec.tasks, per_task=spec.per_task, adjacency=spec.adjacency
    )


def of_guarantee(guarantee: configuration_lib.Guarantee) -> Shape:
    """Returns the shape of one copy of a guarantee."""
    return Shape(
        tasks=guarantee.tasks,
        per_task=guarantee.per_task,
        adjacency=guarantee.adjacency,
    )
