"""The HTTP server: size-limited bodies and a graceful shutdown."""

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
FLUSH_TIMEOUT_S = 5
MAX_CONNECTIONS = 5_000


def make_http_factory(
    root: resource.Resource, max_body_bytes: int
) -> "ApiFactory":
    """Returns a factory that serves a resource over HTTP.

    Args:
        root: The root resource.
        max_body_bytes: The largest request body that is accepted.

    Returns:
        The factory to listen with.
    """

    class LimitedRequest(_SizeLimitedRequest):
        limit_bytes = max_body_bytes

    site = server.Site(
        root, requestFactory=LimitedRequest, timeout=IDLE_TIMEOUT_S
    )
    return ApiFactory(site)


class _SizeLimitedRequest(server.Request):
    """A request that is refused with 413 if its body is too large.

    Twisted creates the requests, so a subclass sets `limit_bytes`.
    """

    limit_bytes = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuses a body whose Content-Length exceeds the limit."""
        super().gotLength(length)
        if length is not None and length > self.limit_bytes:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Refuses a chunked body once it exceeds the limit."""
        if self.content.tell() + len(data) > self.limit_bytes:
            self._refuse()
        if not self._refused:
            super().handleContentChunk(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Serves the request unless it was refused."""
        if not self._refused:
            super().requestReceived(command, path, version)

    def _refuse(self) -> None:
        if self._refused:
            return
        self._refused = True
        body = msgspec.json.encode(
            bodies.make_result_body(codes.ResultCode.TOO_LARGE)
        )
        head = (
            b"HTTP/1.1 413 Request Entity Too Large\r\n"
            b"Content-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        )
        self.channel.transport.write(head + body)
        self.channel.loseConnection()


class ApiFactory(policies.WrappingFactory):
    """Limits the open connections and lets a shutdown wait for them."""

    def __init__(self, wrapped: http.HTTPFactory) -> None:
        """Initializes the factory.

        Args:
            wrapped: Builds the HTTP protocols.
        """
        super().__init__(wrapped)
        self._all_closed: defer.Deferred[None] | None = None

    def buildProtocol(  # noqa: N802
        self, address: interfaces.IAddress
    ) -> protocol.Protocol | None:
        """Accepts a connection unless `MAX_CONNECTIONS` are open.

        Args:
            address: The address of the client.

        Returns:
            The protocol, or None to close the connection at once.
        """
        if len(self.protocols) >= MAX_CONNECTIONS:
            return None
        return super().buildProtocol(address)

    def unregisterProtocol(  # noqa: N802
        self, wrapper: policies.ProtocolWrapper
    ) -> None:
        """Records that a connection is closed.

        Args:
            wrapper: The protocol of the connection.
        """
        with contextlib.suppress(KeyError):
            super().unregisterProtocol(wrapper)
        if not self.protocols and self._all_closed is not None:
            all_closed, self._all_closed = self._all_closed, None
            all_closed.callback(None)

    async def close_connections(self, clock: interfaces.IReactorTime) -> None:
        """Closes every connection once its written data has been sent.

        Connections that are still open after `FLUSH_TIMEOUT_S` are aborted.

        Args:
            clock: Schedules the abort.
        """
        if not self.protocols:
            return
        all_closed = self._all_closed = defer.Deferred()
        for wrapper in list(self.protocols):
            wrapper.loseConnection()
        abort_call = clock.callLater(FLUSH_TIMEOUT_S, self._abort_all)
        await all_closed
        if abort_call.active():
            abort_call.cancel()
        # Twisted unregisters a connection before it notifies the HTTP protocol
        # of the loss; the next reactor iteration comes after both.
        await task.deferLater(clock, 0)

    def _abort_all(self) -> None:
        for wrapper in list(self.protocols):
            wrapper.transport.abortConnection()
