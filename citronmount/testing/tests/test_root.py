import pathlib
import unittest

ROOT = pathlib.Path(__file__).parents[3]
EXPECTED_FILES = {
    ".gitignore",
    "CONTRIBUTING.md",
    "KNOWN-RED.txt",
    "Makefile",
    "README.md",
    "pyproject.toml",
    "requirements.txt",
}


class RootTest(unittest.TestCase):
    def test_root_holds_no_files_generated_by_a_run(self) -> None:
        found = {path.name for path in ROOT.iterdir() if path.is_file()}
        found.discard(".git")
        self.assertEqual(set(), found - EXPECTED_FILES)


if __name__ == "__main__":
    unittest.main()
