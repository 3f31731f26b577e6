from unittest import mock

from twisted.internet import defer

from citronmount.core import ids
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log


class HandOverTest(pool_fixture.PoolTestCase):
    def owners(self) -> list[int]:
        return [n for n, node in enumerate(self.pool_vms) if node.owns_pool]

    def time_without_owner_s(self, settle_s: float = 3.0) -> float:
        """Makes the owner stop as planned; the next one takes over."""
        number = self.owner()
        defer.ensureDeferred(self.pool_vms[number].give_up())
        began_s = self.clock.seconds()
        while not self.owners() and self.clock.seconds() < began_s + 10:
            self.clock.advance(pool_fixture.STEP_S)
        self.pool_vms[number].stop()
        self.pool_vms[number] = self.make_vm(number + self.vm_count)
        took_s = self.clock.seconds() - began_s
        self.run_for(settle_s)
        return took_s

    def test_join_that_arrives_late_does_not_hold_up_the_hand_over(
        self,
    ) -> None:
        self.log.join_s = 0.15
        for _ in range(6):
            self.run_for(0.065)
            self.assertLess(self.time_without_owner_s(), 0.8)

    def test_new_owner_hears_of_jobs_at_once(self) -> None:
        for number in range(6):
            self.run_for(0.13)
            self.time_without_owner_s(settle_s=0.0)
            at = (self.owners()[0] + 1) % self.vm_count
            self.submit(f"j{number}", pool_fixture.make_step(), at=at)
            self.run_for(0.25)
            self.assertEqual(1, len(self.started(f"j{number}")))
            self.run_for(3.0)

    def test_slow_log_does_not_keep_the_pool_without_owner(self) -> None:
        with mock.patch.object(pool_log, "ANSWER_S", 0.45):
            self.run_for(2.0)
            self.assertLess(self.time_without_owner_s(), 5.0)

    def test_slow_log_is_regained_and_takes_jobs(self) -> None:
        self.log.faults = {
            ids.VmId(f"vm{number}"): pool_log.LogFault.SILENT
            for number in range(self.vm_count)
        }
        self.run_for(4.0)
        self.log.faults = {}
        with mock.patch.object(pool_log, "ANSWER_S", 0.45):
            self.run_for(3.0)
            for vm in range(self.vm_count):
                verdict = self.submit(f"j{vm}", pool_fixture.make_step(), at=vm)
                self.assertEqual("done", verdict.value)
