"""Determines which units of a job can run at a given time."""

import math

from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["JobProgress"]

_FAILED = records.UnitStatus.FAILED
_FINISHED_STATUSES = (records.UnitStatus.DONE, records.UnitStatus.FAILED)


class JobProgress:
    """Tracks the units of one job and the dependencies between its steps.

    Attributes:
        unit_records: Newest record of each unit that was placed at least once.
    """

    def __init__(self, *, workflow: spec.Workflow) -> None:
        """Initializes the progress of a job that has not started.

        Args:
            workflow: The job.
        """
        self._workflow = workflow
        self.unit_records: dict[units.UnitId, records.UnitChanged] = {}
        self._done_counts: dict[tuple[int, int], int] = {}
        self._failed_count = 0
        self._open_units: list[units.UnitKey] = []
        self._next_due_ms = -math.inf
        self._unit_counts = [
            1 if step.gang else step.tasks for step in workflow.steps
        ]

    @property
    def started(self) -> bool:
        """Whether any unit has had a run."""
        return any(unit.run for unit in self.unit_records.values())

    @property
    def complete(self) -> bool:
        """Whether all units of all occurrences are done."""
        expected = self._workflow.occurrence_count * sum(self._unit_counts)
        return sum(self._done_counts.values()) == expected

    @property
    def failed(self) -> bool:
        """Whether any unit has failed permanently."""
        return self._failed_count > 0

    def apply(self, change: records.UnitChanged) -> None:
        """Replaces the record of a unit.

        Args:
            change: The unit's newest record.
        """
        previous = self.unit_records.get(change.unit)
        self.unit_records[change.unit] = change
        self._next_due_ms = -math.inf
        step = self._step_of(change.unit)
        had_failed = previous is not None and previous.status is _FAILED
        self._failed_count += (change.status is _FAILED) - had_failed
        self._done_counts[step] = (
            self._done_counts.get(step, 0)
            + (change.status is records.UnitStatus.DONE)
            - (
                previous is not None
                and previous.status is records.UnitStatus.DONE
            )
        )

    def open_units(self, wall_ms: int) -> list[units.UnitKey]:
        """Returns the units that are due, ready and not yet finished.

        A unit is ready once all steps that its step depends on are done. The
        result is cached until a record changes or the next occurrence is due.

        Args:
            wall_ms: Unix time in milliseconds.

        Returns:
            The units that run or may be started now.
        """
        if wall_ms >= self._next_due_ms:
            self._refresh(wall_ms)
        return self._open_units

    def _refresh(self, wall_ms: int) -> None:
        self._open_units = []
        self._next_due_ms = math.inf
        for occurrence in range(self._workflow.occurrence_count):
            due_ms = self._workflow.due_ms(occurrence)
            if due_ms is not None and due_ms > wall_ms:
                self._next_due_ms = due_ms
                return
            for step_index, step in enumerate(self._workflow.steps):
                if self._is_ready(occurrence, step_index, step):
                    self._open_units += self._unfinished_units(
                        occurrence, step_index, step
                    )

    def _is_ready(
        self, occurrence: int, step_index: int, step: spec.Step
    ) -> bool:
        return not self._step_done(occurrence, step_index) and all(
            self._step_done(occurrence, earlier) for earlier in step.after
        )

    def _step_done(self, occurrence: int, step_index: int) -> bool:
        done = self._done_counts.get((occurrence, step_index), 0)
        return done >= self._unit_counts[step_index]

    def _unfinished_units(
        self, occurrence: int, step_index: int, step: spec.Step
    ) -> list[units.UnitKey]:
        keys = units.units_of_step(
            self._workflow.job, occurrence, step_index, step
        )
        return [key for key in keys if not self._is_finished(key.unit)]

    def _is_finished(self, unit: units.UnitId) -> bool:
        change = self.unit_records.get(unit)
        return change is not None and change.status in _FINISHED_STATUSES

    @staticmethod
    def _step_of(unit: units.UnitId) -> tuple[int, int]:
        key = units.UnitKey.parse(unit)
        return key.occurrence, key.step
