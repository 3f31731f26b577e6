"""Urgent work while the pool changes hands by plan, as in a rolling restart."""

from unittest import mock

from twisted.internet import defer

from citronmount.core import ids
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.standins import pool_worker
from citronmount.workflow import spec
from citronmount.workflow import units

OVERLAP_S = 4.0
SUBMIT_PERIOD_S = 0.1


class PlannedHandoverTest(pool_fixture.PoolTestCase):
    workers_per_rack = 8

    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 200
        self.submitted_s: dict[str, float] = {}
        self.started_s: dict[str, float] = {}
        self.pool_workers.on_start.append(self.note_start)

    def note_start(
        self, worker: pool_worker.PoolWorker, task: units.TaskName
    ) -> None:
        self.started_s.setdefault(task.split(".")[0], self.clock.seconds())

    def submit_for(self, time_s: float, caller: int) -> None:
        """Submits an urgent gang periodically, without waiting for answers."""
        for _ in range(round(time_s / SUBMIT_PERIOD_S)):
            job = f"j{len(self.submitted_s)}"
            self.submitted_s[job] = self.clock.seconds()
            step = pool_fixture.make_step(tasks=2, gang=True)
            self.steps[job, 0] = step
            call = self.pool_vms[caller].job_service.submit(
                self.configuration.queues[1],
                ids.AccountId("acme"),
                spec.Workflow(job=ids.JobId(job), payload="", steps=(step,)),
                3_000,
            )
            defer.ensureDeferred(call)
            self.run_for(SUBMIT_PERIOD_S)

    def longest_wait_s(self) -> float:
        return max(
            self.started_s[job] - submitted_s
            for job, submitted_s in self.submitted_s.items()
        )

    def restart_owner_under_load(self) -> None:
        """Stops the owner gracefully and replaces it, with urgent work."""
        owner = self.owner_index()
        caller = (owner + 1) % self.vm_count
        self.submit_for(1.0, caller)
        leaving = self.pool_vms[owner]
        defer.ensureDeferred(leaving.release_ownership(overlap_s=OVERLAP_S))
        self.submit_for(OVERLAP_S, caller)
        leaving.stop()
        self.pool_vms[owner] = self.make_vm(owner + self.vm_count)
        self.submit_for(2.0, caller)

    def test_urgent_work_hardly_waits_for_the_next_owner(self) -> None:
        self.restart_owner_under_load()
        self.run_for(2.0)
        self.assertLess(self.longest_wait_s(), 0.2)

    # LOST: a VM served for up to 1.2 s longer and was killed with open calls.
    def test_silent_log_does_not_prolong_the_time_until_a_stop(self) -> None:
        owner = self.owner_index()
        self.log.faults[ids.VmId(f"vm{owner}")] = pool_log.LogFault.SILENT
        self.run_for(0.3)
        started_s = self.clock.seconds()
        drained = defer.ensureDeferred(self.pool_vms[owner].drain(OVERLAP_S))
        self.wait_for(drained, limit_s=2 * OVERLAP_S)
        took_s = self.clock.seconds() - started_s
        self.assertAlmostEqual(OVERLAP_S, took_s, delta=0.01)

    def test_urgent_work_waits_a_few_calls_of_a_slow_log(self) -> None:
        answer_s = 0.15
        with mock.patch.object(pool_log, "ANSWER_S", answer_s):
            self.run_for(2.0)
            self.restart_owner_under_load()
            self.run_for(2.0)
        # A probe and the submission; an append of the leaving owner and one
        # that is fenced; epoch, catching up; an append that is under way, and
        # the record of the placement.
        self.assertLess(self.longest_wait_s(), 7 * answer_s)

    def gap_of_handover_s(self, reassigned_after_s: float) -> float:
        """Restarts the owner; returns how long no VM owned the pool.

        Args:
            reassigned_after_s: When the group prefers another member, as after
                the restart of a VM.
        """
        owner = self.owner_index()
        leaving = self.pool_vms[owner]
        defer.ensureDeferred(leaving.release_ownership(overlap_s=OVERLAP_S))
        self.clock.callLater(reassigned_after_s, self.log.prefer_newest_member)
        gap_s = 0.0
        for _ in range(round(OVERLAP_S / pool_fixture.STEP_S)):
            self.run_for(pool_fixture.STEP_S)
            if not any(vm.owns_pool for vm in self.pool_vms):
                gap_s += pool_fixture.STEP_S
        leaving.stop()
        self.pool_vms[owner] = self.make_vm(owner)
        self.run_for(3.0)
        return gap_s

    # Seen on a day with a slow log: a second without an owner.
    def test_takeover_goes_on_if_the_group_prefers_another_member(self) -> None:
        answer_s = 0.15
        with mock.patch.object(pool_log, "ANSWER_S", answer_s):
            self.run_for(2.0)
            for step in range(20):
                reassigned_after_s = 0.05 * step
                with self.subTest(reassigned_after_s=reassigned_after_s):
                    gap_s = self.gap_of_handover_s(reassigned_after_s)
                    self.assertLess(gap_s, 3 * answer_s)

    def test_owner_without_successor_decides_until_it_stops(self) -> None:
        owner = self.owner_index()
        for vm in range(self.vm_count):
            if vm != owner:
                name = ids.VmId(f"vm{vm}")
                self.log.faults[name] = pool_log.LogFault.SILENT
        self.run_for(2.0)
        leaving = self.pool_vms[owner]
        defer.ensureDeferred(leaving.release_ownership(overlap_s=OVERLAP_S))
        self.submit_for(OVERLAP_S, owner)
        self.assertLess(self.longest_wait_s(), 0.2)
        self.run_for(0.1)
        self.assertFalse(leaving.owns_pool)
