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

    def other(self) -> int:
        return (self.owner() + 1) % self.vm_count

    def kill_owner(self) -> None:
        number = self.owner()
        self.log.faults[ids.VmId(f"vm{number}")] = SILENT
        defer.ensureDeferred(self.pool_vms[number].give_up())
        self.pool_vms[number].stop()

    def test_running_work_outlives_its_owner(self) -> None:
        at = self.other()
        gang = pool_fixture.make_step(tasks=3, gang=True)
        self.submit("j", gang, pool_fixture.make_step(after=(0,)), at=at)
        self.run_for(1.0)
        self.kill_owner()
        self.run_for(12.0)
        self.assertIs(DONE, self.state("j", at=at))
        self.assertEqual(4, len(self.started("j")))

    def test_owner_cut_from_the_log_is_replaced_and_fenced(self) -> None:
        at = self.other()
        self.submit("j", pool_fixture.make_step(tasks=4), at=at)
        self.run_for(1.0)
        before = self.owner()
        self.log.faults[ids.VmId(f"vm{before}")] = SILENT
        self.run_for(5.0)
        self.assertNotEqual(before, self.owner())
        self.run_for(5.0)
        self.assertEqual(4, len(self.started("j")))
        self.log.faults.clear()
        self.run_for(5.0)
        self.owner()
        self.assertIs(DONE, self.state("j", at=at))

    def test_intent_without_start_runs_under_the_next_owner(self) -> None:
        at = self.other()
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_workers.WorkerFault.SILENT
        self.submit("j", pool_fixture.make_step(), at=at)
        self.run_for(0.05)
        self.kill_owner()
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_workers.WorkerFault.NONE
        self.run_for(20.0)
        self.assertIs(DONE, self.state("j", at=at))

    def test_every_vm_starts_anew_in_the_middle_of_work(self) -> None:
        self.submit(
            "j",
            pool_fixture.make_step(tasks=6),
            pool_fixture.make_step(after=(0,)),
        )
        self.run_for(1.0)
        for number, node in enumerate(self.pool_vms):
            self.log.faults[ids.VmId(f"vm{number}")] = SILENT
            defer.ensureDeferred(node.give_up())
            node.stop()
        self.run_for(1.0)
        self.log.faults.clear()
        self.log.expire(ports.Topic.JOBS)
        self.pool_vms = [
            self.make_vm(n + self.vm_count) for n in range(self.vm_count)
        ]
        self.run_for(15.0)
        self.assertIs(DONE, self.state("j"))
        self.assertEqual(7, len(self.started("j")))

    def test_owner_hands_over_when_it_is_told_to_stop(self) -> None:
        number = self.owner()
        self.wait_for(defer.ensureDeferred(self.pool_vms[number].give_up()))
        self.run_for(1.0)
        self.assertNotEqual(number, self.owner())

    def test_owner_stays_when_another_vm_is_dealt_the_partition(self) -> None:
        before = self.owner()
        self.log.deal_to_last()
        self.run_for(3.0)
        self.assertEqual(before, self.owner())

    def test_gang_that_ended_while_its_owner_was_cut_off_is_not_run_again(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 2_000
        at = self.other()
        self.submit(
            "j", pool_fixture.make_step(tasks=4, accelerators=8, gang=True)
        )
        self.run_for(1.0)
        self.log.faults[ids.VmId(f"vm{self.owner()}")] = SILENT
        self.run_for(1.4)
        first = self.pool_workers.workers[ids.WorkerId("w00")]
        first.crash()
        self.run_for(12.0)
        self.assertEqual(4, len(self.started("j")))
        self.assertIs(DONE, self.state("j", at=at))

    def test_two_owners_do_not_take_the_pool_from_each_other(self) -> None:
        before = self.owner()
        self.run_time_ms = lambda task, run: 60_000
        self.submit("j", pool_fixture.make_step(tasks=4), at=self.other())
        self.log.faults[ids.VmId(f"vm{before}")] = SILENT
        self.run_for(5.0)
        after = self.owner()
        self.assertNotEqual(before, after)
        self.log.faults.clear()
        self.run_for(6.0)
        self.assertEqual(after, self.owner())
        epochs = [
            record
            for record in self.log.topics[ports.Topic.JOBS]
            if record.key == records.OWNER_KEY
        ]
        self.assertLessEqual(len(epochs), 3)

    def test_process_started_anew_takes_over_from_its_former_life(
        self,
    ) -> None:
        for number, node in enumerate(self.pool_vms):
            self.log.faults[ids.VmId(f"vm{number}")] = SILENT
            defer.ensureDeferred(node.give_up())
            node.stop()
        self.run_for(0.5)
        self.log.faults.clear()
        self.pool_vms = [self.make_vm(n) for n in range(self.vm_count)]
        self.run_for(4.0)
        self.owner()


class LargeGroupTest(pool_fixture.PoolTestCase):
    vm_count = 20

    def test_only_a_few_vms_are_members_and_one_owns(self) -> None:
        before = self.owner()
        self.run_for(5.0)
        self.assertEqual(before, self.owner())
        self.assertLessEqual(len(self.log.members()), 12)

    def test_vm_outside_the_group_knows_that_the_log_is_silent(self) -> None:
        members = {name.partition("/")[0] for name in self.log.members()}
        outside = next(
            n for n in range(self.vm_count) if f"vm{n}" not in members
        )
        self.log.faults[ids.VmId(f"vm{outside}")] = SILENT
        self.run_for(4.0)
        for _ in range(3):
            before_s = self.clock.seconds()
            verdict = self.submit("j", pool_fixture.make_step(), at=outside)
            self.assertIs(job_service.RequestOutcome.NOT_DONE, verdict)
            self.assertLess(self.clock.seconds() - before_s, 0.05)
            self.run_for(0.7)
        self.assertFalse(self.pool_vms[outside].ready)

    def test_vm_with_little_processor_time_owns_only_if_none_else_does(
        self,
    ) -> None:
        small = self.make_vm(self.vm_count, capable=False)
        self.run_for(4.0)
        self.assertFalse(small.owns_pool)
        for number, node in enumerate(self.pool_vms):
            self.log.faults[ids.VmId(f"vm{number}")] = SILENT
            defer.ensureDeferred(node.give_up())
            node.stop()
        self.run_for(6.0)
        self.assertTrue(small.owns_pool)


class LogFaultTest(pool_fixture.PoolTestCase):
    def test_submission_to_a_silent_log_is_refused_at_once(self) -> None:
        self.log.faults[ids.VmId("vm1")] = SILENT
        self.run_for(0.5)
        before_s = self.clock.seconds()
        verdict = self.submit("j", pool_fixture.make_step(), at=1)
        self.assertIs(job_service.RequestOutcome.NOT_DONE, verdict)
        self.assertLess(self.clock.seconds() - before_s, 0.5)
        self.log.faults.clear()
        self.run_for(5.0)
        self.assertEqual([], self.started("j"))

    def test_submission_with_lost_answers_is_not_called_not_run(self) -> None:
        self.log.faults[ids.VmId("vm1")] = pool_log.LogFault.LOSES_ANSWERS
        before_s = self.clock.seconds()
        verdict = self.submit("j", pool_fixture.make_step(), at=1)
        self.assertIs(job_service.RequestOutcome.UNCERTAIN, verdict)
        self.assertLess(self.clock.seconds() - before_s, 2.0)
        self.log.faults.clear()
        self.run_for(3.0)
        self.assertIs(
            job_service.RequestOutcome.DONE,
            self.submit("j", pool_fixture.make_step()),
        )
        self.run_for(2.0)
        self.assertEqual(1, len(self.started("j")))

    def test_refused_submission_is_answered_at_once_and_never_runs(
        self,
    ) -> None:
        self.log.faults[ids.VmId("vm1")] = pool_log.LogFault.REFUSES
        before_s = self.clock.seconds()
        verdict = self.submit("j", pool_fixture.make_step(), at=1)
        self.assertIs(job_service.RequestOutcome.NOT_DONE, verdict)
        self.assertLess(self.clock.seconds() - before_s, 0.5)
        self.log.faults.clear()
        self.run_for(3.0)
        self.assertEqual([], self.started("j"))

    def test_work_goes_on_while_the_log_is_down(self) -> None:
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
        self.assertEqual(3, len(self.started("j")))

    def test_history_that_expires_is_read_from_the_newest_records(
        self,
    ) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(0.2)
        for topic in ports.Topic:
            self.log.expire(topic)
        self.run_for(4.0)
        for vm in range(self.vm_count):
            self.assertIs(DONE, self.state("j", at=vm))

    def test_vm_without_the_log_is_not_ready(self) -> None:
        self.assertTrue(self.pool_vms[1].ready)
        self.log.faults[ids.VmId("vm1")] = SILENT
        self.run_for(6.0)
        self.assertFalse(self.pool_vms[1].ready)
        self.log.faults.clear()
        self.run_for(4.0)
        self.assertTrue(self.pool_vms[1].ready)

    def test_foreign_records_change_nothing(self) -> None:
        self.log.write(
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
            self.log.write(ports.Topic.JOBS, [entry])
        self.run_for(3.0)
        self.assertIs(DONE, self.state("j", at=1))
        self.submit("k", pool_fixture.make_step())
        self.run_for(3.0)
        self.assertIs(DONE, self.state("k"))


class DistrustTest(pool_fixture.PoolTestCase):
    def test_jobs_that_fail_everywhere_do_not_keep_others_waiting(
        self,
    ) -> None:
        self.fails = lambda task, run: task.startswith("bad")
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


class StallTest(pool_fixture.PoolTestCase):
    def test_run_that_stands_still_goes_on_elsewhere(self) -> None:
        self.run_time_ms = lambda task, run: 900_000 if run == 1 else 1_000
        self.submit("j", pool_fixture.make_step())
        self.run_for(30.0)
        places = [place for _, _, place in self.started("j")]
        self.assertEqual(2, len(set(places)))
        self.assertIs(DONE, self.state("j"))

    def test_tasks_that_do_not_get_on_move_within_seconds(self) -> None:
        for name in ("w00", "w01"):
            self.pool_workers.workers[ids.WorkerId(name)].stands_still = True
        self.submit(
            "j", pool_fixture.make_step(tasks=4, max_tasks_per_worker=1)
        )
        self.submit(
            "g", pool_fixture.make_step(tasks=2, accelerators=7, gang=True)
        )
        self.run_for(7.0)
        self.assertIs(DONE, self.state("j"))
        self.assertIs(DONE, self.state("g"))

    def test_slow_task_that_gets_on_is_left_alone(self) -> None:
        self.run_time_ms = lambda task, run: 15_000
        self.submit("j", pool_fixture.make_step(tasks=3, gang=True))
        self.run_for(16.0)
        self.assertEqual(3, len(self.started("j")))
        self.assertIs(DONE, self.state("j"))

    def test_job_far_longer_than_it_said_ends_all_the_same(self) -> None:
        self.run_time_ms = lambda task, run: 60_000
        self.submit("j", pool_fixture.make_step())
        self.run_for(140.0)
        self.assertIs(DONE, self.state("j"))
        self.assertLessEqual(len(self.started("j")), 3)


class SlowClockTest(pool_fixture.PoolTestCase):
    def test_leases_last_by_the_workers_own_slow_clock(self) -> None:
        for worker in self.pool_workers.workers.values():
            worker.clock_rate = 0.98
        self.run_time_ms = lambda task, run: 12_000
        self.submit(
            "j", pool_fixture.make_step(tasks=4, max_tasks_per_worker=1)
        )
        self.run_for(14.0)
        self.assertEqual(4, len(self.started("j")))
        self.assertIs(DONE, self.state("j"))

    def test_slow_clock_does_not_let_a_lost_task_run_twice(self) -> None:
        silent = self.pool_workers.workers[ids.WorkerId("w00")]
        silent.clock_rate = 0.98
        self.run_time_ms = lambda task, run: 9_000
        self.submit(
            "j", pool_fixture.make_step(tasks=4, max_tasks_per_worker=1)
        )
        self.run_for(1.0)
        silent.fault = pool_workers.WorkerFault.SILENT
        self.run_for(20.0)
        self.assertIs(DONE, self.state("j"))


class WorkerFaultTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 3_000

    def worker_of(self, job: str) -> pool_workers.PoolWorker:
        return self.pool_workers.workers[ids.WorkerId(self.started(job)[0][2])]

    def test_silent_worker_is_replaced_after_its_lease(self) -> None:
        self.run_time_ms = lambda task, run: 30_000 if run == 1 else 1_000
        self.submit("j", pool_fixture.make_step())
        self.run_for(1.0)
        self.worker_of("j").fault = pool_workers.WorkerFault.SILENT
        self.run_for(4.0)
        self.assertEqual(1, len(self.started("j")))
        self.run_for(8.0)
        self.assertIs(DONE, self.state("j"))

    def test_order_carried_out_late_does_not_run_a_task_twice(self) -> None:
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_workers.WorkerFault.LATE
        self.submit("j", pool_fixture.make_step(tasks=4))
        self.run_for(1.0)
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_workers.WorkerFault.NONE
        self.run_for(15.0)
        self.assertIs(DONE, self.state("j"))

    def test_gang_with_one_silent_member_is_stopped_whole(self) -> None:
        silent = self.pool_workers.workers[ids.WorkerId("w00")]
        silent.fault = pool_workers.WorkerFault.SILENT
        self.submit(
            "j", pool_fixture.make_step(tasks=4, accelerators=8, gang=True)
        )
        self.run_for(2.5)
        silent.fault = pool_workers.WorkerFault.NONE
        self.run_for(20.0)
        self.assertIs(DONE, self.state("j"))

    def test_new_life_of_a_worker_ends_what_the_old_one_ran(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(1.0)
        worker = self.worker_of("j")
        name = worker.entry.worker
        worker.crash()
        self.add_worker(name, rack=worker.entry.rack, life_ms=2)
        self.run_for(1.5)
        self.assertEqual(2, len(self.started("j")))
        self.run_for(4.0)
        self.assertIs(DONE, self.state("j"))

    def test_new_worker_on_a_machine_outlives_the_old_entry(self) -> None:
        for worker in list(self.pool_workers.workers.values()):
            worker.crash()
            fresh = f"{worker.entry.worker}-new"
            self.add_worker(
                fresh,
                rack=worker.entry.rack,
                life_ms=2,
                machine=worker.entry.machine,
            )
        self.run_for(1.0)
        self.submit("j", pool_fixture.make_step(tasks=4))
        self.run_for(6.0)
        self.assertEqual(4, len(self.started("j")))
        self.assertIs(DONE, self.state("j"))

    def test_entry_that_vanishes_does_not_end_what_runs(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(1.0)
        name = self.worker_of("j").entry.worker
        self.remove_entry(name)
        self.run_for(4.0)
        self.assertEqual(1, len(self.started("j")))
        self.assertIs(DONE, self.state("j"))

    def drain(self, worker: pool_workers.PoolWorker) -> None:
        entry = msgspec.structs.replace(
            worker.entry,
            state=worker_directory.WorkerState.DRAINING,
            remaining_ms=2_000,
        )
        worker.entry = entry
        self.publish(entry)

    def test_work_that_is_saved_moves_off_a_leaving_worker(self) -> None:
        self.run_time_ms = lambda task, run: 8_000
        saved = pool_fixture.make_step(checkpoints=True, estimate_ms=8_000)
        self.submit("saved", saved)
        self.submit("lost", pool_fixture.make_step(estimate_ms=8_000))
        self.submit("lasting", pool_fixture.make_step(lasting=True))
        self.run_for(1.0)
        for worker in list(self.pool_workers.workers.values()):
            if worker.running:
                self.drain(worker)
        self.run_for(1.5)
        self.assertEqual(2, len(self.started("saved")))
        self.assertEqual(2, len(self.started("lasting")))
        self.assertEqual(1, len(self.started("lost")))

    def test_draining_worker_gets_nothing_new(self) -> None:
        for worker in list(self.pool_workers.workers.values())[1:]:
            entry = msgspec.structs.replace(
                worker.entry, state=worker_directory.WorkerState.DRAINING
            )
            worker.entry = entry
            self.publish(entry)
        self.run_for(1.0)
        self.submit("j", pool_fixture.make_step(tasks=9))
        self.run_for(1.0)
        self.assertEqual({"w00"}, {place for _, _, place in self.started("j")})

    def test_domain_out_of_service_gets_nothing_new(self) -> None:
        self.log.write(ports.Topic.CONFIGURATION, [("out/fd-rack0", b"{}")])
        self.run_for(1.0)
        self.submit("j", pool_fixture.make_step(tasks=20))
        self.run_for(1.0)
        places = {place for _, _, place in self.started("j")}
        self.assertEqual({"w10", "w11"}, places)
        self.log.write(ports.Topic.CONFIGURATION, [("out/fd-rack0", None)])
        self.run_for(1.0)
        self.assertEqual(20, len(self.started("j")))


if __name__ == "__main__":
    unittest.main()
