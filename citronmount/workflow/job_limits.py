"""Ranges of the values of a job, checked before it is accepted."""

from collections.abc import Mapping

import msgspec

from citronmount.core import errors
from citronmount.workflow import spec

__all__ = [
    "JobRangeError",
    "check",
    "check_structure",
    "check_task_counts",
    "check_terms",
]

MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 1_000
MAX_TASKS_PER_STEP = 10_000
# An owner keeps the units that are due in memory.
MAX_TASKS_DUE_AT_ONCE = 100_000
MAX_OCCURRENCES = 100_000
# Records hold integers of 64 bits.
MAX_INTEGER = (1 << 63) - 1
MIN_INTEGER = -(1 << 63)
MAX_SLACK_FACTOR = 1e9

_JOB_RANGES = {
    "occurrences": (0, MAX_OCCURRENCES),
    "first_due_ms": (MIN_INTEGER, MAX_INTEGER),
    "interval_ms": (0, MAX_INTEGER),
}
_STEP_RANGES = {
    "tasks": (1, MAX_TASKS_PER_STEP),
    "estimate_ms": (0, MAX_INTEGER),
    "max_tasks_per_worker": (0, MAX_INTEGER),
    "goal_ms": (0, MAX_INTEGER),
    "max_unavailable": (0, MAX_INTEGER),
}
_DEMAND_RANGES = {
    "millicores": (0, MAX_INTEGER),
    "memory_mb": (0, MAX_INTEGER),
    "accelerators": (0, MAX_INTEGER),
}


class JobRangeError(errors.InvalidInputError):
    """A value of a job is out of range.

    Attributes:
        field: Name of the field in `spec`.
        step: Index of the step that has the field, or None for the job.
        reason: The expected and the actual value.
    """

    def __init__(
        self, *, field: str, reason: str, step: int | None = None
    ) -> None:
        """Initializes the error.

        Args:
            field: Name of the field in `spec`.
            reason: The expected and the actual value.
            step: Index of the step that has the field, or None for the job.
        """
        place = "" if step is None else f"step {step}: "
        super().__init__(f"{place}{field}: {reason}")
        self.field = field
        self.step = step
        self.reason = reason


def check(workflow: spec.Workflow) -> None:
    """Checks that a job can be recorded and run.

    Raises:
        JobRangeError: A value is out of range.
    """
    payload_bytes = len(workflow.payload.encode("utf-8"))
    if payload_bytes > MAX_PAYLOAD_BYTES:
        raise JobRangeError(
            field="payload",
            reason=f"expected at most {MAX_PAYLOAD_BYTES} bytes, "
            f"got {payload_bytes}",
        )
    if len(workflow.steps) > MAX_STEPS:
        raise JobRangeError(
            field="steps",
            reason=f"expected at most {MAX_STEPS}, got {len(workflow.steps)}",
        )
    check_structure(workflow)
    _check_ranges(workflow, _JOB_RANGES)
    for index, step in enumerate(workflow.steps):
        _check_ranges(step, _STEP_RANGES, index)
        _check_ranges(step.demand, _DEMAND_RANGES, index)
    _check_tasks_due_at_once(workflow)


def check_structure(workflow: spec.Workflow) -> None:
    """Checks the steps of a job and their order, as an owner relies on them.

    Raises:
        JobRangeError: The job has no step, or a step depends on a step that is
            not an earlier one.
    """
    if not workflow.steps:
        raise JobRangeError(field="steps", reason="expected at least 1, got 0")
    for index, step in enumerate(workflow.steps):
        if not all(0 <= earlier < index for earlier in step.after):
            raise JobRangeError(
                field="after",
                reason="expected indices of earlier steps, "
                f"got {list(step.after)}",
                step=index,
            )


def check_task_counts(workflow: spec.Workflow) -> None:
    """Checks the numbers of tasks and occurrences, which an owner expands.

    Raises:
        JobRangeError: A number is out of range.
    """
    _check_ranges(workflow, {"occurrences": _JOB_RANGES["occurrences"]})
    for index, step in enumerate(workflow.steps):
        _check_ranges(step, {"tasks": _STEP_RANGES["tasks"]}, index)


def check_terms(terms: spec.QueueTerms) -> None:
    """Checks that the objective of a queue's jobs can be computed.

    Raises:
        JobRangeError: The slack factor is not a number or out of range.
    """
    if not 0 <= terms.slack_factor <= MAX_SLACK_FACTOR:
        raise JobRangeError(
            field="slack_factor",
            reason=f"expected 0 to {MAX_SLACK_FACTOR:.0e}, "
            f"got {terms.slack_factor}",
        )


def _check_ranges(
    part: msgspec.Struct,
    ranges: Mapping[str, tuple[int, int]],
    step: int | None = None,
) -> None:
    for field, (lowest, highest) in ranges.items():
        value = getattr(part, field)
        if not lowest <= value <= highest:
            raise JobRangeError(
                field=field,
                reason=f"expected {lowest} to {highest}, got {value}",
                step=step,
            )


def _check_tasks_due_at_once(workflow: spec.Workflow) -> None:
    """Checks the tasks of all occurrences that are due at the same time."""
    count = sum(step.tasks for step in workflow.steps)
    if not workflow.interval_ms:
        count *= workflow.occurrence_count
    if count > MAX_TASKS_DUE_AT_ONCE:
        raise JobRangeError(
            field="tasks",
            reason="expected a sum over all steps due at once of at most "
            f"{MAX_TASKS_DUE_AT_ONCE}, got {count}",
        )
