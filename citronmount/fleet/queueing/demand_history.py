"""What an owner remembers of demand and stops from round to round."""

import collections

from citronmount.workflow import units

__all__ = ["DemandHistory"]


class DemandHistory:
    """Number of stops of each unit.

    It is kept in memory only: the next owner starts without it.
    """

    def __init__(self) -> None:
        """Initializes without stops."""
        self._stops: collections.Counter[units.UnitId] = collections.Counter()

    def note_stop(self, unit: units.UnitId) -> None:
        """Counts a stop of a unit's run for other work."""
        self._stops[unit] += 1

    def stop_count(self, unit: units.UnitId) -> int:
        """Returns how often a unit was stopped for other work."""
        return self._stops.get(unit, 0)

    def forget_unit(self, unit: units.UnitId) -> None:
        """Drops what is known of a unit whose job has ended."""
        self._stops.pop(unit, None)
