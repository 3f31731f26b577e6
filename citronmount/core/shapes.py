"""The shape of a gang: what a job asks for and what a guarantee promises."""

import msgspec

from citronmount.config import configuration as configuration_lib
from citronmount.core import jobs
from citronmount.core import resources
from citronmount.core import states

__all__ = ["Shape", "of_guarantee", "of_job"]


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks that must be placed together.

    Attributes:
        tasks: How many.
        per_task: Resources of each.
        adjacency: The smallest enclosure that must hold all.
    """

    tasks: int
    per_task: jobs.Resources
    adjacency: states.Adjacency

    @property
    def accelerators(self) -> int:
        """Accelerators of all tasks."""
        return self.tasks * self.per_task.accelerators

    @property
    def total(self) -> jobs.Resources:
        """Resources of all tasks."""
        return resources.scaled(self.per_task, self.tasks)


def of_job(spec: jobs.JobSpec) -> Shape:
    """Returns the shape that a job asks for."""
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
