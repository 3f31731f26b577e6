import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from citronmount.config import pool_file
from citronmount.core import errors

_EXAMPLES = pathlib.Path("examples")


class PoolFileTest(unittest.TestCase):
    def test_example_pools_have_the_expected_sizes(self):
        for name, cores in (("hanbit", 64), ("perchero", 32)):
            pool = pool_file.load(_EXAMPLES / name / "pool.toml")
            self.assertEqual((len(pool.workers), len(pool.runners)), (25, 25))
            self.assertEqual(
                {worker.capacity.cores for worker in pool.workers}, {cores}
            )
            self.assertEqual({runner.slots for runner in pool.runners}, {8})
            names = {target.name for target in (*pool.workers, *pool.runners)}
            self.assertEqual(len(names), 50)

    def test_errors_have_a_code_and_name_the_file(self):
        valid = (_EXAMPLES / "hanbit" / "pool.toml").read_text("utf-8")
        cases = (
            (b"\xff", "SETTING_SYNTAX"),
            (b"racks = 3", "SETTING_TYPE"),
            (b"[[racks]]\nrack = 'r'", "SETTING_TYPE"),
            (valid.replace("kr-a-r2", "kr-a-r1").encode(), "SETTING_RANGE"),
        )
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "pool.toml"
            for data, code_name in cases:
                path.write_bytes(data)
                with self.assertRaises(errors.InvalidInputError) as caught:
                    pool_file.load(path)
                self.assertEqual(caught.exception.code.name, code_name)
                self.assertIn(str(path), str(caught.exception))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.sampled_from(("racks", "runners")),
        strategies.dictionaries(
            strategies.sampled_from(
                ("failure_domain", "rack", "workers", "cores", "slots", "x")
            ),
            strategies.sampled_from(
                ("1", "-1", "'a'", "''", "nan", "true", "[1]", "{}", "9e9")
            ),
        ),
        strategies.binary(max_size=20),
    )
    def test_arbitrary_files_load_or_raise_a_setting_error(
        self, table, entries, suffix
    ):
        lines = [f"{key} = {value}" for key, value in entries.items()]
        text = "\n".join((f"[[{table}]]", *lines, ""))
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "pool.toml"
            for data in (text.encode(), text.encode() + suffix):
                path.write_bytes(data)
                try:
                    pool_file.load(path)
                except errors.InvalidInputError as error:
                    self.assertEqual(int(error.code) // 1000, 6)


if __name__ == "__main__":
    unittest.main()
