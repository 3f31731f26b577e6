import itertools
import unittest

from citronmount.fleet import task_progress
from citronmount.fleet import worker_speeds

QUICK = ("a", "b", "c", "d", "e", "f")
SLOW = ("x", "y", "z")


class WorkerSpeedsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speeds = worker_speeds.WorkerSpeeds()

    def rate(self, machine: str) -> float:
        return 25.0 if machine in SLOW else 32.5

    def learn_pairs(self, machines: tuple[str, ...], now_ms: int = 0) -> None:
        for pair in itertools.combinations(machines, 2):
            rates = {machine: self.rate(machine) for machine in pair}
            self.speeds.observe(rates, now_ms)

    def test_machine_without_evidence_counts_as_quick(self) -> None:
        self.assertEqual(1.0, self.speeds.slowdown("a", 0))

    def test_gangs_tell_slow_machines_from_quick_ones(self) -> None:
        for _ in range(3):
            self.learn_pairs(QUICK + SLOW)
        limit = worker_speeds.SLOWER_FACTOR
        for machine in QUICK:
            self.assertLess(self.speeds.slowdown(machine, 0), limit)
        for machine in SLOW:
            self.assertGreater(self.speeds.slowdown(machine, 0), limit)

    def test_equal_machines_are_all_quick(self) -> None:
        self.learn_pairs(QUICK)
        for machine in QUICK:
            self.assertAlmostEqual(1.0, self.speeds.slowdown(machine, 0))

    def test_gang_on_one_machine_tells_nothing(self) -> None:
        self.speeds.observe({"x": 25.0}, 0)
        self.assertEqual(1.0, self.speeds.slowdown("x", 0))

    def test_slump_is_forgotten_after_a_while(self) -> None:
        self.learn_pairs(QUICK)
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

    def test_waiting_for_the_rest_of_the_gang_is_left_out(self) -> None:
        for percent, clock_ms in ((0, 1_000), (50, 3_000), (100, 9_000)):
            self.progress.add_report(percent, clock_ms)
        self.assertAlmostEqual(25.0, self.progress.percent_per_s)

    def test_late_copy_of_a_report_changes_nothing(self) -> None:
        for percent, clock_ms in ((0, 1_000), (50, 3_000), (10, 1_500)):
            self.progress.add_report(percent, clock_ms)
        self.assertAlmostEqual(25.0, self.progress.percent_per_s)

    def test_stillness_counts_from_the_last_change(self) -> None:
        for percent, clock_ms in ((10, 1_000), (40, 2_000), (40, 5_500)):
            self.progress.add_report(percent, clock_ms)
        self.assertEqual(3_500, self.progress.unchanged_ms)
