"""Carries one call of the command line to one server over HTTP."""

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
_BROKEN = (
    error.ConnectionClosed,
    web_client.ResponseFailed,
    ssl.SSL.Error,
)
_T = typing.TypeVar("_T")


@zope.interface.implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Writes a body at once."""

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
class _IpEndpoints:
    """Connects to IP numbers only, with TLS if there is an authority."""

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        authority: ssl.Certificate | None,
    ) -> None:
        self._reactor = reactor
        self._authority = authority

    def endpointForURI(  # noqa: N802
        self, uri: web_client.URI
    ) -> interfaces.IStreamClientEndpoint:
        """Returns the endpoint of a URL."""
        host = uri.host.decode("ascii")
        ip = ipaddress.ip_address(host.strip("[]"))
        kind = (
            endpoints.TCP4ClientEndpoint
            if ip.version == 4
            else endpoints.TCP6ClientEndpoint
        )
        plain = kind(self._reactor, str(ip), uri.port, CONNECT_TIMEOUT_S)
        if self._authority is None:
            return plain
        trust = ssl.trustRootFromCertificates([self._authority])
        options = ssl.optionsForClientTLS(str(ip), trustRoot=trust)
        return endpoints.wrapClientTLS(options, plain)


class Transport:
    """Sends calls from within a reactor that `run` drives."""

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorCore,
        authority_pem: bytes | None = None,
    ) -> None:
        """Initializes the transport.

        Args:
            reactor: The reactor to connect and time with.
            authority_pem: The certificate that must have signed those of
                the servers; without it, calls go in clear text.
        """
        authority = (
            ssl.Certificate.loadPEM(authority_pem) if authority_pem else None
        )
        self._scheme = "https" if authority else "http"
        self._reactor = reactor
        self._agent = web_client.Agent.usingEndpointFactory(
            reactor,
            _IpEndpoints(reactor, authority),
            web_client.HTTPConnectionPool(reactor, persistent=False),
        )

    async def send(self, server: str, call: calls.Call) -> calls.Reply:
        """Sends a call to one server.

        Args:
            server: ``ip:port``.
            call: The call.

        Returns:
            The answer, whatever its status.

        Raises:
            calls.NoAnswerError: If there was none.
        """
        exchange = defer.ensureDeferred(self._exchange(server, call))
        timeout_s = call.timeout_ms / _MS_PER_S
        exchange.addTimeout(timeout_s, self._reactor, _timed_out)
        try:
            return await exchange
        except _NOT_SENT as reason:
            message = f"{server}: cannot connect: {reason}"
            raise calls.NoAnswerError(message, sent=False) from reason
        except defer.TimeoutError as reason:
            message = f"{server}: no answer within {timeout_s} s"
            raise calls.NoAnswerError(message, sent=True) from reason
        except _BROKEN as reason:
            message = f"{server}: the connection broke: {_cause(reason)}"
            raise calls.NoAnswerError(message, sent=True) from reason

    async def sleep(self, pause_ms: int) -> None:
        """Waits.

        Args:
            pause_ms: How long.
        """
        await task.deferLater(self._reactor, pause_ms / _MS_PER_S)

    async def _exchange(self, server: str, call: calls.Call) -> calls.Reply:
        target = hyperlink.DecodedURL.from_text("/").replace(
            path=call.path, query=tuple(call.query.items())
        )
        url = f"{self._scheme}://{server}{target.to_uri().to_text()}"
        response = await self._agent.request(
            call.method.encode("ascii"),
            url.encode("ascii"),
            http_headers.Headers({"Content-Type": ["application/json"]}),
            _BytesProducer(call.body) if call.body else None,
        )
        parts: list[bytes] = []
        await treq.collect(response, parts.append)
        body = b"".join(parts)
        return calls.Reply(server=server, status=response.code, body=body)


def _cause(reason: Exception) -> str:
    """Returns the first cause of a broken connection, for a person."""
    causes = getattr(reason, "reasons", None)
    return causes[0].getErrorMessage() if causes else str(reason)


def _timed_out(result: object, timeout_s: float) -> typing.NoReturn:
    """Marks an exchange that was cancelled, unless it never connected."""
    if isinstance(result, failure.Failure) and result.check(*_NOT_SENT):
        result.raiseException()
    raise defer.TimeoutError(timeout_s)


def run(
    main: typing.Callable[
        [interfaces.IReactorCore], Coroutine[object, object, _T]
    ],
) -> _T:
    """Runs a coroutine on the reactor until it ends.

    The reactor is left by `crash`, which fires no shutdown events, so that a
    process may do this more than once.

    Args:
        main: Makes the coroutine from the reactor.

    Returns:
        Its result.

    Raises:
        KeyboardInterrupt: If the user stopped it.
    """
    from twisted.internet import reactor

    results: list[_T | failure.Failure] = []

    def end(result: _T | failure.Failure) -> None:
        results.append(result)
        reactor.crash()

    def start() -> None:
        defer.ensureDeferred(main(reactor)).addBoth(end)

    reactor.callWhenRunning(start)
    reactor.run()
    if not results:
        raise KeyboardInterrupt
    (result,) = results
    if isinstance(result, failure.Failure):
        result.raiseException()
    return result
