from twisted.internet import defer

from citronmount.core import states
from citronmount.fleet.workers import worker_sessions
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_worker


class LargePoolTest(pool_fixture.PoolTestCase):
    workers_per_rack = 20
    racks = 8

    def test_new_owner_limits_concurrent_first_lease_renewals(self) -> None:
        self.assertLessEqual(
            self.pool_workers.max_open_renewals,
            worker_sessions.MAX_FIRST_RENEWALS,
        )
        gang = pool_fixture.make_step(tasks=160, accelerators=8, gang=True)
        self.submit("all", gang)
        self.run_for(0.3)
        self.assertEqual(160, len(self.starts_of("all")))

    def test_unresponsive_workers_do_not_delay_a_gang_on_the_others(
        self,
    ) -> None:
        unresponsive = [
            worker
            for name, worker in self.pool_workers.workers.items()
            if name[1] in "012"
        ]
        for worker in unresponsive:
            worker.fault = pool_worker.WorkerFault.SILENT
        owner = self.owner_index()
        defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        self.run_for(0.8)
        gang = pool_fixture.make_step(tasks=100, accelerators=8, gang=True)
        self.submit("rest", gang, vm=(owner + 1) % self.vm_count)
        self.run_for(0.2)
        self.assertEqual(100, len(self.starts_of("rest")))

    def test_wide_steps_and_gangs_on_a_large_pool_complete(self) -> None:
        self.run_time_ms = lambda task, run: 2_000 + 97 * len(task) % 900
        for number in range(24):
            wide = pool_fixture.make_step(tasks=39, estimate_ms=3_000)
            gang = pool_fixture.make_step(
                tasks=13, gang=True, one_rack=True, accelerators=4
            )
            self.submit(f"wide{number}", wide)
            self.submit(f"gang{number}", gang)
            self.run_for(0.1)
        self.run_for(8)
        jobs = [f"{kind}{n}" for kind in ("wide", "gang") for n in range(24)]
        self.assertEqual(
            {states.JobState.DONE}, {self.state(job) for job in jobs}
        )
        self.assertEqual(24 * (39 + 13), len(self.pool_workers.starts))
