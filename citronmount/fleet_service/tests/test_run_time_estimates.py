from citronmount.fleet import fleet_configuration
from citronmount.fleet.estimates import run_times
from citronmount.fleet_service.tests import pool_fixture


class RunTimeEstimatesTest(pool_fixture.PoolTestCase):
    features = frozenset({fleet_configuration.Feature.RUN_TIME_ESTIMATES})

    def learn(self, run_ms: int, declared_ms: int, count: int = 8) -> None:
        """Runs jobs of a queue until their run time is known."""
        self.run_time_ms = lambda task, run: run_ms
        for number in range(count):
            self.submit(
                f"learn{number}",
                pool_fixture.make_step(estimate_ms=declared_ms),
            )
        self.run_for(run_ms / 1_000 + 1.0)

    def estimates(self) -> run_times.RunTimes:
        """Returns the learned run times of the current owner."""
        return self.pool_vms[self.owner_index()].run_times

    def test_runs_are_learned_by_the_owner(self) -> None:
        self.learn(run_ms=1_000, declared_ms=3_000)
        self.assertEqual(8, self.estimates().observed_count)

    def test_short_learned_time_does_not_end_a_run_that_would_complete(
        self,
    ) -> None:
        # Stalled and overdue limits follow the declared 40 s, although the
        # usual run of the queue takes 0.5 s.
        self.learn(run_ms=500, declared_ms=40_000)
        self.run_time_ms = lambda task, run: 30_000
        self.submit("j", pool_fixture.make_step(estimate_ms=40_000))
        self.run_for(32.0)
        self.assertEqual(1, len(self.starts_of("j")))
        self.assertEqual("done", self.state("j").value)


class DisabledEstimatesTest(pool_fixture.PoolTestCase):
    def test_nothing_is_learned_by_default(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(2.0)
        vm = self.pool_vms[self.owner_index()]
        self.assertEqual(0, vm.run_times.observed_count)
