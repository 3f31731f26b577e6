import unittest
from unittest import mock

import msgspec

from citronmount.core import ids
from citronmount.fleet import fitting
from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet import run_table
from citronmount.fleet import waiting_units
from citronmount.fleet import worker_directory
from citronmount.workflow import spec
from citronmount.workflow import units

SERVICE = spec.ServiceName("s")
CAPACITY = spec.Demand(millicores=8_000, memory_mb=8_000, accelerators=8)
TERMS = spec.QueueTerms(
    queue=spec.QueueName("batch"), service=SERVICE, priority=1
)
ONE = spec.Demand(millicores=1_000, memory_mb=1_000, accelerators=1)


def worker(name: str, rack: str = "r0") -> worker_directory.Worker:
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


def units_of(
    job: str, step: spec.Step, slack_factor: float = 3.0
) -> list[waiting_units.WaitingUnit]:
    workflow = spec.Workflow(job=ids.JobId(job), payload="", steps=(step,))
    submission = spec.Submission(
        workflow=workflow,
        account=ids.AccountId("a"),
        terms=msgspec.structs.replace(TERMS, slack_factor=slack_factor),
        accepted_ms=ord(job),
    )
    return [
        waiting_units.WaitingUnit(
            key=key, step=step, submission=submission, since_ms=0
        )
        for key in units.units_of_step(workflow.job, 0, 0, step)
    ]


class PlanningTest(unittest.TestCase):
    def decide(
        self,
        pool: list[worker_directory.Worker],
        wanted: list[waiting_units.WaitingUnit],
        now_ms: int = 0,
        slow: str = "",
    ) -> list[waiting_units.Decision]:
        planner = planning.Planner(
            workers=pool,
            slowdown=lambda each: 1.3 if each.worker in slow.split() else 1.0,
            table=run_table.RunTable(),
            accounts=(),
            bounds=fleet_configuration.Bounds(),
            now_ms=now_ms,
        )
        return planner.decide(wanted)

    def test_workers_are_looked_at_once_for_equal_tasks(self) -> None:
        pool = [worker(f"w{n}") for n in range(60)]
        wanted = units_of("a", spec.Step(tasks=600, demand=ONE))
        with mock.patch.object(
            fitting, "suits", wraps=fitting.suits
        ) as looked_at:
            decisions = self.decide(pool, wanted)
        self.assertEqual(480, len(decisions))
        self.assertLessEqual(looked_at.call_count, 2 * len(pool))

    def test_equal_tasks_fill_a_worker_before_the_next(self) -> None:
        pool = [worker(f"w{n}") for n in range(3)]
        wanted = units_of("a", spec.Step(tasks=16, demand=ONE))
        decisions = self.decide(pool, wanted)
        self.assertEqual(
            ["w0"] * 8 + ["w1"] * 8,
            [d.workers[0].worker for d in decisions],
        )

    def test_gang_between_equal_tasks_takes_room_of_its_own(self) -> None:
        pool = [worker(f"w{n}") for n in range(3)]
        single = spec.Step(tasks=6, demand=ONE)
        gang = spec.Step(tasks=18, demand=ONE, gang=True)
        wanted = [
            *units_of("a", single),
            *units_of("b", gang),
            *units_of("c", single),
        ]
        decisions = self.decide(pool, wanted)
        self.assertEqual(
            ["a"] * 6 + ["b"],
            [str(d.waiting.key.job) for d in decisions],
        )

    def test_limit_per_worker_holds_for_equal_tasks(self) -> None:
        pool = [worker(f"w{n}") for n in range(3)]
        step = spec.Step(tasks=9, demand=ONE, max_tasks_per_worker=2)
        decisions = self.decide(pool, units_of("a", step))
        self.assertEqual(
            ["w0", "w0", "w1", "w1", "w2", "w2"],
            [d.workers[0].worker for d in decisions],
        )

    def test_tasks_leave_the_rack_of_their_data_only_after_a_wait(
        self,
    ) -> None:
        pool = [worker("w0"), worker("w1", rack="r1")]
        step = spec.Step(
            tasks=12, demand=ONE, estimate_ms=5_000, data_rack="r1"
        )
        wanted = units_of("a", step)
        near = self.decide(pool, wanted)
        self.assertEqual({"w1"}, {d.workers[0].worker for d in near})
        self.assertEqual(8, len(near))
        later = self.decide(pool, wanted, now_ms=20_000)
        self.assertEqual(
            ["w1"] * 8 + ["w0"] * 4, [d.workers[0].worker for d in later]
        )

    def test_urgent_gang_takes_quick_workers_and_patient_work_slow_ones(
        self,
    ) -> None:
        pool = [worker(f"w{n}") for n in range(4)]
        gang = spec.Step(tasks=16, demand=ONE, gang=True)
        urgent = units_of("a", gang, slack_factor=1.5)
        patient = units_of("b", spec.Step(tasks=8, demand=ONE))
        decisions = self.decide(pool, urgent + patient, slow="w0 w2")
        chosen = {
            str(decision.waiting.key.job): {w.worker for w in decision.workers}
            for decision in decisions
        }
        self.assertEqual({"w1", "w3"}, chosen["a"])
        self.assertLessEqual(chosen["b"], {"w0", "w2"})

    def test_urgent_gang_starts_on_slow_workers_rather_than_not(self) -> None:
        pool = [worker(f"w{n}") for n in range(3)]
        gang = spec.Step(tasks=24, demand=ONE, gang=True)
        urgent = units_of("a", gang, slack_factor=1.5)
        decisions = self.decide(pool, urgent, slow="w0 w2")
        self.assertEqual(1, len(decisions))

    def test_one_rack_of_quick_workers_is_found(self) -> None:
        pool = [
            *(worker(f"a{n}") for n in range(2)),
            *(worker(f"b{n}", rack="r1") for n in range(4)),
        ]
        gang = spec.Step(tasks=16, demand=ONE, gang=True, one_rack=True)
        urgent = units_of("a", gang, slack_factor=1.5)
        decisions = self.decide(pool, urgent, slow="a0 b1")
        names = {w.worker for w in decisions[0].workers}
        self.assertEqual(2, len(names))
        self.assertLessEqual(names, {"b0", "b2", "b3"})
