"""Runs coroutines on the reactor in tests, without stopping the reactor.

A Twisted reactor that was stopped cannot be started again, so tests iterate
the global reactor instead of running it.
"""

from collections.abc import Callable
from collections.abc import Coroutine
import time
import typing

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.python import failure

__all__ = ["run", "wait_until"]

COROUTINE_TIMEOUT_S = 120
POLL_INTERVAL_S = 0.01

_Result = typing.TypeVar("_Result")


def run(coroutine: Coroutine[object, object, _Result]) -> _Result:
    """Runs a coroutine to its end by iterating the reactor.

    Args:
        coroutine: The coroutine, which may await Deferreds.

    Returns:
        The result of the coroutine.

    Raises:
        TimeoutError: The coroutine did not end within `COROUTINE_TIMEOUT_S`.
        Exception: The exception that the coroutine raised.
    """
    results: list[typing.Any] = []
    defer.ensureDeferred(coroutine).addBoth(results.append)
    deadline_s = time.monotonic() + COROUTINE_TIMEOUT_S
    while not results:
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                f"coroutine did not end within {COROUTINE_TIMEOUT_S} s"
            )
        reactor.iterate(POLL_INTERVAL_S)
    if isinstance(results[0], failure.Failure):
        results[0].raiseException()
    return results[0]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds, without a timeout of its own.

    Args:
        condition: Evaluated every `POLL_INTERVAL_S`.
    """
    while not condition():
        await task.deferLater(reactor, POLL_INTERVAL_S)
