from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_worker


class LostCommandTest(pool_fixture.PoolTestCase):
    workers_per_rack = 3

    def set_fault(self, name: str, fault: pool_worker.WorkerFault) -> None:
        self.pool_workers.workers[ids.WorkerId(name)].fault = fault

    def test_lost_start_command_is_retried_soon(self) -> None:
        for name in self.pool_workers.workers:
            self.set_fault(name, pool_worker.WorkerFault.LOSES_NEXT_START)
        self.submit(
            "j", pool_fixture.make_step(tasks=6, accelerators=8, gang=True)
        )
        self.run_for(0.3)
        self.assertEqual(6, len(self.starts_of("j")))

    def test_task_that_ended_before_the_retry_of_its_start_runs_once(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 100
        for name in self.pool_workers.workers:
            self.set_fault(name, pool_worker.WorkerFault.LOSES_NEXT_ANSWER)
        self.submit("j", pool_fixture.make_step(tasks=6, accelerators=8))
        self.run_for(0.02)
        for name in self.pool_workers.workers:
            self.set_fault(name, pool_worker.WorkerFault.SILENT)
        self.run_for(0.15)
        for name in self.pool_workers.workers:
            self.set_fault(name, pool_worker.WorkerFault.NONE)
        self.run_for(4.0)
        self.assertEqual(6, len(self.starts_of("j")))
        self.assertIs(states.JobState.DONE, self.state("j"))

    def test_gang_is_moved_at_once_off_a_worker_that_refuses_connections(
        self,
    ) -> None:
        self.set_fault("w00", pool_worker.WorkerFault.REFUSING)
        self.submit(
            "j", pool_fixture.make_step(tasks=5, accelerators=8, gang=True)
        )
        self.run_for(0.5)
        second_runs = [start for start in self.starts_of("j") if start[1] == 2]
        self.assertEqual(5, len(second_runs))
        self.assertNotIn("w00", {worker for _, _, worker in second_runs})

    def test_refused_retry_does_not_prove_that_the_lost_start_had_no_effect(
        self,
    ) -> None:
        self.pool_workers.workers[ids.WorkerId("w00")].start_delay_s = 1.0
        self.set_fault("w00", pool_worker.WorkerFault.LATE)
        gang = pool_fixture.make_step(
            tasks=3, accelerators=8, gang=True, data_rack="rack0"
        )
        self.submit("j", gang)
        self.run_for(0.1)
        self.set_fault("w00", pool_worker.WorkerFault.REFUSING)
        self.run_for(1.5)
        second_runs = [start for start in self.starts_of("j") if start[1] == 2]
        self.assertEqual([], second_runs)
