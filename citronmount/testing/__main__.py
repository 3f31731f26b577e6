"""Runs all tests and prints one closing line with the counts.

Tests listed in KNOWN-RED.txt may fail; they are printed and do not fail the
run. Every other failure does.
"""

import argparse
import pathlib
import sys
import unittest

__all__ = ["main"]

_KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def _known_red() -> frozenset[str]:
    """Returns the test ids that the project lists as failing."""
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.split("|")[0].strip()
        for line in lines
        if line.strip() and not line.startswith("#")
    )


def _failed_ids(result: unittest.TestResult) -> list[str]:
    return [test.id() for test, _ in (*result.failures, *result.errors)]


def main(argv: list[str] | None = None) -> int:
    """Runs the tests of the named packages or of the whole project.

    Args:
        argv: Arguments without the program name, or None for `sys.argv`.

    Returns:
        0 if every test passed that is not listed in KNOWN-RED.txt.
    """
    parser = argparse.ArgumentParser(prog="citronmount.testing")
    parser.add_argument("directory", nargs="?", default="citronmount")
    parser.add_argument("-v", "--verbose", action="store_true")
    args = parser.parse_args(argv)
    suite = unittest.TestLoader().discover(args.directory, top_level_dir=".")
    runner = unittest.TextTestRunner(verbosity=2 if args.verbose else 1)
    result = runner.run(suite)
    known = _known_red()
    failed = _failed_ids(result)
    tolerated = [test for test in failed if test in known]
    for test in tolerated:
        print(f"known red: {test}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    ran = result.testsRun > 0
    return 0 if ran and len(tolerated) == len(failed) else 1


if __name__ == "__main__":
    sys.exit(main())
