"""The command-line tool ``citronmount``."""

import click

import citronmount
from citronmount.cli import bench_command
from citronmount.cli import explain_command
from citronmount.cli import job_commands
from citronmount.cli import losses_command
from citronmount.cli import operate_commands
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
    operate_commands.codes,
    operate_commands.completion,
    operate_commands.drain,
    operate_commands.keys,
    operate_commands.members,
    operate_commands.version,
    sheet_commands.sheet,
    timeline_command.timeline,
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(citronmount.__version__, prog_name="citronmount")
def main() -> None:
    """Drive citronmount, a scheduler for multi-accelerator jobs.

    Commands exit with 0 if they succeeded, 1 if they failed and 2 if their
    input is at fault. Servers are named by --server IP:PORT or by the
    environment variable CITRONMOUNT_SERVER, separated by spaces.
    """


for _command in _COMMANDS:
    main.add_command(_command)
