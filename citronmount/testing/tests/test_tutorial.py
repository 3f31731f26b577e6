import pathlib
import re
import shlex
import unittest

import click
import msgspec

from citronmount.cli import main
from citronmount.config import pool_file
from citronmount.config import sheet
from citronmount.config import sheet_feasibility
from citronmount.service import settings_file
from citronmount.standins import http_servers

_TUTORIAL_FILES = pathlib.Path("examples/tutorial")
_PAGES = (
    pathlib.Path("docs/OPERATIONS.md"),
    pathlib.Path("docs/REFERENCE.md"),
    pathlib.Path("docs/TUTORIAL.md"),
    *sorted(pathlib.Path("docs/operations").glob("*.md")),
)
_COMMAND = re.compile(
    r"^ {4,6}citronmount (?!completion)(.+)$|`citronmount (.+?)`", re.M
)


def _commands(page):
    for line, inline in _COMMAND.findall(page.read_text(encoding="utf-8")):
        yield shlex.split((line or inline).partition(" > ")[0])


class TutorialTest(unittest.TestCase):
    def test_tutorial_files_are_consistent(self):
        data = (_TUTORIAL_FILES / "standins.toml").read_bytes()
        standins = msgspec.toml.decode(data, type=http_servers.StandinSettings)
        peer_addresses = {vm.vm: vm.peer_address for vm in standins.vms}
        for vm, peer_address in peer_addresses.items():
            loaded = settings_file.load(_TUTORIAL_FILES / f"{vm}.toml")
            self.assertEqual(loaded.listen.peer_address, peer_address)
            self.assertEqual(loaded.platform.log_address, standins.log_address)
        pool = pool_file.load(_TUTORIAL_FILES / "pool.toml")
        self.assertEqual(
            [(worker.rack, worker.capacity) for worker in pool.workers],
            [(worker.rack, worker.capacity) for worker in standins.workers],
        )
        report = sheet_feasibility.check(
            sheet.read(_TUTORIAL_FILES / "sheet.csv"), pool
        )
        self.assertEqual(report.faults, ())

    def test_commands_in_the_documentation_exist(self):
        for page in _PAGES:
            for arguments in _commands(page):
                with self.subTest(page=page, arguments=arguments):
                    self.check_command(main.main, arguments)

    def check_command(self, command, arguments):
        """Checks that the subcommand and all its long options exist."""
        while isinstance(command, click.Group):
            command = command.commands[arguments[0]]
            arguments = arguments[1:]
        known = {opt for param in command.params for opt in param.opts}
        options = [a for a in arguments if a.startswith("--")]
        self.assertLessEqual(set(options), known)


if __name__ == "__main__":
    unittest.main()
