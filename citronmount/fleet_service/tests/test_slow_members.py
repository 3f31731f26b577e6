from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture

DONE = states.JobState.DONE


class SlowMemberTest(pool_fixture.PoolTestCase):
    workers_per_rack = 3

    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 2_500
        self.gang = pool_fixture.make_step(
            tasks=4, accelerators=8, gang=True, estimate_ms=2_500
        )

    def slow(self, name: str, factor: float) -> None:
        self.pool_workers.workers[ids.WorkerId(name)].slowdown = factor

    def test_gang_leaves_a_worker_that_holds_it_up(self) -> None:
        self.slow("w00", 6.0)
        self.submit("j", self.gang)
        self.run_for(6.0)
        self.assertIs(DONE, self.state("j"))
        again = {worker for _, run, worker in self.started("j") if run == 2}
        self.assertEqual(4, len(again))
        self.assertNotIn("w00", again)

    def test_gang_stays_where_beginning_again_gains_nothing(self) -> None:
        self.slow("w00", 1.9)
        self.submit("j", self.gang)
        self.run_for(6.0)
        self.assertIs(DONE, self.state("j"))
        self.assertEqual(4, len(self.started("j")))

    def test_gang_moves_twice_at_most(self) -> None:
        for name in ("w00", "w01", "w02", "w10"):
            self.slow(name, 6.0)
        self.submit("j", self.gang)
        self.run_for(30.0)
        self.assertIs(DONE, self.state("j"))
        self.assertLessEqual(len(self.started("j")), 12)
