"""Options shared by several commands."""

from collections.abc import Callable
from collections.abc import Coroutine
import functools
import getpass
import importlib
import pathlib
import typing

import click

from citronmount.cli import api_client
from citronmount.service import settings_formats

__all__ = [
    "INPUT_FILE",
    "Connection",
    "default_author",
    "json_option",
    "server_options",
]

_T = typing.TypeVar("_T")
_Command = Callable[..., None]

INPUT_FILE = click.Path(exists=True, dir_okay=False, readable=True)


class _Address(click.ParamType):
    """Parameter type: an address as ``ip:port``.

    click splits the environment variable of a repeatable option at whitespace,
    so the variable may hold several addresses.
    """

    name = "IP:PORT"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Checks one address and returns it unchanged."""
        fault = settings_formats.fault_of("address", value)
        if fault is not None:
            self.fail(f"{value!r}: expected {fault[1]}", param, ctx)
        return value


class Connection:
    """Connects commands to the servers of a system.

    Attributes:
        servers: ``ip:port`` of each server.
    """

    def __init__(
        self, *, servers: tuple[str, ...], ca_pem: bytes | None
    ) -> None:
        """Initializes the connection.

        Args:
            servers: ``ip:port`` of each server.
            ca_pem: The CA certificate of the servers, or None for plain HTTP.
        """
        self.servers = servers
        self._ca_pem = ca_pem

    def run(
        self,
        main: Callable[[api_client.Client], Coroutine[object, object, _T]],
    ) -> _T:
        """Runs a coroutine with a client.

        The HTTP libraries are imported only here, so that commands and
        completions that make no call start fast.

        Args:
            main: Called with the client; returns the coroutine.

        Returns:
            The result of the coroutine.
        """
        transport_module = importlib.import_module("citronmount.cli.transport")

        def start_main(reactor: object) -> Coroutine[object, object, _T]:
            transport = transport_module.Transport(
                reactor=reactor, ca_pem=self._ca_pem
            )
            client = api_client.Client(
                servers=self.servers, transport=transport
            )
            return main(client)

        return transport_module.run(start_main)


def json_option(command: _Command) -> _Command:
    """Adds ``--json`` to a command, as the parameter ``as_json``.

    Args:
        command: The function of the command.

    Returns:
        The function with the option.
    """
    return click.option(
        "--json",
        "as_json",
        is_flag=True,
        help="Print the result as one JSON value.",
    )(command)


def server_options(required: bool = True) -> Callable[[_Command], _Command]:
    """Adds ``--server`` and ``--ca``, as the parameter ``connection``.

    Args:
        required: Whether at least one server has to be given. If not, the
            parameter is None without a server.

    Returns:
        The decorator.
    """

    def decorate(command: _Command) -> _Command:
        @functools.wraps(command)
        def wrapped(
            server: tuple[str, ...], ca: str | None, **kwargs: object
        ) -> None:
            ca_pem = pathlib.Path(ca).read_bytes() if ca else None
            connection = Connection(servers=server, ca_pem=ca_pem)
            command(connection=connection if server else None, **kwargs)

        return _add_server_options(required)(wrapped)

    return decorate


def _add_server_options(required: bool) -> Callable[[_Command], _Command]:
    server_option = click.option(
        "--server",
        multiple=True,
        required=required,
        type=_Address(),
        envvar="CITRONMOUNT_SERVER",
        help="A VM of the system; repeat to name others for failover.",
    )
    ca_option = click.option(
        "--ca",
        type=click.Path(exists=True, dir_okay=False),
        envvar="CITRONMOUNT_CA",
        help="PEM file of the CA that signed the servers' certificates.",
    )
    return lambda command: server_option(ca_option(command))


def default_author() -> str:
    """Returns the default author: the user name, or "unknown" without one."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
