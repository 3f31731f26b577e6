import unittest
from unittest import mock

import msgspec

from citronmount.core import ids
from citronmount.fleet import fitting
from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet import run_table
from citronmount.fleet import unit_runs
from citronmount.fleet import waiting_units
from citronmount.fleet import worker_directory
from citronmount.fleet.tests import test_planning
from citronmount.workflow import records
from citronmount.workflow import spec

NOW_MS = 10_000
SINGLE = spec.Step(tasks=1, demand=test_planning.TASK_DEMAND, estimate_ms=9_000)


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
    (unit,) = test_planning.make_waiting_units(job, step, slack_factor=1.5)
    terms = msgspec.structs.replace(unit.submission.terms, priority=0)
    submission = msgspec.structs.replace(unit.submission, terms=terms)
    return msgspec.structs.replace(unit, submission=submission)


class PreemptionTest(unittest.TestCase):
    """An urgent burst arrives while other work fills the pool."""

    def setUp(self) -> None:
        self.table = run_table.RunTable()
        self.pool = [test_planning.make_worker(f"w{n:02}") for n in range(30)]

    def add_run(
        self,
        job: str,
        step: spec.Step,
        *workers: worker_directory.Worker,
        started_ms: int,
    ) -> unit_runs.Run:
        (unit,) = test_planning.make_waiting_units(job, step)
        run = unit_runs.Run(
            key=unit.key,
            step=step,
            submission=unit.submission,
            number=1,
            places=[
                records.Place(worker=each.worker, life_ms=each.life_ms)
                for each in workers
            ],
            phase=unit_runs.RunPhase.ACTIVE,
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
        self, *waiting: waiting_units.WaitingUnit, guaranteed: int = 0
    ) -> list[waiting_units.Decision]:
        account = fleet_configuration.Account(
            account=ids.AccountId("a"),
            keys=frozenset(),
            guaranteed_accelerators=guaranteed,
        )
        planner = planning.Planner(
            workers=self.pool,
            table=self.table,
            accounts=(account,),
            bounds=fleet_configuration.Bounds(),
            now_ms=NOW_MS,
        )
        return planner.decide(waiting)

    def test_burst_stops_the_runs_that_lose_least(self) -> None:
        self.fill()
        (decision,) = self.decide(make_urgent("a", make_gang(2)))
        self.assertEqual(
            {"w28", "w29"}, {each.worker for each in decision.workers}
        )
        self.assertEqual(16, len(decision.victims))

    def test_burst_examines_each_worker_only_a_few_times(self) -> None:
        self.fill()
        burst = [make_urgent(chr(2_000 + n), make_gang(2)) for n in range(10)]
        with mock.patch.object(
            fitting, "choose_workers", wraps=fitting.choose_workers
        ) as choose_mock:
            decisions = self.decide(*burst, guaranteed=1_000)
        self.assertEqual(10, len(decisions))
        self.assertLessEqual(choose_mock.call_count, 3 * len(burst))

    def test_units_of_a_burst_share_the_workers_of_one_stopped_gang(
        self,
    ) -> None:
        self.add_run(
            "g", make_gang(15), *self.pool[:15], started_ms=NOW_MS - 500
        )
        self.add_run(
            "h", make_gang(15), *self.pool[15:], started_ms=NOW_MS - 1_000
        )
        decisions = self.decide(
            *(make_urgent(job, make_gang(3)) for job in "abc"), guaranteed=100
        )
        self.assertEqual(
            [["g"]] * 3,
            [[str(run.job) for run in each.victims] for each in decisions],
        )
        used = [w.worker for each in decisions for w in each.workers]
        self.assertEqual(9, len(set(used)))

    def test_burst_waits_for_runs_that_are_already_being_stopped(self) -> None:
        ending = self.add_run(
            "g", make_gang(15), *self.pool[:15], started_ms=NOW_MS - 3_000
        )
        ending.end(unit_runs.EndCause.PREEMPTED)
        self.add_run(
            "h", make_gang(15), *self.pool[15:], started_ms=NOW_MS - 100
        )
        (decision,) = self.decide(make_urgent("a", make_gang(3)))
        self.assertEqual(["g"], [str(run.job) for run in decision.victims])

    def test_runs_that_are_not_needed_are_spared(self) -> None:
        self.pool = self.pool[:1]
        self.add_run("s", SINGLE, self.pool[0], started_ms=NOW_MS - 100)
        large = spec.Step(tasks=1, demand=make_demand(7), estimate_ms=9_000)
        self.add_run("l", large, self.pool[0], started_ms=NOW_MS - 2_000)
        urgent = make_urgent("a", make_gang(1, accelerators=4))
        (decision,) = self.decide(urgent, guaranteed=8)
        self.assertEqual(["l"], [str(run.job) for run in decision.victims])
