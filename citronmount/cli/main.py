"""The command-line tool ``citronmount``."""

import click

import citronmount
from citronmount.cli import bench_command
from citronmount.cli import explain_command
from citronmount.cli import job_commands
from citronmount.cli import losses_command
from citronmount.cli import operator_commands
from citronmount.cli import sheet_commands
from citronmount.cli import timeline_command

__all__ = ["main"]

_COMMANDS = (
    bench_command.bench,
    explain_command.explain,
    job_commands.cancel,
    job_commands.request,
    job_commands.status,
    job_commands.submit,
    losses_command.losses,
    operator_commands.codes,
    operator_commands.completion,
    operator_commands.drain,
    operator_commands.keys,
    operator_commands.members,
    operator_commands.version,
    sheet_commands.sheet,
    timeline_command.timeline,
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(citronmount.__version__, prog_name="citronmount")
def main() -> None:
    """Use and operate citronmount, a scheduler for multi-accelerator jobs.

    Commands exit with 0 if they succeeded, 1 if they failed and 2 if their
    input is invalid. Servers are given by --server IP:PORT or, separated by
    spaces, in the environment variable CITRONMOUNT_SERVER.
    """


for _command in _COMMANDS:
    main.add_command(_command)
