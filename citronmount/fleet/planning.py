"""Decides which waiting units start where, and what is stopped for them."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from citronmount.core import ids
from citronmount.fleet import configuration as configuration_lib
from citronmount.fleet import fitting
from citronmount.fleet import preemption
from citronmount.fleet import room as room_lib
from citronmount.fleet import run_table
from citronmount.fleet import runs as runs_lib
from citronmount.fleet import worker_health
from citronmount.fleet import workers as workers_lib
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["Decision", "Planner", "Waiting", "has_room_for", "objective_end_ms"]

FIRST_PRIORITY = 0
URGENCY_FACTOR = 2.5
SPREAD_WAIT_GUARANTEED_MS = 700
DISTRUST_WAIT_MS = 1_500
SPREAD_WAIT_IDLE_POOL_MS = 1_500
_IDLE_POOL_SHARE = 0.5


def _full_trust(worker: workers_lib.Worker) -> worker_health.Trust:
    del worker
    return worker_health.Trust()


def _anyone(key: units.UnitKey, worker: workers_lib.Worker) -> bool:
    del key, worker
    return True


class Waiting(msgspec.Struct, frozen=True, kw_only=True):
    """A unit that may start.

    Attributes:
        key: The unit.
        step: Its step.
        submission: Its job.
        since_ms: Steady time from which it could have started.
        run: The number of its last run.
        failures: Its failed runs.
        saved: Its newest checkpoint, or empty.
        avoid: Workers at which it failed.
    """

    key: units.UnitKey
    step: spec.Step
    submission: spec.Submission
    since_ms: int
    run: int = 0
    failures: int = 0
    saved: str = ""
    avoid: frozenset[ids.WorkerId] = frozenset()

    @property
    def tasks(self) -> int:
        """How many tasks start together."""
        return self.step.tasks if self.step.gang else 1

    @property
    def accelerators(self) -> int:
        """Accelerators of all its tasks."""
        return self.tasks * self.step.demand.accelerators


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """A unit that is to start.

    Attributes:
        waiting: The unit.
        workers: A worker for each task.
        victims: Runs that are to be stopped first.
        within_guarantee: Whether the unit is inside its account's guarantee.
        spread: Whether it was allowed to leave its preferred rack.
        lost_core_s: Work that the stops throw away.
    """

    waiting: Waiting
    workers: tuple[workers_lib.Worker, ...]
    victims: tuple[runs_lib.Run, ...] = ()
    within_guarantee: bool = False
    spread: fitting.Spread = fitting.Spread.PREFERRED
    lost_core_s: float = 0.0


def objective_end_ms(submission: spec.Submission) -> int:
    """Returns the Unix time at which a job's objective ends, as estimated.

    Args:
        submission: The job.

    Returns:
        Milliseconds.
    """
    chain: list[int] = []
    for step in submission.workflow.steps:
        before = max((chain[earlier] for earlier in step.after), default=0)
        chain.append(before + step.estimate_ms)
    longest = max(chain, default=0)
    terms = submission.terms
    allowed_ms = terms.slack_factor * longest + terms.objective_ms
    return submission.accepted_ms + int(allowed_ms)


def has_room_for(
    unit: Waiting, worker: workers_lib.Worker, room: room_lib.Room
) -> bool:
    """Returns whether one task of a unit could start at a worker.

    Args:
        unit: The unit.
        worker: The worker.
        room: What is given of the workers' room.

    Returns:
        Whether the worker suits and has room.
    """
    need = fitting.Need(
        tasks=1, step=unit.step, service=unit.submission.terms.service
    )
    free = room_lib.minus(worker.capacity, room.used(worker.worker))
    demand = room_lib.charged(unit.step)
    return fitting.suits(need, worker) and bool(
        room_lib.fits_times(free, demand, 1)
    )


class Planner:
    """One round of decisions over a table of runs.

    Room that is decided on is taken in a copy, so that no two decisions of a
    round use the same room.
    """

    def __init__(
        self,
        *,
        workers: Sequence[workers_lib.Worker],
        table: run_table.RunTable,
        accounts: Iterable[configuration_lib.Account],
        bounds: configuration_lib.Bounds,
        now_ms: int,
        trust: Callable[
            [workers_lib.Worker], worker_health.Trust
        ] = _full_trust,
        allowed: Callable[[units.UnitKey, workers_lib.Worker], bool] = _anyone,
    ) -> None:
        """Initializes a round.

        Args:
            workers: The workers that may get work.
            table: All runs.
            accounts: The client accounts with their guarantees.
            bounds: Times that the site sets.
            now_ms: Steady time in milliseconds.
            trust: What is believed of a worker.
            allowed: Whether the queue's policy allows a worker for a unit.
        """
        self._allowed = allowed
        trusts = {each.worker: trust(each) for each in workers}
        self._all = list(workers)
        self._workers = [
            each for each in workers if not trusts[each.worker].distrusted
        ]
        self._quick = [
            each
            for each in self._workers
            if trusts[each.worker].slowness < worker_health.SLOW_FACTOR
        ]
        self._table = table
        self._room = table.room.copy()
        self._bounds = bounds
        self._now_ms = now_ms
        self._left = {
            account.account: account.guaranteed_accelerators
            for account in accounts
        }
        self._stopped: set[units.UnitId] = set()
        self._full: set[tuple] = set()
        self._chosen: dict[tuple, collections.Counter[ids.WorkerId]] = (
            collections.defaultdict(collections.Counter)
        )
        self._guaranteed = self._guaranteed_runs()
        self._serving = _places(run for run in table if run.step.goal_ms)
        self._filling = _places(run for run in table if run.step.fills)
        self._idle_pool = self._used_share() < _IDLE_POOL_SHARE

    def decide(self, waiting: Iterable[Waiting]) -> list[Decision]:
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

    def _rank(self, unit: Waiting) -> tuple:
        terms = unit.submission.terms
        within = self._within_guarantee(unit)
        return (
            not within,
            terms.priority,
            objective_end_ms(unit.submission),
            unit.key.job,
            unit.key.occurrence,
            unit.key.step,
            unit.key.index,
        )

    def _within_guarantee(self, unit: Waiting) -> bool:
        if unit.submission.terms.priority != FIRST_PRIORITY:
            return False
        left = self._left.get(unit.submission.account, 0)
        return 0 < unit.accelerators <= left

    def _decide_one(self, unit: Waiting) -> Decision | None:
        spread = self._spread(unit)
        shape = (
            unit.submission.terms.service,
            unit.step,
            unit.tasks,
            spread,
            unit.avoid,
            self._takes_slow(unit),
            self._takes_distrusted(unit),
            _step_place(unit.key) if self._is_particular(unit) else None,
        )
        within = self._within_guarantee(unit)
        if shape in self._full and not within:
            return None
        need = self._need(unit)
        workers = [
            each
            for each in self._candidates(unit)
            if self._gets_along(unit, each)
        ]
        chosen = fitting.fit(need, workers, self._free, spread)
        if chosen is not None:
            return Decision(
                waiting=unit,
                workers=tuple(chosen),
                within_guarantee=within,
                spread=spread,
            )
        self._full.add(shape)
        return self._reclaim(unit, need, spread, within)

    def _gets_along(self, unit: Waiting, worker: workers_lib.Worker) -> bool:
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

    def _candidates(self, unit: Waiting) -> list[workers_lib.Worker]:
        """Returns the workers that are good enough for a unit by now."""
        if self._takes_distrusted(unit):
            return self._all
        return self._workers if self._takes_slow(unit) else self._quick

    def _takes_distrusted(self, unit: Waiting) -> bool:
        """Returns whether any worker is better than further waiting.

        Jobs that fail everywhere can cost many workers their trust.
        """
        return self._now_ms - unit.since_ms >= DISTRUST_WAIT_MS

    def _takes_slow(self, unit: Waiting) -> bool:
        """Returns whether a slow worker is better than further waiting."""
        waited_ms = self._now_ms - unit.since_ms
        limit_ms = unit.step.estimate_ms
        if self._idle_pool:
            limit_ms = min(limit_ms, SPREAD_WAIT_IDLE_POOL_MS)
        if self._within_guarantee(unit):
            limit_ms = min(limit_ms, SPREAD_WAIT_GUARANTEED_MS)
        return waited_ms >= limit_ms

    @staticmethod
    def _is_particular(unit: Waiting) -> bool:
        """Returns whether its own step decides where a unit may go."""
        advised = unit.submission.terms.needs_advice
        return advised or unit.step.max_tasks_per_worker > 0

    def _reclaim(
        self,
        unit: Waiting,
        need: fitting.Need,
        spread: fitting.Spread,
        within: bool,
    ) -> Decision | None:
        """Finds runs to stop for a unit of the first priority.

        Inside the guarantee any run outside one may go. Beyond it only runs
        of lower priority, and only if not much more work is lost than the
        unit itself is: a burst of urgent jobs is then served at the cost of
        young runs.
        """
        if unit.submission.terms.priority != FIRST_PRIORITY:
            return None
        revocable = [
            run
            for run in self._table
            if run.unit not in self._guaranteed
            and run.unit not in self._stopped
            and run.phase is runs_lib.RunPhase.ACTIVE
            and (within or run.submission.terms.priority > FIRST_PRIORITY)
            and not run.step.lasting
        ]
        revocable += self._spare_lasting() if within else []
        workers = [
            each for each in self._workers if self._gets_along(unit, each)
        ]
        found = preemption.find(
            need, workers, self._free, revocable, self._cost, spread
        )
        if found is None:
            return None
        worth = preemption.planned_work(unit.step, unit.tasks)
        if not within and found.cost_core_s > URGENCY_FACTOR * worth:
            return None
        return Decision(
            waiting=unit,
            workers=found.workers,
            victims=found.victims,
            within_guarantee=within,
            spread=spread,
            lost_core_s=found.cost_core_s,
        )

    def _spare_lasting(self) -> list[runs_lib.Run]:
        """Returns lasting runs that their steps can spare at present."""
        steps = collections.defaultdict(list)
        for run in self._table:
            if run.step.lasting and run.unit not in self._guaranteed:
                steps[_step_place(run.key)].append(run)
        return [run for members in steps.values() for run in _spared(members)]

    def _cost(self, run: runs_lib.Run) -> float:
        return preemption.lost_work(run, self._now_ms, self._bounds.save_s)

    def _accept(self, decision: Decision) -> None:
        unit = decision.waiting
        if self._within_guarantee(unit):
            self._left[unit.submission.account] -= unit.accelerators
        self._stopped.update(run.unit for run in decision.victims)
        demand = room_lib.charged(unit.step)
        names = {worker.worker for worker in decision.workers}
        if unit.step.goal_ms:
            self._serving |= names
        if unit.step.fills:
            self._filling |= names
        for worker in decision.workers:
            self._room.take(worker.worker, demand)
            self._chosen[_step_place(unit.key)][worker.worker] += 1

    def _free(self, worker: workers_lib.Worker) -> spec.Demand:
        return room_lib.minus(worker.capacity, self._room.used(worker.worker))

    def _need(self, unit: Waiting) -> fitting.Need:
        return fitting.Need(
            tasks=unit.tasks,
            step=unit.step,
            service=unit.submission.terms.service,
            avoid=self._avoided(unit),
            taken=self._taken(unit) if unit.step.max_tasks_per_worker else {},
        )

    def _avoided(self, unit: Waiting) -> frozenset[ids.WorkerId]:
        """Returns where not to start, unless that leaves nowhere."""
        anywhere = fitting.Need(
            tasks=unit.tasks,
            step=unit.step,
            service=unit.submission.terms.service,
        )
        suited = {
            worker.worker
            for worker in self._all
            if fitting.suits(anywhere, worker)
        }
        return unit.avoid if suited - unit.avoid else frozenset()

    def _taken(self, unit: Waiting) -> collections.Counter[ids.WorkerId]:
        place = _step_place(unit.key)
        running = collections.Counter(
            member.place.worker
            for run in self._table.of_job(unit.key.job)
            if _step_place(run.key) == place
            for member in run.live_members
        )
        return running + self._chosen[place]

    def _spread(self, unit: Waiting) -> fitting.Spread:
        """Returns whether waiting for the preferred rack costs too much."""
        waited_ms = self._now_ms - unit.since_ms
        slower = self._bounds.spread_factor - 1
        limit_ms = int(slower * unit.step.estimate_ms)
        if self._idle_pool:
            limit_ms = min(limit_ms, SPREAD_WAIT_IDLE_POOL_MS)
        if self._within_guarantee(unit):
            limit_ms = min(limit_ms, SPREAD_WAIT_GUARANTEED_MS)
        if waited_ms >= limit_ms or not self._fits_one_rack(unit):
            return fitting.Spread.ANYWHERE
        return fitting.Spread.PREFERRED

    def _fits_one_rack(self, unit: Waiting) -> bool:
        if not unit.step.one_rack and not unit.step.data_rack:
            return True
        need = fitting.Need(
            tasks=unit.tasks,
            step=unit.step,
            service=unit.submission.terms.service,
        )
        return (
            fitting.fit(
                need,
                self._workers,
                lambda worker: worker.capacity,
                fitting.Spread.PREFERRED,
            )
            is not None
        )

    def _guaranteed_runs(self) -> set[units.UnitId]:
        """Counts the runs inside guarantees, the oldest first."""
        inside = set()
        for run in sorted(self._table, key=lambda each: each.placed_ms):
            if run.submission.terms.priority != FIRST_PRIORITY:
                continue
            account = run.submission.account
            used = len(run.members) * run.step.demand.accelerators
            if used <= self._left.get(account, 0):
                self._left[account] -= used
                inside.add(run.unit)
        return inside

    def _used_share(self) -> float:
        names = [worker.worker for worker in self._workers]
        used = self._room.total(names)
        whole = sum(worker.capacity.accelerators for worker in self._workers)
        cores = sum(worker.capacity.millicores for worker in self._workers)
        return max(
            used.accelerators / whole if whole else 0.0,
            used.millicores / cores if cores else 0.0,
        )


def _step_place(key: units.UnitKey) -> tuple[ids.JobId, int, int]:
    """Returns what units of one step and occurrence share."""
    return key.job, key.occurrence, key.step


def _places(some: Iterable[runs_lib.Run]) -> set[ids.WorkerId]:
    """Returns the workers that hold tasks of some runs."""
    return {member.place.worker for run in some for member in run.live_members}


def _spared(members: list[runs_lib.Run]) -> list[runs_lib.Run]:
    """Returns how many runs of one lasting step may be away, as runs.

    A step without a bound on unavailable tasks can spare all of them.
    """
    working = [
        run
        for run in members
        if run.started_ms is not None and run.phase is runs_lib.RunPhase.ACTIVE
    ]
    step = members[0].step
    if not step.max_unavailable:
        return working
    away = step.tasks - len(working)
    return working[: max(step.max_unavailable - away, 0)]
