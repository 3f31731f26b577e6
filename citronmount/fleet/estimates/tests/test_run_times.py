import math
import random
import statistics
import unittest

import hypothesis
from hypothesis import strategies

from citronmount.core import ids
from citronmount.fleet.estimates import prediction
from citronmount.fleet.estimates import run_times
from citronmount.workflow import spec

USUAL_MS = 5_000
Quantile = prediction.Quantile


def job(
    declared_ms: float, queue: str = "q", account: str = "a", image: str = ""
) -> tuple[spec.Submission, spec.Step]:
    step = spec.Step(tasks=1, estimate_ms=round(declared_ms), image=image)
    submission = spec.Submission(
        workflow=spec.Workflow(job=ids.JobId("j"), payload="", steps=(step,)),
        account=ids.AccountId(account),
        terms=spec.QueueTerms(
            queue=spec.QueueName(queue), service=spec.ServiceName("s")
        ),
        accepted_ms=0,
    )
    return submission, step


class RunTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.learned = run_times.RunTimes()
        self.rng = random.Random(5)

    def observe(
        self, actual_ms: float, declared_ms: float, count: int = 1, **job_: str
    ) -> None:
        for _ in range(count):
            self.learned.observe(*job(declared_ms, **job_), actual_ms)

    def median(self, declared_ms: float, **job_: str) -> float:
        """Returns the median as a multiple of the usual time."""
        submission, step = job(declared_ms, **job_)
        median_ms = self.learned.quantile_ms(submission, step, Quantile.MEDIAN)
        return median_ms / USUAL_MS

    def replay(
        self, spread: float, declared_factor: float
    ) -> tuple[float, float, list[float]]:
        """Replays the ends of 600 runs, 3 % of them long ones.

        Returns:
            The mean errors of the logarithm of declared and of learned times,
            and the actual times as multiples of the learned medians.
        """
        self.learned = run_times.RunTimes()
        declared_errors, learned_errors, ratios = [], [], []
        for _ in range(600):
            usual_ms = USUAL_MS * math.exp(self.rng.gauss(0, spread))
            error = self.rng.uniform(-1, 1) * math.log(declared_factor)
            declared_ms = usual_ms * math.exp(error)
            long = self.rng.random() < 0.03
            learned_ms = self.median(declared_ms) * USUAL_MS
            ratios.append(usual_ms * (7 if long else 1) / learned_ms)
            self.observe(usual_ms * (7 if long else 1), declared_ms)
            if not long:
                declared_errors.append(abs(error))
                learned_errors.append(abs(math.log(usual_ms / learned_ms)))
        return (
            statistics.mean(declared_errors[100:]),
            statistics.mean(learned_errors[100:]),
            ratios[100:],
        )

    def test_replayed_runs_are_predicted_better_than_declared(self) -> None:
        # Good declared times must not be made worse by typical ones.
        for declared_factor, error_factor in ((1.9, 1), (1.5, 1), (1.2, 1.1)):
            for spread in (0.3, 0.5):
                with self.subTest(spread=spread, factor=declared_factor):
                    declared, learned, _ = self.replay(spread, declared_factor)
                    self.assertLess(learned, declared * error_factor)

    def test_quantiles_cover_their_share_of_runs(self) -> None:
        _, _, ratios = self.replay(0.4, 1.9)
        expected = self.learned.run_time(*job(USUAL_MS))
        for quantile_ms, share in (
            (expected.low_ms, 0.02),
            (expected.high_ms, 0.9),
        ):
            factor = quantile_ms / expected.median_ms
            covered = sum(ratio <= factor for ratio in ratios) / len(ratios)
            self.assertAlmostEqual(share, covered, delta=0.05)

    def test_systematic_error_of_declared_times_is_corrected(self) -> None:
        for _ in range(30):
            usual_ms = USUAL_MS * math.exp(self.rng.gauss(0, 1.0))
            self.observe(usual_ms * 1.8, usual_ms)
        self.assertAlmostEqual(1.8, self.median(USUAL_MS), delta=0.4)

    def test_long_runs_do_not_move_the_median(self) -> None:
        for _ in range(6):
            self.observe(7 * USUAL_MS, USUAL_MS)
            self.observe(USUAL_MS, USUAL_MS, count=30)
        self.assertAlmostEqual(1, self.median(USUAL_MS), 1)

    def test_job_declared_as_of_another_kind_keeps_its_time(self) -> None:
        for _ in range(50):
            self.observe(USUAL_MS, USUAL_MS * self.rng.uniform(0.6, 1.6))
        self.assertAlmostEqual(10, self.median(10 * USUAL_MS), delta=2)

    def test_drift_is_followed(self) -> None:
        for factor in (1, 3):
            for _ in range(60):
                actual_ms = factor * USUAL_MS * self.rng.uniform(0.8, 1.25)
                self.observe(actual_ms, USUAL_MS)
        self.assertAlmostEqual(3, self.median(USUAL_MS), delta=0.6)

    def test_few_runs_are_not_trusted(self) -> None:
        self.observe(USUAL_MS, 2 * USUAL_MS, count=2)
        self.assertEqual(2, self.median(2 * USUAL_MS))

    def test_narrow_key_starts_from_the_broader_one(self) -> None:
        narrow = {"account": "b", "image": "x"}
        self.observe(USUAL_MS, 2 * USUAL_MS, count=40)
        self.observe(3 * USUAL_MS, 2 * USUAL_MS, **narrow)
        self.assertLess(self.median(2 * USUAL_MS, **narrow), 1.6)
        self.observe(3 * USUAL_MS, 2 * USUAL_MS, count=30, **narrow)
        self.assertGreater(self.median(2 * USUAL_MS, **narrow), 2.5)
        self.assertEqual(2, self.median(2 * USUAL_MS, queue="other"))

    @hypothesis.given(
        ends=strategies.lists(
            strategies.tuples(
                strategies.floats(1, 1e6), strategies.integers(0, 10**6)
            ),
            min_size=4,
            max_size=12,
        ),
        declared_ms=strategies.integers(0, 10**6),
        bound_ms=strategies.floats(1, 1e7),
    )
    def test_bound_never_shortens_an_estimate(
        self, ends: list[tuple[float, int]], declared_ms: int, bound_ms: float
    ) -> None:
        self.learned = run_times.RunTimes()
        for end in ends:
            self.observe(*end)
        before = self.learned.run_time(*job(declared_ms))
        self.learned.observe_bound(*job(declared_ms), bound_ms)
        after = self.learned.run_time(*job(declared_ms))
        self.assertLessEqual(before.low_ms, before.median_ms)
        self.assertLessEqual(before.median_ms, before.high_ms)
        self.assertGreaterEqual(after.low_ms, before.low_ms)
        self.assertGreaterEqual(after.median_ms, before.median_ms)
        self.assertGreaterEqual(after.high_ms, before.high_ms)

    def test_bounds_lengthen_an_estimate_made_of_short_runs(self) -> None:
        self.observe(USUAL_MS, 0, count=10)
        for _ in range(10):
            self.learned.observe_bound(*job(0), 2 * USUAL_MS)
        self.assertGreater(self.median(0), 1.5)

    def test_keys_are_bounded_and_the_oldest_is_evicted(self) -> None:
        self.observe(USUAL_MS, 2 * USUAL_MS, count=5, queue="old")
        for number in range(run_times.MAX_KEYS):
            self.observe(USUAL_MS, 2 * USUAL_MS, queue=f"q{number}")
        self.assertEqual(run_times.MAX_KEYS, len(self.learned))
        self.assertEqual(2, self.median(2 * USUAL_MS, queue="old"))

    def test_damaged_entries_of_a_snapshot_are_ignored(self) -> None:
        valid = (5_000, 1_000, 100) * 5
        damaged = {
            "q|a": valid[:14],
            "q|b": (-1, *valid[1:]),
            "q|c": (5, 10**18, *valid[2:]),
            "q|d": (),
        }
        self.assertEqual(0, self.learned.restore(damaged))
