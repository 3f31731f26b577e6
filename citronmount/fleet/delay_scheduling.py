"""How long a unit waits for better workers than those that are free.

Load pattern: the preferred rack is full, or the quick workers are. Waiting pays
as long as the run on other workers would take longer than the wait; inside a
guarantee, and in a pool that is mostly idle, it is bounded.
"""

import msgspec

from citronmount.fleet import fleet_configuration
from citronmount.fleet import waiting_units

__all__ = ["DelayPolicy"]

DISTRUST_WAIT_MS = 1_500
GUARANTEED_WAIT_MS = 700
IDLE_POOL_WAIT_MS = 1_500


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

    def takes_distrusted(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether any worker is better than further waiting.

        Jobs that fail everywhere can cost many workers their trust.
        """
        return self.now_ms - unit.since_ms >= DISTRUST_WAIT_MS

    def takes_slow(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> bool:
        """Returns whether a slow worker is better than further waiting."""
        limit_ms = self._bounded(unit.step.estimate_ms, guaranteed)
        return self.now_ms - unit.since_ms >= limit_ms

    def takes_far(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> bool:
        """Returns whether another rack is better than further waiting."""
        slower = self.bounds.spread_factor - 1
        limit_ms = self._bounded(
            int(slower * unit.step.estimate_ms), guaranteed
        )
        return self.now_ms - unit.since_ms >= limit_ms

    def _bounded(self, limit_ms: int, guaranteed: bool) -> int:
        if self.idle_pool:
            limit_ms = min(limit_ms, IDLE_POOL_WAIT_MS)
        if guaranteed:
            limit_ms = min(limit_ms, GUARANTEED_WAIT_MS)
        return limit_ms
