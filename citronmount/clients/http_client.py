"""An HTTP client for the platform's services and the targets."""

from collections.abc import Callable
import typing

import hyperlink
import msgspec
import treq
from treq import client as treq_client
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import client as web_client
from twisted.web import http
from twisted.web import iweb
from zope.interface import implementer

from citronmount.clients import addresses
from citronmount.clients import byte_counting
from citronmount.clients import call_time_limit
from citronmount.clients import http_agent
from citronmount.clients import wire_format
from citronmount.core import codes
from citronmount.core import errors

__all__ = [
    "NOT_SENT",
    "HttpClient",
    "HttpResponse",
    "NoAnswerError",
]

IDLE_CONNECTION_S = 30
MAX_IDLE_CONNECTIONS_PER_HOST = 8
MAX_BODY_BYTES = 64 << 20
MAX_CACHED_URLS = 10_000

_MS_PER_S = 1_000
# Failures that prove that no byte of the request was sent.
NOT_SENT = (
    error.ConnectError,
    error.ConnectingCancelledError,
    web_client.RequestNotSent,
)
_Answer = typing.TypeVar("_Answer")
_Body = typing.TypeVar("_Body", bound=msgspec.Struct)
# Called with the size in bytes of each part of a response body.
OnPart = Callable[[int], None]


class NoAnswerError(errors.UnreachableError):
    """Raised when a call fails or its answer cannot be used.

    Attributes:
        sent: Whether any byte of the request may have been sent.
    """

    def __init__(
        self, message: str, *, code: codes.ResultCode, sent: bool
    ) -> None:
        """Initializes the error.

        Args:
            message: A description of the failure.
            code: UNREACHABLE or TIMED_OUT.
            sent: Whether any byte of the request may have been sent.
        """
        super().__init__(message, code=code)
        self.sent = sent


@implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Writes a whole body at once, together with the headers.

    Twisted's `FileBodyProducer` writes the body one reactor iteration later.
    """

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(  # noqa: N802
        self, consumer: interfaces.IConsumer
    ) -> defer.Deferred[None]:
        """Writes the whole body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing, since the body is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing, since the body is written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing, since the body is written at once."""


class HttpResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A response of any HTTP status.

    Attributes:
        status: The HTTP status.
        body: The undecoded body.
        transfer_ms: Time from the first part of the response to the last.
    """

    status: int
    body: bytes
    transfer_ms: int = 0


class _CachedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A decoded body with the ETag that revalidates it."""

    etag: str
    body: msgspec.Struct


class HttpClient:
    """Sends requests over a bounded pool of persistent connections.

    Attributes:
        traffic: The byte counts of all connections.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        agent: iweb.IAgent | None = None,
    ) -> None:
        """Initializes the client without a connection.

        Args:
            reactor: The reactor for connections and timeouts.
            agent: Used instead of an agent with a connection pool, in tests.
        """
        self._reactor = reactor
        self._pool = web_client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_HOST
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self.traffic = byte_counting.Traffic()
        pooled_agent = http_agent.make_http_agent(
            reactor, self._pool, self.traffic
        )
        self._http = treq_client.HTTPClient(agent or pooled_agent)
        self._urls: dict[tuple[str, str], hyperlink.EncodedURL] = {}
        self._cache: dict[tuple[str, str], _CachedResponse] = {}

    def get(
        self,
        address: str,
        path: str,
        answer_type: type[_Body],
        timeout_ms: int,
        params: dict[str, str] | None = None,
        *,
        revalidate: bool = False,
        stall_timeout_ms: int = 0,
    ) -> defer.Deferred[_Body]:
        """Sends a GET request.

        Args:
            address: ``ip:port`` of the service.
            path: The path of the resource.
            answer_type: The type of the answer.
            timeout_ms: The time limit of the call.
            params: The query parameters; not sent if `revalidate` is true.
            revalidate: Whether to cache the answer with its ETag and to make
                the next request conditional (RFC 9110, section 13).
            stall_timeout_ms: As for `call`.

        Returns:
            A Deferred that fires with the answer or fails with
            `NoAnswerError`.
        """
        time_limit = self._time_limit(timeout_ms, stall_timeout_ms)
        on_part = time_limit.extend
        request = (
            self._get_revalidated(address, path, answer_type, on_part)
            if revalidate
            else self._request_decoded(
                "GET", address, path, answer_type, on_part, params=params
            )
        )
        return _within(time_limit, request)

    def post(
        self,
        address: str,
        path: str,
        body: msgspec.Struct,
        answer_type: type[_Body],
        timeout_ms: int,
    ) -> defer.Deferred[_Body]:
        """Sends a POST request.

        Args:
            address: ``ip:port`` of the service.
            path: The path of the resource.
            body: The body, which is encoded as MessagePack.
            answer_type: The type of the answer.
            timeout_ms: The time limit of the call.

        Returns:
            A Deferred that fires with the answer or fails with
            `NoAnswerError`.
        """
        data = _BytesProducer(wire_format.encode(body))
        time_limit = self._time_limit(timeout_ms)
        request = self._request_decoded(
            "POST", address, path, answer_type, time_limit.extend, data=data
        )
        return _within(time_limit, request)

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
        stall_timeout_ms: int = 0,
    ) -> defer.Deferred[HttpResponse]:
        """Sends a request and returns the undecoded response.

        Args:
            method: The HTTP method.
            address: ``ip:port`` of the service.
            path: The path of the resource.
            timeout_ms: The time limit of the call.
            query: The encoded query, or empty.
            headers: Headers to add to those that HTTP requires.
            body: The body, or None to send none.
            stall_timeout_ms: If positive, the call may exceed its time limit
                while the response arrives: each part of it extends the limit to
                at least this time from then.

        Returns:
            A Deferred that fires with the response, whatever its status, or
            fails with `NoAnswerError`.
        """
        data = None if body is None else _BytesProducer(body)
        time_limit = self._time_limit(timeout_ms, stall_timeout_ms)
        request = self._request_undecoded(
            method,
            address,
            path,
            time_limit.extend,
            query=query,
            headers=headers or {},
            data=data,
        )
        return _within(time_limit, request)

    async def _request_undecoded(
        self,
        method: str,
        address: str,
        path: str,
        on_part: OnPart,
        *,
        query: str,
        headers: dict[str, str],
        data: _BytesProducer | None,
    ) -> HttpResponse:
        url = self._url(address, path)
        if query:
            url = hyperlink.EncodedURL.from_text(f"{url.to_text()}?{query}")
        response = await self._http.request(
            method,
            url,
            headers=headers,
            data=data,
            allow_redirects=False,
            unbuffered=True,
        )
        start_s = self._reactor.seconds()
        body = await _read_body(response, on_part)
        transfer_s = self._reactor.seconds() - start_s
        return HttpResponse(
            status=response.code,
            body=body,
            transfer_ms=int(transfer_s * _MS_PER_S),
        )

    def close(self) -> defer.Deferred[None]:
        """Closes every idle connection.

        Returns:
            A Deferred that fires once they are closed.
        """
        return self._pool.closeCachedConnections()

    def _url(self, address: str, path: str) -> hyperlink.EncodedURL:
        """Returns the URL of a resource.

        Raises:
            NoAnswerError: The address is malformed, so nothing can be sent.
        """
        url = self._urls.get((address, path))
        if url is None:
            if addresses.parse(address) is None:
                raise NoAnswerError(
                    f"expected an address as ip:port, got {address!r}",
                    code=codes.ResultCode.UNREACHABLE,
                    sent=False,
                )
            if len(self._urls) >= MAX_CACHED_URLS:
                self._urls.clear()
            url = hyperlink.EncodedURL.from_text(f"http://{address}{path}")
            self._urls[address, path] = url
        return url

    async def _request_decoded(
        self,
        method: str,
        address: str,
        path: str,
        answer_type: type[_Body],
        on_part: OnPart,
        **options: object,
    ) -> _Body:
        response = await self._send(method, address, path, **options)
        return await _decode_response(response, answer_type, on_part)

    async def _get_revalidated(
        self,
        address: str,
        path: str,
        answer_type: type[_Body],
        on_part: OnPart,
    ) -> _Body:
        cached = self._cache.get((address, path))
        headers = {"If-None-Match": cached.etag} if cached else {}
        response = await self._send("GET", address, path, headers)
        if cached and response.code == http.NOT_MODIFIED:
            await _read_body(response, on_part)
            return cached.body
        body = await _decode_response(response, answer_type, on_part)
        etags = response.headers.getRawHeaders("ETag", [])
        self._cache.pop((address, path), None)
        if etags:
            self._cache[address, path] = _CachedResponse(
                etag=etags[0], body=body
            )
        return body

    def _send(
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

    def _time_limit(
        self, timeout_ms: int, stall_timeout_ms: int = 0
    ) -> call_time_limit.CallTimeLimit:
        return call_time_limit.CallTimeLimit(
            reactor=self._reactor,
            timeout_ms=timeout_ms,
            stall_timeout_ms=stall_timeout_ms,
            on_timeout=_raise_timed_out,
        )


def _within(
    time_limit: call_time_limit.CallTimeLimit,
    request: typing.Coroutine[defer.Deferred[object], object, _Answer],
) -> defer.Deferred[_Answer]:
    """Returns the answer to a request, which the caller may cancel.

    A cancelled call fails with `CancelledError`, whatever the connection makes
    of it: nothing is known about the service, so it is no missing answer.
    """
    call = time_limit.apply(defer.ensureDeferred(request))
    call.addErrback(_raise_no_answer)
    cancelled = False

    def cancel(answer: defer.Deferred[_Answer]) -> None:
        nonlocal cancelled
        cancelled = True
        call.cancel()

    def deliver(result: object) -> None:
        if not cancelled:
            answer.callback(result)

    answer: defer.Deferred[_Answer] = defer.Deferred(cancel)
    call.addBoth(deliver)
    return answer


async def _decode_response(
    response: iweb.IResponse, answer_type: type[_Body], on_part: OnPart
) -> _Body:
    data = await _read_body(response, on_part)
    if response.code != http.OK:
        raise NoAnswerError(
            f"expected HTTP status 200, got {response.code}",
            code=codes.ResultCode.UNREACHABLE,
            sent=True,
        )
    return wire_format.decode(data, answer_type)


async def _read_body(response: iweb.IResponse, on_part: OnPart) -> bytes:
    chunks: list[bytes] = []
    size = 0

    def collect(chunk: bytes) -> None:
        nonlocal size
        on_part(len(chunk))
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise NoAnswerError(
                f"expected a body of at most {MAX_BODY_BYTES} bytes, got more",
                code=codes.ResultCode.UNREACHABLE,
                sent=True,
            )
        chunks.append(chunk)

    await treq.collect(response, collect)
    return b"".join(chunks)


def _raise_timed_out(
    reason: failure.Failure, elapsed_ms: int, received_bytes: int
) -> typing.NoReturn:
    """Raises `NoAnswerError` for a call that was cancelled at its limit."""
    elapsed_s = elapsed_ms / _MS_PER_S
    message = (
        f"answer incomplete after {elapsed_s} s, got {received_bytes} bytes"
        if received_bytes
        else f"no answer within {elapsed_s} s"
    )
    raise NoAnswerError(
        message,
        code=codes.ResultCode.TIMED_OUT,
        sent=not reason.check(*NOT_SENT),
    ) from reason.value


def _raise_no_answer(reason: failure.Failure) -> typing.NoReturn:
    """Raises `NoAnswerError` for any failure of a call."""
    if reason.check(NoAnswerError):
        reason.raiseException()
    raise NoAnswerError(
        reason.getErrorMessage(),
        code=codes.ResultCode.UNREACHABLE,
        sent=not reason.check(*NOT_SENT),
    ) from reason.value
