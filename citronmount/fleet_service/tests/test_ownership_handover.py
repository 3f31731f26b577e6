from unittest import mock

from twisted.internet import defer

from citronmount.core import ids
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log


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
