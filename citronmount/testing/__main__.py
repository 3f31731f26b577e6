"""Runs tests and prints the slowest tests and a closing line with counts.

Tests listed in KNOWN-RED.txt may fail: they are printed and do not make the
run fail. Any other failure does. CI reads the closing line and the lines that
start with ``known red:``.
"""

import argparse
import pathlib
import sys
import time
import unittest

__all__ = ["main"]

_KNOWN_RED_PATH = pathlib.Path("KNOWN-RED.txt")
_SLOWEST_TESTS_SHOWN = 10


class _TimedResult(unittest.TextTestResult):
    """A test result that times each test and prints module names.

    Attributes:
        durations_s: Duration of each finished test, by test id.
    """

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.durations_s: dict[str, float] = {}
        self._started_s = 0.0
        self._current_module = ""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        module = type(test).__module__
        if module != self._current_module:
            self._current_module = module
            self.stream.writeln(f"\n{module}")
        self._started_s = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().stopTest(test)
        self.durations_s[test.id()] = time.monotonic() - self._started_s


def _print_slowest(durations_s: dict[str, float]) -> None:
    slowest_first = sorted(
        durations_s, key=durations_s.__getitem__, reverse=True
    )
    print("slowest tests:")
    for test in slowest_first[:_SLOWEST_TESTS_SHOWN]:
        print(f"{durations_s[test]:7.1f} s  {test}")
    print(f"{sum(durations_s.values()):7.1f} s  all {len(durations_s)}")


def _known_red_ids() -> frozenset[str]:
    """Returns the ids of the tests that KNOWN-RED.txt lists as failing."""
    if not _KNOWN_RED_PATH.exists():
        return frozenset()
    lines = _KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.split("|")[0].strip()
        for line in lines
        if line.strip() and not line.startswith("#")
    )


def _failed_test_ids(result: unittest.TestResult) -> list[str]:
    return [test.id() for test, _ in (*result.failures, *result.errors)]


def main(argv: list[str] | None = None) -> int:
    """Runs the tests below a directory, by default those of the project.

    Args:
        argv: Arguments without the program name, or None for `sys.argv`.

    Returns:
        The exit status: 0 if at least one test ran and only tests listed in
        KNOWN-RED.txt failed, otherwise 1.
    """
    parser = argparse.ArgumentParser(prog="citronmount.testing")
    parser.add_argument("directory", nargs="?", default="citronmount")
    parser.add_argument("-v", "--verbose", action="store_true")
    args = parser.parse_args(argv)
    suite = unittest.TestLoader().discover(args.directory, top_level_dir=".")
    runner = unittest.TextTestRunner(
        verbosity=2 if args.verbose else 1, resultclass=_TimedResult
    )
    result = runner.run(suite)
    _print_slowest(result.durations_s)
    known_red_ids = _known_red_ids()
    failed = _failed_test_ids(result)
    known_red = [test for test in failed if test in known_red_ids]
    for test in known_red:
        print(f"known red: {test}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    any_ran = result.testsRun > 0
    return 0 if any_ran and len(known_red) == len(failed) else 1


if __name__ == "__main__":
    sys.exit(main())
