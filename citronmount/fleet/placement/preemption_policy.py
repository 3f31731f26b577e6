"""Which units may stop runs in a planning round, and which runs.

Inside its guarantee, a unit may stop runs outside a guarantee. Beyond it, a
unit may stop only runs of lower priority: without `Feature.PREEMPTION_WORTH`
only for the highest priority and if they lose at most `MAX_LOSS_FACTOR` times
the work of the unit, with it for each priority and if the unit earns more than
they lose. A burst of urgent jobs is then served at the cost of young runs. A
unit of the highest priority that will be late anyway waits instead.

The load has several kinds of victims side by side: a young urgent gang loses
little work by a stop, but is late after it, while a long gang with slack is
not. So a stop costs the lost work and, if the job is late only because of it,
what the job loses by that.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib

from citronmount.fleet import fleet_configuration
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.placement import fitting
from citronmount.fleet.placement import preemption
from citronmount.fleet.placement import preemption_worth
from citronmount.fleet.placement import revocable_runs
from citronmount.fleet.queueing import urgency
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import run_table
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import units

__all__ = ["PreemptionPolicy"]

MAX_LOSS_FACTOR = 3.0
# A search examines each worker, so units below the highest priority get a
# bounded number of them in a round.
MAX_LOWER_PRIORITY_SEARCHES = 1
# The stopped work has to be done again, which delays others of its priority,
# so a unit below the highest priority has to earn a multiple of it.
LOWER_PRIORITY_MARGIN = 20.0


class PreemptionPolicy:
    """Preemptions of one planning round."""

    def __init__(
        self,
        *,
        table: run_table.RunTable,
        guaranteed: guarantees.Guarantees,
        order: urgency.Urgency,
        bounds: fleet_configuration.Bounds,
        now_ms: int,
        worth: preemption_worth.PreemptionWorth,
        by_worth: bool = False,
    ) -> None:
        """Initializes a round.

        Args:
            table: All runs.
            guaranteed: The unused guarantees.
            order: Tells which units are late.
            bounds: Time bounds and factors of the site.
            now_ms: Monotonic time in milliseconds.
            worth: Compares starts with stops.
            by_worth: Whether starts and stops of each priority are compared by
                their whole worth (`Feature.PREEMPTION_WORTH`).
        """
        self._table = table
        self._guarantees = guaranteed
        self._order = order
        self._bounds = bounds
        self._now_ms = now_ms
        self._worth = worth
        self._by_worth = by_worth
        self._lower_priority_searches = 0
        self._stopped_units: set[units.UnitId] = set()
        self._searches: dict[tuple[bool, int], preemption.PreemptionSearch] = {}

    def may_preempt(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> bool:
        """Returns whether a unit may stop runs, before a search for them."""
        if guaranteed:
            return True
        if unit.submission.terms.priority == guarantees.HIGHEST_PRIORITY:
            return not self._order.is_late(unit)
        return (
            self._by_worth
            and self._lower_priority_searches < MAX_LOWER_PRIORITY_SEARCHES
            and self._worth.start_worth(unit) > 0
            and self._has_victims(unit.submission.terms.priority)
        )

    def find(
        self,
        unit: waiting_units.WaitingUnit,
        requirements: fitting.Requirements,
        workers: Sequence[worker_directory.Worker],
        free: fitting.FreeCapacity,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> waiting_units.Decision | None:
        """Finds runs whose stop is worth the start of a unit.

        Args:
            unit: A unit that may preempt.
            requirements: Placement requirements of the unit.
            workers: The workers that may receive its tasks.
            free: Returns the free capacity of a worker.
            spread: Whether the unit may leave its preferred rack.
            guaranteed: Whether the unit is inside its account's guarantee.

        Returns:
            The decision, or None if no such runs are found.
        """
        priority = unit.submission.terms.priority
        self._lower_priority_searches += priority > guarantees.HIGHEST_PRIORITY
        search = self._search(guaranteed, priority)
        found = search.find(requirements, workers, free, spread)
        if found is None:
            return None
        if not self.accepts_loss(unit, found.cost_core_s, guaranteed):
            return None
        return waiting_units.Decision(
            waiting=unit,
            workers=found.workers,
            victims=found.victims,
            within_guarantee=guaranteed,
            spread=spread,
            lost_core_s=self._lost_core_s(found),
            worth_core_s=0.0 if guaranteed else self._max_loss(unit),
        )

    def stoppable_runs(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> Iterable[unit_runs.Run]:
        """Returns the runs that a unit may stop, none if it may stop none."""
        if not self.may_preempt(unit, guaranteed):
            return ()
        return self._search(guaranteed, unit.submission.terms.priority).runs

    def cost_of_stop(self, run: unit_runs.Run) -> float:
        """Returns what the stop of a run loses, 0 if it is stopped anyway."""
        if (
            run.phase is run_states.RunPhase.ENDING
            or run.unit in self._stopped_units
        ):
            return 0.0
        if self._by_worth:
            return self._worth.stop_loss(run)
        return self.lost_work(run) + self._worth.lateness_loss(run)

    def accepts_loss(
        self, unit: waiting_units.WaitingUnit, cost: float, guaranteed: bool
    ) -> bool:
        """Returns whether a unit may cause a loss by the runs that it stops."""
        return guaranteed or cost <= self._max_loss(unit)

    def mark_stopped(self, runs: Iterable[unit_runs.Run]) -> None:
        """Makes runs free of cost that are stopped for a unit of this round."""
        stopped = list(runs)
        self._stopped_units.update(run.unit for run in stopped)
        for search in self._searches.values():
            search.mark_stopped(stopped)

    @contextlib.contextmanager
    def assume_stopped(self, runs: Iterable[unit_runs.Run]) -> Iterator[None]:
        """Makes runs free of cost while a unit is placed.

        Whether they are stopped is known only with the unit's decision.
        """
        assumed = [run for run in runs if run.unit not in self._stopped_units]
        self.mark_stopped(assumed)
        try:
            yield
        finally:
            self._stopped_units.difference_update(run.unit for run in assumed)
            for search in self._searches.values():
                search.mark_running(assumed)

    def _max_loss(self, unit: waiting_units.WaitingUnit) -> float:
        """Returns the highest cost of the runs to stop for a unit."""
        if self._by_worth:
            highest = guarantees.HIGHEST_PRIORITY
            lower = unit.submission.terms.priority > highest
            margin = LOWER_PRIORITY_MARGIN if lower else 1.0
            return self._worth.start_worth(unit) / margin
        planned = preemption.planned_work(
            unit.step, unit.tasks, unit.run_time.median_ms
        )
        return MAX_LOSS_FACTOR * planned

    def _lost_core_s(self, found: preemption.PreemptionPlan) -> float:
        return sum(
            self.lost_work(run)
            for run in found.victims
            if run.phase is run_states.RunPhase.ACTIVE
        )

    def lost_work(self, run: unit_runs.Run) -> float:
        """Returns the work in core-seconds that a run loses by its stop."""
        return preemption.lost_work(run, self._now_ms, self._bounds.save_s)

    def _has_victims(self, priority: int) -> bool:
        return any(
            run.submission.terms.priority > priority for run in self._table
        )

    def _search(
        self, guaranteed: bool, priority: int
    ) -> preemption.PreemptionSearch:
        """Returns the search of this round."""
        key = guaranteed, priority
        search = self._searches.get(key)
        if search is None:
            search = preemption.PreemptionSearch(
                revocable=revocable_runs.revocable_runs(
                    self._table,
                    self._guarantees.guaranteed_units,
                    for_guarantee=guaranteed,
                    priority=priority,
                ),
                ending=revocable_runs.preempted_runs(self._table),
                cost=self.cost_of_stop,
            )
            self._searches[key] = search
        return search
