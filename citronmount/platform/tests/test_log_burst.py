import json
import subprocess
import sys
import unittest

MAX_LINES_PER_CALL = 6
MAX_CALL_MS = 1_000


class LogBurstTest(unittest.TestCase):
    """Runs `log_burst`, which starts real VM processes, once for all tests."""

    @classmethod
    def setUpClass(cls) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "citronmount.platform.tests.log_burst"],
            capture_output=True,
            text=True,
            timeout=120,
            check=True,
        )
        cls.loads = json.loads(completed.stdout)

    def test_calls_succeed_quickly_even_if_logs_are_not_read(
        self,
    ) -> None:
        for name, load in self.loads.items():
            with self.subTest(load=name):
                self.assertEqual({"200": load["calls"]}, load["statuses"])
                self.assertLess(load["slowest_ms"], MAX_CALL_MS)

    def test_lines_per_call_are_bounded_at_ten_times_the_load(
        self,
    ) -> None:
        for name in ("usual", "burst"):
            with self.subTest(load=name):
                load = self.loads[name]
                self.assertGreaterEqual(load["made"], load["calls"])
                self.assertLessEqual(
                    load["made"], MAX_LINES_PER_CALL * load["calls"]
                )

    def test_each_line_is_written_or_counted_as_dropped(self) -> None:
        for name in ("usual", "burst"):
            with self.subTest(load=name):
                self.assertEqual([], self.loads[name]["unaccounted"])

    def test_lines_that_no_process_reads_are_dropped_and_counted(self) -> None:
        self.assertGreater(self.loads["unread"]["dropped"], 0)
