from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture

DONE = states.JobState.DONE


class GangStragglerTest(pool_fixture.PoolTestCase):
    workers_per_rack = 3

    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 2_500
        self.gang = pool_fixture.make_step(
            tasks=4, accelerators=8, gang=True, estimate_ms=2_500
        )

    def slow_down(self, name: str, factor: float) -> None:
        self.pool_workers.workers[ids.WorkerId(name)].slowdown = factor

    def test_gang_moves_off_a_straggler(self) -> None:
        self.slow_down("w00", 6.0)
        self.submit("j", self.gang)
        self.run_for(6.0)
        self.assertIs(DONE, self.state("j"))
        restarted = {
            worker for _, run, worker in self.starts_of("j") if run == 2
        }
        self.assertEqual(4, len(restarted))
        self.assertNotIn("w00", restarted)

    def test_gang_stays_when_a_restart_would_not_finish_earlier(self) -> None:
        self.slow_down("w00", 1.9)
        self.submit("j", self.gang)
        self.run_for(6.0)
        self.assertIs(DONE, self.state("j"))
        self.assertEqual(4, len(self.starts_of("j")))

    def test_gang_moves_at_most_twice(self) -> None:
        for name in ("w00", "w01", "w02", "w10"):
            self.slow_down(name, 6.0)
        self.submit("j", self.gang)
        self.run_for(30.0)
        self.assertIs(DONE, self.state("j"))
        self.assertLessEqual(len(self.starts_of("j")), 12)
