"""Keeps the VM in the owners' group and tells when it is the candidate."""

from collections.abc import Callable

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from citronmount.core import errors
from citronmount.fleet_service import ports

__all__ = ["Candidacy"]

TTL_MS = 1_500
JOIN_PERIOD_MS = 400
JOIN_TIMEOUT_MS = 400

_MS_PER_S = 1_000


class Candidacy:
    """Joins the group in a loop.

    Attributes:
        owner: Whether the group named this VM when it last answered.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        on_change: Callable[[bool], None],
    ) -> None:
        """Initializes a candidacy that is not in the group.

        Args:
            clock: The reactor.
            log: The log.
            on_change: Called when the VM becomes or ceases to be candidate.
        """
        self.owner = False
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._generation = 0
        self._loop = task.LoopingCall(self._join)
        self._loop.clock = clock
        self._trace = structlog.get_logger()

    def start(self) -> None:
        """Joins the group."""
        self._loop.start(JOIN_PERIOD_MS / _MS_PER_S)

    async def stop(self) -> None:
        """Leaves the group, so that another VM becomes candidate at once."""
        if not self._loop.running:
            return
        self._loop.stop()
        try:
            await self._log.leave(JOIN_TIMEOUT_MS)
        except errors.UnreachableError as error:
            self._trace.warning("group_leave_failed", error=str(error))

    def _join(self) -> defer.Deferred[None]:
        return defer.ensureDeferred(self._join_once())

    async def _join_once(self) -> None:
        try:
            membership = await self._log.join(
                self._generation, TTL_MS, JOIN_TIMEOUT_MS
            )
        except errors.UnreachableError as error:
            self._trace.debug("group_join_failed", error=str(error))
            return
        self._generation = membership.generation
        if membership.owner != self.owner:
            self.owner = membership.owner
            self._trace.info(
                "candidate" if self.owner else "not_candidate",
                generation=membership.generation,
            )
            self._on_change(self.owner)
