"""Order in which waiting units are placed.

In an overload not every unit can start in time. The earliest deadline first
would then make every unit late, one after the other; so units that cannot meet
their objective any more come after those that can. See Locke, "Best-Effort
Decision Making for Real-Time Scheduling", PhD thesis, Carnegie Mellon
University, 1986.
"""

from citronmount.core import ids
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.queueing import waiting_units

__all__ = ["Urgency"]

# Declared run times are rough: this part of them is almost certain.
MIN_RUN_TIME_SHARE = 0.5


class Urgency:
    """Ranks the waiting units of one planning round."""

    def __init__(
        self, *, guaranteed: guarantees.Guarantees, wall_ms: int
    ) -> None:
        """Initializes the order.

        Args:
            guaranteed: The unused guarantees, which change during the round.
            wall_ms: Unix time in milliseconds.
        """
        self._guarantees = guaranteed
        self._wall_ms = wall_ms
        self._objective_ends_ms: dict[tuple[ids.JobId, int], int] = {}

    def rank(self, unit: waiting_units.WaitingUnit) -> tuple:
        """Returns the sort key of a unit, lowest for the most urgent one.

        Units inside a guarantee come first, then the priorities. Within a
        priority, the earliest objective comes first among the units that can
        be on time, then among the late ones.
        """
        return (
            not self._guarantees.covers(unit),
            unit.submission.terms.priority,
            self.is_late(unit),
            self._objective_end_ms(unit),
            unit.key.job,
            unit.key.occurrence,
            unit.key.step,
            unit.key.index,
        )

    def is_late(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit's job is almost certain to miss its objective.

        A lasting unit has no time by which it should end.
        """
        if unit.step.lasting:
            return False
        least_ms = unit.run_time.low_ms
        if unit.learned_run_time is None:
            least_ms = int(least_ms * MIN_RUN_TIME_SHARE)
        return self._wall_ms + least_ms > self._objective_end_ms(unit)

    def _objective_end_ms(self, unit: waiting_units.WaitingUnit) -> int:
        occurrence = unit.key.job, unit.key.occurrence
        cached = self._objective_ends_ms.get(occurrence)
        if cached is None:
            cached = waiting_units.objective_end_ms(
                unit.submission, unit.key.occurrence, unit.step_medians_ms
            )
            self._objective_ends_ms[occurrence] = cached
        return cached
