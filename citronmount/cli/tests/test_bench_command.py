import json
import pathlib
import tempfile
import unittest

from click import shell_completion
from click import testing

from citronmount.bench import registry
from citronmount.cli import main

# A bench that runs in less than a second.
_BENCH = "failing-workers"
_POLICY = "fifo"


class BenchCommandTest(unittest.TestCase):
    """Guards against renames that break the command's lazy imports.

    The command imports modules by name when it needs them, so neither mypy nor
    a rename tool sees which of their attributes it uses. Only running the
    command shows that one of them no longer exists.
    """

    def run_command(self, *arguments, exit_code=0):
        result = testing.CliRunner().invoke(main.main, ["bench", *arguments])
        self.assertEqual(
            result.exit_code, exit_code, (result.output, result.exception)
        )
        return result

    def test_an_unknown_policy_is_bad_input_and_lists_the_policies(self):
        result = self.run_command(_BENCH, "--policy", "absent", exit_code=2)
        self.assertIn(", ".join(registry.POLICIES), result.stderr)

    def test_an_unknown_bench_is_bad_input(self):
        result = self.run_command("absent", exit_code=2)
        self.assertIn(_BENCH, result.stderr)

    def test_names_of_benches_are_completed(self):
        completion = shell_completion.ShellComplete(
            main.main, {}, "citronmount", "_CITRONMOUNT_COMPLETE"
        )
        items = completion.get_completions(["bench"], "failing")
        self.assertEqual([item.value for item in items], [_BENCH])

    def test_json_holds_the_metrics_of_the_policy_and_the_plot_is_written(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / "plot.svg"
        result = self.run_command(
            _BENCH, "--policy", _POLICY, "--json", "--plot", str(path)
        )
        report = json.loads(result.stdout)
        self.assertEqual(report["bench"], _BENCH)
        self.assertEqual(list(report["metrics"]), [_POLICY])
        self.assertIn("<svg", path.read_text(encoding="utf-8"))

    def test_text_names_the_policy(self):
        result = self.run_command(_BENCH, "--policy", _POLICY)
        self.assertEqual(result.stdout.splitlines()[0], _POLICY)


if __name__ == "__main__":
    unittest.main()
