"""Keeps the VM in the owners' group and tells when it is the candidate."""

from collections.abc import Awaitable
from collections.abc import Callable
import random

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from citronmount.core import errors
from citronmount.fleet_service import log_health
from citronmount.fleet_service import ports

__all__ = ["OwnerElection"]

TTL_MS = 1_100
JOIN_PERIOD_MS = 300
JOIN_TIMEOUT_MS = 600
YIELD_MS = 1_000
ENOUGH_MEMBERS = 5
LOOK_PERIOD_S = 1.5
FIRST_LOOK_SPREAD_S = 0.6
LESS_CAPABLE_DELAY_S = 1.5

_MS_PER_S = 1_000


class OwnerElection:
    """Joins the group in a loop, if it has too few members.

    The group names the next owner: the member that is dealt the partition of
    the jobs. It takes over once the present owner has left the group or has
    not joined for the time to live.

    Attributes:
        candidate: Whether this VM should own the pool.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        health: log_health.LogHealth,
        owns: Callable[[], bool],
        owner_member: Callable[[], str | None],
        refresh: Callable[[], Awaitable[None]],
        on_change: Callable[[bool], None],
        capable: bool = True,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        """Initializes a candidacy that is not in the group.

        Args:
            clock: The reactor.
            log: The log.
            health: Notes whether the log answers.
            owns: Tells whether this VM decides for the pool at present.
            owner_member: Tells the member that took the pool over last, as
                far as is known here.
            refresh: Learns what is new of that.
            on_change: Called when the VM becomes or ceases to be candidate.
            capable: Whether the VM has the processor time to own a pool; one
                that has not joins only a group without members.
            jitter: Spreads the first looks of VMs that start together; a
                share of a second.
        """
        self.candidate = False
        self._clock = clock
        self._log = log
        self._health = health
        self._yielded_until_s = 0.0
        self._owns = owns
        self._owner_member = owner_member
        self._refresh = refresh
        self._on_change = on_change
        self._capable = capable
        self._jitter = jitter
        self._generation = 0
        self._in_group = False
        self._next_look_s = 0.0
        self._turns = defer.DeferredLock()
        self._loop = task.LoopingCall(self._turn)
        self._loop.clock = clock
        self._trace = structlog.get_logger()

    def start(self) -> None:
        """Starts to look at the group."""
        delay_s = self._jitter() * FIRST_LOOK_SPREAD_S
        if not self._capable:
            delay_s += LESS_CAPABLE_DELAY_S
        self._next_look_s = self._clock.seconds() + delay_s
        self._loop.start(JOIN_PERIOD_MS / _MS_PER_S)

    def yield_ownership(self) -> None:
        """Leaves the pool to a newer owner, of which a fence has told.

        The record that names it is folded before this VM looks again.
        """
        self.candidate = False
        self._yielded_until_s = self._clock.seconds() + YIELD_MS / _MS_PER_S

    async def stop(self) -> None:
        """Leaves the group, so that another VM becomes candidate at once.

        A join that is on its way would put this VM back into the group if it
        arrived after the call to leave, so its answer is awaited first.
        """
        if not self._loop.running:
            return
        self._loop.stop()
        await self._turns.acquire()
        try:
            if self._in_group:
                await self._leave()
        finally:
            self._turns.release()

    async def _leave(self) -> None:
        self._in_group = False
        try:
            await self._log.leave(JOIN_TIMEOUT_MS)
        except errors.UnreachableError as error:
            self._trace.warning("group_leave_failed", error=str(error))

    def _turn(self) -> defer.Deferred[None]:
        return self._turns.run(lambda: defer.ensureDeferred(self._take_turn()))

    async def _take_turn(self) -> None:
        try:
            if self._in_group or await self._is_wanted():
                self._in_group = True
                await self._join()
        except errors.CitronmountError as error:
            self._health.record_failure()
            self._trace.debug("group_call_failed", error=str(error))

    async def _is_wanted(self) -> bool:
        """Returns whether the group has too few members.

        The log deals a fixed number of partitions, and a member that is dealt
        none is not seen by the others; so only a few VMs are members.
        """
        if self._clock.seconds() < self._next_look_s:
            return False
        self._next_look_s = self._clock.seconds() + LOOK_PERIOD_S
        members = await self._log.members(JOIN_TIMEOUT_MS)
        self._health.record_answer()
        return len(members) < (ENOUGH_MEMBERS if self._capable else 1)

    async def _join(self) -> None:
        membership = await self._log.join(
            self._generation, TTL_MS, JOIN_TIMEOUT_MS
        )
        self._health.record_answer()
        candidate = await self._should_own(membership)
        self._generation = membership.generation
        if not self._loop.running:
            return
        if not membership.dealt and not candidate:
            await self._leave()
        if candidate != self.candidate:
            self.candidate = candidate
            self._trace.info(
                "candidate" if candidate else "not_candidate",
                generation=membership.generation,
            )
            self._on_change(candidate)

    async def _should_own(self, membership: ports.Membership) -> bool:
        """Returns whether this VM should own the pool.

        An owner stays as long as it is in the group, whatever it was dealt:
        a change of owner costs a take-over and saves nothing.
        """
        if self._clock.seconds() < self._yielded_until_s:
            return False
        member = self._log.member
        if self._owns() and self._owner_member() == member:
            return True
        if not membership.candidate and self._owner_member() != member:
            return False
        await self._refresh()
        owner = self._owner_member()
        if owner == member:
            return True
        return owner not in await self._log.members(JOIN_TIMEOUT_MS)
