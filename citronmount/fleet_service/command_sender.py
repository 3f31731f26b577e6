"""Sends the commands of a pool's owner and passes on the workers' answers."""

from collections.abc import Awaitable
from collections.abc import Callable
import typing

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure

from citronmount.fleet import commands
from citronmount.fleet import pool_owner
from citronmount.fleet_service import ports

__all__ = ["CommandSender"]

# For the first attempt to start a run and for all later ones.
START_TIMEOUTS_MS = (200, 400)
# A worker answers a stop before the task has ended. A repeated stop has no
# effect, so a lost one is sent again early.
STOP_TIMEOUT_MS = 300
RENEWAL_TIMEOUT_MARGIN_MS = 600
ADVICE_TIMEOUT_MS = 3_000

_MS_PER_S = 1_000

_Answer = typing.TypeVar("_Answer")


class CommandSender:
    """Sends commands to workers, each independently of the others."""

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        worker_commands: ports.WorkerCommands,
        on_answer: Callable[[], None],
        on_fault: Callable[[pool_owner.PoolOwner, failure.Failure], None],
    ) -> None:
        """Initializes a sender.

        Args:
            clock: The reactor.
            worker_commands: Sends commands to the workers.
            on_answer: Called after an owner has handled an answer.
            on_fault: Called with the owner and the error if the owner failed
                to handle an answer.
        """
        self._clock = clock
        self._worker_commands = worker_commands
        self._on_answer = on_answer
        self._on_fault = on_fault
        self._logger = structlog.get_logger()

    def send(
        self, owner: pool_owner.PoolOwner, command: commands.Command
    ) -> None:
        """Sends a command and passes the answer on to the owner."""
        match command:
            case commands.Start():
                call = self._start(owner, command)
            case commands.Stop():
                call = self._stop(owner, command)
            case commands.RenewLeases():
                call = self._renew_leases(owner, command)
            case commands.RequestAdvice():
                call = self._request_advice(owner, command)
        defer.ensureDeferred(call).addCallbacks(
            lambda _: self._on_answer(),
            lambda reason: self._on_fault(owner, reason),
        )

    async def _answer_of(
        self,
        command: commands.Command,
        call: Callable[[], Awaitable[_Answer]],
        no_answer: _Answer,
    ) -> _Answer:
        """Returns the answer to a command; an error counts as no answer.

        A command that cannot be sent or whose answer cannot be read says
        nothing about the owner's state, which stays valid.
        """
        try:
            return await call()
        except Exception:
            self._logger.exception(
                "command_failed", command=type(command).__name__
            )
            return no_answer

    async def _start(
        self, owner: pool_owner.PoolOwner, command: commands.Start
    ) -> None:
        attempt = min(command.attempt, len(START_TIMEOUTS_MS))
        timeout_ms = START_TIMEOUTS_MS[attempt - 1]
        outcome, clock_ms = await self._answer_of(
            command,
            lambda: self._worker_commands.start(command, timeout_ms),
            (commands.StartOutcome.UNKNOWN, None),
        )
        owner.reports.start_answered(command, outcome, clock_ms, self._now_ms())

    async def _stop(
        self, owner: pool_owner.PoolOwner, command: commands.Stop
    ) -> None:
        outcome, clock_ms = await self._answer_of(
            command,
            lambda: self._worker_commands.stop(command, STOP_TIMEOUT_MS),
            (commands.StopOutcome.UNKNOWN, None),
        )
        owner.reports.stop_answered(command, outcome, clock_ms, self._now_ms())

    async def _request_advice(
        self, owner: pool_owner.PoolOwner, command: commands.RequestAdvice
    ) -> None:
        answer = await self._answer_of(
            command,
            lambda: self._worker_commands.request_advice(
                command, ADVICE_TIMEOUT_MS
            ),
            None,
        )
        owner.reports.advice_answered(command, answer, self._now_ms())

    async def _renew_leases(
        self, owner: pool_owner.PoolOwner, command: commands.RenewLeases
    ) -> None:
        timeout_ms = command.wait_ms + RENEWAL_TIMEOUT_MARGIN_MS
        answer = await self._answer_of(
            command,
            lambda: self._worker_commands.renew_leases(command, timeout_ms),
            commands.StopOutcome.UNKNOWN,
        )
        if isinstance(answer, commands.LeaseReport):
            owner.reports.renewal_answered(command, answer, self._now_ms())
        else:
            fenced = answer is commands.StopOutcome.FENCED
            owner.reports.renewal_failed(command, fenced, self._now_ms())

    def _now_ms(self) -> int:
        return int(self._clock.seconds() * _MS_PER_S)
