import itertools

from twisted.internet import defer

from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_worker

DONE = states.JobState.DONE


class UnresponsiveWorkerTest(pool_fixture.PoolTestCase):
    def set_fault(
        self, fault: pool_worker.WorkerFault, prefix: str = ""
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
        self.set_fault(pool_worker.WorkerFault.SILENT, "w00")
        self.submit(
            "j", pool_fixture.make_step(tasks=4, accelerators=7, gang=True)
        )
        self.run_for(3.0)
        self.set_fault(pool_worker.WorkerFault.NONE)
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
        self.set_fault(pool_worker.WorkerFault.SILENT, worker)
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
        self.set_fault(pool_worker.WorkerFault.SILENT, "w0")
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
        self.set_fault(pool_worker.WorkerFault.SILENT, worker)
        self.run_for(2.0)
        self.submit(
            "j", pool_fixture.make_step(accelerators=8, data_rack="rack0")
        )
        self.run_for(0.3)
        self.assertEqual(1, len(self.starts_of("j")))


class SilentForAWhileTest(pool_fixture.PoolTestCase):
    """A worker that is silent for less than its lease keeps its work."""

    # Leases last 5 s and are renewed every second.
    SILENCES_S = (0.5, 1.5, 2.5, 3.0)

    def silence(self, prefix: str, time_s: float) -> None:
        silent = [
            worker
            for name, worker in self.pool_workers.workers.items()
            if name.startswith(prefix)
        ]
        for worker in silent:
            worker.fault = pool_worker.WorkerFault.SILENT
        self.run_for(time_s)
        for worker in silent:
            worker.fault = pool_worker.WorkerFault.NONE

    def submit_work(self, name: str) -> None:
        single = pool_fixture.make_step(tasks=4, max_tasks_per_worker=1)
        self.submit(f"{name}s", single)
        gang = pool_fixture.make_step(tasks=4, accelerators=4, gang=True)
        self.submit(f"{name}g", gang)

    def assert_each_ran_once(self, name: str) -> None:
        for job in (f"{name}s", f"{name}g"):
            self.assertEqual(4, len(self.starts_of(job)), job)
            self.assertIs(DONE, self.state(job), job)

    def test_running_work_is_neither_restarted_nor_given_up(self) -> None:
        self.run_time_ms = lambda task, run: 7_000
        cases = itertools.product(
            ("w00", "w0", "w"), self.SILENCES_S, (1.0, 1.3, 1.6, 1.9)
        )
        for number, (prefix, silence_s, begin_s) in enumerate(cases):
            with self.subTest(
                prefix=prefix, silence_s=silence_s, begin_s=begin_s
            ):
                self.submit_work(f"j{number}x")
                self.run_for(begin_s)
                self.silence(prefix, silence_s)
                self.run_for(9.0)
                self.assert_each_ran_once(f"j{number}x")

    def test_work_that_ended_during_the_silence_is_not_run_again(self) -> None:
        self.run_time_ms = lambda task, run: 2_000
        for silence_s in self.SILENCES_S:
            with self.subTest(silence_s=silence_s):
                name = f"x{int(silence_s * 10)}"
                self.submit_work(name)
                self.run_for(1.0)
                self.silence("w0", silence_s)
                self.run_for(6.0)
                self.assert_each_ran_once(name)

    def test_work_of_a_silent_worker_survives_a_takeover(self) -> None:
        self.run_time_ms = lambda task, run: 8_000
        self.submit_work("x")
        self.run_for(1.0)
        owner = self.owner_index()
        defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        self.silence("w0", 2.5)
        self.run_for(10.0)
        self.assertNotEqual(owner, self.owner_index())
        self.assert_each_ran_once("x")
