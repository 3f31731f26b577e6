"""Arithmetic on resource vectors."""

from citronmount.core import jobs

__all__ = [
    "ZERO",
    "covers",
    "minimum",
    "minus",
    "plus",
    "scaled",
    "task_capacity",
]

ZERO = jobs.Resources()
# Task capacity for tasks that require no resources.
_MAX_TASKS = 1 << 30


def _vector(accelerators: int, cores: int, memory_gb: int) -> jobs.Resources:
    return jobs.Resources(
        accelerators=accelerators, cores=cores, memory_gb=memory_gb
    )


def plus(a: jobs.Resources, b: jobs.Resources) -> jobs.Resources:
    """Returns the sum of two vectors."""
    return _vector(
        a.accelerators + b.accelerators,
        a.cores + b.cores,
        a.memory_gb + b.memory_gb,
    )


def minus(a: jobs.Resources, b: jobs.Resources) -> jobs.Resources:
    """Returns the difference of two vectors; components may be negative."""
    return _vector(
        a.accelerators - b.accelerators,
        a.cores - b.cores,
        a.memory_gb - b.memory_gb,
    )


def scaled(a: jobs.Resources, factor: int) -> jobs.Resources:
    """Returns a vector multiplied by an integer."""
    return _vector(
        a.accelerators * factor, a.cores * factor, a.memory_gb * factor
    )


def minimum(a: jobs.Resources, b: jobs.Resources) -> jobs.Resources:
    """Returns the component-wise minimum of two vectors."""
    return _vector(
        min(a.accelerators, b.accelerators),
        min(a.cores, b.cores),
        min(a.memory_gb, b.memory_gb),
    )


def covers(available: jobs.Resources, required: jobs.Resources) -> bool:
    """Returns whether `available` covers all nonzero parts of `required`.

    A negative component of `available` does not matter where nothing is
    required.
    """
    return (
        (
            not required.accelerators
            or available.accelerators >= required.accelerators
        )
        and (not required.cores or available.cores >= required.cores)
        and (
            not required.memory_gb or available.memory_gb >= required.memory_gb
        )
    )


def task_capacity(available: jobs.Resources, per_task: jobs.Resources) -> int:
    """Returns the number of tasks that fit into a resource vector.

    Args:
        available: Available resources; negative components count as zero.
        per_task: Resources of each task.

    Returns:
        Number of tasks, at least 0.

    Example:
        >>> task_capacity(
        ...     jobs.Resources(accelerators=8, cores=10),
        ...     jobs.Resources(accelerators=2, cores=4),
        ... )
        2
    """
    tasks = _MAX_TASKS
    if per_task.accelerators:
        tasks = available.accelerators // per_task.accelerators
    if per_task.cores:
        tasks = min(tasks, available.cores // per_task.cores)
    if per_task.memory_gb:
        tasks = min(tasks, available.memory_gb // per_task.memory_gb)
    return max(tasks, 0)
