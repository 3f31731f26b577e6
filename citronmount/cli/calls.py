"""Calls of the HTTP API and their answers, as the command line has them."""

import msgspec

from citronmount.core import codes
from citronmount.core import errors

__all__ = ["Call", "NoAnswerError", "Reply"]


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One call of the HTTP API.

    Attributes:
        method: The HTTP method.
        path: The path, whose segments are not yet percent-encoded.
        query: The query.
        body: The body.
        idempotent: Whether it may be sent to a second server.
        timeout_ms: How long to wait for the answer.
    """

    method: str
    path: tuple[str, ...]
    query: dict[str, str] = {}
    body: bytes = b""
    idempotent: bool = True
    timeout_ms: int = 10_000


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of a server.

    Attributes:
        server: The server that answered.
        status: The HTTP status.
        body: The body.
    """

    server: str
    status: int
    body: bytes


class NoAnswerError(errors.UnreachableError):
    """A server that gave no answer.

    Attributes:
        sent: Whether any byte of the call may have reached it.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Initializes the error.

        Args:
            message: What went wrong.
            sent: Whether any byte of the call may have reached the server.
        """
        code = (
            codes.ResultCode.TIMED_OUT if sent else codes.ResultCode.UNREACHABLE
        )
        super().__init__(message, code=code)
        self.sent = sent
