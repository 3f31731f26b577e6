import unittest

from citronmount.testing import code_table


class CodeTableTest(unittest.TestCase):
    def test_page_of_the_documentation_is_up_to_date(self):
        committed = code_table.PAGE_PATH.read_text(encoding="utf-8")
        self.assertEqual(committed, code_table.render_page())


if __name__ == "__main__":
    unittest.main()
