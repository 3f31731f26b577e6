"""Options that several commands share."""

from collections.abc import Callable
from collections.abc import Coroutine
import functools
import getpass
import importlib
import pathlib
import typing

import click

from citronmount.cli import client as client_lib
from citronmount.service import settings_formats

__all__ = [
    "SHEET_PATH",
    "Connection",
    "author_name",
    "connected",
    "json_option",
]

_T = typing.TypeVar("_T")
_Command = Callable[..., None]

SHEET_PATH = click.Path(exists=True, dir_okay=False, readable=True)


class _Address(click.ParamType):
    """``ip:port``; several may be separated by spaces in the environment."""

    name = "IP:PORT"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Checks one address."""
        fault = settings_formats.fault_of("address", value)
        if fault is not None:
            self.fail(f"{value!r}: expected {fault[1]}", param, ctx)
        return value


class Connection:
    """How the commands reach the servers.

    Attributes:
        servers: ``ip:port`` of each.
    """

    def __init__(
        self, *, servers: tuple[str, ...], authority_pem: bytes | None
    ) -> None:
        """Initializes the connection.

        Args:
            servers: ``ip:port`` of each.
            authority_pem: The authority of their certificates, for TLS.
        """
        self.servers = servers
        self._authority_pem = authority_pem

    def run(
        self,
        main: Callable[[client_lib.Client], Coroutine[object, object, _T]],
    ) -> _T:
        """Runs a coroutine with a client.

        The HTTP libraries are imported only now, so that commands and
        completions without a call start fast.

        Args:
            main: Makes the coroutine.

        Returns:
            Its result.
        """
        transport_lib = importlib.import_module("citronmount.cli.transport")

        def start(reactor: object) -> Coroutine[object, object, _T]:
            transport = transport_lib.Transport(
                reactor=reactor, authority_pem=self._authority_pem
            )
            client = client_lib.Client(
                servers=self.servers, transport=transport
            )
            return main(client)

        return transport_lib.run(start)


def json_option(command: _Command) -> _Command:
    """Adds ``--json`` to a command, as the parameter ``as_json``.

    Args:
        command: The command.

    Returns:
        The command with the option.
    """
    return click.option(
        "--json", "as_json", is_flag=True, help="Print one JSON value."
    )(command)


def connected(required: bool = True) -> Callable[[_Command], _Command]:
    """Adds the options that name servers, as the parameter ``connection``.

    Args:
        required: Whether at least one server has to be named; otherwise the
            parameter is None without one.

    Returns:
        The decorator.
    """

    def decorate(command: _Command) -> _Command:
        @functools.wraps(command)
        def wrapped(
            server: tuple[str, ...], ca: str | None, **kwargs: object
        ) -> None:
            pem = pathlib.Path(ca).read_bytes() if ca else None
            connection = Connection(servers=server, authority_pem=pem)
            command(connection=connection if server else None, **kwargs)

        return _server_options(required)(wrapped)

    return decorate


def _server_options(required: bool) -> Callable[[_Command], _Command]:
    server = click.option(
        "--server",
        multiple=True,
        required=required,
        type=_Address(),
        envvar="CITRONMOUNT_SERVER",
        help="A VM of the system; repeat it to name others to fall back on.",
    )
    authority = click.option(
        "--ca",
        type=click.Path(exists=True, dir_okay=False),
        envvar="CITRONMOUNT_CA",
        help="PEM file of the authority of the servers' certificates.",
    )
    return lambda command: server(authority(command))


def author_name() -> str:
    """Returns the name of the user, for the record of a publication."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
