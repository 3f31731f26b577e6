"""Tests of the daemon's command line."""

import pathlib
import tempfile
import unittest

from click import testing

import citronmount
from citronmount.service import daemon

_EXAMPLE = pathlib.Path("examples/settings/citronmountd.toml")


class MainTest(unittest.TestCase):
    """What the command prints and how it exits, short of running."""

    def _run(self, *arguments: str) -> testing.Result:
        return testing.CliRunner().invoke(daemon.main, arguments)

    def test_version(self) -> None:
        found = self._run("--version")
        self.assertEqual(0, found.exit_code)
        self.assertIn(citronmount.__version__, found.output)

    def test_check_of_the_example(self) -> None:
        found = self._run("--check", str(_EXAMPLE))
        self.assertEqual(0, found.exit_code, found.output)

    def test_faulty_settings_are_told_one_a_line(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "d.toml"
            path.write_text("[vm]\nid = 7\nfoo = 1\n", encoding="utf-8")
            for option in ("--check", "--settings"):
                with self.subTest(option):
                    found = self._run(option, str(path))
                    self.assertEqual(2, found.exit_code)
                    self.assertIn("vm.id", found.output)
                    self.assertIn("vm.foo", found.output)
                    self.assertNotIn("Traceback", found.output)

    def test_missing_file_and_missing_option(self) -> None:
        self.assertEqual(2, self._run("--settings", "/nowhere").exit_code)
        self.assertEqual(2, self._run().exit_code)
