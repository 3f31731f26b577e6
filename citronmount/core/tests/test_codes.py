import unittest

from citronmount.core import codes


class CodesTest(unittest.TestCase):
    def test_every_code_is_described(self):
        self.assertEqual(set(codes.CODES), set(codes.ResultCode))

    def test_success_and_internal_errors_never_prove_not_run(self):
        for info in codes.CODES.values():
            if info.proves_not_run:
                self.assertNotIn(int(info.code) // 1000, (1, 9), info)


if __name__ == "__main__":
    unittest.main()
