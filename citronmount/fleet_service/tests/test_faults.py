import unittest
from unittest import mock

from twisted.internet import defer

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service import job_service
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.standins import pool_worker
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
            worker.fault = pool_worker.WorkerFault.SILENT
        self.submit("j", pool_fixture.make_step(), vm=vm)
        self.run_for(0.05)
        self.crash_owner()
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_worker.WorkerFault.NONE
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


class ReassignmentTest(pool_fixture.PoolTestCase):
    def test_small_vms_stay_out_while_partitions_are_reassigned(self) -> None:
        small_vms = [
            self.make_vm(self.vm_count + number, sized_for_ownership=False)
            for number in range(6)
        ]
        self.run_for(4.0)
        for _ in range(8):
            with mock.patch.object(self.log, "members", return_value=set()):
                self.run_for(0.5)
            self.assertFalse(any(vm.owns_pool for vm in small_vms))
            names = {name.partition("/")[0] for name in self.log.members()}
            self.assertLessEqual(names, {"vm0", "vm1", "vm2"})
            self.run_for(1.3)


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


if __name__ == "__main__":
    unittest.main()
