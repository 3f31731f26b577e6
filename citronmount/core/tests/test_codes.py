import unittest

from citronmount.core import codes


class CodesTest(unittest.TestCase):
    def test_every_code_has_a_row(self):
        self.assertEqual(set(codes.CODES), set(codes.ResultCode))

    def test_only_refusals_prove_not_run(self):
        for row in codes.CODES.values():
            if row.proves_not_run:
                self.assertNotIn(int(row.code) // 1000, (1, 9), row)


if __name__ == "__main__":
    unittest.main()
