"""The commands that check, compare, show and publish sheets."""

import click
import msgspec

from citronmount.cli import api_client
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
    """A fault in JSON output."""

    row: int
    code: int
    name: str
    message: str


class CheckBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON output of ``sheet check``."""

    file: str
    valid: bool
    faults: tuple[FaultBody, ...]
    further_faults: int
    warnings: tuple[str, ...]


class DiffBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON output of ``sheet diff``."""

    old_version: int | None
    changes: tuple[sheet_diff.Change, ...]


_pool_option = click.option(
    "--pool",
    "pool_path",
    type=options.INPUT_FILE,
    help="Also check all guarantees against the pool in this TOML file.",
)


@click.group()
def sheet() -> None:
    """Check, compare and publish the sheet of accounts and guarantees."""


@sheet.command()
@click.argument("file", type=options.INPUT_FILE)
@_pool_option
@options.json_option
@output.handle_errors
def check(file: str, pool_path: str | None, as_json: bool) -> None:
    """Check FILE; print its faults and exit with 2 if there are any."""
    checked_sheet = _read_sheet(file, pool_path)
    _print_warnings_or_exit(checked_sheet, as_json)
    content = checked_sheet.configuration
    text = (
        f"{file}: no faults; {len(content.failure_domains)} failure domains, "
        f"{len(content.accounts)} client accounts, "
        f"{len(content.guarantees)} guarantees, "
        f"{len(content.allowances)} allowances"
    )
    output.print_result(_make_check_body(checked_sheet), text, as_json=as_json)


@sheet.command()
@click.argument("file", type=options.INPUT_FILE)
@click.option(
    "--old",
    "old_path",
    type=options.INPUT_FILE,
    help="Compare with this sheet instead of the configuration in force.",
)
@_pool_option
@options.server_options(required=False)
@options.json_option
@output.handle_errors
def diff(
    file: str,
    old_path: str | None,
    pool_path: str | None,
    connection: options.Connection | None,
    as_json: bool,
) -> None:
    """Show what FILE would change, by account and failure domain."""
    checked_sheet = _read_sheet(file, pool_path)
    _print_warnings_or_exit(checked_sheet, as_json)
    if old_path is not None:
        version, old = None, _read_configuration(old_path, as_json)
    elif connection is not None:
        in_force = connection.run(lambda client: client.configuration())
        version, old = in_force.version, in_force.content
    else:
        raise click.UsageError("expected --server IP:PORT or --old FILE")
    changes = sheet_diff.diff(old, checked_sheet.configuration)
    lines = changes or ("no changes",)
    body = DiffBody(old_version=version, changes=changes)
    output.print_lines(body, lines, as_json=as_json)


@sheet.command()
@options.server_options()
@options.json_option
@output.handle_errors
def show(connection: options.Connection, as_json: bool) -> None:
    """Print the configuration in force as a sheet."""
    in_force = connection.run(lambda client: client.configuration())
    text = sheet_lib.write(in_force.content).rstrip("\n")
    output.print_result(in_force, text, as_json=as_json)


@sheet.command()
@click.argument("file", type=options.INPUT_FILE)
@click.option(
    "--base-version",
    type=click.IntRange(min=0),
    help="The version that FILE is based on; by default the one in force.",
)
@click.option(
    "--author",
    default=options.default_author,
    show_default="the user's name",
    help="Name to record as the author of the change.",
)
@_pool_option
@options.server_options()
@options.json_option
@output.handle_errors
def publish(
    file: str,
    base_version: int | None,
    author: str,
    pool_path: str | None,
    connection: options.Connection,
    as_json: bool,
) -> None:
    """Publish FILE as the new configuration.

    Exits with 1 and changes nothing if another change was accepted first.
    """
    checked_sheet = _read_sheet(file, pool_path)
    _print_warnings_or_exit(checked_sheet, as_json)

    async def publish_configuration(
        client: api_client.Client,
    ) -> bodies.PublishBody:
        effective_base = base_version
        if effective_base is None:
            effective_base = (await client.configuration()).version
        return await publishing.publish(
            client, checked_sheet.configuration, effective_base, author
        )

    result = connection.run(publish_configuration)
    summary = f"{result.name} ({result.code}): {result.detail}"
    lines = (f"{summary}; version {result.version} in force", *result.faults)
    output.print_lines(result, lines, as_json=as_json)
    raise SystemExit(publishing.exit_code_of(result))


def _read_sheet(file: str, pool_path: str | None) -> sheet_lib.Sheet:
    with progress.open_with_progress(file) as stream:
        parsed_sheet = sheet_lib.read_stream(stream, file=file)
    if pool_path is None:
        return parsed_sheet
    return sheet_feasibility.check(parsed_sheet, pool_file.load(pool_path))


def _read_configuration(
    path: str, as_json: bool
) -> configuration_lib.Configuration:
    checked_sheet = _read_sheet(path, None)
    _print_warnings_or_exit(checked_sheet, as_json)
    return checked_sheet.configuration


def _print_warnings_or_exit(
    checked_sheet: sheet_lib.Sheet, as_json: bool
) -> None:
    """Prints the warnings of a valid sheet, or prints the faults and exits."""
    if checked_sheet.configuration is not None:
        for warning in sheet_warnings.warnings(checked_sheet.configuration):
            click.echo(f"{checked_sheet.file}: warning: {warning}", err=True)
        return
    output.print_lines(
        _make_check_body(checked_sheet), checked_sheet.faults, as_json=as_json
    )
    if checked_sheet.further_faults:
        click.echo(f"{checked_sheet.further_faults} further faults", err=True)
    raise SystemExit(output.Exit.BAD_INPUT)


def _make_check_body(checked_sheet: sheet_lib.Sheet) -> CheckBody:
    content = checked_sheet.configuration
    return CheckBody(
        file=checked_sheet.file,
        valid=content is not None,
        faults=tuple(map(_make_fault_body, checked_sheet.faults)),
        further_faults=checked_sheet.further_faults,
        warnings=sheet_warnings.warnings(content) if content else (),
    )


def _make_fault_body(fault: sheet_faults.SheetFault) -> FaultBody:
    return FaultBody(
        row=fault.row,
        code=int(fault.code),
        name=fault.code.name,
        message=fault.message,
    )
