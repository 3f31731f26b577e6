from citronmount.core import states
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service.tests import pool_fixture

OTHERS = [f"other{number}" for number in range(9)]


class FairSharingTest(pool_fixture.PoolTestCase):
    """32 accelerators; one of ten accounts sends ten times its usual demand."""

    def set_up_pool(self, *features: fleet_configuration.Feature) -> None:
        self.features = frozenset(features)
        super().setUp()
        self.weights = dict.fromkeys(["large", *OTHERS], 1.0)
        self.publish_configuration(version=2)
        self.run_for(0.5)

    def done_times_s(self, *features: fleet_configuration.Feature) -> list:
        """Returns when the job of each other account is done.

        Their demands are skewed: from 3 tasks to 27.
        """
        self.set_up_pool(*features)
        step = pool_fixture.make_step(tasks=12, estimate_ms=2_000)
        for number in range(10):
            self.submit(f"large{number}", step, account="large")
        for number, account in enumerate(OTHERS, 1):
            step = pool_fixture.make_step(tasks=3 * number, estimate_ms=2_000)
            self.submit(account, step, account=account)
        started_s = self.clock.seconds()
        done_s: dict[str, float] = {}
        while len(done_s) < len(OTHERS):
            self.run_for(0.2)
            elapsed_s = self.clock.seconds() - started_s
            self.assertLess(elapsed_s, 30.0, done_s)
            for account in OTHERS:
                if self.state(account) is states.JobState.DONE:
                    done_s.setdefault(account, round(elapsed_s, 1))
        self.assertEqual([], self.pool_workers.violations)
        return [done_s[account] for account in OTHERS]

    def test_usual_demand_is_not_served_behind_a_burst(self) -> None:
        feature = fleet_configuration.Feature.FAIR_SHARING
        with_shares_s = self.done_times_s(feature)
        without_shares_s = self.done_times_s()
        for with_s, without_s in zip(
            with_shares_s, without_shares_s, strict=True
        ):
            self.assertLessEqual(with_s, without_s)
        self.assertLess(sum(with_shares_s), 0.9 * sum(without_shares_s))
