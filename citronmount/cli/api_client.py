"""Typed calls of the HTTP API with failover between servers."""

from collections.abc import Iterable
import typing

import msgspec

from citronmount.cli import calls
from citronmount.config import configuration as configuration_lib
from citronmount.core import codes
from citronmount.core import errors
from citronmount.service import bodies

__all__ = ["Client", "RefusedError"]

DEFAULT_RETRY_PAUSE_MS = 1_000

_FAILOVER_CODES = frozenset(
    {
        codes.ResultCode.NO_CONFIGURATION,
        codes.ResultCode.DRAINING,
        codes.ResultCode.REBUILDING,
    }
)
_T = typing.TypeVar("_T")


class RefusedError(errors.CitronmountError):
    """Raised when a server refused a call.

    Attributes:
        result: The body of the reply.
    """

    def __init__(self, result: bodies.ResultBody) -> None:
        """Initializes the error.

        Args:
            result: The body of the reply.
        """
        super().__init__(
            f"{result.name} ({result.code}): {result.detail}",
            code=codes.ResultCode(result.code),
        )
        self.result = result


class _Transport(typing.Protocol):
    """Interface of the transport that a client requires."""

    async def send(self, server: str, call: calls.Call) -> calls.Reply:
        """Sends a call to one server and returns its reply."""

    async def sleep(self, pause_ms: int) -> None:
        """Waits `pause_ms` milliseconds without blocking the reactor."""


class Client:
    """Calls one of several equivalent servers.

    A call fails over to the next server if it cannot have taken effect: the
    connection was not opened, or the server refused the call because of its
    own state. If the call may have been received but no reply came, only
    idempotent calls fail over.
    """

    def __init__(
        self, *, servers: Iterable[str], transport: _Transport
    ) -> None:
        """Initializes the client.

        Args:
            servers: ``ip:port`` of each server, in order of preference.
            transport: Sends the calls.
        """
        self.servers = tuple(servers)
        self._transport = transport

    async def call(self, call: calls.Call, result_type: type[_T]) -> _T:
        """Calls the servers in order until one serves the call.

        Args:
            call: The call.
            result_type: Type of the body of a successful reply.

        Returns:
            The decoded body.

        Raises:
            RefusedError: If a server refused the call and no other served it.
                Raised also if a further server gave no reply.
            ExceptionGroup: Of `calls.NoAnswerError`, if no server refused the
                call, and none replied or the call is not idempotent and may
                have been received.
        """
        failures: list[calls.NoAnswerError] = []
        last_refusal: RefusedError | None = None
        for server in self.servers:
            try:
                return await self.call_server(server, call, result_type)
            except calls.NoAnswerError as failure:
                failures.append(failure)
                if failure.sent and not call.idempotent:
                    break
            except RefusedError as failure:
                if failure.code not in _FAILOVER_CODES:
                    raise
                last_refusal = failure
        if last_refusal is not None:
            raise last_refusal
        raise ExceptionGroup("no server answered", failures)

    async def call_with_retries(
        self, call: calls.Call, result_type: type[_T], pause_budget_ms: int
    ) -> _T:
        """Calls with retries after refusals and failures that may be temporary.

        Args:
            call: The call.
            result_type: Type of the body of a successful reply.
            pause_budget_ms: Maximum sum of the pauses before retries.

        Returns:
            The decoded body.

        Raises:
            RefusedError: If the result code allows no retry or the budget is
                used up.
            ExceptionGroup: Of `calls.NoAnswerError`, if the call is not
                idempotent or the budget is used up.
        """
        while True:
            try:
                return await self.call(call, result_type)
            except RefusedError as failure:
                if pause_budget_ms <= 0 or not codes.info(failure.code).retry:
                    raise
                pause_ms = (
                    failure.result.retry_after_ms or DEFAULT_RETRY_PAUSE_MS
                )
            except ExceptionGroup:
                if pause_budget_ms <= 0 or not call.idempotent:
                    raise
                pause_ms = DEFAULT_RETRY_PAUSE_MS
            pause_ms = min(pause_ms, pause_budget_ms)
            pause_budget_ms -= pause_ms
            await self._transport.sleep(pause_ms)

    async def call_server(
        self, server: str, call: calls.Call, result_type: type[_T]
    ) -> _T:
        """Calls one server.

        Args:
            server: ``ip:port``.
            call: The call.
            result_type: Type of the body of a successful reply.

        Returns:
            The decoded body.

        Raises:
            RefusedError: If the server refused the call.
            calls.NoAnswerError: If it gave no readable reply.
        """
        reply = await self._transport.send(server, call)
        try:
            return msgspec.json.decode(reply.body, type=result_type)
        except msgspec.DecodeError:
            raise _error_from_reply(reply) from None

    async def configuration(self) -> bodies.ConfigurationBody:
        """Returns the configuration in force.

        Returns:
            The configuration and its version; version 0 is empty.

        Raises:
            RefusedError: If no server has a configuration.
            ExceptionGroup: Of `calls.NoAnswerError`, if no server replied.
        """
        call = calls.Call(method="GET", path=("v1", "configuration"))
        return await self.call(call, bodies.ConfigurationBody)

    async def find_in_force(
        self, content: configuration_lib.Configuration
    ) -> bodies.ConfigurationBody | None:
        """Returns the configuration in force if it has the given content.

        Args:
            content: The content to compare; its version is ignored.

        Returns:
            The configuration in force, or None if its content differs.
        """
        in_force = await self.configuration()
        expected = msgspec.structs.replace(content, version=in_force.version)
        return in_force if in_force.content == expected else None


def _error_from_reply(reply: calls.Reply) -> Exception:
    try:
        return RefusedError(
            msgspec.json.decode(reply.body, type=bodies.ResultBody)
        )
    except (msgspec.DecodeError, ValueError):
        message = (
            f"{reply.server}: unreadable reply, HTTP status {reply.status}"
        )
        return calls.NoAnswerError(message, sent=True)
