"""Fault injection for the HTTP stand-ins."""

from collections.abc import Callable

import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import http

__all__ = ["Faults", "serve"]

_MS_PER_S = 1_000


class Faults(msgspec.Struct, kw_only=True):
    """Faults that a server injects until they are replaced.

    Attributes:
        down: Whether every request fails with status 503 without effect.
        delay_ms: Delay of every request before it takes effect.
        lost_answers: Number of requests to come that take effect but whose
            connection is aborted instead of answered.
    """

    down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0


async def serve(
    faults: Faults,
    reactor: interfaces.IReactorTime,
    request: http.Request,
    handle: Callable[[], bytes | defer.Deferred[bytes]],
) -> bytes:
    """Handles a request with the current faults applied.

    Args:
        faults: The faults; `lost_answers` is counted down.
        reactor: Times the delay.
        request: The HTTP request.
        handle: Handles the request and returns the body of the answer.

    Returns:
        The body of the answer, empty while the server is down.
    """
    if faults.delay_ms:
        delay_s = faults.delay_ms / _MS_PER_S
        await task.deferLater(reactor, delay_s)
    if faults.down:
        request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b""
    body = await defer.maybeDeferred(handle)
    if faults.lost_answers:
        faults.lost_answers -= 1
        request.transport.abortConnection()
    return body
