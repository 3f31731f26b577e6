"""Prints results and errors as text or JSON, and sets exit codes."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import functools
import typing

import click
import msgspec

from citronmount.cli import api_client
from citronmount.core import codes
from citronmount.core import errors
from citronmount.service import bodies

__all__ = [
    "Exit",
    "exit_code_of",
    "handle_errors",
    "print_lines",
    "print_result",
]

_CODES_PER_FAMILY = 1_000
# 2xxx permanent refusals, 5xxx faults of a sheet, 6xxx of a settings or pool
# file; see `codes.ResultCode`.
_BAD_INPUT_FAMILIES = frozenset({2, 5, 6})
_P = typing.ParamSpec("_P")


class Exit(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2


def print_result(value: object, text: str, *, as_json: bool) -> None:
    """Prints one result on standard output.

    Args:
        value: The result; msgspec must be able to encode it as JSON.
        text: The result as text.
        as_json: Whether to print JSON instead of text.
    """
    click.echo(msgspec.json.encode(value) if as_json else text)


def print_lines(
    value: object, lines: Iterable[object], *, as_json: bool
) -> None:
    """Prints a result whose text has several lines on standard output.

    Args:
        value: The result; msgspec must be able to encode it as JSON.
        lines: The lines of the result as text.
        as_json: Whether to print JSON instead of text.
    """
    if as_json:
        click.echo(msgspec.json.encode(value))
        return
    for line in lines:
        click.echo(str(line))


def exit_code_of(code: codes.ResultCode) -> Exit:
    """Returns the exit code that corresponds to a result code.

    Args:
        code: The result code.

    Returns:
        OK for success, BAD_INPUT for permanent refusals and invalid input,
        FAILED for everything else.

    Example:
        >>> exit_code_of(codes.ResultCode.QUEUE_FULL)
        <Exit.FAILED: 1>
    """
    if code is codes.ResultCode.CONFIGURATION_ACCEPTED:
        return Exit.OK
    family = code // _CODES_PER_FAMILY
    if family == 1:
        return Exit.OK
    return Exit.BAD_INPUT if family in _BAD_INPUT_FAMILIES else Exit.FAILED


def handle_errors(command: Callable[_P, None]) -> Callable[_P, None]:
    """Makes a command print expected errors and exit with an error code.

    Expected are `errors.CitronmountError` and exception groups that hold
    nothing else; other exceptions are propagated. The result code of the first
    error determines the hint and the exit code.

    Args:
        command: The function of a command with an ``as_json`` parameter.

    Returns:
        The decorated function.
    """

    @functools.wraps(command)
    def wrapped(*args: _P.args, **kwargs: _P.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except errors.CitronmountError as error:
            _print_errors_and_exit([error], bool(kwargs.get("as_json")))
        except ExceptionGroup as group:
            expected, unexpected = group.split(errors.CitronmountError)
            if unexpected is not None:
                raise
            _print_errors_and_exit(
                expected.exceptions, bool(kwargs.get("as_json"))
            )

    return wrapped


def _print_errors_and_exit(
    raised: Iterable[errors.CitronmountError], as_json: bool
) -> typing.NoReturn:
    failures = list(raised)
    code = failures[0].code
    if as_json:
        click.echo(msgspec.json.encode(_make_error_body(failures)))
    for error in failures:
        click.echo(f"error: {error}", err=True)
    click.echo(f"hint: {codes.info(code).action}", err=True)
    raise SystemExit(exit_code_of(code))


def _make_error_body(
    failures: list[errors.CitronmountError],
) -> bodies.ResultBody:
    first_error = failures[0]
    if isinstance(first_error, api_client.RefusedError):
        return first_error.result
    return bodies.make_result_body(
        first_error.code, "; ".join(map(str, failures))
    )
