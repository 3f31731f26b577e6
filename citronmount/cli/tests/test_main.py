import json
import pathlib
import tempfile
import unittest

from click import testing

from citronmount.cli import main
from citronmount.cli import output
from citronmount.core import codes

_SHEET = "examples/hanbit/sheet.csv"
_POOL = "examples/hanbit/pool.toml"


class MainTest(unittest.TestCase):
    def run_command(self, *arguments, exit_code=0):
        result = testing.CliRunner().invoke(main.main, arguments)
        self.assertEqual(result.exit_code, exit_code, result.output)
        return result.stdout

    def write(self, text):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / "sheet.csv"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_valid_sheets_are_checked_against_their_pools(self):
        for name in ("hanbit", "perchero", "tutorial"):
            sheet = f"examples/{name}/sheet.csv"
            pool = f"examples/{name}/pool.toml"
            text = self.run_command("sheet", "check", sheet, "--pool", pool)
            self.assertIn("no faults", text)

    def test_each_fault_is_one_line_and_the_exit_code_is_2(self):
        text = pathlib.Path(_SHEET).read_text(encoding="utf-8")
        path = self.write(text + "domain,x,,,,,,,,,\na,b\n")
        lines = self.run_command("sheet", "check", path, exit_code=2)
        row = text.count("\n") + 1
        shown = [line.split(": ")[:2] for line in lines.splitlines()]
        self.assertEqual(
            shown,
            [
                [f"{path}:{row}", "SHEET_KIND"],
                [f"{path}:{row + 1}", "SHEET_COLUMNS"],
            ],
        )
        answer = json.loads(
            self.run_command("sheet", "check", path, "--json", exit_code=2)
        )
        self.assertEqual([f["code"] for f in answer["faults"]], [5004, 5003])

    def test_infeasible_guarantees_name_their_rows(self):
        text = pathlib.Path(_SHEET).read_text(encoding="utf-8")
        path = self.write(text.replace("hana-mart,,,,1,4", "hana-mart,,,,99,4"))
        lines = self.run_command(
            "sheet", "check", path, "--pool", _POOL, exit_code=2
        )
        self.assertIn(f"{path}:10: SHEET_DOES_NOT_FIT: ", lines)

    def test_diff_compares_two_files(self):
        text = pathlib.Path(_SHEET).read_text(encoding="utf-8")
        path = self.write(text.replace("kr-b,,in", "kr-b,,out"))
        lines = self.run_command("sheet", "diff", path, "--old", _SHEET)
        self.assertEqual(lines, "kr-b: failure_domain changed: in -> out\n")

    def test_every_code_is_listed(self):
        rows = json.loads(self.run_command("codes", "--json"))
        self.assertEqual(
            {row["code"] for row in rows}, set(map(int, codes.ResultCode))
        )

    def test_bad_input_exits_with_2(self):
        cases = (
            ("status", "--server", "example:80"),
            ("status",),
            ("sheet", "check", "absent.csv"),
            ("sheet", "diff", _SHEET),
            ("drain", "--server", "127.0.0.1:1", "--server", "127.0.0.1:2"),
            ("cancel", "--server", "127.0.0.1:1"),
            ("request", "a", "--once", "--server", "127.0.0.1:1"),
        )
        for arguments in cases:
            with self.subTest(arguments=arguments):
                self.run_command(*arguments, exit_code=2)

    def test_unreachable_servers_exit_with_1(self):
        answer = json.loads(
            self.run_command(
                "status", "--server", "127.0.0.1:1", "--json", exit_code=1
            )
        )
        self.assertEqual(answer["name"], "UNREACHABLE")

    def test_every_command_but_completion_prints_json(self):
        for name, command in main.main.commands.items():
            subcommands = getattr(command, "commands", {name: command})
            for subcommand in subcommands.values():
                options = {
                    option
                    for parameter in subcommand.params
                    for option in parameter.opts
                }
                self.assertEqual("--json" in options, name != "completion")

    def test_every_shell_has_a_completion_script(self):
        for shell in ("bash", "zsh", "fish"):
            self.assertIn("citronmount", self.run_command("completion", shell))

    def test_every_code_has_an_exit_code(self):
        for code in codes.ResultCode:
            successful = int(code) // 1000 == 1 or int(code) == 7000
            self.assertEqual(
                output.exit_code_of(code) is output.Exit.OK, successful
            )


if __name__ == "__main__":
    unittest.main()
