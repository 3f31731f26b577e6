import unittest

from citronmount.core import decisions
from citronmount.core import estimates
from citronmount.core import scheduler
from citronmount.core.tests import fixtures

AttemptEnd = decisions.AttemptEnd
HOUR_S = 3_600.0
MINUTE_MS = 60_000


def new_scheduler(workers=2, policy="citron"):
    domain_scheduler = scheduler.DomainScheduler(
        failure_domain=fixtures.FAILURE_DOMAIN, policy=policy
    )
    domain_scheduler.set_configuration(
        fixtures.configuration(paying=["a"], allowances={"t": 32})
    )
    domain_scheduler.set_workers(tuple(map(fixtures.worker, range(workers))))
    return domain_scheduler


def place(
    domain_scheduler,
    name,
    now_ms=0,
    tasks=1,
    accelerators=1,
    account="a",
    **more,
):
    """Submits a job; returns the workers of each job that is placed now."""
    more = {"run_time_s": 60.0, "adjacency": "failure_domain", **more}
    spec = fixtures.spec(name, account, tasks, accelerators, **more)
    assert domain_scheduler.submit(spec, now_ms) is None
    return placements(domain_scheduler, now_ms)


def placements(domain_scheduler, now_ms):
    """Returns the workers of each job that is placed now, by its name."""
    return {
        decision.job.partition("/")[2]: {
            group.worker for group in decision.placement.groups
        }
        for decision in domain_scheduler.decide(now_ms)
        if isinstance(decision, decisions.PlaceJob)
    }


class RankingTest(unittest.TestCase):
    def test_small_jobs_share_one_worker(self):
        domain_scheduler = new_scheduler(workers=4)
        workers_of_jobs = [
            place(domain_scheduler, f"j{n}")[f"j{n}"] for n in range(8)
        ]
        self.assertEqual(len(set.union(*workers_of_jobs)), 1)

    def test_long_job_joins_worker_of_long_job(self):
        domain_scheduler = new_scheduler()
        place(domain_scheduler, "wide", accelerators=8)
        long = place(domain_scheduler, "long", run_time_s=9 * HOUR_S)["long"]
        domain_scheduler.attempt_ended("kr-a/wide", AttemptEnd.DONE, 1)
        short = place(domain_scheduler, "short", 1, accelerators=7)["short"]
        self.assertEqual(short, long)
        place(domain_scheduler, "short-2", 1, accelerators=6)
        domain_scheduler.attempt_ended("kr-a/short", AttemptEnd.DONE, 2)
        joined = place(
            domain_scheduler, "long-2", 2, 1, 2, run_time_s=8 * HOUR_S
        )
        self.assertEqual(joined["long-2"], long)


class DelaySchedulingTest(unittest.TestCase):
    def fragmented_scheduler(self, policy):
        """Returns a scheduler whose 2 workers have 1 accelerator free each."""
        domain_scheduler = new_scheduler(policy=policy)
        for number in range(2):
            place(domain_scheduler, f"short-{number}", accelerators=7)
        return domain_scheduler

    def submit_gang(self, domain_scheduler, account="t"):
        return place(
            domain_scheduler, "g", tasks=2, account=account, run_time_s=HOUR_S
        )

    def test_long_trial_job_waits_for_less_fragmented_placement(self):
        domain_scheduler = self.fragmented_scheduler("citron")
        self.assertEqual(self.submit_gang(domain_scheduler), {})
        domain_scheduler.attempt_ended("kr-a/short-0", AttemptEnd.DONE, 1_000)
        (workers,) = placements(domain_scheduler, 1_000).values()
        self.assertEqual(len(workers), 1)

    def test_delay_is_bounded(self):
        domain_scheduler = self.fragmented_scheduler("citron")
        self.assertEqual(self.submit_gang(domain_scheduler), {})
        self.assertEqual(placements(domain_scheduler, 6 * MINUTE_MS - 1), {})
        self.assertIn("g", placements(domain_scheduler, 6 * MINUTE_MS))

    def test_paying_job_is_not_delayed(self):
        domain_scheduler = self.fragmented_scheduler("citron")
        self.assertIn("g", self.submit_gang(domain_scheduler, account="a"))

    def test_baseline_policies_do_not_delay(self):
        domain_scheduler = self.fragmented_scheduler("best_fit")
        self.assertIn("g", self.submit_gang(domain_scheduler))


class BackfillTest(unittest.TestCase):
    def scheduler_with_blocked_head(self, policy="citron"):
        """Returns a scheduler whose only worker is half used for 60 s.

        The first queued job needs the whole worker.
        """
        domain_scheduler = new_scheduler(workers=1, policy=policy)
        place(domain_scheduler, "running", accelerators=4)
        self.assertEqual(place(domain_scheduler, "head", accelerators=8), {})
        return domain_scheduler

    def test_only_job_that_ends_before_reservation_is_backfilled(self):
        domain_scheduler = self.scheduler_with_blocked_head()
        self.assertEqual(place(domain_scheduler, "long", run_time_s=61.0), {})
        self.assertIn(
            "short", place(domain_scheduler, "short", run_time_s=59.0)
        )
        domain_scheduler.attempt_ended("kr-a/short", AttemptEnd.DONE, 59_000)
        domain_scheduler.attempt_ended("kr-a/running", AttemptEnd.DONE, 60_000)
        self.assertEqual(list(placements(domain_scheduler, 60_000)), ["head"])

    def test_backfill_depends_on_policy(self):
        for policy, is_backfilled in (
            ("fifo", False),
            ("no_backfill", False),
            ("best_fit", True),
        ):
            domain_scheduler = self.scheduler_with_blocked_head(policy)
            placed = place(domain_scheduler, "long", run_time_s=61.0)
            self.assertEqual("long" in placed, is_backfilled, policy)


class EstimatorTest(unittest.TestCase):
    def test_correction_converges_to_history_within_bounds(self):
        for factor in (0.001, 0.5, 1.0, 3.0, 1_000.0):
            estimator = estimates.Estimator()
            spec = fixtures.spec("j", "a", run_time_s=100.0)
            for _ in range(100):
                estimator.observe(spec, 0.0, max(1, int(factor * 100_000)))
            expected = 100_000 * min(max(factor, 1 / 8), 8)
            self.assertAlmostEqual(
                estimator.expected_run_ms(spec) / expected, 1, places=2
            )

    def test_overrunning_job_is_expected_to_continue(self):
        estimator = estimates.Estimator()
        spec = fixtures.spec("j", "a", run_time_s=10.0)
        self.assertEqual(estimator.remaining_ms(spec, 0.0, 4_000), 6_000)
        self.assertEqual(estimator.remaining_ms(spec, 0.0, 40_000), 10_000)


if __name__ == "__main__":
    unittest.main()
