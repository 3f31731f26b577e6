"""Responses that a test delivers in parts or never, without sockets."""

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import client as web_client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer


class SlowResponse:
    """A response whose body the test delivers in parts."""

    code = 200
    length = 1_000
    headers = http_headers.Headers()
    request = None
    previousResponse = None  # noqa: N815

    def __init__(self) -> None:
        self.reader: interfaces.IProtocol | None = None

    def deliverBody(self, reader: interfaces.IProtocol) -> None:  # noqa: N802
        self.reader = reader

    def finish(self) -> None:
        self.reader.connectionLost(failure.Failure(web_client.ResponseDone()))


@implementer(iweb.IAgent)
class OneResponseAgent:
    def __init__(self, response: SlowResponse) -> None:
        self.response = response

    def request(self, *args: object) -> defer.Deferred[SlowResponse]:
        del args
        return defer.succeed(self.response)


@implementer(iweb.IAgent)
class SilentAgent:
    """Never answers; reports a cancelled request as Twisted's agent does."""

    def __init__(self) -> None:
        self.cancelled = False

    def request(self, *args: object) -> defer.Deferred[SlowResponse]:
        del args
        return defer.Deferred(self._cancel)

    def _cancel(self, request: defer.Deferred[SlowResponse]) -> None:
        self.cancelled = True
        reason = failure.Failure(defer.CancelledError())
        request.errback(web_client.ResponseNeverReceived([reason]))
