"""The commands that look after VMs and look up tables."""

import importlib

import click
from click import shell_completion
import msgspec

import citronmount
from citronmount.cli import calls
from citronmount.cli import client as client_lib
from citronmount.cli import options
from citronmount.cli import output
from citronmount.core import codes as codes_lib
from citronmount.service import bodies

__all__ = ["codes", "completion", "drain", "keys", "members", "version"]

PROGRAM = "citronmount"


class CodeBody(msgspec.Struct, frozen=True, kw_only=True):
    """A result code as JSON has it."""

    code: int
    name: str
    proves_not_run: bool
    retry: bool
    meaning: str
    action: str


class KeysBody(msgspec.Struct, frozen=True, kw_only=True):
    """A CURVE key pair."""

    public_key: str
    secret_key: str


class VersionBody(msgspec.Struct, frozen=True, kw_only=True):
    """The version of the package."""

    version: str


@click.command()
@options.connected()
@options.json_option
@output.reports_errors
def drain(connection: options.Connection, as_json: bool) -> None:
    """Stop the one VM that --server names, without cutting any request."""
    if len(connection.servers) != 1:
        raise click.UsageError("name exactly one --server to drain")
    call = calls.Call(method="POST", path=("v1", "drain"))
    found = connection.run(lambda c: c.call(call, bodies.ResultBody))
    text = f"{connection.servers[0]}: {found.detail}"
    output.emit(found, text, as_json=as_json)


@click.command()
@options.connected()
@options.json_option
@output.reports_errors
def members(connection: options.Connection, as_json: bool) -> None:
    """Show the VMs of the system as the first server sees them."""
    call = calls.Call(method="GET", path=("v1", "membership"))

    async def main(client: client_lib.Client) -> bodies.MembersBody:
        return await client.call(call, bodies.MembersBody)

    found = connection.run(main)
    output.emit_lines(found, map(_member_line, found.members), as_json=as_json)


def _member_line(member: bodies.Member) -> str:
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
    output.emit_lines(rows, lines, as_json=as_json)


@click.command()
@options.json_option
def keys(as_json: bool) -> None:
    """Make a CURVE key pair for the settings of a VM."""
    zmq = importlib.import_module("zmq")
    public, secret = (key.decode("ascii") for key in zmq.curve_keypair())
    body = KeysBody(public_key=public, secret_key=secret)
    text = f'public_key = "{public}"\nsecret_key = "{secret}"'
    output.emit(body, text, as_json=as_json)


@click.command()
@options.json_option
def version(as_json: bool) -> None:
    """Print the version."""
    number = citronmount.__version__
    output.emit(VersionBody(version=number), number, as_json=as_json)


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for a SHELL.

    For bash, put its output into ~/.bashrc, or run
    eval "$(citronmount completion bash)".
    """
    kind = shell_completion.get_completion_class(shell)
    root = context.find_root().command
    script = kind(root, {}, PROGRAM, "_CITRONMOUNT_COMPLETE")
    click.echo(script.source())
