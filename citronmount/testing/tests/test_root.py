import pathlib
import unittest

ROOT = pathlib.Path(__file__).parents[3]
FILES = {
    ".gitignore",
    "CONTRIBUTING.md",
    "KNOWN-RED.txt",
    "Makefile",
    "README.md",
    "pyproject.toml",
    "requirements.txt",
}


class RootTest(unittest.TestCase):
    def test_no_output_of_a_run_lies_at_the_root(self) -> None:
        found = {path.name for path in ROOT.iterdir() if path.is_file()}
        found.discard(".git")
        self.assertEqual(set(), found - FILES)


if __name__ == "__main__":
    unittest.main()
