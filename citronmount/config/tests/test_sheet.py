import io
import pathlib
import tempfile
import tracemalloc
import unittest

import hypothesis
from hypothesis import strategies

from citronmount.config import configuration as configuration_lib
from citronmount.config import names
from citronmount.config import sheet
from citronmount.config import sheet_faults
from citronmount.config import sheet_rows
from citronmount.core import codes
from citronmount.core import jobs
from citronmount.core import states

_HEADER = ",".join(sheet_rows.HEADER)
_BASE_ROWS = (
    "failure_domain,kr-a,,in,,,,,,,",
    "client_account,hana,paying,,,,,,,,",
    "client_account,nuri,trial,,,,,,,,",
)
_FIRST_EXTRA_ROW = 5


def _parse(*extra_rows, header=_HEADER, line_end="\n"):
    text = line_end.join((header, *_BASE_ROWS, *extra_rows, ""))
    return sheet.parse(text.encode())


class SheetTest(unittest.TestCase):
    def test_each_fault_reports_its_code_and_row(self):
        cases = {
            "x,y": "SHEET_COLUMNS",
            "failure_domain,a,,in,,,,,,,,x": "SHEET_COLUMNS",
            'failure_domain,"a"b,,in,,,,,,,': "SHEET_COLUMNS",
            "domain,a,,in,,,,,,,": "SHEET_KIND",
            "failure_domain,,,in,,,,,,,": "SHEET_NAME",
            "failure_domain,a/b,,in,,,,,,,": "SHEET_NAME",
            'failure_domain,"a\nb",,in,,,,,,,': "SHEET_NAME",
            "client_account,a,gold,,,,,,,,": "SHEET_CLASS",
            "failure_domain,a,,gone,,,,,,,": "SHEET_STATE",
            "failure_domain,a,,in,,3,,,,,": "SHEET_NOT_EMPTY",
            "failure_domain,kr-a,,out,,,,,,,": "SHEET_DUPLICATE",
            "client_account, hana ,trial,,,,,,,,": "SHEET_DUPLICATE",
            "guarantee,hana,,,,0,1,8,,,rack": "SHEET_NUMBER",
            "guarantee,hana,,,,1,1,,,,rack": "SHEET_NUMBER",
            'guarantee,hana,,,,"1,024",1,8,,,rack': "SHEET_NUMBER",
            "guarantee,hana,,,,1,1,8.5,,,rack": "SHEET_NUMBER",
            "guarantee,hana,,,,1,1,-8,,,rack": "SHEET_NUMBER",
            "guarantee,hana,,,,1,1,8,,,row": "SHEET_ADJACENCY",
            "guarantee,hana,,,,=1+1,1,8,,,rack": "SHEET_FORMULA",
            "guarantee,hana,,,,#REF!,1,8,,,rack": "SHEET_FORMULA",
            "guarantee,none,,,,1,1,8,,,rack": "SHEET_UNKNOWN_REFERENCE",
            "guarantee,hana,,,kr-z,1,1,8,,,rack": "SHEET_UNKNOWN_REFERENCE",
            "guarantee,nuri,,,,1,1,8,,,rack": "SHEET_CLASS_CONFLICT",
            "allowance,hana,,,,,,8,,,": "SHEET_CLASS_CONFLICT",
        }
        for row, code_name in cases.items():
            with self.subTest(row=row):
                (fault,) = _parse(row).faults
                self.assertEqual(fault.code.name, code_name)
                self.assertEqual(fault.row, _FIRST_EXTRA_ROW)

    def test_all_faults_are_listed_and_blank_rows_are_numbered(self):
        parsed = _parse("", ",,,,,,,,,,", "nope,a,,,,,,,,,", "=1" + "," * 10)
        self.assertEqual(
            [(fault.row, fault.code.name) for fault in parsed.faults],
            [(7, "SHEET_KIND"), (8, "SHEET_FORMULA")],
        )
        self.assertIsNone(parsed.configuration)

    def test_a_reference_to_a_faulty_row_adds_no_second_fault(self):
        parsed = _parse(
            "client_account,duri,gold,,,,,,,,",
            "guarantee,duri,,,,1,1,8,,,rack",
        )
        self.assertEqual(len(parsed.faults), 1)

    def test_spreadsheet_formatting_does_not_change_the_content(self):
        expected = _parse("guarantee,hana,,,kr-a,2,4,8,,,rack").configuration
        header = "\ufeff" + _HEADER.title().replace(",", " , ")
        row = '" Guarantee ",hana,,, kr-a,2.0,"4",8.00,,, RACK ,,'
        for line_end in ("\n", "\r\n", "\r"):
            parsed = _parse(row, header=header, line_end=line_end)
            self.assertEqual(parsed.faults, ())
            self.assertEqual(parsed.configuration, expected)

    def test_names_may_hold_commas_and_are_compared_normalized(self):
        parsed = _parse('client_account,"Café, Ltd.",paying,,,,,,,,')
        self.assertIn(
            "Café, Ltd.",
            [account.name for account in parsed.configuration.accounts],
        )
        parsed = _parse(
            "client_account,Caf\u00e9,paying,,,,,,,,",
            "client_account,Cafe\u0301,paying,,,,,,,,",
        )
        self.assertEqual(parsed.faults[0].code.name, "SHEET_DUPLICATE")

    def test_a_malformed_file_has_one_fault(self):
        cases = {
            b"": "SHEET_EMPTY",
            _HEADER.encode(): "SHEET_EMPTY",
            _HEADER.replace(",", ";").encode(): "SHEET_HEADER",
            _HEADER.encode("utf-16"): "SHEET_ENCODING",
            b"\x89PNG\r\n\x1a\n\0\0": "SHEET_ENCODING",
            b"x" * 70_000: "SHEET_TOO_LARGE",
            _HEADER.encode() + b"\nfailure_domain,\xff,,in" + b"," * 7: (
                "SHEET_ENCODING"
            ),
            _HEADER.encode() + b'\n"' + b"x\n" * 200: "SHEET_TOO_LARGE",
        }
        for data, code_name in cases.items():
            with self.subTest(data=data[:20]):
                (fault,) = sheet.parse(data).faults
                self.assertEqual(fault.code.name, code_name)

    def test_guarantee_rows_are_row_numbers_of_the_sheet(self):
        parsed = _parse(
            "",
            "guarantee,hana,,,,1,1,8,,,rack",
            "allowance,nuri,,,,,,8,,,",
            "guarantee,hana,,,,1,2,8,,,rack",
        )
        self.assertEqual(parsed.guarantee_rows, (6, 8))

    def test_examples_are_unchanged_by_writing_and_parsing(self):
        for name in ("hanbit", "perchero"):
            parsed = sheet.read(pathlib.Path("examples") / name / "sheet.csv")
            self.assertEqual(parsed.faults, ())
            reparsed = sheet.parse(sheet.write(parsed.configuration).encode())
            self.assertEqual(reparsed.configuration, parsed.configuration)

    def test_load_raises_a_group_of_sheet_errors(self):
        file = self.enterContext(tempfile.NamedTemporaryFile())
        with self.assertRaises(ExceptionGroup) as caught:
            sheet.load(file.name)
        (error,) = caught.exception.exceptions
        self.assertIsInstance(error, sheet_faults.SheetError)

    def test_reading_many_rows_takes_bounded_memory(self):
        row_count = 60_000
        stream = io.BytesIO()
        stream.write(_HEADER.encode())
        stream.writelines(
            f"\nclient_account,account-{number},paying,,,,,,,,".encode()
            for number in range(row_count)
        )
        data = stream.getvalue()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        parsed = sheet.parse(data)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertEqual(
            [fault.code for fault in parsed.faults],
            [codes.ResultCode.SHEET_TOO_LARGE],
        )
        self.assertLess(peak_bytes, len(data) + 16_000_000)

    def test_faults_beyond_the_limit_are_only_counted(self):
        parsed = _parse(*["x"] * (sheet_faults.MAX_FAULTS + 5))
        self.assertEqual(len(parsed.faults), sheet_faults.MAX_FAULTS)
        self.assertEqual(parsed.further_faults, 5)


_NAMES = (
    strategies.text(min_size=1, max_size=12)
    .map(names.normalize)
    .filter(lambda name: names.is_valid(name) and name[0] not in "=+@")
)
_NUMBERS = strategies.integers(1, 100_000)


@strategies.composite
def _configurations(draw):
    domain_names = draw(strategies.lists(_NAMES, unique=True, max_size=3))
    account_names = draw(
        strategies.lists(_NAMES, unique=True, min_size=1, max_size=3)
    )
    task_counts = draw(strategies.lists(_NUMBERS, unique=True, max_size=4))
    return configuration_lib.Configuration(
        failure_domains=tuple(
            configuration_lib.FailureDomain(
                name=name,
                state=draw(strategies.sampled_from(states.FailureDomainState)),
            )
            for name in sorted(domain_names)
        ),
        accounts=tuple(
            configuration_lib.Account(
                name=name, account_class=states.AccountClass.PAYING
            )
            for name in sorted(account_names)
        ),
        guarantees=tuple(
            configuration_lib.Guarantee(
                account=draw(strategies.sampled_from(account_names)),
                failure_domain=draw(
                    strategies.sampled_from([None, *domain_names])
                ),
                copies=draw(_NUMBERS),
                tasks=tasks,
                per_task=jobs.Resources(accelerators=8, cores=tasks),
                adjacency=draw(strategies.sampled_from(states.Adjacency)),
            )
            for tasks in task_counts
        ),
    )


class SheetPropertiesTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(_configurations())
    def test_parse_reads_back_what_write_returns(self, configuration):
        parsed = sheet.parse(sheet.write(configuration).encode())
        self.assertEqual(parsed.faults, ())
        self.assertEqual(parsed.configuration, configuration)

    def check_configuration_or_faults(self, data):
        parsed = sheet.parse(data)
        self.assertEqual(parsed.configuration is None, bool(parsed.faults))
        for fault in parsed.faults:
            self.assertTrue(fault.code.name.startswith("SHEET_"))
            self.assertGreaterEqual(fault.row, 1)
            self.assertNotIn("\n", str(fault))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(strategies.binary(max_size=300))
    def test_arbitrary_bytes_give_a_configuration_or_faults(self, data):
        self.check_configuration_or_faults(data)
        self.check_configuration_or_faults(_HEADER.encode() + b"\n" + data)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(strategies.data())
    def test_an_arbitrary_cell_gives_a_configuration_or_faults(self, data):
        row = data.draw(
            strategies.sampled_from(
                (*_BASE_ROWS, "guarantee,hana,,,kr-a,2,4,8,,,rack")
            )
        )
        cells = row.split(",")
        column = data.draw(strategies.integers(0, len(cells) - 1))
        cells[column] = data.draw(strategies.text(max_size=8))
        text = "\n".join((_HEADER, *_BASE_ROWS, ",".join(cells)))
        self.check_configuration_or_faults(
            text.encode("utf-8", "surrogatepass")
        )


if __name__ == "__main__":
    unittest.main()
