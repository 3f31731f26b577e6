from twisted.internet import defer

from citronmount.core import ids
from citronmount.fleet_service.tests import pool_fixture


class WorkerSpeedsTest(pool_fixture.PoolTestCase):
    workers_per_rack = 4

    def replace_owner(self) -> None:
        owner = self.owner_index()
        stopped = defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        self.wait_for(stopped)
        self.run_for(1.0)
        self.assertNotEqual(owner, self.owner_index())

    def test_urgent_gang_gets_fast_workers_under_the_next_owner(
        self,
    ) -> None:
        slow = {"w00", "w02", "w11"}
        for name in slow:
            self.pool_workers.workers[ids.WorkerId(name)].slowdown = 1.3
        tight = pool_fixture.make_queue("tight", priority=0, slack_factor=1.5)
        self.publish_configuration(tight, version=2)
        self.run_for(0.5)
        self.run_time_ms = lambda task, run: 2_500
        wide = pool_fixture.make_step(
            tasks=8, accelerators=8, gang=True, estimate_ms=2_500
        )
        for number in range(3):
            self.submit(f"wide{number}", wide)
            self.run_for(4.0)
        self.replace_owner()
        gang = pool_fixture.make_step(
            tasks=5, accelerators=8, gang=True, estimate_ms=2_500
        )
        self.submit("j", gang, queue="tight")
        self.run_for(1.0)
        self.assertEqual(5, len(self.starts_of("j")))
        used = {worker for _, _, worker in self.starts_of("j")}
        self.assertFalse(used & slow)
