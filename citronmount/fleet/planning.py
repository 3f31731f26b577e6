"""Decides which waiting units start where, and what is stopped for them."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from citronmount.core import ids
from citronmount.fleet import delay_scheduling
from citronmount.fleet import fitting
from citronmount.fleet import fleet_configuration
from citronmount.fleet import guarantees
from citronmount.fleet import preemption
from citronmount.fleet import run_table
from citronmount.fleet import unit_runs
from citronmount.fleet import waiting_units
from citronmount.fleet import worker_allocations
from citronmount.fleet import worker_directory
from citronmount.fleet import worker_health
from citronmount.fleet import worker_speeds
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["Planner"]

URGENCY_FACTOR = 1.5
PATIENT_SLACK_FACTOR = 2.0
_IDLE_POOL_SHARE = 0.5

# What decides whether a unit fits: units with equal shapes fit alike.
_Shape = tuple


def _full_trust(worker: worker_directory.Worker) -> worker_health.Trust:
    del worker
    return worker_health.Trust()


def _full_speed(worker: worker_directory.Worker) -> float:
    del worker
    return 1.0


def _anyone(key: units.UnitKey, worker: worker_directory.Worker) -> bool:
    del key, worker
    return True


class Planner:
    """One round of decisions over a table of runs.

    Room that is decided on is taken in a copy, so that no two decisions of a
    round use the same room.
    """

    def __init__(
        self,
        *,
        workers: Sequence[worker_directory.Worker],
        table: run_table.RunTable,
        accounts: Iterable[fleet_configuration.Account],
        bounds: fleet_configuration.Bounds,
        now_ms: int,
        trust: Callable[
            [worker_directory.Worker], worker_health.Trust
        ] = _full_trust,
        slowdown: Callable[[worker_directory.Worker], float] = _full_speed,
        allowed: Callable[
            [units.UnitKey, worker_directory.Worker], bool
        ] = _anyone,
    ) -> None:
        """Initializes a round.

        Args:
            workers: The workers that may get work.
            table: All runs.
            accounts: The client accounts with their guarantees.
            bounds: Times that the site sets.
            now_ms: Steady time in milliseconds.
            trust: What is believed of a worker.
            slowdown: How much longer a worker takes than a quick one.
            allowed: Whether the queue's policy allows a worker for a unit.
        """
        self._allowed = allowed
        trusts = {each.worker: trust(each) for each in workers}
        slowdowns = {each.worker: slowdown(each) for each in workers}
        self._all = list(workers)
        self._workers = [
            each for each in workers if not trusts[each.worker].distrusted
        ]
        self._quick = [
            each
            for each in self._workers
            if trusts[each.worker].slowness < worker_health.SLOW_FACTOR
            and slowdowns[each.worker] < worker_health.SLOW_FACTOR
        ]
        self._slower = frozenset(
            name
            for name, factor in slowdowns.items()
            if factor >= worker_speeds.SLOWER_FACTOR
        )
        self._quicker = frozenset(slowdowns) - self._slower
        self._table = table
        self._room = table.room.copy()
        self._bounds = bounds
        self._now_ms = now_ms
        self._guarantees = guarantees.Guarantees(accounts=accounts, runs=table)
        self._stopped: set[units.UnitId] = set()
        self._full: set[_Shape] = set()
        self._chosen: dict[tuple, collections.Counter[ids.WorkerId]] = (
            collections.defaultdict(collections.Counter)
        )
        self._serving = _places(run for run in table if run.step.goal_ms)
        self._filling = _places(run for run in table if run.step.fills)
        self._patience = delay_scheduling.DelayPolicy(
            now_ms=now_ms,
            bounds=bounds,
            idle_pool=self._used_share() < _IDLE_POOL_SHARE,
        )
        self._shelf: tuple[_Shape, fitting.Shelf] | None = None
        self._one_rack_fits: dict[tuple, bool] = {}
        self._objective_ends_ms: dict[ids.JobId, int] = {}

    def decide(
        self, waiting: Iterable[waiting_units.WaitingUnit]
    ) -> list[waiting_units.Decision]:
        """Returns what is to start now.

        Args:
            waiting: The units that may start.

        Returns:
            Decisions, the most urgent first.
        """
        ranked = sorted(waiting, key=self._rank)
        decisions = []
        for unit in ranked:
            decision = self._decide_one(unit)
            if decision is not None:
                self._accept(decision)
                decisions.append(decision)
        return decisions

    def _rank(self, unit: waiting_units.WaitingUnit) -> tuple:
        return (
            not self._guarantees.covers(unit),
            unit.submission.terms.priority,
            self._objective_end_ms(unit),
            unit.key.job,
            unit.key.occurrence,
            unit.key.step,
            unit.key.index,
        )

    def _objective_end_ms(self, unit: waiting_units.WaitingUnit) -> int:
        known = self._objective_ends_ms.get(unit.key.job)
        if known is None:
            known = waiting_units.objective_end_ms(unit.submission)
            self._objective_ends_ms[unit.key.job] = known
        return known

    def _decide_one(
        self, unit: waiting_units.WaitingUnit
    ) -> waiting_units.Decision | None:
        within = self._guarantees.covers(unit)
        spread = self._spread(unit, within)
        shape = self._shape(unit, spread, within)
        if shape in self._full and not within:
            return None
        chosen = self._fit(unit, shape, spread, within)
        if chosen is not None:
            return waiting_units.Decision(
                waiting=unit,
                workers=tuple(chosen),
                within_guarantee=within,
                spread=spread,
            )
        self._full.add(shape)
        return self._reclaim(unit, spread, within)

    def _shape(
        self,
        unit: waiting_units.WaitingUnit,
        spread: fitting.Spread,
        within: bool,
    ) -> _Shape:
        return (
            unit.submission.terms.service,
            unit.step,
            unit.tasks,
            spread,
            unit.avoid,
            unit.submission.terms.slack_factor,
            self._patience.takes_slow(unit, within),
            self._patience.takes_distrusted(unit),
            _step_place(unit.key) if _is_particular(unit) else None,
        )

    def _fit(
        self,
        unit: waiting_units.WaitingUnit,
        shape: _Shape,
        spread: fitting.Spread,
        within: bool,
    ) -> list[worker_directory.Worker] | None:
        """Finds workers with room for a unit.

        Single tasks of one shape take from one shelf as long as nothing else
        takes room between them.
        """
        if unit.tasks > 1:
            workers = self._suited(unit, within)
            return fitting.fit(self._need(unit), workers, self._free, spread)
        if self._shelf is None or self._shelf[0] != shape:
            need = self._need(unit, most=unit.step.tasks)
            workers = self._suited(unit, within)
            shelf = fitting.shelf(need, workers, self._free, spread)
            self._shelf = (shape, shelf)
        worker = self._shelf[1].take()
        return None if worker is None else [worker]

    def _suited(
        self, unit: waiting_units.WaitingUnit, within: bool
    ) -> list[worker_directory.Worker]:
        """Returns the workers that are good enough for a unit by now."""
        workers = self._quick
        if self._patience.takes_slow(unit, within):
            workers = self._workers
        if self._patience.takes_distrusted(unit):
            workers = self._all
        return [each for each in workers if self._gets_along(unit, each)]

    def _gets_along(
        self, unit: waiting_units.WaitingUnit, worker: worker_directory.Worker
    ) -> bool:
        """Returns whether a unit may and should go to a worker at all.

        Filling tasks slow down the answers of tasks that serve users, so the
        two are kept apart.
        """
        advised = unit.submission.terms.needs_advice
        if advised and not self._allowed(unit.key, worker):
            return False
        if unit.step.fills:
            return worker.worker not in self._serving
        if unit.step.goal_ms:
            return worker.worker not in self._filling
        return True

    def _reclaim(
        self,
        unit: waiting_units.WaitingUnit,
        spread: fitting.Spread,
        within: bool,
    ) -> waiting_units.Decision | None:
        """Finds runs to stop for a unit of the first priority.

        Inside the guarantee any run outside one may go. Beyond it only runs
        of lower priority, and only if not much more work is lost than the
        unit itself is: a burst of urgent jobs is then served at the cost of
        young runs.
        """
        if unit.submission.terms.priority != guarantees.FIRST_PRIORITY:
            return None
        workers = [
            each for each in self._workers if self._gets_along(unit, each)
        ]
        found = preemption.find(
            self._need(unit),
            workers,
            self._free,
            self._revocable(within),
            self._cost,
            spread,
        )
        if found is None:
            return None
        worth = preemption.planned_work(unit.step, unit.tasks)
        if not within and found.cost_core_s > URGENCY_FACTOR * worth:
            return None
        return waiting_units.Decision(
            waiting=unit,
            workers=found.workers,
            victims=found.victims,
            within_guarantee=within,
            spread=spread,
            lost_core_s=found.cost_core_s,
        )

    def _revocable(self, within: bool) -> list[unit_runs.Run]:
        """Returns the runs that may be stopped."""
        lowest = guarantees.FIRST_PRIORITY
        revocable = [
            run
            for run in self._table
            if run.unit not in self._guarantees.inside
            and run.unit not in self._stopped
            and run.phase is unit_runs.RunPhase.ACTIVE
            and (within or run.submission.terms.priority > lowest)
            and not run.step.lasting
        ]
        return revocable + (self._spare_lasting() if within else [])

    def _spare_lasting(self) -> list[unit_runs.Run]:
        """Returns lasting runs that their steps can spare at present."""
        steps = collections.defaultdict(list)
        for run in self._table:
            if run.step.lasting and run.unit not in self._guarantees.inside:
                steps[_step_place(run.key)].append(run)
        return [run for members in steps.values() for run in _spared(members)]

    def _cost(self, run: unit_runs.Run) -> float:
        return preemption.lost_work(run, self._now_ms, self._bounds.save_s)

    def _accept(self, decision: waiting_units.Decision) -> None:
        unit = decision.waiting
        if decision.victims or unit.tasks > 1:
            self._shelf = None
        self._guarantees.use(unit)
        self._stopped.update(run.unit for run in decision.victims)
        demand = worker_allocations.allocated_demand(unit.step)
        names = {worker.worker for worker in decision.workers}
        if unit.step.goal_ms:
            self._serving |= names
        if unit.step.fills:
            self._filling |= names
        for worker in decision.workers:
            self._room.take(worker.worker, demand)
            self._chosen[_step_place(unit.key)][worker.worker] += 1

    def _free(self, worker: worker_directory.Worker) -> spec.Demand:
        return worker_allocations.subtract_demands(
            worker.capacity, self._room.used(worker.worker)
        )

    def _need(
        self, unit: waiting_units.WaitingUnit, most: int = 0
    ) -> fitting.Need:
        """Returns what a unit needs, or `most` single tasks like it."""
        return fitting.Need(
            tasks=most or unit.tasks,
            step=unit.step,
            service=unit.submission.terms.service,
            avoid=self._avoided(unit),
            last=self._last(unit),
            taken=self._taken(unit) if unit.step.max_tasks_per_worker else {},
        )

    def _last(self, unit: waiting_units.WaitingUnit) -> frozenset[ids.WorkerId]:
        """Returns the workers that a unit should leave to others.

        Load pattern: urgent gangs among work that can wait. Jobs with little
        slack get the quick workers, the others leave those free for them.
        """
        patient = unit.submission.terms.slack_factor >= PATIENT_SLACK_FACTOR
        if self._slower and patient and not unit.step.lasting:
            return self._quicker
        return self._slower

    def _avoided(
        self, unit: waiting_units.WaitingUnit
    ) -> frozenset[ids.WorkerId]:
        """Returns where not to start, unless that leaves nowhere."""
        if not unit.avoid:
            return unit.avoid
        anywhere = _bare_need(unit)
        suited = {
            worker.worker
            for worker in self._all
            if fitting.suits(anywhere, worker)
        }
        return unit.avoid if suited - unit.avoid else frozenset()

    def _taken(
        self, unit: waiting_units.WaitingUnit
    ) -> collections.Counter[ids.WorkerId]:
        place = _step_place(unit.key)
        running = collections.Counter(
            member.place.worker
            for run in self._table.of_job(unit.key.job)
            if _step_place(run.key) == place
            for member in run.live_members
        )
        return running + self._chosen[place]

    def _spread(
        self, unit: waiting_units.WaitingUnit, within: bool
    ) -> fitting.Spread:
        """Returns whether waiting for the preferred rack costs too much."""
        if not unit.step.one_rack and not unit.step.data_rack:
            return fitting.Spread.PREFERRED
        far = self._patience.takes_far(unit, within)
        if far or not self._fits_one_rack(unit):
            return fitting.Spread.ANYWHERE
        return fitting.Spread.PREFERRED

    def _fits_one_rack(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether an empty rack could hold a unit."""
        shape = (unit.submission.terms.service, unit.step, unit.tasks)
        known = self._one_rack_fits.get(shape)
        if known is None:
            chosen = fitting.fit(
                _bare_need(unit),
                self._workers,
                lambda worker: worker.capacity,
                fitting.Spread.PREFERRED,
            )
            known = chosen is not None
            self._one_rack_fits[shape] = known
        return known

    def _used_share(self) -> float:
        names = [worker.worker for worker in self._workers]
        used = self._room.total(names)
        whole = sum(worker.capacity.accelerators for worker in self._workers)
        cores = sum(worker.capacity.millicores for worker in self._workers)
        return max(
            used.accelerators / whole if whole else 0.0,
            used.millicores / cores if cores else 0.0,
        )


def _bare_need(unit: waiting_units.WaitingUnit) -> fitting.Need:
    """Returns what a unit needs of workers that hold nothing."""
    return fitting.Need(
        tasks=unit.tasks,
        step=unit.step,
        service=unit.submission.terms.service,
    )


def _is_particular(unit: waiting_units.WaitingUnit) -> bool:
    """Returns whether its own step decides where a unit may go."""
    advised = unit.submission.terms.needs_advice
    return advised or unit.step.max_tasks_per_worker > 0


def _step_place(key: units.UnitKey) -> tuple[ids.JobId, int, int]:
    """Returns what units of one step and occurrence share."""
    return key.job, key.occurrence, key.step


def _places(some: Iterable[unit_runs.Run]) -> set[ids.WorkerId]:
    """Returns the workers that hold tasks of some runs."""
    return {member.place.worker for run in some for member in run.live_members}


def _spared(members: list[unit_runs.Run]) -> list[unit_runs.Run]:
    """Returns how many runs of one lasting step may be away, as runs.

    A step without a bound on unavailable tasks can spare all of them.
    """
    working = [
        run
        for run in members
        if run.started_ms is not None and run.phase is unit_runs.RunPhase.ACTIVE
    ]
    step = members[0].step
    if not step.max_unavailable:
        return working
    away = step.tasks - len(working)
    return working[: max(step.max_unavailable - away, 0)]
