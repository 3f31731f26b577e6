"""Replays a day of overload on the decisions of a pool's owner.

The planner and the run table are those of the owner; the workers are simulated.
A third of them is slower, and twice a day a share of them leaves at short
notice. No message is lost or late and no run fails by itself, so that two
versions of the decisions can be compared on the same arrivals.
"""

import collections
import random

import msgspec

from citronmount.bench import pool_workload
from citronmount.bench import workload
from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import run_table
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["DayResult", "QueueResult", "replay"]

ROUND_MS = 100
PROGRESS_PERIOD_MS = 500
START_MS = 100
STOP_MS = 300
SETTLE_S = 15.0
WORKERS_PER_RACK = 20
DOMAINS = 5
SLOW_SHARE = 1 / 3
SLOW_FACTOR = 1.3
SPREAD_FACTOR = 3.0
GUARANTEED_ACCELERATORS = 30
LEAVE_AT_S = (8.0, 28.0)
LEAVE_SHARE = 0.16
LEAVE_NOTICE_MS = 2_000
REPLACED_AFTER_MS = 4_000
LATE_FACTOR = 3.0
# Weight of a job: a fixed part, and a part in proportion to its work.
FIXED_WEIGHT = 0.3
SIZE_WEIGHT = 0.7

_MS_PER_S = 1_000
# Monotonic times of the replay are positive from the begin of the warm-up on.
_CLOCK_OFFSET_MS = 100_000
_CAPACITY = spec.Demand(millicores=64_000, memory_mb=128_000, accelerators=8)


class QueueResult(msgspec.Struct, kw_only=True):
    """Results of one queue.

    Attributes:
        jobs: Number of jobs.
        on_time: Number of jobs that met their objective.
        late: Number of jobs that ended within `LATE_FACTOR` times as long.
        earned: Worth of the jobs, by the time at which they ended.
        owed: Worth of the jobs, had all been on time.
    """

    jobs: int = 0
    on_time: int = 0
    late: int = 0
    earned: float = 0.0
    owed: float = 0.0


class DayResult(msgspec.Struct, kw_only=True):
    """Results of a day.

    Attributes:
        queues: Results by queue.
        preemptions: Number of preempted runs.
        wasted_share: Work that stopped runs lost, as a share of what the pool
            could have done, with accelerators counted as cores.
        worth: Worth earned divided by worth owed.
    """

    queues: dict[str, QueueResult]
    preemptions: int
    wasted_share: float
    worth: float


class _Unit(msgspec.Struct, kw_only=True):
    """A unit of a job, between and during its runs."""

    key: units.UnitKey
    arrival: pool_workload.Arrival
    ready_ms: int
    runs: int = 0
    saved_ms: float = 0.0

    @property
    def step(self) -> spec.Step:
        return self.arrival.submission.workflow.steps[0]


class _ActiveRun(msgspec.Struct, kw_only=True):
    """Times of a run; `starts_ms` is None while runs are in its way."""

    unit: _Unit
    run: unit_runs.Run
    victims: tuple[unit_runs.Run, ...]
    run_time_ms: float
    starts_ms: int | None = None
    stops_ms: int | None = None

    def worked_ms(self, now_ms: int) -> int:
        return max(now_ms - self.starts_ms, 0) if self.starts_ms else 0


class _Replay:
    """State of one replayed day; times are milliseconds from its begin."""

    def __init__(self, *, seed: int, workers: int, load: float) -> None:
        self._rng: random.Random = workload.make_rng("pool workers", seed)
        self._worker_count = workers
        self._arrivals = collections.deque(
            pool_workload.arrivals(seed, workers, load)
        )
        self._jobs = list(self._arrivals)
        self._slow = frozenset(
            number
            for number in range(workers)
            if self._rng.random() < SLOW_SHARE
        )
        self._workers = {
            number: _make_worker(number, 1) for number in range(workers)
        }
        self._numbers = {
            each.worker: number for number, each in self._workers.items()
        }
        # Time, new state (None for a worker that is gone) and number of the
        # worker, the next change last.
        self._changes: list[
            tuple[int, worker_directory.WorkerState | None, int]
        ] = []
        self._plan_losses()
        self._accounts = [
            fleet_configuration.Account(
                account=ids.AccountId(f"account-{number}"),
                keys=frozenset(),
                guaranteed_accelerators=int(
                    GUARANTEED_ACCELERATORS
                    * workers
                    / pool_workload.REFERENCE_WORKERS
                ),
            )
            for number in range(pool_workload.ACCOUNTS)
        ]
        self._bounds = fleet_configuration.Bounds(
            spread_factor=SPREAD_FACTOR, save_s=0.5
        )
        self._table = run_table.RunTable()
        self._waiting: dict[units.UnitId, _Unit] = {}
        self._active: dict[units.UnitId, _ActiveRun] = {}
        self._open_units: collections.Counter[ids.JobId] = collections.Counter()
        self._ended_ms: dict[ids.JobId, int] = {}
        self._preemptions = 0
        self._wasted_core_s = 0.0

    def run(self) -> DayResult:
        """Plays the day and returns its results."""
        begin_ms = -round(pool_workload.WARM_UP_S * _MS_PER_S)
        end_ms = round((pool_workload.DAY_S + SETTLE_S) * _MS_PER_S)
        for now_ms in range(begin_ms, end_ms, ROUND_MS):
            self._accept(now_ms)
            self._change_workers(now_ms)
            self._advance(now_ms)
            self._plan(now_ms)
        return self._result()

    def _plan_losses(self) -> None:
        """Draws the workers that leave: they drain, go, and are replaced."""
        states = worker_directory.WorkerState
        for at_s in LEAVE_AT_S:
            count = int(LEAVE_SHARE * self._worker_count)
            at_ms = round(at_s * _MS_PER_S)
            gone_ms = at_ms + LEAVE_NOTICE_MS
            for number in self._rng.sample(range(self._worker_count), count):
                self._changes += [
                    (at_ms, states.DRAINING, number),
                    (gone_ms, None, number),
                    (gone_ms + REPLACED_AFTER_MS, states.READY, number),
                ]
        self._changes.sort(key=lambda change: change[0], reverse=True)

    def _accept(self, now_ms: int) -> None:
        while self._arrivals and (
            self._arrivals[0].time_s * _MS_PER_S <= now_ms
        ):
            arrival = self._arrivals.popleft()
            workflow = arrival.submission.workflow
            keys = units.units_of_step(workflow.job, 0, 0, workflow.steps[0])
            self._open_units[workflow.job] = len(keys)
            for key in keys:
                self._waiting[key.unit] = _Unit(
                    key=key, arrival=arrival, ready_ms=now_ms
                )

    def _change_workers(self, now_ms: int) -> None:
        while self._changes and self._changes[-1][0] <= now_ms:
            _, state, number = self._changes.pop()
            if state is worker_directory.WorkerState.READY:
                worker = _make_worker(number, now_ms + _CLOCK_OFFSET_MS)
                self._workers[number] = worker
                self._numbers[worker.worker] = number
            elif state is not None and number in self._workers:
                self._workers[number] = msgspec.structs.replace(
                    self._workers[number], state=state
                )
            else:
                self._lose_worker(number, now_ms)

    def _lose_worker(self, number: int, now_ms: int) -> None:
        worker = self._workers.pop(number, None)
        if worker is None:
            return
        for run, _ in self._table.tasks_on_worker(worker.worker):
            if run.unit in self._active:
                self._end(run, now_ms, done=False)

    def _advance(self, now_ms: int) -> None:
        for active in list(self._active.values()):
            run = active.run
            if active.stops_ms is not None:
                if now_ms >= active.stops_ms:
                    self._end(run, now_ms, done=False)
            elif active.starts_ms is None:
                self._start_if_cleared(active, now_ms)
            elif now_ms >= active.starts_ms + active.run_time_ms:
                self._end(run, now_ms, done=True)
            elif now_ms >= active.starts_ms:
                self._report_progress(active, now_ms)

    def _start_if_cleared(self, active: _ActiveRun, now_ms: int) -> None:
        if all(victim.is_over for victim in active.victims):
            active.run.phase = run_states.RunPhase.ACTIVE
            active.starts_ms = now_ms + START_MS

    def _report_progress(self, active: _ActiveRun, now_ms: int) -> None:
        run = active.run
        if run.started_ms is None:
            run.started_ms = now_ms + _CLOCK_OFFSET_MS
        if now_ms % PROGRESS_PERIOD_MS:
            return
        percent = 100 * active.worked_ms(now_ms) / active.run_time_ms
        for member in run.members:
            member.state = run_states.MemberState.RUNNING
            member.progress.add_report(percent, now_ms + _CLOCK_OFFSET_MS)

    def _end(self, run: unit_runs.Run, now_ms: int, done: bool) -> None:
        """Ends a run; a unit that is not done waits again."""
        active = self._active.pop(run.unit)
        for member in run.members:
            self._table.mark_gone(run, member)
        self._table.remove(run)
        if done:
            self._open_units[run.job] -= 1
            if not self._open_units[run.job]:
                self._ended_ms[run.job] = now_ms
            return
        unit = active.unit
        worked_ms = active.worked_ms(now_ms)
        if run.step.checkpoints:
            unit.saved_ms += worked_ms
        else:
            self._wasted_core_s += (
                worked_ms
                / _MS_PER_S
                * worker_allocations.core_count(run.step.demand)
                * len(run.members)
            )
        unit.ready_ms = now_ms
        self._waiting[run.unit] = unit

    def _plan(self, now_ms: int) -> None:
        clock_ms = now_ms + _CLOCK_OFFSET_MS
        ready = worker_directory.WorkerState.READY
        planner = planning.Planner(
            workers=[w for w in self._workers.values() if w.state is ready],
            table=self._table,
            accounts=self._accounts,
            bounds=self._bounds,
            now_ms=clock_ms,
            wall_ms=now_ms,
            slowdown=lambda worker: self._slowdown(worker.worker),
        )
        waiting = [
            waiting_units.WaitingUnit(
                key=unit.key,
                step=unit.step,
                submission=unit.arrival.submission,
                since_ms=unit.ready_ms + _CLOCK_OFFSET_MS,
                run=unit.runs,
            )
            for unit in self._waiting.values()
        ]
        for decision in planner.decide(waiting):
            self._apply(decision, now_ms)

    def _apply(self, decision: waiting_units.Decision, now_ms: int) -> None:
        unit = self._waiting.pop(decision.waiting.key.unit)
        unit.runs += 1
        run = unit_runs.Run(
            key=unit.key,
            step=unit.step,
            submission=unit.arrival.submission,
            number=unit.runs,
            places=[
                records.Place(worker=each.worker, life_ms=each.life_ms)
                for each in decision.workers
            ],
            phase=run_states.RunPhase.CLEARING,
            now_ms=now_ms + _CLOCK_OFFSET_MS,
        )
        self._table.add(run)
        self._active[run.unit] = _ActiveRun(
            unit=unit,
            run=run,
            victims=decision.victims,
            run_time_ms=self._run_time_ms(unit, decision.workers),
        )
        for victim in decision.victims:
            if victim.cause is None:
                victim.end(run_states.EndCause.PREEMPTED)
                self._active[victim.unit].stops_ms = now_ms + STOP_MS
                self._preemptions += 1

    def _run_time_ms(
        self, unit: _Unit, workers: tuple[worker_directory.Worker, ...]
    ) -> float:
        """Returns the rest of a unit's run time, as its slowest member has."""
        factor = max(self._slowdown(worker.worker) for worker in workers)
        if unit.step.one_rack and len({each.rack for each in workers}) > 1:
            factor *= SPREAD_FACTOR
        whole_ms = unit.arrival.run_s * _MS_PER_S * factor
        return max(whole_ms - unit.saved_ms, ROUND_MS)

    def _slowdown(self, worker: ids.WorkerId) -> float:
        return SLOW_FACTOR if self._numbers[worker] in self._slow else 1.0

    def _result(self) -> DayResult:
        queues: dict[str, QueueResult] = {
            queue.terms.queue: QueueResult() for queue in pool_workload.QUEUES
        }
        day = [job for job in self._jobs if job.time_s >= 0]
        mean_work = _mean_work(day)
        for job in day:
            self._count(job, queues[job.queue.terms.queue], mean_work)
        capacity = self._worker_count * worker_allocations.core_count(_CAPACITY)
        return DayResult(
            queues=queues,
            preemptions=self._preemptions,
            wasted_share=self._wasted_core_s / (capacity * pool_workload.DAY_S),
            worth=sum(each.earned for each in queues.values())
            / sum(each.owed for each in queues.values()),
        )

    def _count(
        self,
        job: pool_workload.Arrival,
        result: QueueResult,
        mean_work: dict[spec.QueueName, float],
    ) -> None:
        queue = job.queue
        relative_work = _work(job) / mean_work[queue.terms.queue]
        weight = FIXED_WEIGHT + SIZE_WEIGHT * relative_work
        result.jobs += 1
        result.owed += weight * queue.worth
        ended_ms = self._ended_ms.get(job.submission.workflow.job)
        if ended_ms is None:
            return
        took_s = ended_ms / _MS_PER_S - job.time_s
        terms = queue.terms
        objective_s = (
            terms.slack_factor * job.run_s + terms.objective_ms / _MS_PER_S
        )
        if took_s <= objective_s:
            result.on_time += 1
            result.earned += weight * queue.worth
        elif took_s <= LATE_FACTOR * objective_s:
            result.late += 1
            result.earned += weight * queue.late_worth


def replay(seed: int, workers: int, load: float) -> DayResult:
    """Replays a day.

    Args:
        seed: Seed of the arrivals and of the workers.
        workers: Number of workers.
        load: Factor of the rates of arrival.

    Returns:
        The results; the same arguments give the same ones.
    """
    return _Replay(seed=seed, workers=workers, load=load).run()


def _make_worker(number: int, life_ms: int) -> worker_directory.Worker:
    domain = number % DOMAINS
    rack = number // DOMAINS // WORKERS_PER_RACK
    return worker_directory.Worker(
        worker=ids.WorkerId(f"w{number:04}-{life_ms}"),
        life_ms=life_ms,
        machine=f"m{number:04}",
        address="",
        failure_domain=ids.FailureDomainId(f"domain-{domain}"),
        service=pool_workload.SERVICE,
        state=worker_directory.WorkerState.READY,
        capacity=_CAPACITY,
        labels=frozenset(),
        rack=ids.RackId(f"rack-{domain}-{rack}"),
    )


def _work(job: pool_workload.Arrival) -> float:
    """Returns the work of a job in core-seconds."""
    (step,) = job.submission.workflow.steps
    return step.tasks * job.run_s * worker_allocations.core_count(step.demand)


def _mean_work(
    jobs: list[pool_workload.Arrival],
) -> dict[spec.QueueName, float]:
    """Returns the mean work of the jobs of each queue in core-seconds."""
    by_queue: dict[spec.QueueName, list[float]] = collections.defaultdict(list)
    for job in jobs:
        by_queue[job.queue.terms.queue].append(_work(job))
    return {queue: sum(each) / len(each) for queue, each in by_queue.items()}
