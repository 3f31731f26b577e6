"""The commands for sheets: check, diff, show and publish."""

import click
import msgspec

from citronmount.cli import client as client_lib
from citronmount.cli import options
from citronmount.cli import output
from citronmount.cli import progress
from citronmount.cli import publishing
from citronmount.config import configuration as configuration_lib
from citronmount.config import pool_file
from citronmount.config import sheet as sheet_lib
from citronmount.config import sheet_diff
from citronmount.config import sheet_faults
from citronmount.config import sheet_feasibility
from citronmount.config import sheet_warnings
from citronmount.service import bodies

__all__ = ["sheet"]


class FaultBody(msgspec.Struct, frozen=True, kw_only=True):
    """A fault as JSON has it."""

    row: int
    code: int
    name: str
    message: str


class CheckBody(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of ``sheet check``."""

    file: str
    valid: bool
    faults: tuple[FaultBody, ...]
    further_faults: int
    warnings: tuple[str, ...]


class DiffBody(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of ``sheet diff``."""

    old_version: int | None
    changes: tuple[sheet_diff.Change, ...]


_pool_option = click.option(
    "--pool",
    "pool_path",
    type=options.SHEET_PATH,
    help="Pool file in TOML; checks that the guarantees fit together.",
)


@click.group()
def sheet() -> None:
    """Check, compare and publish the sheet of accounts and guarantees."""


@sheet.command()
@click.argument("file", type=options.SHEET_PATH)
@_pool_option
@options.json_option
@output.reports_errors
def check(file: str, pool_path: str | None, as_json: bool) -> None:
    """Check FILE; print every fault and exit with 2 if there is any."""
    found = _read(file, pool_path)
    _refuse_faults(found, as_json)
    rows = found.configuration
    text = (
        f"{file}: no faults; {len(rows.failure_domains)} failure domains, "
        f"{len(rows.accounts)} client accounts, "
        f"{len(rows.guarantees)} guarantees, "
        f"{len(rows.allowances)} allowances"
    )
    output.emit(_check_body(found), text, as_json=as_json)


@sheet.command()
@click.argument("file", type=options.SHEET_PATH)
@click.option(
    "--old",
    "old_path",
    type=options.SHEET_PATH,
    help="Compare with this sheet, not with the configuration in force.",
)
@_pool_option
@options.connected(required=False)
@options.json_option
@output.reports_errors
def diff(
    file: str,
    old_path: str | None,
    pool_path: str | None,
    connection: options.Connection | None,
    as_json: bool,
) -> None:
    """Show what FILE would change for whom."""
    found = _read(file, pool_path)
    _refuse_faults(found, as_json)
    if old_path is not None:
        version, old = None, _configuration_of(old_path, as_json)
    elif connection is not None:
        in_force = connection.run(lambda client: client.configuration())
        version, old = in_force.version, in_force.content
    else:
        raise click.UsageError("give --server IP:PORT or --old FILE")
    changes = sheet_diff.diff(old, found.configuration)
    lines = changes or ("no changes",)
    body = DiffBody(old_version=version, changes=changes)
    output.emit_lines(body, lines, as_json=as_json)


@sheet.command()
@options.connected()
@options.json_option
@output.reports_errors
def show(connection: options.Connection, as_json: bool) -> None:
    """Print the configuration in force as a sheet."""
    found = connection.run(lambda client: client.configuration())
    text = sheet_lib.write(found.content).rstrip("\n")
    output.emit(found, text, as_json=as_json)


@sheet.command()
@click.argument("file", type=options.SHEET_PATH)
@click.option(
    "--base-version",
    type=click.IntRange(min=0),
    help="The version that FILE was made from; by default the one in force.",
)
@click.option(
    "--author",
    default=options.author_name,
    show_default="the user's name",
    help="Who publishes, for the record.",
)
@_pool_option
@options.connected()
@options.json_option
@output.reports_errors
def publish(
    file: str,
    base_version: int | None,
    author: str,
    pool_path: str | None,
    connection: options.Connection,
    as_json: bool,
) -> None:
    """Publish FILE as the new configuration.

    Exits with 1 if another change came first; nothing is changed then.
    """
    found = _read(file, pool_path)
    _refuse_faults(found, as_json)

    async def main(client: client_lib.Client) -> bodies.PublishBody:
        base = base_version
        if base is None:
            base = (await client.configuration()).version
        return await publishing.publish(
            client, found.configuration, base, author
        )

    answer = connection.run(main)
    text = f"{answer.name} ({answer.code}): {answer.detail}"
    lines = (f"{text}; version {answer.version} in force", *answer.faults)
    output.emit_lines(answer, lines, as_json=as_json)
    raise SystemExit(publishing.exit_of(answer))


def _read(file: str, pool_path: str | None) -> sheet_lib.Sheet:
    with progress.reading(file) as stream:
        found = sheet_lib.read_stream(stream, file=file)
    if pool_path is None:
        return found
    return sheet_feasibility.check(found, pool_file.load(pool_path))


def _configuration_of(
    path: str, as_json: bool
) -> configuration_lib.Configuration:
    found = _read(path, None)
    _refuse_faults(found, as_json)
    return found.configuration


def _refuse_faults(found: sheet_lib.Sheet, as_json: bool) -> None:
    """Prints the faults and exits if there are any; warns of the rest."""
    if found.configuration is not None:
        for warning in sheet_warnings.warnings(found.configuration):
            click.echo(f"{found.file}: warning: {warning}", err=True)
        return
    output.emit_lines(_check_body(found), found.faults, as_json=as_json)
    if found.further_faults:
        click.echo(f"{found.further_faults} further faults", err=True)
    raise SystemExit(output.Exit.BAD_INPUT)


def _check_body(found: sheet_lib.Sheet) -> CheckBody:
    content = found.configuration
    return CheckBody(
        file=found.file,
        valid=content is not None,
        faults=tuple(map(_fault_body, found.faults)),
        further_faults=found.further_faults,
        warnings=sheet_warnings.warnings(content) if content else (),
    )


def _fault_body(fault: sheet_faults.SheetFault) -> FaultBody:
    return FaultBody(
        row=fault.row,
        code=int(fault.code),
        name=fault.code.name,
        message=fault.message,
    )
