"""The commands for operators: VMs, keys, codes, version and completion."""

import importlib

import click
from click import shell_completion
import msgspec

import citronmount
from citronmount.cli import api_client
from citronmount.cli import calls
from citronmount.cli import options
from citronmount.cli import output
from citronmount.core import codes as codes_lib
from citronmount.service import bodies

__all__ = ["codes", "completion", "drain", "keys", "members", "version"]

PROGRAM = "citronmount"


class CodeBody(msgspec.Struct, frozen=True, kw_only=True):
    """A result code in JSON output."""

    code: int
    name: str
    proves_not_run: bool
    retry: bool
    meaning: str
    action: str


class KeysBody(msgspec.Struct, frozen=True, kw_only=True):
    """A CURVE key pair in JSON output."""

    public_key: str
    secret_key: str


class VersionBody(msgspec.Struct, frozen=True, kw_only=True):
    """The version of the package in JSON output."""

    version: str


@click.command()
@options.server_options()
@options.json_option
@output.handle_errors
def drain(connection: options.Connection, as_json: bool) -> None:
    """Stop the VM that --server names without interrupting any request."""
    if len(connection.servers) != 1:
        raise click.UsageError("expected exactly one --server to drain")
    call = calls.Call(method="POST", path=("v1", "drain"))
    result = connection.run(lambda client: client.call(call, bodies.ResultBody))
    text = f"{connection.servers[0]}: {result.detail}"
    output.print_result(result, text, as_json=as_json)


@click.command()
@options.server_options()
@options.json_option
@output.handle_errors
def members(connection: options.Connection, as_json: bool) -> None:
    """Show the VMs of the system as known to the first server that answers."""
    call = calls.Call(method="GET", path=("v1", "membership"))

    async def fetch_members(client: api_client.Client) -> bodies.MembersBody:
        return await client.call(call, bodies.MembersBody)

    listed = connection.run(fetch_members)
    output.print_lines(
        listed, map(_format_member, listed.members), as_json=as_json
    )


def _format_member(member: bodies.Member) -> str:
    flags = [
        name
        for name in ("listed", "alive", "ready", "draining", "owner")
        if getattr(member, name)
    ]
    return (
        f"{member.vm}  {member.failure_domain}  "
        f"version {member.config_version}  {' '.join(flags)}"
    )


@click.command()
@options.json_option
def codes(as_json: bool) -> None:
    """List every result code."""
    rows = [
        CodeBody(
            code=int(row.code),
            name=row.code.name,
            proves_not_run=row.proves_not_run,
            retry=row.retry,
            meaning=row.meaning,
            action=row.action,
        )
        for row in codes_lib.CODES.values()
    ]
    lines = (
        f"{row.code} {row.name:<30} "
        f"{'not run' if row.proves_not_run else '':<8} {row.meaning}"
        for row in rows
    )
    output.print_lines(rows, lines, as_json=as_json)


@click.command()
@options.json_option
def keys(as_json: bool) -> None:
    """Generate a CURVE key pair for the settings of a VM."""
    zmq = importlib.import_module("zmq")
    public, secret = (key.decode("ascii") for key in zmq.curve_keypair())
    body = KeysBody(public_key=public, secret_key=secret)
    text = f'public_key = "{public}"\nsecret_key = "{secret}"'
    output.print_result(body, text, as_json=as_json)


@click.command()
@options.json_option
def version(as_json: bool) -> None:
    """Print the version."""
    number = citronmount.__version__
    output.print_result(VersionBody(version=number), number, as_json=as_json)


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for a SHELL.

    For bash, put its output into ~/.bashrc, or run
    eval "$(citronmount completion bash)".
    """
    script_class = shell_completion.get_completion_class(shell)
    root_command = context.find_root().command
    script = script_class(root_command, {}, PROGRAM, "_CITRONMOUNT_COMPLETE")
    click.echo(script.source())
