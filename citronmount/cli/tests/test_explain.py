import json
import pathlib
import tempfile
import unittest

from click import testing

from citronmount.cli import main
from citronmount.telemetry.tests import test_job_history


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "vm.log"
        # Placed at 0.6 s, started at 0.7 s, ended at 2.7 s, final at 4.8 s.
        lines = test_job_history.gang_log_lines(0.6, 0.7, 2.7, 4.8)
        self.path.write_text("\n".join(["noise", *lines]), encoding="utf-8")

    def run_command(self, *arguments: str) -> testing.Result:
        runner = testing.CliRunner()
        return runner.invoke(main.main, ["explain", str(self.path), *arguments])

    def test_late_jobs_are_counted_by_their_longest_delay(self) -> None:
        result = self.run_command("--priority", "0")
        self.assertEqual(0, result.exit_code)
        self.assertIn("1  from the last end to the final state", result.output)
        self.assertIn(test_job_history.JOB, result.output)

    def test_one_job_is_shown_line_by_line(self) -> None:
        result = self.run_command("--job", test_job_history.JOB, "--json")
        shown = json.loads(result.output)
        self.assertEqual(5, len(shown["lines"]))
        self.assertEqual(2_000, shown["spent_ms"]["the last run at work"])

    def test_a_job_that_no_line_names_is_bad_input(self) -> None:
        result = self.run_command("--job", "other")
        self.assertEqual(2, result.exit_code)
