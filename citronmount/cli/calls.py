"""HTTP API calls and replies, independent of the HTTP library."""

import msgspec

from citronmount.core import codes
from citronmount.core import errors

__all__ = ["Call", "NoAnswerError", "Reply"]


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One call of the HTTP API.

    Attributes:
        method: The HTTP method.
        path: Path segments, not yet percent-encoded.
        query: Query parameters, not yet percent-encoded.
        body: The request body.
        idempotent: Whether the call may be sent to another server if its
            outcome on the first one is unknown.
        timeout_ms: Time limit of the call, including connecting.
    """

    method: str
    path: tuple[str, ...]
    query: dict[str, str] = {}
    body: bytes = b""
    idempotent: bool = True
    timeout_ms: int = 10_000


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """The reply of a server.

    Attributes:
        server: The server that replied.
        status: The HTTP status.
        body: The response body.
    """

    server: str
    status: int
    body: bytes


class NoAnswerError(errors.UnreachableError):
    """Raised when a server gave no readable reply.

    Attributes:
        sent: Whether any byte of the call may have reached the server.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Initializes the error.

        Args:
            message: The server and the cause.
            sent: Whether any byte of the call may have reached the server.
        """
        code = (
            codes.ResultCode.TIMED_OUT if sent else codes.ResultCode.UNREACHABLE
        )
        super().__init__(message, code=code)
        self.sent = sent
