import unittest

import msgspec
from twisted.internet import defer

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet import worker_directory
from citronmount.fleet_service import job_service
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.standins import pool_workers
from citronmount.workflow import records
from citronmount.workflow import units

DONE = states.JobState.DONE
SILENT = pool_log.LogFault.SILENT


class OwnerFaultTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 4_000

    def non_owner_index(self) -> int:
        return (self.owner_index() + 1) % self.vm_count

    def crash_owner(self) -> None:
        owner = self.owner_index()
        self.log.faults[ids.VmId(f"vm{owner}")] = SILENT
        defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        self.pool_vms[owner].stop()

    def test_running_tasks_survive_the_crash_of_the_owner(self) -> None:
        vm = self.non_owner_index()
        gang = pool_fixture.make_step(tasks=3, gang=True)
        self.submit("j", gang, pool_fixture.make_step(after=(0,)), vm=vm)
        self.run_for(1.0)
        self.crash_owner()
        self.run_for(12.0)
        self.assertIs(DONE, self.state("j", vm=vm))
        self.assertEqual(4, len(self.starts_of("j")))

    def test_owner_that_loses_the_log_is_replaced_and_fenced(self) -> None:
        vm = self.non_owner_index()
        self.submit("j", pool_fixture.make_step(tasks=4), vm=vm)
        self.run_for(1.0)
        owner = self.owner_index()
        self.log.faults[ids.VmId(f"vm{owner}")] = SILENT
        self.run_for(5.0)
        self.assertNotEqual(owner, self.owner_index())
        self.run_for(5.0)
        self.assertEqual(4, len(self.starts_of("j")))
        self.log.faults.clear()
        self.run_for(5.0)
        self.owner_index()
        self.assertIs(DONE, self.state("j", vm=vm))

    def test_recorded_intent_without_start_runs_under_the_next_owner(
        self,
    ) -> None:
        vm = self.non_owner_index()
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_workers.WorkerFault.SILENT
        self.submit("j", pool_fixture.make_step(), vm=vm)
        self.run_for(0.05)
        self.crash_owner()
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_workers.WorkerFault.NONE
        self.run_for(20.0)
        self.assertIs(DONE, self.state("j", vm=vm))

    def test_jobs_complete_after_a_restart_of_every_vm(self) -> None:
        self.submit(
            "j",
            pool_fixture.make_step(tasks=6),
            pool_fixture.make_step(after=(0,)),
        )
        self.run_for(1.0)
        for number, vm in enumerate(self.pool_vms):
            self.log.faults[ids.VmId(f"vm{number}")] = SILENT
            defer.ensureDeferred(vm.release_ownership())
            vm.stop()
        self.run_for(1.0)
        self.log.faults.clear()
        self.log.drop_history(ports.Topic.JOBS)
        self.pool_vms = [
            self.make_vm(n + self.vm_count) for n in range(self.vm_count)
        ]
        self.run_for(15.0)
        self.assertIs(DONE, self.state("j"))
        self.assertEqual(7, len(self.starts_of("j")))

    def test_graceful_stop_of_the_owner_hands_over_the_pool(self) -> None:
        owner = self.owner_index()
        self.wait_for(
            defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        )
        self.run_for(1.0)
        self.assertNotEqual(owner, self.owner_index())

    def test_owner_remains_when_the_partition_is_assigned_to_another_vm(
        self,
    ) -> None:
        owner = self.owner_index()
        self.log.prefer_newest_member()
        self.run_for(3.0)
        self.assertEqual(owner, self.owner_index())

    def test_gang_that_ended_during_a_partition_of_the_owner_is_not_rerun(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 2_000
        vm = self.non_owner_index()
        self.submit(
            "j", pool_fixture.make_step(tasks=4, accelerators=8, gang=True)
        )
        self.run_for(1.0)
        self.log.faults[ids.VmId(f"vm{self.owner_index()}")] = SILENT
        self.run_for(1.4)
        worker = self.pool_workers.workers[ids.WorkerId("w00")]
        worker.crash()
        self.run_for(12.0)
        self.assertEqual(4, len(self.starts_of("j")))
        self.assertIs(DONE, self.state("j", vm=vm))

    def test_partitioned_owner_does_not_retake_the_pool_on_return(self) -> None:
        first_owner = self.owner_index()
        self.run_time_ms = lambda task, run: 60_000
        self.submit(
            "j", pool_fixture.make_step(tasks=4), vm=self.non_owner_index()
        )
        self.log.faults[ids.VmId(f"vm{first_owner}")] = SILENT
        self.run_for(5.0)
        second_owner = self.owner_index()
        self.assertNotEqual(first_owner, second_owner)
        self.log.faults.clear()
        self.run_for(6.0)
        self.assertEqual(second_owner, self.owner_index())
        ownership_records = [
            record
            for record in self.log.topics[ports.Topic.JOBS]
            if record.key == records.OWNER_KEY
        ]
        self.assertLessEqual(len(ownership_records), 3)

    def test_restarted_process_takes_over_from_its_previous_incarnation(
        self,
    ) -> None:
        for number, vm in enumerate(self.pool_vms):
            self.log.faults[ids.VmId(f"vm{number}")] = SILENT
            defer.ensureDeferred(vm.release_ownership())
            vm.stop()
        self.run_for(0.5)
        self.log.faults.clear()
        self.pool_vms = [self.make_vm(n) for n in range(self.vm_count)]
        self.run_for(4.0)
        self.owner_index()


class LargeGroupTest(pool_fixture.PoolTestCase):
    vm_count = 20

    def test_large_group_has_few_members_and_one_owner(self) -> None:
        owner = self.owner_index()
        self.run_for(5.0)
        self.assertEqual(owner, self.owner_index())
        self.assertLessEqual(len(self.log.members()), 12)

    def test_vm_outside_the_group_detects_a_log_outage(self) -> None:
        members = {name.partition("/")[0] for name in self.log.members()}
        outsider = next(
            n for n in range(self.vm_count) if f"vm{n}" not in members
        )
        self.log.faults[ids.VmId(f"vm{outsider}")] = SILENT
        self.run_for(4.0)
        for _ in range(3):
            started_s = self.clock.seconds()
            outcome = self.submit("j", pool_fixture.make_step(), vm=outsider)
            self.assertIs(job_service.RequestOutcome.NOT_DONE, outcome)
            self.assertLess(self.clock.seconds() - started_s, 0.05)
            self.run_for(0.7)
        self.assertFalse(self.pool_vms[outsider].ready)

    def test_small_vm_owns_the_pool_only_if_no_other_vm_does(
        self,
    ) -> None:
        small_vm = self.make_vm(self.vm_count, sized_for_ownership=False)
        self.run_for(4.0)
        self.assertFalse(small_vm.owns_pool)
        for number, vm in enumerate(self.pool_vms):
            self.log.faults[ids.VmId(f"vm{number}")] = SILENT
            defer.ensureDeferred(vm.release_ownership())
            vm.stop()
        self.run_for(6.0)
        self.assertTrue(small_vm.owns_pool)


class LogFaultTest(pool_fixture.PoolTestCase):
    def test_submission_during_a_log_outage_is_refused_at_once(self) -> None:
        self.log.faults[ids.VmId("vm1")] = SILENT
        self.run_for(0.5)
        started_s = self.clock.seconds()
        outcome = self.submit("j", pool_fixture.make_step(), vm=1)
        self.assertIs(job_service.RequestOutcome.NOT_DONE, outcome)
        self.assertLess(self.clock.seconds() - started_s, 0.5)
        self.log.faults.clear()
        self.run_for(5.0)
        self.assertEqual([], self.starts_of("j"))

    def test_submission_with_lost_answers_is_reported_as_uncertain(
        self,
    ) -> None:
        self.log.faults[ids.VmId("vm1")] = pool_log.LogFault.LOSES_ANSWERS
        started_s = self.clock.seconds()
        outcome = self.submit("j", pool_fixture.make_step(), vm=1)
        self.assertIs(job_service.RequestOutcome.UNCERTAIN, outcome)
        self.assertLess(self.clock.seconds() - started_s, 2.0)
        self.log.faults.clear()
        self.run_for(3.0)
        self.assertIs(
            job_service.RequestOutcome.DONE,
            self.submit("j", pool_fixture.make_step()),
        )
        self.run_for(2.0)
        self.assertEqual(1, len(self.starts_of("j")))

    def test_submission_refused_by_the_log_is_answered_at_once_and_never_runs(
        self,
    ) -> None:
        self.log.faults[ids.VmId("vm1")] = pool_log.LogFault.REFUSES
        started_s = self.clock.seconds()
        outcome = self.submit("j", pool_fixture.make_step(), vm=1)
        self.assertIs(job_service.RequestOutcome.NOT_DONE, outcome)
        self.assertLess(self.clock.seconds() - started_s, 0.5)
        self.log.faults.clear()
        self.run_for(3.0)
        self.assertEqual([], self.starts_of("j"))

    def test_running_tasks_continue_during_a_log_outage(self) -> None:
        self.run_time_ms = lambda task, run: 6_000
        self.submit(
            "j",
            pool_fixture.make_step(tasks=2),
            pool_fixture.make_step(after=(0,)),
        )
        self.run_for(1.0)
        for number in range(self.vm_count):
            self.log.faults[ids.VmId(f"vm{number}")] = SILENT
        self.run_for(8.0)
        self.log.faults.clear()
        self.run_for(12.0)
        self.assertIs(DONE, self.state("j"))
        self.assertEqual(3, len(self.starts_of("j")))

    def test_expired_log_history_is_reread_from_a_snapshot(
        self,
    ) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(0.2)
        for topic in ports.Topic:
            self.log.drop_history(topic)
        self.run_for(4.0)
        for vm in range(self.vm_count):
            self.assertIs(DONE, self.state("j", vm=vm))

    def test_vm_that_cannot_reach_the_log_is_not_ready(self) -> None:
        self.assertTrue(self.pool_vms[1].ready)
        self.log.faults[ids.VmId("vm1")] = SILENT
        self.run_for(6.0)
        self.assertFalse(self.pool_vms[1].ready)
        self.log.faults.clear()
        self.run_for(4.0)
        self.assertTrue(self.pool_vms[1].ready)

    def test_invalid_records_are_ignored(self) -> None:
        self.log.append_records(
            ports.Topic.JOBS, [("u/x", b"\xff"), ("", b""), ("j/1", b"[]")]
        )
        self.submit("j", pool_fixture.make_step())
        for unit in ("j.0.0.0.0", "j", "j.0.7.0"):
            record = records.UnitChanged(
                unit=units.UnitId(unit),
                status=records.UnitStatus.WAITING,
                run=1,
                places=(records.Place(worker=ids.WorkerId("w"), life_ms=1),),
            )
            entry = (records.key_of(record), records.encode(record))
            self.log.append_records(ports.Topic.JOBS, [entry])
        self.run_for(3.0)
        self.assertIs(DONE, self.state("j", vm=1))
        self.submit("k", pool_fixture.make_step())
        self.run_for(3.0)
        self.assertIs(DONE, self.state("k"))


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
        worker.fault = pool_workers.WorkerFault.SILENT
        self.run_for(20.0)
        self.assertIs(DONE, self.state("j"))


class WorkerFaultTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 3_000

    def worker_of(self, job: str) -> pool_workers.PoolWorker:
        return self.pool_workers.workers[
            ids.WorkerId(self.starts_of(job)[0][2])
        ]

    def test_unresponsive_worker_is_replaced_after_its_lease_expires(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 30_000 if run == 1 else 1_000
        self.submit("j", pool_fixture.make_step())
        self.run_for(1.0)
        self.worker_of("j").fault = pool_workers.WorkerFault.SILENT
        self.run_for(4.0)
        self.assertEqual(1, len(self.starts_of("j")))
        self.run_for(8.0)
        self.assertIs(DONE, self.state("j"))

    def test_start_command_executed_late_does_not_run_a_task_twice(
        self,
    ) -> None:
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_workers.WorkerFault.LATE
        self.submit("j", pool_fixture.make_step(tasks=4))
        self.run_for(1.0)
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_workers.WorkerFault.NONE
        self.run_for(15.0)
        self.assertIs(DONE, self.state("j"))

    def test_gang_with_an_unresponsive_member_is_stopped_as_a_whole(
        self,
    ) -> None:
        worker = self.pool_workers.workers[ids.WorkerId("w00")]
        worker.fault = pool_workers.WorkerFault.SILENT
        self.submit(
            "j", pool_fixture.make_step(tasks=4, accelerators=8, gang=True)
        )
        self.run_for(2.5)
        worker.fault = pool_workers.WorkerFault.NONE
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

    def drain(self, worker: pool_workers.PoolWorker) -> None:
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


if __name__ == "__main__":
    unittest.main()
