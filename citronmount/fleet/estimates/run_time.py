"""Expected run time of a task."""

import msgspec

from citronmount.workflow import spec

__all__ = ["RunTime", "declared"]


class RunTime(msgspec.Struct, frozen=True, kw_only=True):
    """Quantiles of the run time of a task on a worker of ordinary speed.

    Attributes:
        low_ms: A time that almost all such tasks need at least.
        median_ms: The time that half of such tasks exceed.
        high_ms: A time that few such tasks exceed.
    """

    low_ms: int
    median_ms: int
    high_ms: int


def declared(step: spec.Step) -> RunTime:
    """Returns the run time that a job declares for the tasks of a step."""
    return RunTime(
        low_ms=step.estimate_ms,
        median_ms=step.estimate_ms,
        high_ms=step.estimate_ms,
    )
