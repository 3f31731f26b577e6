"""Builders of workers, units and runs for tests of planning decisions."""

from collections.abc import Sequence
import unittest

import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import run_table
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_health
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

SERVICE = spec.ServiceName("s")
CAPACITY = spec.Demand(millicores=8_000, memory_mb=8_000, accelerators=8)
TERMS = spec.QueueTerms(
    queue=spec.QueueName("batch"), service=SERVICE, priority=1
)
TASK_DEMAND = spec.Demand(millicores=1_000, memory_mb=1_000, accelerators=1)
SINGLE = spec.Step(tasks=1, demand=TASK_DEMAND, estimate_ms=9_000)
NOW_MS = 10_000
WALL_MS = 100_000


def make_worker(name: str, rack: str = "r0") -> worker_directory.Worker:
    return worker_directory.Worker(
        worker=ids.WorkerId(name),
        life_ms=1,
        machine=f"m-{name}",
        address="",
        failure_domain=ids.FailureDomainId("fd"),
        service=SERVICE,
        state=worker_directory.WorkerState.READY,
        capacity=CAPACITY,
        labels=frozenset(),
        rack=ids.RackId(rack),
    )


def make_waiting_units(
    job: str,
    step: spec.Step,
    slack_factor: float = 3.0,
    accepted_ms: int = 0,
) -> list[waiting_units.WaitingUnit]:
    workflow = spec.Workflow(job=ids.JobId(job), payload="", steps=(step,))
    submission = spec.Submission(
        workflow=workflow,
        account=ids.AccountId("a"),
        terms=msgspec.structs.replace(TERMS, slack_factor=slack_factor),
        accepted_ms=accepted_ms + ord(job),
    )
    return [
        waiting_units.WaitingUnit(
            key=key, step=step, submission=submission, since_ms=0
        )
        for key in units.units_of_step(workflow.job, 0, 0, step)
    ]


def make_demand(accelerators: int) -> spec.Demand:
    return spec.Demand(
        millicores=1_000 * accelerators,
        memory_mb=1_000 * accelerators,
        accelerators=accelerators,
    )


def make_gang(tasks: int, accelerators: int = 8) -> spec.Step:
    return spec.Step(
        tasks=tasks,
        demand=make_demand(accelerators),
        gang=True,
        estimate_ms=2_500,
    )


def make_urgent(job: str, step: spec.Step) -> waiting_units.WaitingUnit:
    (unit,) = make_waiting_units(
        job, step, slack_factor=1.5, accepted_ms=WALL_MS
    )
    terms = msgspec.structs.replace(unit.submission.terms, priority=0)
    submission = msgspec.structs.replace(unit.submission, terms=terms)
    return msgspec.structs.replace(unit, submission=submission)


class PlanningTestCase(unittest.TestCase):
    """A pool of 30 workers and the decisions of one planning round."""

    def setUp(self) -> None:
        self.table = run_table.RunTable()
        self.pool = [make_worker(f"w{n:02}") for n in range(30)]

    def add_run(
        self,
        job: str,
        step: spec.Step,
        *workers: worker_directory.Worker,
        started_ms: int,
        urgent: bool = False,
    ) -> unit_runs.Run:
        (unit,) = make_waiting_units(job, step)
        if urgent:
            unit = make_urgent(job, step)
        return self.add_unit_run(unit, *workers, started_ms=started_ms)

    def add_unit_run(
        self,
        unit: waiting_units.WaitingUnit,
        *workers: worker_directory.Worker,
        started_ms: int,
    ) -> unit_runs.Run:
        run = unit_runs.Run(
            key=unit.key,
            step=unit.step,
            submission=unit.submission,
            number=1,
            places=[
                records.Place(worker=each.worker, life_ms=each.life_ms)
                for each in workers
            ],
            phase=run_states.RunPhase.ACTIVE,
            now_ms=started_ms,
        )
        run.started_ms = started_ms
        self.table.add(run)
        return run

    def fill(self) -> None:
        """Fills all workers; runs on a higher number started later."""
        for number, worker in enumerate(self.pool):
            for slot in range(8):
                job = chr(1_000 + 8 * number + slot)
                started_ms = NOW_MS - 3_000 + 100 * number
                self.add_run(job, SINGLE, worker, started_ms=started_ms)

    def decide(
        self,
        *waiting: waiting_units.WaitingUnit,
        guaranteed: int = 0,
        distrusted: Sequence[str] = (),
        draining: Sequence[str] = (),
    ) -> list[waiting_units.Decision]:
        account = fleet_configuration.Account(
            account=ids.AccountId("a"),
            keys=frozenset(),
            guaranteed_accelerators=guaranteed,
        )
        planner = planning.Planner(
            workers=[w for w in self.pool if w.worker not in draining],
            listed=self.pool,
            table=self.table,
            accounts=(account,),
            bounds=fleet_configuration.Bounds(),
            assess=lambda worker: worker_health.Assessment(
                distrusted=worker.worker in distrusted
            ),
            now_ms=NOW_MS,
            wall_ms=WALL_MS,
        )
        return planner.decide(waiting)
