"""What an owner remembers of demand and stops from round to round."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

from citronmount.fleet.queueing import holds
from citronmount.fleet.queueing import waiting_units
from citronmount.workflow import units

__all__ = ["DemandHistory"]

# Time in which the weight of an arrival falls to 1/e.
ARRIVAL_MEMORY_MS = 2_000


class DemandHistory:
    """Arrival rates by priority and the number of stops of each unit.

    It is kept in memory only: the next owner starts without it.
    """

    def __init__(self) -> None:
        """Initializes without stops and arrivals."""
        self._held: set[str] = set()
        self._observed_ms: int | None = None
        self._arrived: dict[int, float] = collections.defaultdict(float)
        self._stops: collections.Counter[units.UnitId] = collections.Counter()

    def observe(
        self, waiting: Iterable[waiting_units.WaitingUnit], now_ms: int
    ) -> None:
        """Counts the units that became ready since the last call.

        The units of the first call count as known before, since a new owner
        finds all of them at once.

        Args:
            waiting: The units that are ready to start.
            now_ms: Monotonic time in milliseconds.
        """
        last_ms, self._observed_ms = self._observed_ms, now_ms
        if last_ms is None:
            return
        kept = math.exp((last_ms - now_ms) / ARRIVAL_MEMORY_MS)
        for priority in self._arrived:
            self._arrived[priority] *= kept
        for unit in waiting:
            if unit.since_ms > last_ms and not unit.run:
                priority = unit.submission.terms.priority
                self._arrived[priority] += unit.accelerators

    def arrival_rate(self, priority: int) -> float:
        """Returns the accelerators per millisecond that a priority demands."""
        return self._arrived.get(priority, 0.0) / ARRIVAL_MEMORY_MS

    def newly_held(self, held: Mapping[str, holds.Hold]) -> list[holds.Hold]:
        """Returns the holds of a round that the round before did not have.

        Args:
            held: A hold for each step id.
        """
        before, self._held = self._held, set(held)
        return [hold for step, hold in held.items() if step not in before]

    def note_stop(self, unit: units.UnitId) -> None:
        """Counts a stop of a unit's run for other work."""
        self._stops[unit] += 1

    def stop_count(self, unit: units.UnitId) -> int:
        """Returns how often a unit was stopped for other work."""
        return self._stops.get(unit, 0)

    def forget_unit(self, unit: units.UnitId) -> None:
        """Drops what is known of a unit whose job has ended."""
        self._stops.pop(unit, None)
