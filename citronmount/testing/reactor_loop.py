"""Runs coroutines of tests on the reactor, without stopping it."""

from collections.abc import Callable
from collections.abc import Coroutine
import time
import typing

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.python import failure

__all__ = ["run", "wait_until"]

HANG_LIMIT_S = 120
POLL_S = 0.01

_Result = typing.TypeVar("_Result")


def run(coroutine: Coroutine[object, object, _Result]) -> _Result:
    """Runs a coroutine to its end by turning the reactor.

    Args:
        coroutine: It may await any Deferred.

    Returns:
        What the coroutine returns.

    Raises:
        TimeoutError: The coroutine hangs.
    """
    results: list[typing.Any] = []
    defer.ensureDeferred(coroutine).addBoth(results.append)
    limit_s = time.monotonic() + HANG_LIMIT_S
    while not results:
        if time.monotonic() > limit_s:
            raise TimeoutError(f"no end after {HANG_LIMIT_S} s")
        reactor.iterate(POLL_S)
    if isinstance(results[0], failure.Failure):
        results[0].raiseException()
    return results[0]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds.

    Args:
        condition: Asked on every turn of the reactor.
    """
    while not condition():
        await task.deferLater(reactor, POLL_S)
