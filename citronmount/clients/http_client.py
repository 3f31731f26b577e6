"""One HTTP exchange with a service of the platform or with a target."""

import typing

import hyperlink
import msgspec
import treq
from treq import client as treq_client
from twisted.internet import abstract
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import client as web_client
from twisted.web import http
from twisted.web import iweb
from zope.interface import implementer

from citronmount.clients import byte_counting
from citronmount.clients import wire_format
from citronmount.core import codes
from citronmount.core import errors

__all__ = [
    "NOT_SENT",
    "HttpClient",
    "HttpResponse",
    "NoAnswerError",
    "make_http_agent",
]

CONNECT_TIMEOUT_MS = 500
IDLE_CONNECTION_S = 30
MAX_IDLE_CONNECTIONS_PER_HOST = 8
MAX_BODY_BYTES = 64 << 20
MAX_CACHED_URLS = 10_000

_MS_PER_S = 1_000
NOT_SENT = (
    error.ConnectError,
    error.ConnectingCancelledError,
    web_client.RequestNotSent,
)
_Body = typing.TypeVar("_Body", bound=msgspec.Struct)


class NoAnswerError(errors.UnreachableError):
    """An exchange that brought no usable answer.

    Attributes:
        sent: Whether any byte of the request may have left.
    """

    def __init__(
        self, message: str, *, code: codes.ResultCode, sent: bool
    ) -> None:
        """Initializes the error.

        Args:
            message: What went wrong.
            code: UNREACHABLE or TIMED_OUT.
            sent: Whether any byte of the request may have left.
        """
        super().__init__(message, code=code)
        self.sent = sent


@implementer(iweb.IAgentEndpointFactory)
class _NumericEndpoints:
    """Connects to IP numbers, with no resolver and so with no thread."""

    def __init__(
        self, reactor: interfaces.IReactorTCP, traffic: byte_counting.Traffic
    ) -> None:
        self._reactor = reactor
        self._traffic = traffic

    def endpointForURI(  # noqa: N802
        self, uri: web_client.URI
    ) -> interfaces.IStreamClientEndpoint:
        """Returns the endpoint of a URI whose host is an IP number."""
        host = uri.host.decode("ascii").strip("[]")
        make = (
            endpoints.TCP6ClientEndpoint
            if abstract.isIPv6Address(host)
            else endpoints.TCP4ClientEndpoint
        )
        timeout_s = CONNECT_TIMEOUT_MS / _MS_PER_S
        endpoint = make(self._reactor, host, uri.port, timeout=timeout_s)
        return byte_counting.ByteCountingEndpoint(
            endpoint=endpoint, traffic=self._traffic
        )


def make_http_agent(
    reactor: interfaces.IReactorTCP,
    pool: web_client.HTTPConnectionPool,
    traffic: byte_counting.Traffic,
) -> iweb.IAgent:
    """Returns an HTTP agent for services that are named by IP numbers.

    Args:
        reactor: The reactor to connect with.
        pool: Keeps idle connections.
        traffic: Gets the bytes of all connections.

    Returns:
        The agent.
    """
    return web_client.Agent.usingEndpointFactory(
        reactor, _NumericEndpoints(reactor, traffic), pool
    )


@implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Writes a whole body together with the headers.

    Twisted's producer of files writes it one turn of the reactor later.
    """

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
        """Does nothing, as all is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing, as all is written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing, as all is written at once."""


class HttpResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Any answer, whatever its status.

    Attributes:
        status: The HTTP status.
        body: The bytes of the body.
    """

    status: int
    body: bytes


class _CachedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """An answer that may still be valid."""

    etag: str
    body: msgspec.Struct


class HttpClient:
    """Sends requests over bounded pools of persistent connections.

    Attributes:
        traffic: Bytes of all connections so far.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        agent: iweb.IAgent | None = None,
    ) -> None:
        """Initializes with no connection.

        Args:
            reactor: The reactor to connect and time with.
            agent: Replaces the pooled agent, for tests.
        """
        self._reactor = reactor
        self._pool = web_client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_HOST
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self.traffic = byte_counting.Traffic()
        pooled = make_http_agent(reactor, self._pool, self.traffic)
        self._http = treq_client.HTTPClient(agent or pooled)
        self._urls: dict[tuple[str, str], hyperlink.EncodedURL] = {}
        self._kept: dict[tuple[str, str], _CachedResponse] = {}

    def get(
        self,
        address: str,
        path: str,
        kind: type[_Body],
        timeout_ms: int,
        params: dict[str, str] | None = None,
        *,
        revalidate: bool = False,
    ) -> defer.Deferred[_Body]:
        """Reads a resource.

        Args:
            address: ``ip:port`` of the service.
            path: The path.
            kind: The type of the answer.
            timeout_ms: When to give up.
            params: The query.
            revalidate: Whether to keep the answer with its ETag and to ask
                next time only whether it has changed (RFC 9110, section 13).

        Returns:
            Fires with the answer or fails with `NoAnswerError`.
        """
        request = (
            self._read_if_changed(address, path, kind)
            if revalidate
            else self._request("GET", address, path, kind, params=params)
        )
        return self._bounded(request, timeout_ms)

    def post(
        self,
        address: str,
        path: str,
        body: msgspec.Struct,
        kind: type[_Body],
        timeout_ms: int,
    ) -> defer.Deferred[_Body]:
        """Sends a body.

        Args:
            address: ``ip:port`` of the service.
            path: The path.
            body: The body.
            kind: The type of the answer.
            timeout_ms: When to give up.

        Returns:
            Fires with the answer or fails with `NoAnswerError`.
        """
        data = _BytesProducer(wire_format.encode(body))
        request = self._request("POST", address, path, kind, data=data)
        return self._bounded(request, timeout_ms)

    def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout_ms: int,
        *,
        query: str = "",
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> defer.Deferred[HttpResponse]:
        """Makes a call whose status and body the caller reads itself.

        Args:
            method: The HTTP method.
            address: ``ip:port`` of the service.
            path: The path.
            timeout_ms: When to give up.
            query: The encoded query, or empty.
            headers: Headers beside those of HTTP.
            body: The body, if the call has one.

        Returns:
            Fires with the answer or fails with `NoAnswerError`.
        """
        url = self._url(address, path)
        if query:
            url = hyperlink.EncodedURL.from_text(f"{url.to_text()}?{query}")
        data = None if body is None else _BytesProducer(body)
        request = self._call(method, url, headers or {}, data)
        return self._bounded(request, timeout_ms)

    async def _call(
        self,
        method: str,
        url: hyperlink.EncodedURL,
        headers: dict[str, str],
        data: _BytesProducer | None,
    ) -> HttpResponse:
        response = await self._http.request(
            method,
            url,
            headers=headers,
            data=data,
            allow_redirects=False,
            unbuffered=True,
        )
        return HttpResponse(status=response.code, body=await _content(response))

    def close(self) -> defer.Deferred[None]:
        """Closes every idle connection.

        Returns:
            Fires once they are closed.
        """
        return self._pool.closeCachedConnections()

    def _url(self, address: str, path: str) -> hyperlink.EncodedURL:
        url = self._urls.get((address, path))
        if url is None:
            if len(self._urls) >= MAX_CACHED_URLS:
                self._urls.clear()
            url = hyperlink.EncodedURL.from_text(f"http://{address}{path}")
            self._urls[address, path] = url
        return url

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        kind: type[_Body],
        **options: object,
    ) -> _Body:
        response = await self._respond(method, address, path, **options)
        return await _decoded(response, kind)

    async def _read_if_changed(
        self, address: str, path: str, kind: type[_Body]
    ) -> _Body:
        kept = self._kept.get((address, path))
        headers = {"If-None-Match": kept.etag} if kept else {}
        response = await self._respond("GET", address, path, headers)
        if kept and response.code == http.NOT_MODIFIED:
            await _content(response)
            return kept.body
        body = await _decoded(response, kind)
        etags = response.headers.getRawHeaders("ETag", [])
        self._kept.pop((address, path), None)
        if etags:
            self._kept[address, path] = _CachedResponse(
                etag=etags[0], body=body
            )
        return body

    def _respond(
        self,
        method: str,
        address: str,
        path: str,
        headers: dict[str, str] | None = None,
        **options: object,
    ) -> defer.Deferred[iweb.IResponse]:
        return self._http.request(
            method,
            self._url(address, path),
            headers={
                "Content-Type": wire_format.CONTENT_TYPE,
                **(headers or {}),
            },
            allow_redirects=False,
            unbuffered=True,
            **options,
        )

    def _bounded(
        self,
        request: typing.Coroutine[defer.Deferred[object], object, _Body],
        timeout_ms: int,
    ) -> defer.Deferred[_Body]:
        answer = defer.ensureDeferred(request)
        answer.addTimeout(
            timeout_ms / _MS_PER_S, self._reactor, onTimeoutCancel=_timed_out
        )
        return answer.addErrback(_raise_no_answer)


async def _decoded(response: iweb.IResponse, kind: type[_Body]) -> _Body:
    data = await _content(response)
    if response.code != http.OK:
        raise NoAnswerError(
            f"HTTP status {response.code}",
            code=codes.ResultCode.UNREACHABLE,
            sent=True,
        )
    return wire_format.decode(data, kind)


async def _content(response: iweb.IResponse) -> bytes:
    parts: list[bytes] = []
    size = 0

    def collect(part: bytes) -> None:
        nonlocal size
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise NoAnswerError(
                "the answer is too large",
                code=codes.ResultCode.UNREACHABLE,
                sent=True,
            )
        parts.append(part)

    await treq.collect(response, collect)
    return b"".join(parts)


def _timed_out(result: object, timeout_s: float) -> object:
    """Marks the failure of an exchange that was cancelled for its time."""
    if isinstance(result, failure.Failure):
        raise NoAnswerError(
            f"no answer within {timeout_s} s",
            code=codes.ResultCode.TIMED_OUT,
            sent=not result.check(*NOT_SENT),
        ) from result.value
    return result


def _raise_no_answer(reason: failure.Failure) -> typing.NoReturn:
    """Turns any failure of an exchange into `NoAnswerError`."""
    if reason.check(NoAnswerError):
        reason.raiseException()
    raise NoAnswerError(
        reason.getErrorMessage(),
        code=codes.ResultCode.UNREACHABLE,
        sent=not reason.check(*NOT_SENT),
    ) from reason.value
