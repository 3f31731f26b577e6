"""Decides where waiting units start and which runs they preempt."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import operator

from citronmount.fleet import fleet_configuration
from citronmount.fleet import job_faults
from citronmount.fleet.accounts import fair_shares
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.accounts import quotas
from citronmount.fleet.placement import fitting
from citronmount.fleet.placement import preemption_policy
from citronmount.fleet.placement import preemption_worth
from citronmount.fleet.placement import rack_preference
from citronmount.fleet.placement import slowdown_choice
from citronmount.fleet.placement import speed_choice
from citronmount.fleet.placement import unit_fitting
from citronmount.fleet.placement import worker_candidates
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import demand_history
from citronmount.fleet.queueing import holds
from citronmount.fleet.queueing import reservations
from citronmount.fleet.queueing import urgency
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.queueing import worth_round
from citronmount.fleet.runs import run_table
from citronmount.fleet.workers import service_use
from citronmount.fleet.workers import speed_range
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_health
from citronmount.workflow import units

__all__ = ["Planner"]

# Share of its slack that a gang waits for capacity by chance.
RESERVATION_SLACK_SHARE = 0.25

# All that determines where a unit fits; units of equal shape fit alike.
_Shape = tuple


class Planner:
    """One round of placement decisions.

    Decisions allocate resources in a copy of the table's allocations, so that
    no two decisions of a round use the same capacity.

    Attributes:
        quotas: Quotas and usage of the client accounts in this round.
    """

    def __init__(
        self,
        *,
        workers: Sequence[worker_directory.Worker],
        table: run_table.RunTable,
        accounts: Iterable[fleet_configuration.Account],
        bounds: fleet_configuration.Bounds,
        now_ms: int,
        wall_ms: int = 0,
        assess: Callable[
            [worker_directory.Worker], worker_health.Assessment
        ] = worker_candidates.assume_healthy,
        slowdown: Callable[
            [worker_directory.Worker], float
        ] = worker_candidates.assume_fast,
        speed: Callable[[worker_directory.Worker], speed_range.SpeedRange]
        | None = None,
        allowed: Callable[
            [units.UnitKey, worker_directory.Worker], bool
        ] = worker_candidates.any_worker,
        shares: fair_shares.FairShares | None = None,
        demand: demand_history.DemandHistory | None = None,
        holds_back: bool = False,
        faults: job_faults.JobFaults | None = None,
        listed: Sequence[worker_directory.Worker] | None = None,
    ) -> None:
        """Initializes a round.

        Args:
            workers: The workers that may receive tasks.
            table: All runs.
            accounts: The client accounts with their guarantees.
            bounds: Time bounds and factors of the site.
            now_ms: Monotonic time in milliseconds.
            wall_ms: Unix time in milliseconds.
            assess: Returns the assessment of a worker.
            slowdown: Returns by which factor a worker is slower than a fast
                one.
            speed: Returns the likely speeds of a worker, which then decide in
                place of `slowdown`.
            allowed: Returns whether the queue's policy allows a worker for a
                unit.
            shares: Orders the accounts while the pool is full, or None.
            demand: Stops and arrivals seen by the owner, or None for none.
            holds_back: Whether to hold work back for expected demand
                (`Feature.PREEMPTION_WORTH`).
            faults: Notes the jobs at which the round fails, or None for none
                known.
            listed: All workers, also those that may receive no tasks; None if
                there are no others.
        """
        self._faults = faults or job_faults.JobFaults()
        demand = demand or demand_history.DemandHistory()
        attainable = table.lasting_allocations().cached_free
        self._candidates = worker_candidates.WorkerCandidates(
            workers=workers,
            runs=table,
            assess=assess,
            slowdown=slowdown,
            allowed=allowed,
            attainable=attainable,
            now_ms=now_ms,
        )
        self._table = table
        self._allocations = table.allocations.copy()
        self._free_capacity = self._allocations.cached_free
        self._shares = shares
        self._bounds = bounds
        self._now_ms = now_ms
        self._guarantees = guarantees.Guarantees(accounts=accounts, runs=table)
        self.quotas = quotas.Quotas(accounts=accounts, runs=table)
        self._urgency = urgency.Urgency(
            guaranteed=self._guarantees, wall_ms=wall_ms
        )
        self._unplaceable: set[_Shape] = set()
        self._delay_policy = delay_scheduling.DelayPolicy(
            now_ms=now_ms,
            bounds=bounds,
            service_uses=service_use.service_uses(
                workers,
                workers if listed is None else listed,
                self._allocations,
            ),
        )
        self._choice = (
            slowdown_choice.SlowdownChoice(slowdowns=self._candidates.slowdowns)
            if speed is None
            else speed_choice.SpeedChoice(
                workers=workers,
                speed=speed,
                delay_policy=self._delay_policy,
                wall_ms=wall_ms,
            )
        )
        self._racks = rack_preference.RackPreference(
            workers=self._candidates.trusted,
            attainable=attainable,
            delay_policy=self._delay_policy,
        )
        self._preemption = preemption_policy.PreemptionPolicy(
            table=table,
            guaranteed=self._guarantees,
            order=self._urgency,
            bounds=bounds,
            now_ms=now_ms,
            worth=preemption_worth.PreemptionWorth(
                stop_count=demand.stop_count,
                bounds=bounds,
                now_ms=now_ms,
                wall_ms=wall_ms,
            ),
            by_worth=holds_back,
        )
        self._worth_round = (
            worth_round.WorthRound(
                workers=workers,
                trusted_workers=self._candidates.trusted,
                table=table,
                demand=demand,
                wall_ms=wall_ms,
                now_ms=now_ms,
                delay_policy=self._delay_policy,
            )
            if holds_back
            else None
        )
        self._reservations = (
            self._worth_round.reservations
            if self._worth_round
            else reservations.Reservations()
        )
        self._releases: reservations.Releases | None = None
        self._fitting = unit_fitting.UnitFitting(
            table=table,
            allocations=self._allocations,
            candidates=self._candidates,
            choice=self._choice,
            delay_policy=self._delay_policy,
            guaranteed=self._guarantees,
            reserved=self._reservations,
            worth=self._worth_round,
            now_ms=now_ms,
        )

    @property
    def held(self) -> dict[str, holds.Hold]:
        """The last unit of each step that was held back in this round."""
        return self._worth_round.held if self._worth_round else {}

    def decide(
        self, waiting: Iterable[waiting_units.WaitingUnit]
    ) -> list[waiting_units.Decision]:
        """Returns the units to start now.

        A unit at which the round fails is left out.

        Args:
            waiting: The units that are ready to start.

        Returns:
            Decisions, the most urgent first.
        """
        ranked = self._ranked(waiting)
        if self._shares is not None:
            ranked = self._shares.order(
                ranked,
                rank=self._urgency.rank,
                workers=self._candidates.all,
                allocations=self._allocations,
                round_quotas=self.quotas,
            )
        decisions = []
        for unit in ranked:
            try:
                decision = self._decide_within_quota(unit)
                if decision is not None:
                    self._allocate(decision)
            except Exception:
                self._faults.note(unit.key.job, self._now_ms)
                continue
            if decision is not None:
                decisions.append(decision)
        return decisions

    def _ranked(
        self, waiting: Iterable[waiting_units.WaitingUnit]
    ) -> list[waiting_units.WaitingUnit]:
        """Returns the units in the order in which they are decided on."""
        keyed = []
        for unit in waiting:
            try:
                keyed.append((self._urgency.rank(unit), unit))
            except Exception:
                self._faults.note(unit.key.job, self._now_ms)
        keyed.sort(key=operator.itemgetter(0))
        return [unit for _, unit in keyed]

    def _decide_within_quota(
        self, unit: waiting_units.WaitingUnit
    ) -> waiting_units.Decision | None:
        """Decides on a unit that its account's quota allows to start."""
        guaranteed = self._guarantees.covers(unit)
        if self.quotas.admits(unit.submission.account, unit.demand):
            return self._decide_one(unit, guaranteed)
        victims = self.quotas.victims_for(
            unit,
            self._preemption.stoppable_runs(unit, guaranteed),
            self._preemption.cost_of_stop,
        )
        if victims is None:
            return None
        with self._preemption.assume_stopped(victims):
            decision = self._decide_one(unit, guaranteed)
        if decision is None:
            return None
        decision = self.quotas.with_victims(
            decision, victims, self._preemption.lost_work
        )
        cost = sum(map(self._preemption.cost_of_stop, decision.victims))
        if not self._preemption.accepts_loss(unit, cost, guaranteed):
            self.quotas.note_limit(unit)
            return None
        return decision

    def _decide_one(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> waiting_units.Decision | None:
        spread = self._racks.spread(unit, guaranteed)
        shape = self._shape(unit, spread, guaranteed)
        worth = self._worth_round
        if not guaranteed and (
            shape in self._unplaceable or (worth and worth.holds_back(unit))
        ):
            if worth:
                worth.note_unplaced(unit)
            return None
        chosen = self._fitting.fit(unit, shape, spread, guaranteed)
        if chosen is not None:
            return waiting_units.Decision(
                waiting=unit,
                workers=tuple(chosen),
                within_guarantee=guaranteed,
                spread=spread,
            )
        decision = self._preempt(unit, spread, guaranteed)
        if decision is None:
            self._unplaceable.add(shape)
            reserved = self._reserve_if_due(unit, spread, guaranteed)
            if worth and not reserved:
                worth.note_unplaced(unit)
        return decision

    def _reserve_if_due(
        self,
        unit: waiting_units.WaitingUnit,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> bool:
        """Reserves workers for a gang if it is due; returns whether it did."""
        service = unit.submission.terms.service
        if unit.tasks < 2 or self._reservations.is_full(service):
            return False
        if self._worth_round:
            if not self._worth_round.may_reserve(unit):
                return False
        elif (
            self._now_ms - unit.since_ms
            < waiting_units.slack_ms(unit) * RESERVATION_SLACK_SHARE
        ):
            return False
        if self._releases is None:
            self._releases = reservations.Releases(
                runs=self._table, now_ms=self._now_ms
            )
        requirements = self._fitting.requirements(unit, spread)
        workers = self._choice.awaited(
            unit, self._fitting.acceptable_workers(unit, guaranteed), guaranteed
        )
        reserved = self._reservations.reserve(
            requirements,
            fitting.worker_groups(requirements, workers, spread),
            self._free_capacity,
            self._releases,
            self._now_ms,
            unit.submission.terms.priority,
        )
        if reserved:
            self._fitting.forget_slots()
        return reserved

    def _shape(
        self,
        unit: waiting_units.WaitingUnit,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> _Shape:
        return (
            unit.submission.terms.service,
            unit.step,
            unit.learned_run_time,
            unit.tasks,
            spread,
            unit.avoid,
            unit.submission.terms.slack_factor,
            self._delay_policy.accepts_slow(unit, guaranteed),
            self._delay_policy.accepts_distrusted(unit),
            self._delay_policy.accepts_avoided(unit),
            self._fitting.accepts_reserved(unit),
            unit.key.step_key if unit.has_step_limits else None,
            self._choice.key(unit, guaranteed),
            self._is_pressed(unit),
            unit.is_suspect,
            unit.submission.terms.priority if self._worth_round else None,
        )

    def _is_pressed(self, unit: waiting_units.WaitingUnit) -> bool:
        return bool(self._worth_round and self._worth_round.is_pressed(unit))

    def _preempt(
        self,
        unit: waiting_units.WaitingUnit,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> waiting_units.Decision | None:
        """Finds runs to stop for a unit that does not fit.

        Those on distrusted workers are stopped only for a guarantee that the
        others cannot honour.
        """
        if not self._preemption.may_preempt(unit, guaranteed):
            return None
        choices = [self._candidates.trusted]
        if guaranteed and self._delay_policy.accepts_distrusted(unit):
            choices.append(self._candidates.all)
        found = (
            self._preempt_on(unit, workers, spread, guaranteed)
            for workers in choices
        )
        return next((each for each in found if each is not None), None)

    def _preempt_on(
        self,
        unit: waiting_units.WaitingUnit,
        workers: Sequence[worker_directory.Worker],
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> waiting_units.Decision | None:
        """Finds runs to stop for a unit on some of the workers."""
        awaited = self._choice.awaited(
            unit,
            self._fitting.without_reserved(
                unit, self._candidates.compatible(unit, workers)
            ),
            guaranteed,
        )
        return self._preemption.find(
            unit,
            self._fitting.requirements(unit, spread),
            awaited,
            self._free_capacity,
            spread,
            guaranteed,
        )

    def _allocate(self, decision: waiting_units.Decision) -> None:
        unit = decision.waiting
        self._guarantees.consume(unit)
        self.quotas.consume(decision)
        if self._worth_round:
            self._worth_round.note_placed(unit)
        self._preemption.mark_stopped(decision.victims)
        self._fitting.note_placed(decision)
