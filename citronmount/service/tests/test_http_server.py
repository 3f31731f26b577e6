"""Tests of the HTTP server: body size limit and graceful shutdown."""

import unittest

from twisted.internet import defer
from twisted.internet import task
from twisted.internet import testing
from twisted.web import resource
from twisted.web import server

from citronmount.service import http_server

_LIMIT_BYTES = 10
_ADDRESS = testing.StringTransport().getPeer()


class _Echo(resource.Resource):
    """Answers with the request body, at once or when `wait` fires.

    If `close` is set, the answer closes the connection.
    """

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.wait: defer.Deferred | None = None
        self.close = False

    def render(self, request: server.Request) -> bytes | int:
        body = request.content.read()
        if self.close:
            request.setHeader("Connection", "close")
            request.channel.persistent = False
        if self.wait is None:
            return body
        self.wait.addCallback(lambda _: (request.write(body), request.finish()))
        return server.NOT_DONE_YET


class HttpServerTest(unittest.TestCase):
    """The factory with in-memory transports."""

    def setUp(self) -> None:
        self.echo = _Echo()
        self.factory = http_server.make_http_factory(self.echo, _LIMIT_BYTES)

    def _connect(self) -> testing.StringTransport:
        transport = testing.StringTransport()
        transport.abortConnection = transport.loseConnection
        protocol = self.factory.buildProtocol(_ADDRESS)
        protocol.makeConnection(transport)
        transport.protocol = protocol
        return transport

    def _post(self, header: bytes, body: bytes) -> testing.StringTransport:
        transport = self._connect()
        transport.protocol.dataReceived(
            b"POST / HTTP/1.1\r\nHost: h\r\n" + header + b"\r\n\r\n" + body
        )
        return transport

    def test_body_of_the_largest_size_is_served(self) -> None:
        transport = self._post(b"Content-Length: 10", b"0123456789")
        self.assertIn(b"200 OK", transport.value())
        self.assertTrue(transport.value().endswith(b"0123456789"))
        self.assertFalse(transport.disconnecting)

    def test_larger_body_is_refused_once_and_the_connection_closed(self):
        cases = (
            (b"Content-Length: 11", b"0123456789a"),
            (b"Content-Length: 99999999999", b""),
            (b"Transfer-Encoding: chunked", b"b\r\n0123456789a\r\n0\r\n\r\n"),
            (
                b"Transfer-Encoding: chunked",
                b"6\r\n012345\r\n6\r\n012345\r\n0\r\n\r\n",
            ),
        )
        for header, body in cases:
            with self.subTest(header, body=body):
                transport = self._post(header, body)
                self.assertEqual(1, transport.value().count(b"HTTP/1.1"))
                self.assertIn(b" 413 ", transport.value())
                self.assertIn(b'"code":2006', transport.value())
                self.assertTrue(transport.disconnecting)

    def test_answer_with_connection_close_closes_the_connection(self) -> None:
        self.echo.close = True
        transport = self._post(b"Content-Length: 1", b"x")
        self.assertIn(b"connection: close", transport.value().lower())
        self.assertTrue(transport.disconnecting)

    def test_shutdown_waits_until_all_connections_are_closed(self) -> None:
        clock = task.Clock()
        transports = [self._connect() for _ in range(2)]
        results = []
        closing = self.factory.close_connections(clock)
        defer.ensureDeferred(closing).addBoth(results.append)
        self.assertTrue(all(t.disconnecting for t in transports))
        for transport in transports:
            clock.advance(0)
            self.assertEqual([], results)
            transport.protocol.connectionLost(None)
        clock.advance(0)
        self.assertEqual([None], results)

    def test_connection_that_does_not_close_in_time_is_aborted(self) -> None:
        clock = task.Clock()
        transport = self._connect()
        aborted = []
        transport.abortConnection = lambda: aborted.append(True)
        defer.ensureDeferred(self.factory.close_connections(clock))
        clock.advance(http_server.FLUSH_TIMEOUT_S)
        self.assertEqual([True], aborted)
