"""Tests of the daemon's command line."""

import pathlib
import tempfile
import unittest

from click import testing

import citronmount
from citronmount.service import daemon

_EXAMPLE = pathlib.Path("examples/settings/citronmountd.toml")


class MainTest(unittest.TestCase):
    """Output and exit status of the options that do not run the daemon."""

    def _run(self, *arguments: str) -> testing.Result:
        return testing.CliRunner().invoke(daemon.main, arguments)

    def test_version_is_printed(self) -> None:
        result = self._run("--version")
        self.assertEqual(0, result.exit_code)
        self.assertIn(citronmount.__version__, result.output)

    def test_example_settings_pass_the_check(self) -> None:
        result = self._run("--check", str(_EXAMPLE))
        self.assertEqual(0, result.exit_code, result.output)

    def test_every_fault_is_printed_without_a_traceback(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "d.toml"
            path.write_text("[vm]\nid = 7\nfoo = 1\n", encoding="utf-8")
            for option in ("--check", "--settings"):
                with self.subTest(option):
                    result = self._run(option, str(path))
                    self.assertEqual(2, result.exit_code)
                    self.assertIn("vm.id", result.output)
                    self.assertIn("vm.foo", result.output)
                    self.assertNotIn("Traceback", result.output)

    def test_missing_file_or_option_exits_with_2(self) -> None:
        self.assertEqual(2, self._run("--settings", "/nowhere").exit_code)
        self.assertEqual(2, self._run().exit_code)
