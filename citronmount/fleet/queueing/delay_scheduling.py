"""Delay scheduling by a pool's owner: how long units wait for better workers.

The preferred rack or the fast workers may be full while others are free.
Waiting pays off as long as the wait is shorter than the time that the run would
lose on worse workers. The wait is capped for units inside a guarantee, for
lasting units, which have to be restored soon, and if their service is mostly
idle. See Zaharia et al., "Delay Scheduling", EuroSys 2010.

In a busy service a unit does not leave its preferred rack. Elsewhere it would
take several times the capacity from others, and after such a wait it would end
late all the same. Lasting units do leave it.
"""

from collections.abc import Mapping

import msgspec

from citronmount.fleet import fleet_configuration
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.workers import service_use
from citronmount.workflow import spec

__all__ = ["DelayPolicy"]

DISTRUSTED_DELAY_MS = 1_500
MAX_GUARANTEED_DELAY_MS = 700
MAX_IDLE_SERVICE_DELAY_MS = 1_500
MAX_LASTING_DELAY_MS = 1_500
# Used share of a service's capacity from which on it is busy.
MIN_BUSY_USE = 0.5

_NO_USE = service_use.ServiceUse()


class DelayPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Decides which workers a unit accepts, given how long it has waited.

    Attributes:
        now_ms: Monotonic time in milliseconds.
        bounds: Time bounds and factors of the site.
        service_uses: Used shares of the services' capacity; a service without
            an entry is idle.
    """

    now_ms: int
    bounds: fleet_configuration.Bounds
    service_uses: Mapping[spec.ServiceName, service_use.ServiceUse] = (
        msgspec.field(default_factory=dict)
    )

    def is_idle(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit's service is mostly idle.

        The share that is used of another resource does not count, however
        scarce that is: it keeps the unit from no worker on which it fits.
        """
        use = self.service_uses.get(unit.submission.terms.service, _NO_USE)
        return use.for_demand(unit.step.demand) < MIN_BUSY_USE

    def accepts_distrusted(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit accepts distrusted workers.

        Two jobs that fail everywhere can make many workers distrusted (see
        `worker_health.FAILURES_TO_DISTRUST`), so a unit avoids distrusted
        workers for `DISTRUSTED_DELAY_MS` only.
        """
        return self.now_ms - unit.since_ms >= DISTRUSTED_DELAY_MS

    def accepts_slow(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> bool:
        """Returns whether a unit accepts slow workers.

        The limit is the estimated run time. A worker is slow if runs on it
        take at least `worker_health.SLOW_FACTOR` times (twice) as long as on
        others, so a run there loses at least its estimated run time.
        """
        limit_ms = self._capped(unit, unit.run_time.median_ms, guaranteed)
        return self.now_ms - unit.since_ms >= limit_ms

    def accepts_avoided(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit accepts workers on which it failed before.

        In a busy service the worker that fails at once is the one that is free,
        where a unit would soon use up its attempts; lasting ones have no limit.
        """
        if not (self.is_idle(unit) or unit.step.lasting):
            return False
        return self.now_ms - unit.since_ms >= MAX_IDLE_SERVICE_DELAY_MS

    def accepts_other_racks(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> bool:
        """Returns whether a unit accepts workers outside its preferred rack.

        The limit is the additional run time on other racks.
        """
        if not (self.is_idle(unit) or guaranteed or unit.step.lasting):
            return False
        extra_factor = self.bounds.spread_factor - 1
        extra_ms = int(extra_factor * unit.run_time.median_ms)
        limit_ms = self._capped(unit, extra_ms, guaranteed)
        return self.now_ms - unit.since_ms >= limit_ms

    def accepts_reserved(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit may start on workers reserved for gangs.

        In a mostly idle service a gang that waits for one worker would keep all
        others idle; in a busy one it would never start without reservations.
        """
        waited_ms = self.now_ms - unit.since_ms
        return self.is_idle(unit) and waited_ms >= MAX_IDLE_SERVICE_DELAY_MS

    def accepts_late(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> bool:
        """Returns whether a unit accepts workers on which it would be late.

        The limit is its slack: it is late anyway after that.
        """
        slack_ms = waiting_units.slack_ms(unit)
        limit_ms = self._capped(unit, slack_ms, guaranteed)
        return self.now_ms - unit.since_ms >= limit_ms

    def _capped(
        self,
        unit: waiting_units.WaitingUnit,
        limit_ms: int,
        guaranteed: bool,
    ) -> int:
        if self.is_idle(unit):
            limit_ms = min(limit_ms, MAX_IDLE_SERVICE_DELAY_MS)
        if unit.step.lasting:
            limit_ms = min(limit_ms, MAX_LASTING_DELAY_MS)
        if guaranteed:
            limit_ms = min(limit_ms, MAX_GUARANTEED_DELAY_MS)
        return limit_ms
