import itertools
import unittest

from citronmount.fleet.runs import task_progress
from citronmount.fleet.workers import worker_speeds

FAST = ("a", "b", "c", "d", "e", "f")
SLOW = ("x", "y", "z")


class WorkerSpeedsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speeds = worker_speeds.WorkerSpeeds()

    def rate(self, machine: str) -> float:
        return 25.0 if machine in SLOW else 32.5

    def observe_pairs(self, machines: tuple[str, ...], now_ms: int = 0) -> None:
        for pair in itertools.combinations(machines, 2):
            rates = {machine: self.rate(machine) for machine in pair}
            self.speeds.observe(rates, now_ms)

    def test_machine_without_observations_counts_as_fast(self) -> None:
        self.assertEqual(1.0, self.speeds.slowdown("a", 0))

    def test_slow_machines_are_detected_from_gang_rates(self) -> None:
        for _ in range(3):
            self.observe_pairs(FAST + SLOW)
        limit = worker_speeds.SLOWER_FACTOR
        for machine in FAST:
            self.assertLess(self.speeds.slowdown(machine, 0), limit)
        for machine in SLOW:
            self.assertGreater(self.speeds.slowdown(machine, 0), limit)

    def test_equal_machines_all_count_as_fast(self) -> None:
        self.observe_pairs(FAST)
        for machine in FAST:
            self.assertAlmostEqual(1.0, self.speeds.slowdown(machine, 0))

    def test_gang_on_one_machine_yields_no_estimate(self) -> None:
        self.speeds.observe({"x": 25.0}, 0)
        self.assertEqual(1.0, self.speeds.slowdown("x", 0))

    def test_severe_slowdown_expires(self) -> None:
        self.observe_pairs(FAST)
        for _ in range(3):
            self.speeds.observe({"a": 32.5, "b": 32.5, "z": 5.0}, 0)
        self.assertGreater(self.speeds.slowdown("z", 1_000), 3)
        later_ms = worker_speeds.SEVERE_SLOWDOWN_TTL_MS + 1
        self.assertEqual(1.0, self.speeds.slowdown("z", later_ms))


class TaskProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.progress = task_progress.TaskProgress()

    def test_rate_needs_two_reports(self) -> None:
        self.progress.add_report(0, 1_000)
        self.assertIsNone(self.progress.percent_per_s)
        self.progress.add_report(50, 3_000)
        self.assertAlmostEqual(25.0, self.progress.percent_per_s)

    def test_waiting_at_100_percent_does_not_lower_the_rate(self) -> None:
        for percent, clock_ms in ((0, 1_000), (50, 3_000), (100, 9_000)):
            self.progress.add_report(percent, clock_ms)
        self.assertAlmostEqual(25.0, self.progress.percent_per_s)

    def test_outdated_report_is_ignored(self) -> None:
        for percent, clock_ms in ((0, 1_000), (50, 3_000), (10, 1_500)):
            self.progress.add_report(percent, clock_ms)
        self.assertAlmostEqual(25.0, self.progress.percent_per_s)

    def test_unchanged_time_counts_from_the_last_change(self) -> None:
        for percent, clock_ms in ((10, 1_000), (40, 2_000), (40, 5_500)):
            self.progress.add_report(percent, clock_ms)
        self.assertEqual(3_500, self.progress.unchanged_ms)
