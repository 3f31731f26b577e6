"""What `Feature.PREEMPTION_WORTH` adds to one planning round.

Bundles reservations by priority, back-off, headroom and packing, so that the
planner asks one object.
"""

import collections
from collections.abc import Sequence

from citronmount.fleet.accounts import guarantees
from citronmount.fleet.placement import packing
from citronmount.fleet.queueing import capacity_guard
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import demand_history
from citronmount.fleet.queueing import holds
from citronmount.fleet.queueing import reservations
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_table
from citronmount.fleet.workers import worker_directory

__all__ = ["WorthRound"]

# Workers of a service for each of its reservations of a round.
WORKERS_PER_RESERVATION = 8


class WorthRound:
    """Reservations, back-off, headroom and packing of one round.

    Attributes:
        reservations: Reservations by priority.
        packing: Workers for single tasks of the lowest priority.
        held: The last unit of each step that was held back.
    """

    def __init__(
        self,
        *,
        workers: Sequence[worker_directory.Worker],
        trusted_workers: Sequence[worker_directory.Worker],
        table: run_table.RunTable,
        demand: demand_history.DemandHistory,
        wall_ms: int,
        now_ms: int,
        delay_policy: delay_scheduling.DelayPolicy,
    ) -> None:
        """Initializes a round.

        Args:
            workers: The workers that may receive tasks.
            trusted_workers: Those of them that are not distrusted.
            table: All runs.
            demand: Stops and arrivals that the owner has seen.
            wall_ms: Unix time in milliseconds.
            now_ms: Monotonic time in milliseconds.
            delay_policy: Tells which services are busy.
        """
        self._delay_policy = delay_policy
        self.held: dict[str, holds.Hold] = {}
        self.packing = packing.LowestPriorityPacking(
            workers=workers, runs=table
        )
        self.reservations = reservations.Reservations(
            limits={
                service: max(
                    count // WORKERS_PER_RESERVATION,
                    reservations.MAX_RESERVATIONS,
                )
                for service, count in collections.Counter(
                    worker.service for worker in trusted_workers
                ).items()
            },
            by_priority=True,
        )
        self._guard = capacity_guard.CapacityGuard(
            demand=demand,
            wall_ms=wall_ms,
            free_accelerators=sum(
                each.capacity.accelerators
                - table.allocations.used(each.worker).accelerators
                for each in trusted_workers
            ),
            released_accelerators=reservations.released_accelerators(
                table,
                guarantees.HIGHEST_PRIORITY,
                now_ms,
                capacity_guard.HEADROOM_MS,
            ),
        )

    def may_reserve(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a gang may reserve workers: in a busy service."""
        return not self._delay_policy.is_idle(unit)

    def holds_back(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit beyond guarantees is held back.

        Nothing is held back while its service is mostly idle.
        """
        if self._delay_policy.is_idle(unit):
            return False
        reason = self._guard.hold_reason(unit)
        if reason is not None:
            self.held[unit.key.step_id] = holds.Hold(
                unit=unit.key.unit,
                reason=reason,
                priority=unit.submission.terms.priority,
                free_accelerators=self._guard.free,
                headroom_accelerators=self._guard.headroom,
            )
        return reason is not None

    def is_pressed(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether reservations do not hold against a unit."""
        return self._guard.is_pressed(unit)

    def note_unplaced(self, unit: waiting_units.WaitingUnit) -> None:
        """Notes that a unit waits without a start or a reservation."""
        self._guard.note_unplaced(unit)

    def note_placed(self, unit: waiting_units.WaitingUnit) -> None:
        """Counts the capacity of a unit that starts in this round."""
        self._guard.note_placed(unit)
