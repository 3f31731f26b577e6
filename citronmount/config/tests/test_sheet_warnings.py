import pathlib
import unittest

from citronmount.config import sheet
from citronmount.config import sheet_warnings

_TEXT = pathlib.Path("examples/hanbit/sheet.csv").read_text(encoding="utf-8")


class SheetWarningsTest(unittest.TestCase):
    def warnings(self, *replacements):
        text = _TEXT
        for before, after in replacements:
            self.assertIn(before, text)
            text = text.replace(before, after)
        content = sheet.parse(text.encode()).configuration
        return sheet_warnings.warnings(content)

    def test_the_example_sheet_has_no_warnings(self):
        self.assertEqual(self.warnings(), ())

    def test_each_warning_starts_with_its_subject(self):
        cases = (
            ((",,in,", ",,out,"), (), "no failure domain"),
            (("nuri-trial,,,,,,16", "nuri-trial,,,,,,0"), (), "nuri-trial: "),
            (
                ("hana-mart,,,,1", "hana-mart,,,kr-b,1"),
                ("kr-b,,in", "kr-b,,out"),
                "hana-mart: ",
            ),
        )
        for *replacements, expected in cases:
            with self.subTest(expected=expected):
                (warning,) = self.warnings(*filter(None, replacements))
                self.assertTrue(warning.startswith(expected), warning)


if __name__ == "__main__":
    unittest.main()
