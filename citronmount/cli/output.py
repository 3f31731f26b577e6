"""Prints results and errors, for people or as JSON, and sets exit codes."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import functools
import typing

import click
import msgspec

from citronmount.cli import client as client_lib
from citronmount.core import codes
from citronmount.core import errors
from citronmount.service import bodies

__all__ = ["Exit", "emit", "emit_lines", "exit_of", "reports_errors"]

_FAMILY = 1_000
_BAD_INPUT_FAMILIES = frozenset({2, 5, 6})
_P = typing.ParamSpec("_P")


class Exit(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2


def emit(value: object, text: str, *, as_json: bool) -> None:
    """Prints one result on standard output.

    Args:
        value: The result, which JSON can hold.
        text: The same for a person.
        as_json: Whether to print JSON.
    """
    click.echo(msgspec.json.encode(value) if as_json else text)


def emit_lines(
    value: object, lines: Iterable[object], *, as_json: bool
) -> None:
    """Prints one result of several lines on standard output.

    Args:
        value: The result, which JSON can hold.
        lines: The same for a person.
        as_json: Whether to print JSON.
    """
    if as_json:
        click.echo(msgspec.json.encode(value))
        return
    for line in lines:
        click.echo(str(line))


def exit_of(code: codes.ResultCode) -> Exit:
    """Returns the exit code that goes with a result code.

    Args:
        code: Any result code.

    Returns:
        OK for good results, BAD_INPUT for final refusals and faults of input,
        otherwise FAILED.

    Example:
        >>> exit_of(codes.ResultCode.QUEUE_FULL)
        <Exit.FAILED: 1>
    """
    if code is codes.ResultCode.CONFIGURATION_ACCEPTED:
        return Exit.OK
    family = code // _FAMILY
    if family == 1:
        return Exit.OK
    return Exit.BAD_INPUT if family in _BAD_INPUT_FAMILIES else Exit.FAILED


def reports_errors(command: Callable[_P, None]) -> Callable[_P, None]:
    """Makes a command print the project's errors and exit accordingly.

    Args:
        command: A command with an ``as_json`` parameter.

    Returns:
        The command without tracebacks for expected errors.
    """

    @functools.wraps(command)
    def wrapped(*args: _P.args, **kwargs: _P.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except errors.CitronmountError as error:
            _report([error], bool(kwargs.get("as_json")))
        except ExceptionGroup as group:
            known, unknown = group.split(errors.CitronmountError)
            if unknown is not None:
                raise
            _report(known.exceptions, bool(kwargs.get("as_json")))

    return wrapped


def _report(
    failures: Iterable[errors.CitronmountError], as_json: bool
) -> typing.NoReturn:
    listed = list(failures)
    code = listed[0].code
    if as_json:
        click.echo(msgspec.json.encode(_body(listed)))
    for failure in listed:
        click.echo(f"error: {failure}", err=True)
    click.echo(f"hint: {codes.info(code).action}", err=True)
    raise SystemExit(exit_of(code))


def _body(failures: list[errors.CitronmountError]) -> bodies.ResultBody:
    first = failures[0]
    if isinstance(first, client_lib.RefusedError):
        return first.refusal
    return bodies.make_result_body(first.code, "; ".join(map(str, failures)))
