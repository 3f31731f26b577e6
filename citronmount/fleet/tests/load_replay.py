"""Replay of load A against the planner, in virtual time, without a network.

`python -m citronmount.fleet.tests.load_replay` prints what it measured.
"""

import argparse
from collections.abc import Iterator
import random

import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet.placement import preemption
from citronmount.fleet.queueing import demand_history
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import run_table
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.tests import load_a
from citronmount.fleet.tests import planning_fixture
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

ROUND_MS = 100
STOP_MS = 300
START_MS = 100
RESTORE_MS = 600
LATE_SHARE = 0.35
LATEST_FACTOR = 3
SPEEDS = (0.8, 1.0, 1.25)
CAPACITY = spec.Demand(millicores=128_000, memory_mb=512_000, accelerators=8)
ACCOUNT = fleet_configuration.Account(
    account=ids.AccountId("a0"), keys=frozenset(), guaranteed_accelerators=128
)


class PriorityResult(msgspec.Struct, kw_only=True):
    """What the jobs of one priority are worth, got and lost."""

    starts: int = 0
    stops: int = 0
    lost_core_s: float = 0.0
    value: float = 0.0
    earned: float = 0.0
    on_time: float = 0.0


class _Job(msgspec.Struct, kw_only=True):
    submission: spec.Submission
    real_ms: int
    value: float
    open: list[units.UnitKey]


class Replay:
    """Workers, arrivals and runs as data."""

    def __init__(
        self, *, seed: int, workers: int, load: float, on: bool
    ) -> None:
        self._demand = demand_history.DemandHistory()
        self._holds_back = on
        self._random = random.Random(seed)
        self._load = load * workers / 176
        self._pool = [
            msgspec.structs.replace(
                planning_fixture.make_worker(f"w{n:03}", rack=f"r{n // 20}"),
                capacity=CAPACITY,
                labels=frozenset(["l"] if n % 2 else []),
            )
            for n in range(workers)
        ]
        self._speeds = {
            each.worker: self._random.choice(SPEEDS) for each in self._pool
        }
        self._table = run_table.RunTable()
        self.results = tuple(PriorityResult() for _ in load_a.KINDS)
        self._jobs: dict[ids.JobId, _Job] = {}
        self._ready_ms: dict[units.UnitId, int] = {}
        self._saved_ms: dict[units.UnitId, int] = {}
        self._ends_ms: dict[units.UnitId, int] = {}
        self._victims: dict[units.UnitId, tuple[unit_runs.Run, ...]] = {}

    def step(self, now_ms: int, arrivals: bool) -> None:
        """Ends and starts what is due, then plans a round."""
        for priority, kind in enumerate(load_a.KINDS if arrivals else ()):
            factors = [f for a, b, f in kind.bursts if a <= now_ms / 1e3 < b]
            rate = kind.jobs_per_s * self._load * max(factors, default=1.0)
            for _ in range(int(rate * ROUND_MS / 1e3 + self._random.random())):
                self._submit(priority, kind, now_ms)
        self._end_runs(now_ms)
        self._start_cleared(now_ms)
        waiting = list(self._waiting())
        self._demand.observe(waiting, now_ms)
        planner = planning.Planner(
            workers=self._pool,
            table=self._table,
            accounts=(ACCOUNT,),
            bounds=fleet_configuration.Bounds(),
            now_ms=now_ms,
            wall_ms=now_ms,
            slowdown=lambda worker: max(SPEEDS) / self._speeds[worker.worker],
            demand=self._demand,
            holds_back=self._holds_back,
        )
        for decision in planner.decide(waiting):
            self._place(decision, now_ms)

    def _submit(self, priority: int, kind: load_a.Kind, now_ms: int) -> None:
        rand = self._random
        mean = kind.tasks - 0.5
        tasks = int(1 + min(rand.expovariate(1 / mean), 6 * mean))
        tasks = min(tasks, 3 * len(self._pool) // 8)
        real_ms = int(kind.run_ms * rand.uniform(0.6, 1.4))
        count = kind.demand.accelerators or rand.choice((1, 2, 4, 8, 8))
        place = rand.random() if priority == 1 else 1.0
        step = spec.Step(
            tasks=tasks,
            demand=msgspec.structs.replace(kind.demand, accelerators=count),
            estimate_ms=int(real_ms * kind.misjudged ** rand.uniform(-1, 1)),
            gang=priority < 2,
            checkpoints=priority == 1 and rand.random() < 0.45,
            data_rack=rand.choice(self._pool).rack if place < 0.15 else "",
            worker_label="l" if 0.15 <= place < 0.3 else "",
        )
        job = ids.JobId(f"j{len(self._jobs):04}")
        terms = spec.QueueTerms(
            queue=spec.QueueName(f"q{priority}"),
            service=planning_fixture.SERVICE,
            priority=priority,
            slack_factor=kind.slack_factor,
            objective_ms=kind.allowance_ms,
        )
        entry = _Job(
            submission=spec.Submission(
                workflow=spec.Workflow(job=job, payload="", steps=(step,)),
                account=ids.AccountId(f"a{rand.randrange(4)}"),
                terms=terms,
                accepted_ms=now_ms,
            ),
            real_ms=real_ms,
            value=0.3 + 0.7 * real_ms * tasks / (kind.run_ms * kind.tasks),
            open=units.units_of_step(job, 0, 0, step),
        )
        self._jobs[job] = entry
        self._ready_ms |= {key.unit: now_ms for key in entry.open}
        self.results[priority].value += entry.value

    def _waiting(self) -> Iterator[waiting_units.WaitingUnit]:
        for entry in self._jobs.values():
            for key in entry.open:
                if self._table.get(key.unit) is None:
                    yield waiting_units.WaitingUnit(
                        key=key,
                        step=entry.submission.workflow.steps[0],
                        submission=entry.submission,
                        since_ms=self._ready_ms[key.unit],
                    )

    def _place(self, decision: waiting_units.Decision, now_ms: int) -> None:
        unit = decision.waiting
        run = unit_runs.Run(
            key=unit.key,
            step=unit.step,
            submission=unit.submission,
            number=1,
            places=[_place_of(each) for each in decision.workers],
            phase=run_states.RunPhase.CLEARING,
            now_ms=now_ms,
        )
        self._table.add(run)
        self._victims[run.unit] = decision.victims
        for victim in decision.victims:
            if victim.phase is run_states.RunPhase.ACTIVE:
                self._stop(victim, now_ms)

    def _stop(self, run: unit_runs.Run, now_ms: int) -> None:
        result = self.results[run.submission.terms.priority]
        result.stops += 1
        self._demand.note_stop(run.unit)
        result.lost_core_s += preemption.lost_work(run, now_ms, save_s=1.0)
        if run.step.checkpoints:
            worked_ms = (now_ms - (run.started_ms or now_ms)) // 1000 * 1000
            worked_ms += self._saved_ms.get(run.unit, 0)
            self._saved_ms[run.unit] = worked_ms
        run.end(run_states.EndCause.PREEMPTED)
        self._ends_ms[run.unit] = now_ms + STOP_MS

    def _start_cleared(self, now_ms: int) -> None:
        for unit, victims in list(self._victims.items()):
            run = self._table.get(unit)
            if run is None or not all(each.is_over for each in victims):
                continue
            del self._victims[unit]
            run.phase = run_states.RunPhase.ACTIVE
            run.started_ms = now_ms + START_MS
            speed = min(self._speeds[m.place.worker] for m in run.members)
            saved_ms = self._saved_ms.get(unit, 0)
            left_ms = max(self._jobs[run.job].real_ms - saved_ms, ROUND_MS)
            left_ms += RESTORE_MS if saved_ms else 0
            self._ends_ms[unit] = run.started_ms + int(left_ms / speed)
            self.results[run.submission.terms.priority].starts += 1

    def _end_runs(self, now_ms: int) -> None:
        for run in self._table:
            if self._ends_ms.get(run.unit, now_ms + 1) > now_ms:
                continue
            del self._ends_ms[run.unit]
            for member in run.live_members:
                self._table.mark_gone(run, member)
            self._table.remove(run)
            self._ready_ms[run.unit] = now_ms
            entry = self._jobs[run.job]
            if run.phase is run_states.RunPhase.ACTIVE:
                entry.open.remove(run.key)
            if not entry.open:
                self._finish(entry, now_ms)

    def _finish(self, entry: _Job, now_ms: int) -> None:
        terms = entry.submission.terms
        allowed_ms = terms.slack_factor * entry.real_ms + terms.objective_ms
        taken_ms = now_ms - entry.submission.accepted_ms
        result = self.results[terms.priority]
        if taken_ms <= allowed_ms:
            result.on_time += entry.value
            result.earned += entry.value
        elif taken_ms <= LATEST_FACTOR * allowed_ms:
            result.earned += LATE_SHARE * entry.value


def _place_of(worker: worker_directory.Worker) -> records.Place:
    return records.Place(worker=worker.worker, life_ms=worker.life_ms)


def replay(
    *,
    seed: int = 1,
    workers: int = 176,
    load: float = 1.0,
    seconds: int = 35,
    on: bool = False,
) -> tuple[PriorityResult, ...]:
    """Runs the load for some seconds, then until its jobs could have ended."""
    state = Replay(seed=seed, workers=workers, load=load, on=on)
    for now_ms in range(0, (seconds + 25) * 1_000, ROUND_MS):
        state.step(now_ms, arrivals=now_ms < seconds * 1_000)
    return state.results


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--on", action="store_true")
    options = parser.parse_args()
    for number, each in enumerate(replay(**vars(options))):
        print(
            f"priority {number}: on time {each.on_time / each.value:.3f}"
            f" earned {each.earned / each.value:.3f} starts {each.starts}"
            f" stops {each.stops} lost {each.lost_core_s:.0f} core-seconds"
        )
