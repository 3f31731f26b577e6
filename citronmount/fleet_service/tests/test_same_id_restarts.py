"""Workers that start again under their id before the owner learns of it."""

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.standins import pool_worker
from citronmount.standins import worker_restarts

DONE = states.JobState.DONE


class SameIdRestartTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.restarts = worker_restarts.WorkerRestarts(
            pool=self.pool_workers,
            publish=self.publish_entry,
            withdraw=self.remove_entry,
            is_deadly=lambda task: False,
        )
        self.restarts.keeps_id = lambda: True
        self.restarts.delay_s = 0.05
        self.restarts.publish_delay_s = 0.4

    def restart(self, worker: pool_worker.PoolWorker) -> None:
        self.restarts.crash(worker)
        self.run_for(0.1)

    def worker(self, name: str) -> pool_worker.PoolWorker:
        return self.pool_workers.workers[ids.WorkerId(name)]

    def restart_all(self) -> None:
        for worker in list(self.pool_workers.workers.values()):
            self.restarts.crash(worker)
        self.run_for(0.1)

    # TWICE: the next incarnation carried out a start meant for the former one.
    def test_start_carried_out_by_the_next_incarnation_is_not_repeated(
        self,
    ) -> None:
        self.restart_all()
        self.submit("j", pool_fixture.make_step(tasks=4))
        self.submit("g", pool_fixture.make_step(tasks=4, gang=True))
        self.run_for(5.0)
        self.assertIs(DONE, self.state("j"))
        self.assertIs(DONE, self.state("g"))
        self.assertEqual(4, len(self.starts_of("j")))

    # TWICE: a late start reached the next incarnation after the unit had moved.
    def test_late_start_on_the_next_incarnation_is_prevented(self) -> None:
        self.restarts.delay_s = 0.5
        self.run_time_ms = lambda task, run: 6_000
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_worker.WorkerFault.LATE
            worker.start_delay_s = 2.5
        self.submit("j", pool_fixture.make_step())
        self.run_for(0.1)
        self.restart_all()
        self.run_for(30.0)
        self.assertIs(DONE, self.state("j"))

    # TWICE: a renewal made the next incarnation forget an end not recorded yet.
    def test_end_on_the_next_incarnation_is_not_forgotten(self) -> None:
        self.restarts.publish_delay_s = 2.0
        step = pool_fixture.make_step(tasks=32)
        self.run_time_ms = lambda task, run: 300
        self.submit("before", step)
        self.run_for(4.0)
        self.run_time_ms = lambda task, run: 5
        self.restart_all()
        self.submit("j", step)
        self.run_for(5.0)
        self.assertIs(DONE, self.state("j"))

    def test_run_that_the_former_incarnation_reported_is_repeated_at_once(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 3_000
        self.submit("j", pool_fixture.make_step())
        self.run_for(1.5)
        ((_, name),) = self.pool_workers.running()
        self.restart(self.worker(name))
        self.run_for(1.0)
        self.assertEqual(2, len(self.starts_of("j")))
        self.run_for(5.0)
        self.assertIs(DONE, self.state("j"))

    def test_next_owner_asks_the_next_incarnation(self) -> None:
        self.run_time_ms = lambda task, run: 8_000
        for publish_delay_s in (0.4, 4.0):
            self.restarts.publish_delay_s = publish_delay_s
            job = f"j{publish_delay_s:.0f}"
            self.restart_all()
            self.submit(job, pool_fixture.make_step(tasks=4))
            self.run_for(0.1)
            name = ids.VmId(f"vm{self.owner_index()}")
            self.log.faults[name] = pool_log.LogFault.SILENT
            self.run_for(3.5)
            self.log.faults.clear()
            self.run_for(15.0)
            self.assertIs(DONE, self.state(job, vm=self.owner_index()))
            self.assertEqual(4, len(self.starts_of(job)))
