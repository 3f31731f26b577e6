from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_workers

DONE = states.JobState.DONE


class UnresponsiveWorkerTest(pool_fixture.PoolTestCase):
    def set_fault(
        self, fault: pool_workers.WorkerFault, prefix: str = ""
    ) -> None:
        for name, worker in self.pool_workers.workers.items():
            if name.startswith(prefix):
                worker.fault = fault

    def test_start_that_was_lost_is_detected_from_the_first_lease_report(
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
        second_runs = [start for start in self.starts_of("j") if start[1] == 2]
        self.assertEqual(4, len(second_runs))

    def test_busy_worker_that_became_unresponsive_gets_no_new_tasks(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 30_000
        self.submit("busy", pool_fixture.make_step())
        self.run_for(0.5)
        worker = self.starts_of("busy")[0][2]
        self.set_fault(pool_workers.WorkerFault.SILENT, worker)
        self.run_for(2.0)
        self.submit("j", pool_fixture.make_step(tasks=2))
        self.run_for(0.3)
        self.assertEqual(2, len(self.starts_of("j")))

    def test_idle_workers_of_an_unresponsive_failure_domain_get_no_tasks(
        self,
    ) -> None:
        for number in range(4):
            self.add_worker(f"w0x{number}", rack="rack0")
            self.add_worker(f"w1x{number}", rack="rack1")
        self.run_for(0.5)
        self.run_time_ms = lambda task, run: 30_000
        placement = {"data_rack": "rack0", "max_tasks_per_worker": 1}
        self.submit("busy", pool_fixture.make_step(tasks=3, **placement))
        self.run_for(0.5)
        self.assertEqual(3, len(self.starts_of("busy")))
        self.set_fault(pool_workers.WorkerFault.SILENT, "w0")
        self.run_for(2.0)
        gang = pool_fixture.make_step(
            tasks=2, accelerators=8, gang=True, one_rack=True
        )
        self.submit("j", gang)
        self.run_for(0.3)
        racks = {worker[:2] for _, _, worker in self.starts_of("j")}
        self.assertEqual({"w1"}, racks)

    def test_one_unresponsive_worker_does_not_exclude_its_failure_domain(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 30_000
        self.submit("busy", pool_fixture.make_step(data_rack="rack0"))
        self.run_for(0.5)
        worker = self.starts_of("busy")[0][2]
        self.set_fault(pool_workers.WorkerFault.SILENT, worker)
        self.run_for(2.0)
        self.submit(
            "j", pool_fixture.make_step(accelerators=8, data_rack="rack0")
        )
        self.run_for(0.3)
        self.assertEqual(1, len(self.starts_of("j")))
