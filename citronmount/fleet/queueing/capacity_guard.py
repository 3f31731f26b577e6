"""Holds back work whose capacity others would take back at once.

A unit that was stopped for work of higher priority would start again on
capacity that the same burst takes back. It waits until the burst has drained:
until no unit of higher priority remains without a start in the round.
"""

import enum

from citronmount.fleet.queueing import demand_history
from citronmount.fleet.queueing import urgency
from citronmount.fleet.queueing import waiting_units

__all__ = ["CapacityGuard", "HoldReason"]


class HoldReason(enum.Enum):
    """Why a unit is held back although it may fit."""

    BACK_OFF = "back_off"


class CapacityGuard:
    """Units held back in one planning round."""

    def __init__(
        self,
        *,
        demand: demand_history.DemandHistory,
        order: urgency.Urgency,
    ) -> None:
        """Initializes a round.

        Args:
            demand: Stops and arrivals that the owner has seen.
            order: Tells which units are late.
        """
        self._demand = demand
        self._order = order
        self._highest_unplaced: int | None = None

    def hold_reason(self, unit: waiting_units.WaitingUnit) -> HoldReason | None:
        """Returns why a unit beyond guarantees is held back, if it is."""
        if unit.step.lasting or self._order.is_late(unit):
            return None
        if self._demand.stop_count(unit.key.unit) and self._burst_waits(unit):
            return HoldReason.BACK_OFF
        return None

    def note_unplaced(self, unit: waiting_units.WaitingUnit) -> None:
        """Notes that a unit remains without a start in this round.

        Late units don't count, nor do those that wait for the workers that
        they reserved: they don't take what others could use.
        """
        if self._order.is_late(unit):
            return
        priority = unit.submission.terms.priority
        if self._highest_unplaced is None or priority < self._highest_unplaced:
            self._highest_unplaced = priority

    def _burst_waits(self, unit: waiting_units.WaitingUnit) -> bool:
        highest = self._highest_unplaced
        return highest is not None and highest < unit.submission.terms.priority
