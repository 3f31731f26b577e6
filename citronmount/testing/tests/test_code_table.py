import unittest

from citronmount.testing import code_table


class CodeTableTest(unittest.TestCase):
    def test_page_is_equal_to_the_enumeration(self):
        written = code_table.PAGE_PATH.read_text(encoding="utf-8")
        self.assertEqual(written, code_table.render_page())


if __name__ == "__main__":
    unittest.main()
