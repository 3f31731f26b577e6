"""Faults that a stand-in server can be told to show."""

from collections.abc import Callable

import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import http

__all__ = ["Faults", "serve"]

_MS_PER_S = 1_000


class Faults(msgspec.Struct, kw_only=True):
    """How a server misbehaves until told otherwise.

    Attributes:
        down: Whether every request gets status 503 and has no effect.
        delay_ms: How long every request waits before it takes effect.
        lost_answers: How many next requests take effect and then lose their
            connection in place of an answer.
    """

    down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0


async def serve(
    faults: Faults,
    reactor: interfaces.IReactorTime,
    request: http.Request,
    act: Callable[[], bytes | defer.Deferred[bytes]],
) -> bytes:
    """Carries out a request under the faults of the moment.

    Args:
        faults: The faults.
        reactor: The reactor to wait with.
        request: The HTTP request.
        act: Carries the request out and returns the body of the answer.

    Returns:
        The body of the answer.
    """
    if faults.delay_ms:
        delay_s = faults.delay_ms / _MS_PER_S
        await task.deferLater(reactor, delay_s)
    if faults.down:
        request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b""
    body = await defer.maybeDeferred(act)
    if faults.lost_answers:
        faults.lost_answers -= 1
        request.transport.abortConnection()
    return body
