import unittest
from unittest import mock

from citronmount.core import ids
from citronmount.fleet import configuration
from citronmount.fleet import fitting
from citronmount.fleet import planning
from citronmount.fleet import run_table
from citronmount.fleet import waiting
from citronmount.fleet import workers
from citronmount.workflow import spec
from citronmount.workflow import units

SERVICE = spec.ServiceName("s")
CAPACITY = spec.Demand(millicores=8_000, memory_mb=8_000, accelerators=8)
TERMS = spec.QueueTerms(
    queue=spec.QueueName("batch"), service=SERVICE, priority=1
)
ONE = spec.Demand(millicores=1_000, memory_mb=1_000, accelerators=1)


def worker(name: str, rack: str = "r0") -> workers.Worker:
    return workers.Worker(
        worker=ids.WorkerId(name),
        life_ms=1,
        machine=f"m-{name}",
        address="",
        failure_domain=ids.FailureDomainId("fd"),
        service=SERVICE,
        state=workers.WorkerState.READY,
        capacity=CAPACITY,
        labels=frozenset(),
        rack=ids.RackId(rack),
    )


def units_of(job: str, step: spec.Step) -> list[waiting.Waiting]:
    workflow = spec.Workflow(job=ids.JobId(job), payload="", steps=(step,))
    submission = spec.Submission(
        workflow=workflow,
        account=ids.AccountId("a"),
        terms=TERMS,
        accepted_ms=ord(job),
    )
    return [
        waiting.Waiting(key=key, step=step, submission=submission, since_ms=0)
        for key in units.units_of_step(workflow.job, 0, 0, step)
    ]


class PlanningTest(unittest.TestCase):
    def decide(
        self,
        pool: list[workers.Worker],
        wanted: list[waiting.Waiting],
        now_ms: int = 0,
    ) -> list[waiting.Decision]:
        planner = planning.Planner(
            workers=pool,
            table=run_table.RunTable(),
            accounts=(),
            bounds=configuration.Bounds(),
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
