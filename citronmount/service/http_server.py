"""The HTTP server of the API: bounded bodies and a close that cuts nothing."""

import contextlib

import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task
from twisted.protocols import policies
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from citronmount.core import codes
from citronmount.service import bodies

__all__ = ["ApiFactory", "make_http_factory"]

IDLE_TIMEOUT_S = 60
FLUSH_LIMIT_S = 5
MAX_CONNECTIONS = 5_000


def make_http_factory(
    root: resource.Resource, max_body_bytes: int
) -> "ApiFactory":
    """Returns the factory that serves a resource.

    Args:
        root: The resource.
        max_body_bytes: The longest body of a request.

    Returns:
        The factory to listen with.
    """

    class BoundedRequest(_BoundedRequest):
        limit_bytes = max_body_bytes

    site = server.Site(
        root, requestFactory=BoundedRequest, timeout=IDLE_TIMEOUT_S
    )
    return ApiFactory(site)


class _BoundedRequest(server.Request):
    """A request that is refused once its body is too long."""

    limit_bytes = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuses a body that announces too many bytes."""
        super().gotLength(length)
        if length is not None and length > self.limit_bytes:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Refuses a body of unknown length that grows too long."""
        if self.content.tell() + len(data) > self.limit_bytes:
            self._refuse()
        if not self._refused:
            super().handleContentChunk(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Serves the request unless its body was refused."""
        if not self._refused:
            super().requestReceived(command, path, version)

    def _refuse(self) -> None:
        if self._refused:
            return
        self._refused = True
        body = msgspec.json.encode(
            bodies.make_refusal(codes.ResultCode.TOO_LARGE)
        )
        head = (
            b"HTTP/1.1 413 Request Entity Too Large\r\n"
            b"Content-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        )
        self.channel.transport.write(head + body)
        self.channel.loseConnection()


class ApiFactory(policies.WrappingFactory):
    """Tracks the open connections, so that a close can wait for them."""

    def __init__(self, wrapped: http.HTTPFactory) -> None:
        """Initializes the factory.

        Args:
            wrapped: The factory of the HTTP protocol.
        """
        super().__init__(wrapped)
        self._all_closed: defer.Deferred[None] | None = None

    def buildProtocol(  # noqa: N802
        self, address: interfaces.IAddress
    ) -> protocol.Protocol | None:
        """Accepts a connection unless there are too many.

        Args:
            address: Of the peer.

        Returns:
            The protocol, or None to refuse the connection.
        """
        if len(self.protocols) >= MAX_CONNECTIONS:
            return None
        return super().buildProtocol(address)

    def unregisterProtocol(  # noqa: N802
        self, wrapper: policies.ProtocolWrapper
    ) -> None:
        """Notes that a connection is closed.

        Args:
            wrapper: Its protocol.
        """
        with contextlib.suppress(KeyError):
            super().unregisterProtocol(wrapper)
        if not self.protocols and self._all_closed is not None:
            waiting, self._all_closed = self._all_closed, None
            waiting.callback(None)

    async def close_connections(self, clock: interfaces.IReactorTime) -> None:
        """Closes every connection after what was written has left.

        Args:
            clock: Times the limit after which connections are aborted.
        """
        if not self.protocols:
            return
        closed = self._all_closed = defer.Deferred()
        for wrapper in list(self.protocols):
            wrapper.loseConnection()
        abort = clock.callLater(FLUSH_LIMIT_S, self._abort_all)
        await closed
        if abort.active():
            abort.cancel()
        await task.deferLater(clock, 0)

    def _abort_all(self) -> None:
        for wrapper in list(self.protocols):
            wrapper.transport.abortConnection()
