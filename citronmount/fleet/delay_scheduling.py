"""How long a unit waits for better workers than those that are free.

Load pattern: the preferred rack is full, or the quick workers are. Waiting pays
as long as the run on other workers would take longer than the wait; inside a
guarantee, and in a pool that is mostly idle, it is bounded.
"""

import msgspec

from citronmount.fleet import fleet_configuration
from citronmount.fleet import waiting_units

__all__ = ["DelayPolicy"]

DISTRUSTED_DELAY_MS = 1_500
MAX_GUARANTEED_DELAY_MS = 700
MAX_IDLE_POOL_DELAY_MS = 1_500


class DelayPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """What a unit takes after the time that it has waited.

    Attributes:
        now_ms: Steady time in milliseconds.
        bounds: Times that the site sets.
        idle_pool: Whether the pool is mostly idle.
    """

    now_ms: int
    bounds: fleet_configuration.Bounds
    idle_pool: bool

    def accepts_distrusted(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether any worker is better than further waiting.

        Jobs that fail everywhere can cost many workers their trust.
        """
        return self.now_ms - unit.since_ms >= DISTRUSTED_DELAY_MS

    def accepts_slow(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> bool:
        """Returns whether a slow worker is better than further waiting."""
        limit_ms = self._capped(unit.step.estimate_ms, guaranteed)
        return self.now_ms - unit.since_ms >= limit_ms

    def accepts_other_racks(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> bool:
        """Returns whether another rack is better than further waiting."""
        slower = self.bounds.spread_factor - 1
        limit_ms = self._capped(int(slower * unit.step.estimate_ms), guaranteed)
        return self.now_ms - unit.since_ms >= limit_ms

    def _capped(self, limit_ms: int, guaranteed: bool) -> int:
        if self.idle_pool:
            limit_ms = min(limit_ms, MAX_IDLE_POOL_DELAY_MS)
        if guaranteed:
            limit_ms = min(limit_ms, MAX_GUARANTEED_DELAY_MS)
        return limit_ms
