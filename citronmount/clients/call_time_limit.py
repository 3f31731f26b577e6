"""Time limit of a call that the parts of its response may extend."""

from collections.abc import Callable
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure

__all__ = ["STALL_TIMEOUT_MS", "CallTimeLimit"]

MAX_TRANSFER_S = 20
STALL_TIMEOUT_MS = 600

_MS_PER_S = 1_000
_Body = typing.TypeVar("_Body")
OnTimeout = Callable[[failure.Failure, int, int], typing.NoReturn]


class CallTimeLimit:
    """Time limit of one call, which the parts of its response may extend.

    A link may be too slow to carry a large response within a limit that is
    right for detecting a peer that does not answer.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        timeout_ms: int,
        on_timeout: OnTimeout,
        stall_timeout_ms: int = 0,
    ) -> None:
        """Initializes the limit of a call that starts now.

        Args:
            reactor: The reactor for the timeout.
            timeout_ms: The time limit of the call.
            on_timeout: Raises the error of a call that was cancelled at its
                limit, from the failure of the cancelled call, its duration in
                milliseconds and the received size of the response in bytes.
            stall_timeout_ms: By how much a part of the response extends the
                limit from its arrival on, or 0 for not at all.
        """
        self._on_timeout = on_timeout
        self._reactor = reactor
        self._timeout_ms = timeout_ms
        self._stall_timeout_s = stall_timeout_ms / _MS_PER_S
        self._start_s = reactor.seconds()
        self._received_bytes = 0
        self._expiry: interfaces.IDelayedCall | None = None
        self._expired = False

    def apply(self, answer: defer.Deferred[_Body]) -> defer.Deferred[_Body]:
        """Cancels a call at the limit and replaces its result by an error."""

        def expire() -> None:
            self._expired = True
            answer.cancel()

        def finish(result: object) -> object:
            if self._expiry.active():
                self._expiry.cancel()
            if self._expired and isinstance(result, failure.Failure):
                elapsed_s = self._reactor.seconds() - self._start_s
                self._on_timeout(
                    result, int(elapsed_s * _MS_PER_S), self._received_bytes
                )
            return result

        timeout_s = self._timeout_ms / _MS_PER_S
        self._expiry = self._reactor.callLater(timeout_s, expire)
        return answer.addBoth(finish)

    def extend(self, size_bytes: int) -> None:
        """Extends the limit because a part of the response has arrived.

        Args:
            size_bytes: The size of the part.
        """
        self._received_bytes += size_bytes
        if self._expiry is None or not self._expiry.active():
            return
        end_s = self._reactor.seconds() + self._stall_timeout_s
        end_s = min(end_s, self._start_s + MAX_TRANSFER_S)
        if end_s > self._expiry.getTime():
            self._expiry.reset(end_s - self._reactor.seconds())
