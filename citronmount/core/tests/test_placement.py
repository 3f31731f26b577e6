import unittest

from citronmount.core import decisions
from citronmount.core import estimates
from citronmount.core import scheduler
from citronmount.core.tests import fixtures

END = decisions.AttemptEnd
HOUR_S = 3_600.0
MINUTE_MS = 60_000


def make(workers=2, policy="citron"):
    made = scheduler.DomainScheduler(
        failure_domain=fixtures.ZONE, policy=policy
    )
    made.set_configuration(
        fixtures.configuration(paying=["a"], allowances={"t": 32})
    )
    made.set_workers(tuple(map(fixtures.worker, range(workers))))
    return made


def place(made, name, now_ms=0, tasks=1, accelerators=1, account="a", **more):
    """Submits a job; returns the worker of each placement by job name."""
    more = {"run_time_s": 60.0, "adjacency": "failure_domain", **more}
    spec = fixtures.spec(name, account, tasks, accelerators, **more)
    assert made.submit(spec, now_ms) is None
    return placements(made, now_ms)


def placements(made, now_ms):
    return {
        each.job.partition("/")[2]: {
            group.worker for group in each.placement.groups
        }
        for each in made.decide(now_ms)
        if isinstance(each, decisions.PlaceJob)
    }


class RankingTest(unittest.TestCase):
    def test_small_jobs_share_a_worker(self):
        made = make(workers=4)
        homes = [place(made, f"j{n}")[f"j{n}"] for n in range(8)]
        self.assertEqual(len(set.union(*homes)), 1)

    def test_long_job_joins_a_long_one(self):
        made = make()
        place(made, "wide", accelerators=8)
        long = place(made, "long", run_time_s=9 * HOUR_S)["long"]
        made.attempt_ended("kr-a/wide", END.DONE, 1)
        short = place(made, "short", 1, accelerators=7)["short"]
        self.assertEqual(short, long)
        place(made, "short-2", 1, accelerators=6)
        made.attempt_ended("kr-a/short", END.DONE, 2)
        joined = place(made, "long-2", 2, 1, 2, run_time_s=8 * HOUR_S)
        self.assertEqual(joined["long-2"], long)


class PatienceTest(unittest.TestCase):
    def scattered(self, policy):
        """Leaves two gaps of one accelerator beside short jobs."""
        made = make(policy=policy)
        for number in range(2):
            place(made, f"short-{number}", accelerators=7)
        return made

    def gang(self, made, account="t"):
        return place(made, "g", tasks=2, account=account, run_time_s=HOUR_S)

    def test_long_trial_waits_for_less_scattered_room(self):
        made = self.scattered("citron")
        self.assertEqual(self.gang(made), {})
        made.attempt_ended("kr-a/short-0", END.DONE, 1_000)
        (workers,) = placements(made, 1_000).values()
        self.assertEqual(len(workers), 1)

    def test_waiting_is_bounded(self):
        made = self.scattered("citron")
        self.assertEqual(self.gang(made), {})
        self.assertEqual(placements(made, 6 * MINUTE_MS - 1), {})
        self.assertIn("g", placements(made, 6 * MINUTE_MS))

    def test_paying_work_does_not_wait(self):
        made = self.scattered("citron")
        self.assertIn("g", self.gang(made, account="a"))

    def test_baselines_do_not_wait(self):
        made = self.scattered("best_fit")
        self.assertIn("g", self.gang(made))


class BackfillTest(unittest.TestCase):
    def blocked(self, policy="citron"):
        """One worker half used for a minute, a job for the whole one first."""
        made = make(workers=1, policy=policy)
        place(made, "running", accelerators=4)
        self.assertEqual(place(made, "head", accelerators=8), {})
        return made

    def test_short_job_passes_and_long_one_does_not(self):
        made = self.blocked()
        self.assertEqual(place(made, "long", run_time_s=61.0), {})
        self.assertIn("short", place(made, "short", run_time_s=59.0))
        made.attempt_ended("kr-a/short", END.DONE, 59_000)
        made.attempt_ended("kr-a/running", END.DONE, 60_000)
        self.assertEqual(list(placements(made, 60_000)), ["head"])

    def test_policies_differ(self):
        for policy, passes in (
            ("fifo", False),
            ("no_backfill", False),
            ("best_fit", True),
        ):
            made = self.blocked(policy)
            placed = place(made, "long", run_time_s=61.0)
            self.assertEqual("long" in placed, passes, policy)


class EstimatorTest(unittest.TestCase):
    def test_correction_follows_history_within_bounds(self):
        for factor in (0.001, 0.5, 1.0, 3.0, 1_000.0):
            made = estimates.Estimator()
            spec = fixtures.spec("j", "a", run_time_s=100.0)
            for _ in range(100):
                made.observe(spec, 0.0, max(1, int(factor * 100_000)))
            expected = 100_000 * min(max(factor, 1 / 8), 8)
            self.assertAlmostEqual(made.run_ms(spec) / expected, 1, places=2)

    def test_overrun_is_expected_to_go_on(self):
        made = estimates.Estimator()
        spec = fixtures.spec("j", "a", run_time_s=10.0)
        self.assertEqual(made.left_ms(spec, 0.0, 4_000), 6_000)
        self.assertEqual(made.left_ms(spec, 0.0, 40_000), 10_000)


if __name__ == "__main__":
    unittest.main()
