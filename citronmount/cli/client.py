"""Typed calls of the HTTP API with fail-over between servers."""

from collections.abc import Iterable
import typing

import msgspec

from citronmount.cli import calls
from citronmount.config import configuration as configuration_lib
from citronmount.core import codes
from citronmount.core import errors
from citronmount.service import bodies

__all__ = ["Client", "RefusedError"]

RETRY_PAUSE_MS = 1_000

_ELSEWHERE = frozenset(
    {
        codes.ResultCode.NO_CONFIGURATION,
        codes.ResultCode.DRAINING,
        codes.ResultCode.REBUILDING,
    }
)
_T = typing.TypeVar("_T")


class RefusedError(errors.CitronmountError):
    """A call that a server refused.

    Attributes:
        refusal: The body of the answer.
    """

    def __init__(self, refusal: bodies.ResultBody) -> None:
        """Initializes the error.

        Args:
            refusal: The body of the answer.
        """
        super().__init__(
            f"{refusal.name} ({refusal.code}): {refusal.detail}",
            code=codes.ResultCode(refusal.code),
        )
        self.refusal = refusal


class _Sender(typing.Protocol):
    """What a client needs of a transport."""

    async def send(self, server: str, call: calls.Call) -> calls.Reply:
        """Sends a call to one server."""

    async def sleep(self, pause_ms: int) -> None:
        """Waits."""


class Client:
    """Calls one of several equal servers.

    A call goes to the next server if it cannot have taken effect: the
    connection was not opened, or the server refused it because of its own
    state. After a connection broke, only idempotent calls do.
    """

    def __init__(self, *, servers: Iterable[str], transport: _Sender) -> None:
        """Initializes the client.

        Args:
            servers: ``ip:port`` of each, in order of preference.
            transport: Carries the calls.
        """
        self.servers = tuple(servers)
        self._transport = transport

    async def call(self, call: calls.Call, kind: type[_T]) -> _T:
        """Calls the first server that can serve it.

        Args:
            call: The call.
            kind: The type of a good answer.

        Returns:
            The answer.

        Raises:
            RefusedError: If a server refused the call.
            ExceptionGroup: Of `NoAnswerError`, if no server answered.
        """
        failures: list[calls.NoAnswerError] = []
        refused: RefusedError | None = None
        for server in self.servers:
            try:
                return await self.call_server(server, call, kind)
            except calls.NoAnswerError as failure:
                failures.append(failure)
                if failure.sent and not call.idempotent:
                    break
            except RefusedError as failure:
                if failure.code not in _ELSEWHERE:
                    raise
                refused = failure
        if refused is not None:
            raise refused
        raise ExceptionGroup("no server answered", failures)

    async def call_patiently(
        self, call: calls.Call, kind: type[_T], patience_ms: int
    ) -> _T:
        """Calls again after refusals and failures that may pass.

        Args:
            call: The call.
            kind: The type of a good answer.
            patience_ms: The pauses that may be made in all.

        Returns:
            The answer.

        Raises:
            RefusedError: If the refusal is final or the patience is at its
                end.
            ExceptionGroup: Of `NoAnswerError`, if the call is not idempotent
                or the patience is at its end.
        """
        while True:
            try:
                return await self.call(call, kind)
            except RefusedError as failure:
                if patience_ms <= 0 or not codes.info(failure.code).retry:
                    raise
                pause_ms = failure.refusal.retry_after_ms or RETRY_PAUSE_MS
            except ExceptionGroup:
                if patience_ms <= 0 or not call.idempotent:
                    raise
                pause_ms = RETRY_PAUSE_MS
            pause_ms = min(pause_ms, patience_ms)
            patience_ms -= pause_ms
            await self._transport.sleep(pause_ms)

    async def call_server(
        self, server: str, call: calls.Call, kind: type[_T]
    ) -> _T:
        """Calls one server.

        Args:
            server: ``ip:port``.
            call: The call.
            kind: The type of a good answer.

        Returns:
            The answer.

        Raises:
            RefusedError: If the server refused the call.
            NoAnswerError: If it gave no answer that can be read.
        """
        reply = await self._transport.send(server, call)
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.DecodeError:
            raise _refusal(reply) from None

    async def configuration(self) -> bodies.ConfigurationBody:
        """Returns the configuration in force.

        Returns:
            The configuration; version 0 is empty.

        Raises:
            RefusedError: If no server has a configuration.
            ExceptionGroup: If no server answered.
        """
        call = calls.Call(method="GET", path=("v1", "configuration"))
        return await self.call(call, bodies.ConfigurationBody)

    async def in_force(
        self, content: configuration_lib.Configuration
    ) -> bodies.ConfigurationBody | None:
        """Tells whether a content is the configuration in force.

        Args:
            content: The content; its version is ignored.

        Returns:
            The configuration in force if it has the same content.
        """
        found = await self.configuration()
        same = msgspec.structs.replace(content, version=found.version)
        return found if found.content == same else None


def _refusal(reply: calls.Reply) -> Exception:
    try:
        return RefusedError(
            msgspec.json.decode(reply.body, type=bodies.ResultBody)
        )
    except (msgspec.DecodeError, ValueError):
        message = f"{reply.server}: HTTP status {reply.status}, not readable"
        return calls.NoAnswerError(message, sent=True)
