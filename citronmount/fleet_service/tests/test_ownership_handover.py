import collections
from unittest import mock

from twisted.internet import defer

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.fleet_service.tests import process_fixture
from citronmount.standins import pool_log
from citronmount.standins import pool_worker


class OwnershipHandoverTest(pool_fixture.PoolTestCase):
    def owner_indices(self) -> list[int]:
        return [n for n, vm in enumerate(self.pool_vms) if vm.owns_pool]

    def handover_time_s(self, settle_s: float = 3.0) -> float:
        """Stops the owner gracefully and returns the time without one."""
        owner = self.owner_index()
        defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        started_s = self.clock.seconds()
        while (
            not self.owner_indices() and self.clock.seconds() < started_s + 10
        ):
            self.clock.advance(pool_fixture.STEP_S)
        self.pool_vms[owner].stop()
        self.pool_vms[owner] = self.make_vm(owner + self.vm_count)
        took_s = self.clock.seconds() - started_s
        self.run_for(settle_s)
        return took_s

    def test_join_in_flight_does_not_delay_the_handover(
        self,
    ) -> None:
        self.log.extra_join_delay_s = 0.15
        for _ in range(6):
            self.run_for(0.065)
            self.assertLess(self.handover_time_s(), 0.8)

    def test_new_owner_starts_submitted_jobs_at_once(self) -> None:
        for number in range(6):
            self.run_for(0.13)
            self.handover_time_s(settle_s=0.0)
            vm = (self.owner_indices()[0] + 1) % self.vm_count
            self.submit(f"j{number}", pool_fixture.make_step(), vm=vm)
            self.run_for(0.25)
            self.assertEqual(1, len(self.starts_of(f"j{number}")))
            self.run_for(3.0)

    def test_slow_log_does_not_prevent_the_handover(self) -> None:
        with mock.patch.object(pool_log, "ANSWER_S", 0.45):
            self.run_for(2.0)
            self.assertLess(self.handover_time_s(), 5.0)

    def test_slow_log_accepts_jobs_after_an_outage(self) -> None:
        self.log.faults = {
            ids.VmId(f"vm{number}"): pool_log.LogFault.SILENT
            for number in range(self.vm_count)
        }
        self.run_for(4.0)
        self.log.faults = {}
        with mock.patch.object(pool_log, "ANSWER_S", 0.45):
            self.run_for(3.0)
            for vm in range(self.vm_count):
                outcome = self.submit(f"j{vm}", pool_fixture.make_step(), vm=vm)
                self.assertEqual("done", outcome.value)


class TwoOwnersTest(process_fixture.ProcessTestCase):
    """Two processes act as owner for a moment, on the same work."""

    workers_per_rack = 3

    def active_owners(self) -> list[int]:
        return [n for n, vm in enumerate(self.pool_vms) if vm.owns_pool]

    def set_worker_fault(self, fault: pool_worker.WorkerFault) -> None:
        for worker in self.pool_workers.workers.values():
            worker.fault = fault

    def calls_by_token(self, call: str) -> collections.Counter[int]:
        """Returns how often each owner sent a command, by its token."""
        return collections.Counter(
            arguments[0].token
            for process in self.processes
            for name, arguments in process.calls
            if name == call
        )

    def test_work_placed_by_both_owners_runs_once(self) -> None:
        moments_with_two_owners = 0
        delays_s = (0.0, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0)
        for number, delay_s in enumerate(delays_s):
            with self.subTest(delay_s=delay_s):
                job = f"j{number}"
                owner = self.owner_index()
                # The starts of the owner stay unanswered, so it repeats them.
                self.set_worker_fault(pool_worker.WorkerFault.SILENT)
                self.submit(
                    job,
                    pool_fixture.make_step(tasks=6),
                    pool_fixture.make_step(tasks=6, gang=True, after=(0,)),
                    vm=(owner + 1) % self.vm_count,
                )
                self.run_for(0.2)
                name = ids.VmId(f"vm{owner}")
                self.log.faults[name] = pool_log.LogFault.SILENT
                for _ in range(1_000):
                    if len(self.active_owners()) == 2:
                        break
                    self.run_for(pool_fixture.STEP_S)
                moments_with_two_owners += len(self.active_owners()) == 2
                self.run_for(delay_s)
                self.set_worker_fault(pool_worker.WorkerFault.NONE)
                self.run_for(0.5)
                self.log.faults.clear()
                self.run_for(12.0)
                (vm,) = self.active_owners()
                self.assertNotEqual(owner, vm)
                self.assertIs(states.JobState.DONE, self.state(job, vm=vm))
                self.assertEqual(12, len(self.starts_of(job)))
                self.assertEqual([], self.pool_workers.violations)
        self.assertEqual(len(delays_s), moments_with_two_owners)
        self.assertGreater(len(self.calls_by_token("start")), len(delays_s))

    def test_cancelled_work_is_stopped_by_either_owner(self) -> None:
        self.run_time_ms = lambda task, run: 60_000
        owner = self.owner_index()
        vm = (owner + 1) % self.vm_count
        self.submit("j", pool_fixture.make_step(tasks=6), vm=vm)
        self.run_for(1.0)
        name = ids.VmId(f"vm{owner}")
        self.log.faults[name] = pool_log.LogFault.SILENT
        for _ in range(1_000):
            if len(self.active_owners()) == 2:
                break
            self.run_for(pool_fixture.STEP_S)
        self.assertEqual(2, len(self.active_owners()))
        self.cancel("j", vm=vm)
        self.run_for(3.0)
        self.assertEqual([], self.pool_workers.running())
        self.assertEqual(6, len(self.starts_of("j")))
        self.assertIs(states.JobState.CANCELLED, self.state("j", vm=vm))
