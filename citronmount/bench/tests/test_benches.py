"""Regression tests of small benches, which must meet their bars."""

import unittest

from citronmount import bench
from citronmount.bench import burst
from citronmount.bench import domain_out
from citronmount.bench import failing_workers
from citronmount.bench import hanbit
from citronmount.bench import misdeclared
from citronmount.bench import perchero
from citronmount.bench import registry
from citronmount.bench import report
from citronmount.bench import two_year
from citronmount.core import errors

SEED = 7
POLICIES = ("citron",)


class _BarAssertions:
    def _assert_met(self, bars, prefix):
        matching = [bar for bar in bars if bar.name.startswith(prefix)]
        self.assertTrue(matching)
        missed = [bar for bar in matching if not bar.met]
        self.assertEqual(missed, [])


class BarsTest(_BarAssertions, unittest.TestCase):
    def test_completion_of_short_requests_is_near_the_ideal_queue(self):
        result = perchero.run(SEED, POLICIES, seconds=6.0)
        self._assert_met(result.bars, "completion_p99_s")
        self.assertEqual(result.metrics["citron"].work_done_ratio, 1.0)

    def test_failing_workers_fail_no_healthy_job(self):
        result = failing_workers.run(SEED, POLICIES)
        self._assert_met(result.bars, "healthy_jobs_failed")

    def test_bursts_do_not_delay_guaranteed_jobs_of_other_members(self):
        result = burst.run(SEED, POLICIES, scale=0.3)
        self._assert_met(result.bars, "wait_p99_s")

    def test_urgent_jobs_start_in_time_at_a_tenth_of_the_two_year_plan(self):
        result = two_year.run(SEED, POLICIES, hours=12.0, scale=0.1)
        self._assert_met(result.bars, "urgent_wait")


class DomainOutBarsTest(_BarAssertions, unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.report = domain_out.run(SEED, POLICIES, hours=6.0)

    def test_work_goes_on_while_a_failure_domain_is_out(self):
        self._assert_met(self.report.bars, "work_done_ratio")

    def test_no_job_starts_in_a_failure_domain_that_is_out(self):
        self._assert_met(self.report.bars, "late_starts")


class HanbitBarsTest(_BarAssertions, unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.report = hanbit.run(SEED, ("citron", "best_fit"), scale=0.25)

    def test_waits_of_guaranteed_jobs_match_private_pools(self):
        self._assert_met(self.report.bars, "wait_p99_s")

    def test_fragmentation_is_half_of_best_fit(self):
        self._assert_met(self.report.bars, "fragmentation")

    def test_no_member_falls_behind(self):
        self._assert_met(self.report.bars, "served_lag")


class ReportTest(unittest.TestCase):
    def test_same_seed_gives_an_equal_encoded_report(self):
        runs = {
            "domain-out": lambda seed: domain_out.run(
                seed, POLICIES, hours=1.0
            ),
            "misdeclared": lambda seed: misdeclared.run(
                seed, POLICIES, hours=0.5
            ),
            "perchero": lambda seed: perchero.run(seed, POLICIES, seconds=1.0),
        }
        for name, run in runs.items():
            with self.subTest(name):
                first = report.encode(run(3))
                self.assertEqual(first, report.encode(run(3)))
                self.assertNotEqual(first, report.encode(run(4)))

    def test_every_bench_is_registered(self):
        self.assertEqual(
            bench.names(),
            (
                "burst",
                "domain-out",
                "failing-workers",
                "hanbit",
                "misdeclared",
                "perchero",
                "two-year",
            ),
        )

    def test_unknown_bench_name_is_refused(self):
        with self.assertRaises(errors.InvalidInputError):
            bench.run("no-such-bench", 1)
        with self.assertRaises(errors.InvalidInputError):
            registry.get("")
