"""Leader election: decides whether this VM should own the pool."""

from collections.abc import Awaitable
from collections.abc import Callable
import random

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure

from citronmount.core import errors
from citronmount.fleet_service import concurrent_calls
from citronmount.fleet_service import log_health
from citronmount.fleet_service import ports

__all__ = ["OwnerElection"]

MEMBER_TTL_MS = 1_100
# A member learns by a call to the group that it is the next owner, so the other
# members call it more often than the owner, which only renews its membership.
JOIN_PERIOD_MS = 100
OWNER_JOIN_PERIOD_MS = 300
OWNER_CHECK_PERIOD_S = 0.3
JOIN_TIMEOUT_MS = 600
YIELD_DURATION_MS = 1_000
GIVE_WAY_DURATION_S = 5.0
TARGET_MEMBERS = 5
MEMBER_CHECK_PERIOD_S = 1.5
FIRST_CHECK_JITTER_S = 0.6
SMALL_VM_DELAY_S = 1.5
# The log assigns partitions to a new member only after the present holders have
# joined again, or their membership has ended.
UNASSIGNED_LIMIT_S = 1.5
# The members join again within this time after the log has reassigned all
# partitions, in which the group looks empty.
EMPTY_GROUP_CHECK_S = 0.9

_MS_PER_S = 1_000


class OwnerElection:
    """Joins the owners' group if it has too few members, and stays in it.

    The log assigns the partition of the job topic to one member of the group,
    which is the next owner. It takes over once the current owner has left the
    group or has not renewed its membership for `MEMBER_TTL_MS`. A member
    without a partition for `UNASSIGNED_LIMIT_S` leaves the group unless it is
    the candidate.

    Attributes:
        candidate: Whether this VM should own the pool.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        health: log_health.LogHealth,
        owns_pool: Callable[[], bool],
        raises_epoch: Callable[[], bool],
        owner_member: Callable[[], str | None],
        refresh_owner: Callable[[], Awaitable[None]],
        on_change: Callable[[bool], None],
        sized_for_ownership: bool = True,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        """Initializes an election that this VM has not joined.

        Args:
            clock: The reactor.
            log: The log.
            health: The health of the log, which this class updates.
            owns_pool: Returns whether this VM currently owns the pool.
            raises_epoch: Returns whether a takeover by this VM is under way.
            owner_member: Returns the member that took over the pool last, as
                far as is known here.
            refresh_owner: Reads the log to its end, which updates the answer
                of `owner_member`.
            on_change: Called with the new value of `candidate` when the
                election changes it.
            sized_for_ownership: Whether the VM has enough processor time to
                own a pool. Smaller VMs join only a group without members.
            jitter: Returns a random number from 0 to 1, which spreads the first
                checks of VMs that start together.
        """
        self.candidate = False
        self._clock = clock
        self._log = log
        self._health = health
        self._yielded_until_s = 0.0
        self._gives_way_until_s = 0.0
        self._owns_pool = owns_pool
        self._raises_epoch = raises_epoch
        self._owner_member = owner_member
        self._refresh_owner = refresh_owner
        self._on_change = on_change
        self._sized_for_ownership = sized_for_ownership
        self._jitter = jitter
        self._generation = 0
        self._joined = False
        self._unassigned_since_s: float | None = None
        self._next_check_s = 0.0
        self._next_renewal_s = 0.0
        self._next_owner_check_s = 0.0
        self._checked_generation = -1
        self._group_was_empty = False
        self._membership_lock = defer.DeferredLock()
        self._loop = task.LoopingCall(self._run_update)
        self._loop.clock = clock
        self._logger = structlog.get_logger()

    def start(self) -> None:
        """Starts to check the group periodically."""
        delay_s = self._jitter() * FIRST_CHECK_JITTER_S
        if not self._sized_for_ownership:
            delay_s += SMALL_VM_DELAY_S
        self._next_check_s = self._clock.seconds() + delay_s
        self._loop.start(JOIN_PERIOD_MS / _MS_PER_S)

    def yield_ownership(self) -> None:
        """Prevents this VM from being candidate for `YIELD_DURATION_MS`.

        Called after this VM has stepped down. If a newer owner has fenced it,
        the record that names this owner has been folded by the end of that
        time.
        """
        self.candidate = False
        self._yielded_until_s = (
            self._clock.seconds() + YIELD_DURATION_MS / _MS_PER_S
        )

    def give_way(self) -> None:
        """Leaves the group, so that another VM becomes candidate.

        Called after this VM has failed as owner or to take over, which the next
        one may not. Until `GIVE_WAY_DURATION_S` have passed, this VM joins only
        a group without members.
        """
        self.yield_ownership()
        now_s = self._clock.seconds()
        self._gives_way_until_s = now_s + GIVE_WAY_DURATION_S
        self._next_check_s = now_s + EMPTY_GROUP_CHECK_S
        leave = self._membership_lock.run(
            lambda: defer.ensureDeferred(self._leave_if_joined())
        )
        leave.addErrback(self._on_leave_failure)

    async def _leave_if_joined(self) -> None:
        if self._joined:
            await self._leave()

    def _on_leave_failure(self, reason: failure.Failure) -> None:
        self._logger.error("group_leave_failed", error=reason.getTraceback())

    async def stop(self) -> None:
        """Leaves the group, so that another VM becomes candidate at once.

        A join in flight would put this VM back into the group if it reached
        the log after the call to leave, so its answer is awaited first.
        """
        if not self._loop.running:
            return
        self._loop.stop()
        await self._membership_lock.acquire()
        try:
            await self._leave_if_joined()
        finally:
            self._membership_lock.release()

    async def _leave(self) -> None:
        self._joined = False
        self._unassigned_since_s = None
        try:
            await self._log.leave(JOIN_TIMEOUT_MS)
        except Exception as error:
            self._logger.warning("group_leave_failed", error=str(error))

    def _run_update(self) -> defer.Deferred[None]:
        return self._membership_lock.run(
            lambda: defer.ensureDeferred(self._update_membership())
        )

    async def _update_membership(self) -> None:
        """Renews the membership; an error does not end the periodic calls."""
        now_s = self._clock.seconds()
        if self._owns_pool() and now_s < self._next_renewal_s:
            return
        self._next_renewal_s = now_s + OWNER_JOIN_PERIOD_MS / _MS_PER_S
        try:
            if self._joined or await self._group_needs_member():
                self._joined = True
                await self._join()
        except errors.CitronmountError as error:
            self._health.record_failure()
            self._logger.debug("group_call_failed", error=str(error))
        except Exception:
            self._health.record_failure()
            self._logger.exception("group_call_failed")

    async def _group_needs_member(self) -> bool:
        """Returns whether the group has too few members.

        Asks the log at most every `MEMBER_CHECK_PERIOD_S`; in between, the
        answer is False.

        The log assigns a fixed number of partitions, and a member without a
        partition is invisible to the others; so only a few VMs are members. A
        small VM joins only if two checks in succession find no member.
        """
        if self._clock.seconds() < self._next_check_s:
            return False
        self._next_check_s = self._clock.seconds() + MEMBER_CHECK_PERIOD_S
        members = await self._log.members(JOIN_TIMEOUT_MS)
        self._health.record_answer()
        if self._clock.seconds() < self._gives_way_until_s and members:
            return False
        if self._sized_for_ownership:
            return len(members) < TARGET_MEMBERS
        was_empty, self._group_was_empty = self._group_was_empty, not members
        if self._group_was_empty and not was_empty:
            self._next_check_s = self._clock.seconds() + EMPTY_GROUP_CHECK_S
        return was_empty and self._group_was_empty

    async def _join(self) -> None:
        membership = await self._log.join(
            self._generation, MEMBER_TTL_MS, JOIN_TIMEOUT_MS
        )
        self._health.record_answer()
        candidate = await self._should_own(membership)
        self._generation = membership.generation
        if not self._loop.running:
            return
        if membership.dealt or candidate:
            self._unassigned_since_s = None
        elif self._is_superfluous():
            await self._leave()
        if candidate != self.candidate:
            self.candidate = candidate
            self._logger.info(
                "candidate" if candidate else "not_candidate",
                generation=membership.generation,
            )
            self._on_change(candidate)

    def _is_superfluous(self) -> bool:
        """Returns whether the log assigns this member nothing for long.

        The first call after an assignment begins the time.
        """
        now_s = self._clock.seconds()
        if self._unassigned_since_s is None:
            self._unassigned_since_s = now_s
        return now_s - self._unassigned_since_s >= UNASSIGNED_LIMIT_S

    async def _should_own(self, membership: ports.Membership) -> bool:
        """Returns whether this VM should own the pool.

        An owner remains owner while it is in the group, even if the partition
        is assigned to another member: a change of owner costs a takeover and
        gains nothing. So does a VM whose takeover is under way, because it may
        have fenced the former owner.
        """
        if self._clock.seconds() < self._yielded_until_s:
            return False
        member = self._log.member
        if self._owns_pool() and self._owner_member() == member:
            return True
        if self._raises_epoch():
            return True
        if not membership.candidate and self._owner_member() != member:
            return False
        if not self._owner_check_is_due(membership):
            return False
        _, members = await concurrent_calls.gather(
            self._refresh_owner(), self._log.members(JOIN_TIMEOUT_MS)
        )
        owner = self._owner_member()
        return owner == member or owner not in members

    def _owner_check_is_due(self, membership: ports.Membership) -> bool:
        """Returns whether the owner may have left the group since a check.

        The generation of the group increases with each change, and each join
        returns it, so the group itself is read less often.
        """
        now_s = self._clock.seconds()
        unchanged = membership.generation == self._checked_generation
        if unchanged and now_s < self._next_owner_check_s:
            return False
        self._checked_generation = membership.generation
        self._next_owner_check_s = now_s + OWNER_CHECK_PERIOD_S
        return True
