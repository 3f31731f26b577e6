import msgspec

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet.workers import worker_directory
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_worker

DONE = states.JobState.DONE


class WorkerQuarantineTest(pool_fixture.PoolTestCase):
    def test_jobs_that_always_fail_do_not_block_other_jobs(
        self,
    ) -> None:
        self.run_fails = lambda task, run: task.startswith("bad")
        self.run_time_ms = lambda task, run: 200
        for number in range(8):
            step = pool_fixture.make_step(tasks=2, worker_label="rack0")
            self.submit(f"bad{number}", step)
        self.run_for(2.0)
        self.submit(
            "good", pool_fixture.make_step(tasks=4, worker_label="rack0")
        )
        self.run_for(2.5)
        self.assertIs(DONE, self.state("good"))


class StalledRunTest(pool_fixture.PoolTestCase):
    def test_stalled_run_is_restarted_on_another_worker(self) -> None:
        self.run_time_ms = lambda task, run: 900_000 if run == 1 else 1_000
        self.submit("j", pool_fixture.make_step())
        self.run_for(30.0)
        places = [place for _, _, place in self.starts_of("j")]
        self.assertEqual(2, len(set(places)))
        self.assertIs(DONE, self.state("j"))

    def test_tasks_without_progress_are_moved_within_seconds(self) -> None:
        for name in ("w00", "w01"):
            self.pool_workers.workers[ids.WorkerId(name)].stalled = True
        self.submit(
            "j", pool_fixture.make_step(tasks=4, max_tasks_per_worker=1)
        )
        self.submit(
            "g", pool_fixture.make_step(tasks=2, accelerators=7, gang=True)
        )
        self.run_for(7.0)
        self.assertIs(DONE, self.state("j"))
        self.assertIs(DONE, self.state("g"))

    def test_slow_task_that_makes_progress_is_not_restarted(self) -> None:
        self.run_time_ms = lambda task, run: 15_000
        self.submit("j", pool_fixture.make_step(tasks=3, gang=True))
        self.run_for(16.0)
        self.assertEqual(3, len(self.starts_of("j")))
        self.assertIs(DONE, self.state("j"))

    def test_job_that_far_exceeds_its_estimate_completes(self) -> None:
        self.run_time_ms = lambda task, run: 60_000
        self.submit("j", pool_fixture.make_step())
        self.run_for(140.0)
        self.assertIs(DONE, self.state("j"))
        self.assertLessEqual(len(self.starts_of("j")), 3)


class SlowClockTest(pool_fixture.PoolTestCase):
    def test_leases_are_measured_by_a_slow_worker_clock(self) -> None:
        for worker in self.pool_workers.workers.values():
            worker.clock_rate = 0.98
        self.run_time_ms = lambda task, run: 12_000
        self.submit(
            "j", pool_fixture.make_step(tasks=4, max_tasks_per_worker=1)
        )
        self.run_for(14.0)
        self.assertEqual(4, len(self.starts_of("j")))
        self.assertIs(DONE, self.state("j"))

    def test_slow_worker_clock_does_not_let_an_unreachable_task_run_twice(
        self,
    ) -> None:
        worker = self.pool_workers.workers[ids.WorkerId("w00")]
        worker.clock_rate = 0.98
        self.run_time_ms = lambda task, run: 9_000
        self.submit(
            "j", pool_fixture.make_step(tasks=4, max_tasks_per_worker=1)
        )
        self.run_for(1.0)
        worker.fault = pool_worker.WorkerFault.SILENT
        self.run_for(20.0)
        self.assertIs(DONE, self.state("j"))


class WorkerFaultTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 3_000

    def worker_of(self, job: str) -> pool_worker.PoolWorker:
        return self.pool_workers.workers[
            ids.WorkerId(self.starts_of(job)[0][2])
        ]

    def test_unresponsive_worker_is_replaced_after_its_lease_expires(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 30_000 if run == 1 else 1_000
        self.submit("j", pool_fixture.make_step())
        self.run_for(1.0)
        self.worker_of("j").fault = pool_worker.WorkerFault.SILENT
        self.run_for(4.0)
        self.assertEqual(1, len(self.starts_of("j")))
        self.run_for(8.0)
        self.assertIs(DONE, self.state("j"))

    def test_start_command_executed_late_does_not_run_a_task_twice(
        self,
    ) -> None:
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_worker.WorkerFault.LATE
        self.submit("j", pool_fixture.make_step(tasks=4))
        self.run_for(1.0)
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_worker.WorkerFault.NONE
        self.run_for(15.0)
        self.assertIs(DONE, self.state("j"))

    def test_gang_with_an_unresponsive_member_is_stopped_as_a_whole(
        self,
    ) -> None:
        worker = self.pool_workers.workers[ids.WorkerId("w00")]
        worker.fault = pool_worker.WorkerFault.SILENT
        self.submit(
            "j", pool_fixture.make_step(tasks=4, accelerators=8, gang=True)
        )
        self.run_for(2.5)
        worker.fault = pool_worker.WorkerFault.NONE
        self.run_for(20.0)
        self.assertIs(DONE, self.state("j"))

    def test_new_incarnation_of_a_worker_ends_runs_of_the_previous_one(
        self,
    ) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(1.0)
        worker = self.worker_of("j")
        name = worker.entry.worker
        worker.crash()
        self.add_worker(name, rack=worker.entry.rack, life_ms=2)
        self.run_for(1.5)
        self.assertEqual(2, len(self.starts_of("j")))
        self.run_for(4.0)
        self.assertIs(DONE, self.state("j"))

    def test_new_worker_on_a_machine_is_used_despite_the_stale_entry(
        self,
    ) -> None:
        for worker in list(self.pool_workers.workers.values()):
            worker.crash()
            new_name = f"{worker.entry.worker}-new"
            self.add_worker(
                new_name,
                rack=worker.entry.rack,
                life_ms=2,
                machine=worker.entry.machine,
            )
        self.run_for(1.0)
        self.submit("j", pool_fixture.make_step(tasks=4))
        self.run_for(6.0)
        self.assertEqual(4, len(self.starts_of("j")))
        self.assertIs(DONE, self.state("j"))

    def test_removal_of_a_worker_entry_does_not_end_its_runs(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(1.0)
        name = self.worker_of("j").entry.worker
        self.remove_entry(name)
        self.run_for(4.0)
        self.assertEqual(1, len(self.starts_of("j")))
        self.assertIs(DONE, self.state("j"))

    def drain(self, worker: pool_worker.PoolWorker) -> None:
        entry = msgspec.structs.replace(
            worker.entry,
            state=worker_directory.WorkerState.DRAINING,
            remaining_ms=2_000,
        )
        worker.entry = entry
        self.publish_entry(entry)

    def test_checkpointed_and_lasting_tasks_move_off_a_draining_worker(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 8_000
        checkpointed = pool_fixture.make_step(
            checkpoints=True, estimate_ms=8_000
        )
        self.submit("saved", checkpointed)
        self.submit("lost", pool_fixture.make_step(estimate_ms=8_000))
        self.submit("lasting", pool_fixture.make_step(lasting=True))
        self.run_for(1.0)
        for worker in list(self.pool_workers.workers.values()):
            if worker.running:
                self.drain(worker)
        self.run_for(1.5)
        self.assertEqual(2, len(self.starts_of("saved")))
        self.assertEqual(2, len(self.starts_of("lasting")))
        self.assertEqual(1, len(self.starts_of("lost")))

    def test_draining_worker_gets_no_new_tasks(self) -> None:
        for worker in list(self.pool_workers.workers.values())[1:]:
            entry = msgspec.structs.replace(
                worker.entry, state=worker_directory.WorkerState.DRAINING
            )
            worker.entry = entry
            self.publish_entry(entry)
        self.run_for(1.0)
        self.submit("j", pool_fixture.make_step(tasks=9))
        self.run_for(1.0)
        self.assertEqual(
            {"w00"}, {place for _, _, place in self.starts_of("j")}
        )

    def test_domain_out_of_service_gets_no_new_tasks(self) -> None:
        self.log.append_records(
            ports.Topic.CONFIGURATION, [("out/fd-rack0", b"{}")]
        )
        self.run_for(1.0)
        self.submit("j", pool_fixture.make_step(tasks=20))
        self.run_for(1.0)
        places = {place for _, _, place in self.starts_of("j")}
        self.assertEqual({"w10", "w11"}, places)
        self.log.append_records(
            ports.Topic.CONFIGURATION, [("out/fd-rack0", None)]
        )
        self.run_for(1.0)
        self.assertEqual(20, len(self.starts_of("j")))
