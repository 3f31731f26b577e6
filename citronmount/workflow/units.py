"""Units of scheduling: a whole gang or a single task."""

import functools
import re
import typing

import msgspec

from citronmount.core import ids
from citronmount.workflow import spec

__all__ = [
    "TaskName",
    "UnitId",
    "UnitKey",
    "position_of",
    "task_names",
    "units_of_step",
]

TaskName = typing.NewType("TaskName", str)
UnitId = typing.NewType("UnitId", str)

_WHOLE_GANG = -1
_NUMBER = r"(0|[1-9][0-9]{0,17})"
_UNIT_ID = re.compile(rf"([^.]*)\.{_NUMBER}\.{_NUMBER}(?:\.{_NUMBER})?")


class UnitKey(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """Parsed id of a unit.

    Attributes:
        job: The job.
        occurrence: Index of the occurrence, counted from 0.
        step: Index of the step, counted from 0.
        index: Index of the task, counted from 0, or -1 for a whole gang.
    """

    job: ids.JobId
    occurrence: int
    step: int
    index: int = _WHOLE_GANG

    @functools.cached_property
    def unit(self) -> UnitId:
        """Unit id: ``JOB.OCCURRENCE.STEP`` or ``JOB.OCCURRENCE.STEP.INDEX``."""
        text = self.step_id
        if self.index == _WHOLE_GANG:
            return UnitId(text)
        return UnitId(f"{text}.{self.index}")

    @property
    def step_key(self) -> tuple[ids.JobId, int, int]:
        """Job, occurrence and step, which the units of a step share."""
        return self.job, self.occurrence, self.step

    @functools.cached_property
    def step_id(self) -> str:
        """Id of the unit's step: ``JOB.OCCURRENCE.STEP``."""
        return f"{self.job}.{self.occurrence}.{self.step}"

    @classmethod
    def parse(cls, unit: UnitId) -> "UnitKey":
        """Parses a unit id.

        Args:
            unit: Id as returned by the property `unit`.

        Returns:
            The key.

        Raises:
            ValueError: The text is not a unit id.
        """
        match = _UNIT_ID.fullmatch(unit)
        if match is None:
            raise ValueError(
                f"expected JOB.OCCURRENCE.STEP[.INDEX], got {unit!r}"
            )
        job, occurrence, step, index = match.groups()
        return cls(
            job=ids.JobId(job),
            occurrence=int(occurrence),
            step=int(step),
            index=_WHOLE_GANG if index is None else int(index),
        )

    def exists_in(self, workflow: spec.Workflow) -> bool:
        """Returns whether a job has this unit."""
        if self.occurrence >= workflow.occurrence_count:
            return False
        if self.step >= len(workflow.steps):
            return False
        step = workflow.steps[self.step]
        if step.gang or self.index == _WHOLE_GANG:
            return step.gang and self.index == _WHOLE_GANG
        return self.index < step.tasks


def units_of_step(
    job: ids.JobId, occurrence: int, step_index: int, step: spec.Step
) -> list[UnitKey]:
    """Returns the units of a step in one occurrence.

    Args:
        job: The job.
        occurrence: Index of the occurrence.
        step_index: Index of the step.
        step: The step.

    Returns:
        One unit for a gang, otherwise one unit per task.
    """
    indexes = (_WHOLE_GANG,) if step.gang else range(step.tasks)
    return [
        UnitKey(job=job, occurrence=occurrence, step=step_index, index=index)
        for index in indexes
    ]


def task_names(key: UnitKey, step: spec.Step) -> list[TaskName]:
    """Returns the names of a unit's tasks.

    Args:
        key: The unit.
        step: The unit's step.

    Returns:
        ``JOB.OCCURRENCE.STEP.INDEX`` for each task.
    """
    indexes = range(step.tasks) if key.index == _WHOLE_GANG else (key.index,)
    prefix = f"{key.job}.{key.occurrence}.{key.step}"
    return [TaskName(f"{prefix}.{index}") for index in indexes]


def position_of(task: TaskName, key: UnitKey) -> int:
    """Returns the position of a task among the tasks of its unit.

    Args:
        task: A task of the unit.
        key: The unit.

    Returns:
        The position, counted from 0, as in the result of `task_names`.
    """
    index = int(task.rpartition(".")[2])
    return index if key.index == _WHOLE_GANG else 0
