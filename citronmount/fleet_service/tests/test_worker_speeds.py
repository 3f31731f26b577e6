from twisted.internet import defer

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service.tests import pool_fixture
from citronmount.workflow import spec


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


class LearnedSpeedsTest(WorkerSpeedsTest):
    """The same with speeds that have an uncertainty."""

    features = frozenset({fleet_configuration.Feature.WORKER_SPEEDS})

    def set_speeds(self, **speeds: float) -> None:
        for name, speed in speeds.items():
            worker = self.pool_workers.workers[ids.WorkerId(name)]
            worker.slowdown = 1 / speed

    def check_learned_early(self, step: spec.Step) -> None:
        """Fails if speeds are unknown 0.7 s after the first tasks started."""
        tight = pool_fixture.make_queue("tight", priority=0, slack_factor=1.5)
        self.publish_configuration(tight, version=2)
        self.run_for(0.5)
        self.set_speeds(w00=0.6, w02=1.6, w10=0.6, w12=1.6)
        self.run_time_ms = lambda task, run: 5_000
        self.submit("first", step)
        self.run_for(0.7)
        self.cancel("first")
        self.run_for(1.0)
        gang = pool_fixture.make_step(
            tasks=2, accelerators=8, gang=True, estimate_ms=2_500
        )
        self.submit("j", gang, queue="tight")
        self.run_for(0.5)
        used = {worker for _, _, worker in self.starts_of("j")}
        self.assertEqual({"w02", "w12"}, used)

    def test_speeds_are_learned_early_from_a_gang(self) -> None:
        self.check_learned_early(
            pool_fixture.make_step(
                tasks=8, accelerators=8, gang=True, estimate_ms=5_000
            )
        )

    def test_speeds_are_learned_early_from_single_tasks(self) -> None:
        self.check_learned_early(
            pool_fixture.make_step(tasks=8, accelerators=8, estimate_ms=5_000)
        )
