"""Holds back work whose capacity others would take back at once.

A unit that was stopped for work of higher priority would start again on
capacity that the same burst takes back. It waits until the burst has drained:
until no unit of higher priority remains without a start in the round.

Work of lower priority also leaves headroom: the accelerators that arrivals of
the highest priority will need beyond those that its own runs release. In a
steady state this is nothing; in a burst the arrivals exceed the releases.
"""

from citronmount.fleet.accounts import guarantees
from citronmount.fleet.queueing import demand_history
from citronmount.fleet.queueing import holds
from citronmount.fleet.queueing import waiting_units

__all__ = ["HEADROOM_MS", "CapacityGuard", "is_pressed"]

# Time for which headroom is kept: about the slack of the highest priority.
HEADROOM_MS = 1_500
PRESSED_SLACK_SHARE = 0.5


def is_pressed(unit: waiting_units.WaitingUnit, wall_ms: int) -> bool:
    """Returns whether a unit has used up the slack in which it may wait.

    Such a unit is not held back any more, or the lowest priority would starve
    while gangs of higher priority wait.

    Args:
        unit: The unit.
        wall_ms: Unix time in milliseconds.

    Returns:
        Whether less than `PRESSED_SLACK_SHARE` of its slack is left.
    """
    left_share = waiting_units.left_slack_share(unit, wall_ms)
    return left_share < PRESSED_SLACK_SHARE


class CapacityGuard:
    """Units held back in one planning round.

    Attributes:
        free: Accelerators free at this point of the round.
        headroom: Accelerators to keep free.
    """

    def __init__(
        self,
        *,
        demand: demand_history.DemandHistory,
        wall_ms: int,
        free_accelerators: int = 0,
        released_accelerators: int = 0,
    ) -> None:
        """Initializes a round.

        Args:
            demand: Stops and arrivals that the owner has seen.
            wall_ms: Unix time in milliseconds.
            free_accelerators: Accelerators free at the begin of the round.
            released_accelerators: Accelerators that runs of the highest
                priority are expected to release within `HEADROOM_MS`.
        """
        self._demand = demand
        self._wall_ms = wall_ms
        self._pressed: dict[tuple, bool] = {}
        self._highest_unplaced: int | None = None
        self.free = free_accelerators
        arriving = demand.arrival_rate(guarantees.HIGHEST_PRIORITY)
        self.headroom = max(
            int(arriving * HEADROOM_MS) - released_accelerators, 0
        )

    def hold_reason(
        self, unit: waiting_units.WaitingUnit
    ) -> holds.HoldReason | None:
        """Returns why a unit beyond guarantees is held back, if it is."""
        if unit.step.lasting or self.is_pressed(unit):
            return None
        if self._demand.stop_count(unit.key.unit) and self._burst_waits(unit):
            return holds.HoldReason.BACK_OFF
        if unit.submission.terms.priority == guarantees.HIGHEST_PRIORITY:
            return None
        left = self.free - unit.accelerators
        # A unit that does not fit at all may still reserve and preempt.
        if 0 <= left < self._headroom_for(unit):
            return holds.HoldReason.HEADROOM
        return None

    def is_pressed(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns `is_pressed` of a unit, which the units of a step share."""
        step = unit.key.step_key
        if step not in self._pressed:
            self._pressed[step] = is_pressed(unit, self._wall_ms)
        return self._pressed[step]

    def note_placed(self, unit: waiting_units.WaitingUnit) -> None:
        """Counts the accelerators of a unit that starts in this round."""
        self.free -= unit.accelerators

    def _headroom_for(self, unit: waiting_units.WaitingUnit) -> float:
        """Returns the headroom, less for units that soon end or save."""
        exposed_ms = unit.run_time.high_ms
        if unit.step.checkpoints:
            exposed_ms = min(exposed_ms, HEADROOM_MS)
        return self.headroom * min(exposed_ms / (2 * HEADROOM_MS), 1.0)

    def note_unplaced(self, unit: waiting_units.WaitingUnit) -> None:
        """Notes that a unit remains without a start in this round.

        Late units don't count, nor do those that wait for the workers that
        they reserved: they don't take what others could use.
        """
        if waiting_units.left_slack_share(unit, self._wall_ms) < 0:
            return
        priority = unit.submission.terms.priority
        if self._highest_unplaced is None or priority < self._highest_unplaced:
            self._highest_unplaced = priority

    def _burst_waits(self, unit: waiting_units.WaitingUnit) -> bool:
        highest = self._highest_unplaced
        return highest is not None and highest < unit.submission.terms.priority
