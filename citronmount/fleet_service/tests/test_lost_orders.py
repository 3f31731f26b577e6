from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_workers


class LostOrderTest(pool_fixture.PoolTestCase):
    workers_per_rack = 3

    def set_fault(self, name: str, fault: pool_workers.WorkerFault) -> None:
        self.pool_workers.workers[ids.WorkerId(name)].fault = fault

    def test_order_that_got_lost_is_sent_again_soon(self) -> None:
        for name in self.pool_workers.workers:
            self.set_fault(name, pool_workers.WorkerFault.LOSES_ONE)
        self.submit(
            "j", pool_fixture.make_step(tasks=6, accelerators=8, gang=True)
        )
        self.run_for(0.3)
        self.assertEqual(6, len(self.started("j")))

    def test_task_that_ended_before_its_order_was_repeated_runs_once(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 100
        for name in self.pool_workers.workers:
            self.set_fault(name, pool_workers.WorkerFault.LOSES_ANSWERS)
        self.submit("j", pool_fixture.make_step(tasks=6, accelerators=8))
        self.run_for(0.02)
        for name in self.pool_workers.workers:
            self.set_fault(name, pool_workers.WorkerFault.SILENT)
        self.run_for(0.15)
        for name in self.pool_workers.workers:
            self.set_fault(name, pool_workers.WorkerFault.NONE)
        self.run_for(4.0)
        self.assertEqual(6, len(self.started("j")))
        self.assertIs(states.JobState.DONE, self.state("j"))

    def test_gang_leaves_a_worker_that_takes_no_connection_at_once(
        self,
    ) -> None:
        self.set_fault("w00", pool_workers.WorkerFault.REFUSING)
        self.submit(
            "j", pool_fixture.make_step(tasks=5, accelerators=8, gang=True)
        )
        self.run_for(0.5)
        again = [each for each in self.started("j") if each[1] == 2]
        self.assertEqual(5, len(again))
        self.assertNotIn("w00", {worker for _, _, worker in again})

    def test_refused_order_after_a_lost_one_is_not_taken_as_settled(
        self,
    ) -> None:
        self.pool_workers.workers[ids.WorkerId("w00")].late_s = 1.0
        self.set_fault("w00", pool_workers.WorkerFault.LATE)
        gang = pool_fixture.make_step(
            tasks=3, accelerators=8, gang=True, data_rack="rack0"
        )
        self.submit("j", gang)
        self.run_for(0.1)
        self.set_fault("w00", pool_workers.WorkerFault.REFUSING)
        self.run_for(1.5)
        again = [each for each in self.started("j") if each[1] == 2]
        self.assertEqual([], again)
