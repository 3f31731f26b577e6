"""Which units of a job may run at a moment."""

import math

from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["Progress"]

_FAILED = records.UnitStatus.FAILED
_ENDED = (records.UnitStatus.DONE, records.UnitStatus.FAILED)


class Progress:
    """The units of one job and the order between its steps.

    Attributes:
        changed: The newest record of each unit that was ever placed.
    """

    def __init__(self, *, workflow: spec.Workflow) -> None:
        """Initializes a job of which nothing has run.

        Args:
            workflow: The job.
        """
        self._workflow = workflow
        self.changed: dict[units.UnitId, records.UnitChanged] = {}
        self._done: dict[tuple[int, int], int] = {}
        self._failed = 0
        self._open: list[units.UnitKey] = []
        self._open_until_ms = -math.inf
        self._unit_counts = [
            1 if step.gang else step.tasks for step in workflow.steps
        ]

    @property
    def started(self) -> bool:
        """Whether any task was ever started."""
        return any(unit.run for unit in self.changed.values())

    @property
    def complete(self) -> bool:
        """Whether every unit of every occurrence is done."""
        wanted = self._workflow.occurrence_count * sum(self._unit_counts)
        return sum(self._done.values()) == wanted

    @property
    def failed(self) -> bool:
        """Whether a unit has failed for good."""
        return self._failed > 0

    def apply(self, change: records.UnitChanged) -> None:
        """Takes in the newest record of a unit.

        Args:
            change: The record.
        """
        before = self.changed.get(change.unit)
        self.changed[change.unit] = change
        self._open_until_ms = -math.inf
        step = self._step_of(change.unit)
        was_failed = before is not None and before.status is _FAILED
        self._failed += (change.status is _FAILED) - was_failed
        self._done[step] = (
            self._done.get(step, 0)
            + (change.status is records.UnitStatus.DONE)
            - (before is not None and before.status is records.UnitStatus.DONE)
        )

    def open_units(self, wall_ms: int) -> list[units.UnitKey]:
        """Returns the units whose turn has come and that have not ended.

        Args:
            wall_ms: The Unix time in milliseconds.

        Returns:
            Units that run or may run now.
        """
        if wall_ms >= self._open_until_ms:
            self._refresh(wall_ms)
        return self._open

    def _refresh(self, wall_ms: int) -> None:
        self._open = []
        self._open_until_ms = math.inf
        for occurrence in range(self._workflow.occurrence_count):
            due_ms = self._workflow.due_ms(occurrence)
            if due_ms is not None and due_ms > wall_ms:
                self._open_until_ms = due_ms
                return
            for number, step in enumerate(self._workflow.steps):
                if self._may_run(occurrence, number, step):
                    self._open += self._not_ended(occurrence, number, step)

    def _may_run(self, occurrence: int, number: int, step: spec.Step) -> bool:
        return not self._step_done(occurrence, number) and all(
            self._step_done(occurrence, earlier) for earlier in step.after
        )

    def _step_done(self, occurrence: int, number: int) -> bool:
        done = self._done.get((occurrence, number), 0)
        return done >= self._unit_counts[number]

    def _not_ended(
        self, occurrence: int, number: int, step: spec.Step
    ) -> list[units.UnitKey]:
        keys = units.units_of_step(self._workflow.job, occurrence, number, step)
        return [key for key in keys if not self._ended(key.unit)]

    def _ended(self, unit: units.UnitId) -> bool:
        change = self.changed.get(unit)
        return change is not None and change.status in _ENDED

    @staticmethod
    def _step_of(unit: units.UnitId) -> tuple[int, int]:
        key = units.UnitKey.parse(unit)
        return key.occurrence, key.step
