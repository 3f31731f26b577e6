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
_UNBOUNDED = 1 << 30


def _make(accelerators: int, cores: int, memory_gb: int) -> jobs.Resources:
    return jobs.Resources(
        accelerators=accelerators, cores=cores, memory_gb=memory_gb
    )


def plus(a: jobs.Resources, b: jobs.Resources) -> jobs.Resources:
    """Returns the sum of two vectors."""
    return _make(
        a.accelerators + b.accelerators,
        a.cores + b.cores,
        a.memory_gb + b.memory_gb,
    )


def minus(a: jobs.Resources, b: jobs.Resources) -> jobs.Resources:
    """Returns the difference of two vectors; parts may be negative."""
    return _make(
        a.accelerators - b.accelerators,
        a.cores - b.cores,
        a.memory_gb - b.memory_gb,
    )


def scaled(a: jobs.Resources, times: int) -> jobs.Resources:
    """Returns a vector multiplied by a whole number."""
    return _make(a.accelerators * times, a.cores * times, a.memory_gb * times)


def minimum(a: jobs.Resources, b: jobs.Resources) -> jobs.Resources:
    """Returns the smaller of two vectors in each part."""
    return _make(
        min(a.accelerators, b.accelerators),
        min(a.cores, b.cores),
        min(a.memory_gb, b.memory_gb),
    )


def covers(have: jobs.Resources, need: jobs.Resources) -> bool:
    """Returns whether `have` is at least `need` where anything is needed."""
    return (
        (not need.accelerators or have.accelerators >= need.accelerators)
        and (not need.cores or have.cores >= need.cores)
        and (not need.memory_gb or have.memory_gb >= need.memory_gb)
    )


def task_capacity(have: jobs.Resources, per_task: jobs.Resources) -> int:
    """Returns how many tasks fit into a vector.

    Args:
        have: The room; negative parts count as none.
        per_task: What one task needs.

    Returns:
        The number of tasks, at least 0.

    Example:
        >>> task_capacity(
        ...     jobs.Resources(accelerators=8, cores=10),
        ...     jobs.Resources(accelerators=2, cores=4),
        ... )
        2
    """
    tasks = _UNBOUNDED
    if per_task.accelerators:
        tasks = have.accelerators // per_task.accelerators
    if per_task.cores:
        tasks = min(tasks, have.cores // per_task.cores)
    if per_task.memory_gb:
        tasks = min(tasks, have.memory_gb // per_task.memory_gb)
    return max(tasks, 0)
