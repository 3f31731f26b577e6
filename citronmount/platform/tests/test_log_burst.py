import json
import subprocess
import sys
import unittest

LINES_PER_CALL = 6
SLOWEST_MS = 1_000


class LogBurstTest(unittest.TestCase):
    """Real processes; see `log_burst` for the loads."""

    @classmethod
    def setUpClass(cls) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "citronmount.platform.tests.log_burst"],
            capture_output=True,
            text=True,
            timeout=120,
            check=True,
        )
        cls.loads = json.loads(done.stdout)

    def test_every_call_is_answered_whether_or_not_logs_are_read(
        self,
    ) -> None:
        for name, load in self.loads.items():
            with self.subTest(load=name):
                self.assertEqual({"200": load["calls"]}, load["statuses"])
                self.assertLess(load["slowest_ms"], SLOWEST_MS)

    def test_lines_per_call_are_bounded_under_ten_times_the_load(
        self,
    ) -> None:
        for name in ("usual", "burst"):
            with self.subTest(load=name):
                load = self.loads[name]
                self.assertGreaterEqual(load["made"], load["calls"])
                self.assertLessEqual(
                    load["made"], LINES_PER_CALL * load["calls"]
                )

    def test_every_line_is_written_or_counted_as_dropped(self) -> None:
        for name in ("usual", "burst"):
            with self.subTest(load=name):
                self.assertEqual([], self.loads[name]["unaccounted"])

    def test_lines_that_nobody_reads_are_dropped_and_counted(self) -> None:
        self.assertGreater(self.loads["unread"]["dropped"], 0)
