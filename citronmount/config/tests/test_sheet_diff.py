import pathlib
import unittest

from citronmount.config import sheet
from citronmount.config import sheet_diff

_HANBIT = pathlib.Path("examples/hanbit/sheet.csv")


class SheetDiffTest(unittest.TestCase):
    def setUp(self):
        self.text = _HANBIT.read_text(encoding="utf-8")
        self.old = sheet.load(_HANBIT)

    def changes(self, *replacements):
        text = self.text
        for before, after in replacements:
            self.assertIn(before, text)
            text = text.replace(before, after)
        new = sheet.parse(text.encode()).configuration
        return [str(change) for change in sheet_diff.diff(self.old, new)]

    def test_equal_configurations_have_no_changes(self):
        self.assertEqual(self.changes(), [])

    def test_each_change_names_its_account_or_failure_domain(self):
        added_row = "client_account,new,paying,,,,,,,,"
        allowance = "16 accelerators -> 8 accelerators"
        shape = (
            "(4 x 8 accelerators, 32 cores, 64 GB in one rack, "
            "any failure domain)"
        )
        self.assertEqual(
            self.changes(
                ("kr-b,,in", "kr-b,,out"),
                ("allowance,nuri-trial,,,,,,16", "allowance,nuri-trial,,,,,,8"),
                ("hana-mart,,,,1,4,8", "hana-mart,,,,2,4,8"),
                ("client_account,nuri", f"{added_row}\nclient_account,nuri"),
            ),
            [
                f"hana-mart: guarantee {shape} changed: 1 copies -> 2 copies",
                "kr-b: failure_domain changed: in -> out",
                "new: client_account added: paying",
                f"nuri-trial: allowance changed: {allowance}",
            ],
        )


if __name__ == "__main__":
    unittest.main()
