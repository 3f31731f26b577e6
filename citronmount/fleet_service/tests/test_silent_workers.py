from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_workers

DONE = states.JobState.DONE


class SilentWorkerTest(pool_fixture.PoolTestCase):
    def set_fault(
        self, fault: pool_workers.WorkerFault, prefix: str = ""
    ) -> None:
        for name, worker in self.pool_workers.workers.items():
            if name.startswith(prefix):
                worker.fault = fault

    def test_start_that_never_arrived_is_told_at_once_by_the_worker(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 30_000
        self.submit(
            "busy",
            pool_fixture.make_step(
                tasks=4, max_tasks_per_worker=1, estimate_ms=30_000
            ),
        )
        self.run_for(0.5)
        self.set_fault(pool_workers.WorkerFault.SILENT, "w00")
        self.submit(
            "j", pool_fixture.make_step(tasks=4, accelerators=7, gang=True)
        )
        self.run_for(3.0)
        self.set_fault(pool_workers.WorkerFault.NONE)
        self.run_for(1.0)
        again = [each for each in self.started("j") if each[1] == 2]
        self.assertEqual(4, len(again))

    def test_busy_worker_that_fell_silent_gets_no_new_work(self) -> None:
        self.run_time_ms = lambda task, run: 30_000
        self.submit("busy", pool_fixture.make_step())
        self.run_for(0.5)
        silent = self.started("busy")[0][2]
        self.set_fault(pool_workers.WorkerFault.SILENT, silent)
        self.run_for(2.0)
        self.submit("j", pool_fixture.make_step(tasks=2))
        self.run_for(0.3)
        self.assertEqual(2, len(self.started("j")))

    def test_idle_workers_of_a_silent_failure_domain_get_no_work(
        self,
    ) -> None:
        for number in range(4):
            self.add_worker(f"w0x{number}", rack="rack0")
            self.add_worker(f"w1x{number}", rack="rack1")
        self.run_for(0.5)
        self.run_time_ms = lambda task, run: 30_000
        near = {"data_rack": "rack0", "max_tasks_per_worker": 1}
        self.submit("busy", pool_fixture.make_step(tasks=3, **near))
        self.run_for(0.5)
        self.assertEqual(3, len(self.started("busy")))
        self.set_fault(pool_workers.WorkerFault.SILENT, "w0")
        self.run_for(2.0)
        gang = pool_fixture.make_step(
            tasks=2, accelerators=8, gang=True, one_rack=True
        )
        self.submit("j", gang)
        self.run_for(0.3)
        racks = {worker[:2] for _, _, worker in self.started("j")}
        self.assertEqual({"w1"}, racks)

    def test_one_silent_worker_does_not_condemn_its_failure_domain(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 30_000
        self.submit("busy", pool_fixture.make_step(data_rack="rack0"))
        self.run_for(0.5)
        silent = self.started("busy")[0][2]
        self.set_fault(pool_workers.WorkerFault.SILENT, silent)
        self.run_for(2.0)
        self.submit(
            "j", pool_fixture.make_step(accelerators=8, data_rack="rack0")
        )
        self.run_for(0.3)
        self.assertEqual(1, len(self.started("j")))
