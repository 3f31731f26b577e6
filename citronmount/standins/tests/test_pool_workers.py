import unittest

from twisted.internet import defer
from twisted.internet import task

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.workers import worker_directory
from citronmount.standins import pool_worker
from citronmount.standins import pool_workers
from citronmount.workflow import spec
from citronmount.workflow import units

RUN_TIME_MS = 1_000
PLAN = pool_worker.TaskPlan(
    run_time_ms=RUN_TIME_MS, demand=spec.Demand(), gang=2
)


class GangTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = task.Clock()
        self.pool = pool_workers.PoolWorkers(
            clock=self.clock, plan_task=lambda name, run: PLAN
        )

    def start(self, member: int) -> None:
        entry = worker_directory.Worker(
            worker=ids.WorkerId(f"w{member}"),
            life_ms=1,
            machine="",
            address="",
            failure_domain=ids.FailureDomainId("a"),
            service=spec.ServiceName("s"),
            state=worker_directory.WorkerState.READY,
            capacity=spec.Demand(),
            labels=frozenset(),
            rack=ids.RackId("r"),
        )
        self.pool.add(entry)
        command = commands.Start(
            worker=entry,
            task=units.TaskName(f"j.0.0.{member}"),
            run=1,
            payload="",
            until_ms=6_000,
            saved="",
            token=ids.FenceToken(1),
        )
        defer.ensureDeferred(self.pool.start(command, 1_000))
        self.clock.advance(pool_workers.REQUEST_DELAY_S)

    def test_members_that_start_further_apart_than_their_run_time(self) -> None:
        # Never ended: each one looked for the others once, too early.
        self.start(0)
        self.clock.advance(2 * RUN_TIME_MS / 1_000)
        self.start(1)
        self.assertEqual(2, len(self.pool.running()))
        self.clock.advance(RUN_TIME_MS / 1_000)
        self.assertEqual([], self.pool.running())
        self.assertEqual(2, len(self.pool.finished_tasks))
