"""Finds workers for the units of one planning round, capacity included."""

import collections
from collections.abc import Hashable

import msgspec

from citronmount.core import ids
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.placement import fitting
from citronmount.fleet.placement import slowdown_choice
from citronmount.fleet.placement import speed_choice
from citronmount.fleet.placement import start_isolation
from citronmount.fleet.placement import worker_candidates
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import reservations
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.queueing import worth_round
from citronmount.fleet.runs import run_table
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory

__all__ = ["UnitFitting"]


class UnitFitting:
    """Workers with free capacity for units, as a planning round proceeds."""

    def __init__(
        self,
        *,
        table: run_table.RunTable,
        allocations: worker_allocations.WorkerAllocations,
        candidates: worker_candidates.WorkerCandidates,
        choice: slowdown_choice.SlowdownChoice | speed_choice.SpeedChoice,
        delay_policy: delay_scheduling.DelayPolicy,
        guaranteed: guarantees.Guarantees,
        reserved: reservations.Reservations,
        worth: worth_round.WorthRound | None,
        now_ms: int,
    ) -> None:
        """Initializes the fitting of a round.

        Args:
            table: All runs.
            allocations: Resources allocated by the runs and in this round.
            candidates: The workers that units may use, capacity aside.
            choice: Chooses among workers of different speeds.
            delay_policy: What a unit accepts after its waiting time.
            guaranteed: The accounts' guarantees.
            reserved: Workers reserved for gangs.
            worth: Packing and pressed units, or None without
                `Feature.PREEMPTION_WORTH`.
            now_ms: Monotonic time in milliseconds.
        """
        self._table = table
        self._allocations = allocations
        self._free_capacity = allocations.cached_free
        self._candidates = candidates
        self._choice = choice
        self._delay_policy = delay_policy
        self._guarantees = guaranteed
        self._reservations = reserved
        self._worth_round = worth
        self._now_ms = now_ms
        self._placed_counts: dict[tuple, collections.Counter[ids.WorkerId]] = (
            collections.defaultdict(collections.Counter)
        )
        self._slots_of_shape: tuple[Hashable, fitting.TaskSlots] | None = None

    def forget_slots(self) -> None:
        """Drops the slots of the last shape after a change of capacity."""
        self._slots_of_shape = None

    def note_placed(self, decision: waiting_units.Decision) -> None:
        """Allocates the resources of a decision."""
        unit = decision.waiting
        if decision.victims or unit.tasks > 1 or unit.is_suspect:
            self.forget_slots()
        self._candidates.note_placed(decision)
        demand = worker_allocations.allocated_demand(unit.step)
        for worker in decision.workers:
            self._allocations.allocate(worker.worker, demand)
            self._placed_counts[unit.key.step_key][worker.worker] += 1

    def fit(
        self,
        unit: waiting_units.WaitingUnit,
        shape: Hashable,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> list[worker_directory.Worker] | None:
        """Finds workers with free capacity for a unit.

        Workers to avoid are used last, after the unit's waiting time.
        """
        chosen = self._fit_avoiding(unit, shape, spread, guaranteed)
        if (
            chosen is None
            and unit.avoid
            and self._delay_policy.accepts_avoided(unit)
        ):
            requirements = self._full_requirements(unit)
            return self._choose(unit, requirements, spread, guaranteed)
        return chosen

    def _fit_avoiding(
        self,
        unit: waiting_units.WaitingUnit,
        shape: Hashable,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> list[worker_directory.Worker] | None:
        """Finds workers with free capacity, none that the unit avoids.

        Single tasks of equal shape share one `TaskSlots` until a gang or a
        preemption changes the free capacity in between.
        """
        if unit.is_suspect:
            return self._fit_suspect(unit, spread, guaranteed)
        if unit.tasks > 1:
            requirements = self._avoiding_requirements(unit, spread)
            return self._choose(unit, requirements, spread, guaranteed)
        if self._slots_of_shape is None or self._slots_of_shape[0] != shape:
            requirements = self._avoiding_requirements(unit, spread)
            slots = self._choice.task_slots(
                unit,
                msgspec.structs.replace(requirements, tasks=unit.step.tasks),
                self.acceptable_workers(unit, guaranteed),
                self._free_capacity,
                spread,
                guaranteed,
            )
            self._slots_of_shape = (shape, slots)
        worker = self._slots_of_shape[1].take()
        return None if worker is None else [worker]

    def _choose(
        self,
        unit: waiting_units.WaitingUnit,
        requirements: fitting.Requirements,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> list[worker_directory.Worker] | None:
        return self._choice.choose(
            unit,
            requirements,
            self.acceptable_workers(unit, guaranteed),
            self._free_capacity,
            spread,
            guaranteed,
        )

    def _fit_suspect(
        self,
        unit: waiting_units.WaitingUnit,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> list[worker_directory.Worker] | None:
        """Finds workers for a suspect unit, idle ones first."""
        requirements = self._avoiding_requirements(unit, spread)
        workers = self.acceptable_workers(unit, guaranteed)
        idle = start_isolation.idle_workers(workers, self._allocations)
        choices = (
            self._choice.choose(
                unit,
                requirements,
                each,
                self._free_capacity,
                spread,
                guaranteed,
            )
            for each in (idle, workers)
        )
        return next((each for each in choices if each is not None), None)

    def acceptable_workers(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> list[worker_directory.Worker]:
        """Returns the workers that a unit accepts after its waiting time."""
        return self.without_reserved(
            unit,
            self._candidates.acceptable(unit, self._delay_policy, guaranteed),
        )

    def without_reserved(
        self,
        unit: waiting_units.WaitingUnit,
        workers: list[worker_directory.Worker],
    ) -> list[worker_directory.Worker]:
        """Returns the workers that are not reserved against a unit.

        Units inside a guarantee may use reserved workers as well, and so may
        those that accept them and need at most half of what is free.
        """
        if self._guarantees.covers(unit) or bool(
            self._worth_round and self._worth_round.is_pressed(unit)
        ):
            return workers
        allowed = [
            each
            for each in workers
            if self._reservations.allows(each, unit, self._now_ms)
        ]
        if (
            len(allowed) < len(workers)
            and self.accepts_reserved(unit)
            and self._fits_twice(unit, workers)
        ):
            return workers
        return allowed

    def accepts_reserved(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit accepts reserved workers after its wait.

        A job with other units that run is being served; their stream would keep
        a gang from its start.
        """
        return self._delay_policy.accepts_reserved(
            unit
        ) and not self._table.runs_of_job(unit.key.job)

    def _fits_twice(
        self,
        unit: waiting_units.WaitingUnit,
        workers: list[worker_directory.Worker],
    ) -> bool:
        """Returns whether free capacity holds twice as many tasks as a unit."""
        requirements = msgspec.structs.replace(
            self._full_requirements(unit), tasks=2 * unit.tasks
        )
        slots = fitting.usable_slots(requirements, workers, self._free_capacity)
        return sum(count for _, count in slots) >= requirements.tasks

    def requirements(
        self, unit: waiting_units.WaitingUnit, spread: fitting.Spread
    ) -> fitting.Requirements:
        """Returns what a unit requires after its waiting time."""
        if self._delay_policy.accepts_avoided(unit):
            return self._full_requirements(unit)
        return self._avoiding_requirements(unit, spread)

    def _avoiding_requirements(
        self, unit: waiting_units.WaitingUnit, spread: fitting.Spread
    ) -> fitting.Requirements:
        """Returns a unit's requirements with the workers that it avoids."""
        requirements = self._full_requirements(unit)
        if not unit.avoid:
            return requirements
        return msgspec.structs.replace(
            requirements,
            avoid=self._candidates.avoided(unit, requirements, spread),
        )

    def _full_requirements(
        self, unit: waiting_units.WaitingUnit
    ) -> fitting.Requirements:
        """Returns a unit's requirements without workers to avoid."""
        return fitting.Requirements(
            tasks=unit.tasks,
            step=unit.step,
            service=unit.submission.terms.service,
            last=self._last_resort_workers(unit),
            taken=self._tasks_per_worker(unit)
            if unit.step.max_tasks_per_worker
            else {},
        )

    def _last_resort_workers(
        self, unit: waiting_units.WaitingUnit
    ) -> frozenset[ids.WorkerId]:
        if self._worth_round and self._worth_round.packing.applies_to(unit):
            return self._worth_round.packing.other_workers
        return self._choice.last_resort(unit)

    def _tasks_per_worker(
        self, unit: waiting_units.WaitingUnit
    ) -> collections.Counter[ids.WorkerId]:
        running = self._table.tasks_per_worker(unit.key)
        return running + self._placed_counts[unit.key.step_key]
