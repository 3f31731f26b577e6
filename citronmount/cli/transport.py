"""Sends HTTP API calls of the command line with Twisted."""

from collections.abc import Coroutine
import ipaddress
import typing

import hyperlink
import treq
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import ssl
from twisted.internet import task
from twisted.python import failure
from twisted.web import client as web_client
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

from citronmount.cli import calls

__all__ = ["Transport", "run"]

CONNECT_TIMEOUT_S = 3.0

_MS_PER_S = 1_000
_NOT_SENT = (
    error.ConnectError,
    error.ConnectingCancelledError,
    web_client.RequestNotSent,
)
_CONNECTION_LOST = (
    error.ConnectionClosed,
    web_client.ResponseFailed,
    ssl.SSL.Error,
)
_T = typing.TypeVar("_T")


@zope.interface.implementer(iweb.IBodyProducer)
class _BodyProducer:
    """Produces a request body in one write."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(  # noqa: N802
        self, consumer: interfaces.IConsumer
    ) -> defer.Deferred[None]:
        """Writes the body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is already written."""


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class _IpEndpointFactory:
    """Creates endpoints for IP addresses, with TLS if a CA is given."""

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        ca_certificate: ssl.Certificate | None,
    ) -> None:
        self._reactor = reactor
        self._ca_certificate = ca_certificate

    def endpointForURI(  # noqa: N802
        self, uri: web_client.URI
    ) -> interfaces.IStreamClientEndpoint:
        """Returns the endpoint for a URI whose host is an IP address."""
        host = uri.host.decode("ascii")
        ip = ipaddress.ip_address(host.strip("[]"))
        endpoint_type = (
            endpoints.TCP4ClientEndpoint
            if ip.version == 4
            else endpoints.TCP6ClientEndpoint
        )
        tcp_endpoint = endpoint_type(
            self._reactor, str(ip), uri.port, CONNECT_TIMEOUT_S
        )
        if self._ca_certificate is None:
            return tcp_endpoint
        trust_root = ssl.trustRootFromCertificates([self._ca_certificate])
        tls_options = ssl.optionsForClientTLS(str(ip), trustRoot=trust_root)
        return endpoints.wrapClientTLS(tls_options, tcp_endpoint)


class Transport:
    """Sends calls; to be used within a coroutine started by `run`."""

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorCore,
        ca_pem: bytes | None = None,
    ) -> None:
        """Initializes the transport.

        Args:
            reactor: The reactor for connections and timers.
            ca_pem: The CA certificate that must have signed those of the
                servers. Without it, calls are sent over plain HTTP.
        """
        ca_certificate = ssl.Certificate.loadPEM(ca_pem) if ca_pem else None
        self._scheme = "https" if ca_certificate else "http"
        self._reactor = reactor
        self._agent = web_client.Agent.usingEndpointFactory(
            reactor,
            _IpEndpointFactory(reactor, ca_certificate),
            web_client.HTTPConnectionPool(reactor, persistent=False),
        )

    async def send(self, server: str, call: calls.Call) -> calls.Reply:
        """Sends a call to one server.

        Args:
            server: ``ip:port``.
            call: The call.

        Returns:
            The reply, whatever its status.

        Raises:
            calls.NoAnswerError: If the connection failed or was lost, or no
                complete reply arrived in time.
        """
        pending_reply = defer.ensureDeferred(self._request(server, call))
        timeout_s = call.timeout_ms / _MS_PER_S
        pending_reply.addTimeout(timeout_s, self._reactor, _raise_timeout)
        try:
            return await pending_reply
        except _NOT_SENT as reason:
            message = f"{server}: cannot connect: {reason}"
            raise calls.NoAnswerError(message, sent=False) from reason
        except defer.TimeoutError as reason:
            message = f"{server}: no answer within {timeout_s} s"
            raise calls.NoAnswerError(message, sent=True) from reason
        except _CONNECTION_LOST as reason:
            message = f"{server}: connection lost: {_first_cause(reason)}"
            raise calls.NoAnswerError(message, sent=True) from reason

    async def sleep(self, pause_ms: int) -> None:
        """Waits without blocking the reactor.

        Args:
            pause_ms: The time to wait.
        """
        await task.deferLater(self._reactor, pause_ms / _MS_PER_S)

    async def _request(self, server: str, call: calls.Call) -> calls.Reply:
        path_and_query = hyperlink.DecodedURL.from_text("/").replace(
            path=call.path, query=tuple(call.query.items())
        )
        url = f"{self._scheme}://{server}{path_and_query.to_uri().to_text()}"
        response = await self._agent.request(
            call.method.encode("ascii"),
            url.encode("ascii"),
            http_headers.Headers({"Content-Type": ["application/json"]}),
            _BodyProducer(call.body) if call.body else None,
        )
        chunks: list[bytes] = []
        await treq.collect(response, chunks.append)
        body = b"".join(chunks)
        return calls.Reply(server=server, status=response.code, body=body)


def _first_cause(reason: Exception) -> str:
    """Returns the message of the first cause of a lost connection."""
    causes = getattr(reason, "reasons", None)
    return causes[0].getErrorMessage() if causes else str(reason)


def _raise_timeout(result: object, timeout_s: float) -> typing.NoReturn:
    """Raises `defer.TimeoutError` if a cancelled request may have been sent.

    A request that was cancelled while connecting keeps its own error, which
    proves that nothing was sent.
    """
    if isinstance(result, failure.Failure) and result.check(*_NOT_SENT):
        result.raiseException()
    raise defer.TimeoutError(timeout_s)


def run(
    main: typing.Callable[
        [interfaces.IReactorCore], Coroutine[object, object, _T]
    ],
) -> _T:
    """Runs a coroutine on the reactor until it ends.

    The reactor is stopped with `crash`, which fires no shutdown events, so
    that a process may call this function more than once.

    Args:
        main: Called with the reactor; returns the coroutine.

    Returns:
        The result of the coroutine.

    Raises:
        KeyboardInterrupt: If the user interrupted it.
    """
    from twisted.internet import reactor

    results: list[_T | failure.Failure] = []

    def on_end(result: _T | failure.Failure) -> None:
        results.append(result)
        reactor.crash()

    def start() -> None:
        defer.ensureDeferred(main(reactor)).addBoth(on_end)

    reactor.callWhenRunning(start)
    reactor.run()
    if not results:
        raise KeyboardInterrupt
    (result,) = results
    if isinstance(result, failure.Failure):
        result.raiseException()
    return result
