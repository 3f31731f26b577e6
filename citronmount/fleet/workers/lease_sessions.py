"""The owner's state per worker incarnation: clock, lease and ended runs."""

import enum

import msgspec

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.workers import worker_directory

__all__ = ["LeasePolicy", "LeaseSession", "RenewalState"]

_MIN_CLOCK_RATE = 0.98


class RenewalState(enum.Enum):
    """Whether a lease renewal awaits its answer."""

    IDLE = "idle"
    PENDING = "open"


class LeasePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of leases and their renewal.

    Attributes:
        lease_ms: Duration of a lease from its renewal.
        max_lease_ms: Longest lease that any owner may have granted.
        wait_ms: Maximum time that a worker delays its answer to a renewal
            while it waits for a run to end.
        retry_ms: Delay before the next renewal if the last one got no answer,
            or if its answer repeated ends whose records are not durable yet.
        trust_ms: Silence after which the leases of a worker are no longer
            renewed, so that they are certain to expire.
        stop_ms: Time that a worker needs to kill tasks after their lease
            expired.
    """

    lease_ms: int
    max_lease_ms: int
    wait_ms: int = 1_000
    retry_ms: int = 200
    trust_ms: int = 2_500
    stop_ms: int = 400


class LeaseSession:
    """Lease state of one worker incarnation under one owner.

    The clocks of owner and worker are related through the readings in the
    worker's answers. The worker's clock is assumed to run at no less than
    `_MIN_CLOCK_RATE` of the owner's, so that the owner never considers a lease
    expired while it is still valid at the worker.

    Attributes:
        worker: Newest directory entry of the worker.
        answered_ms: Monotonic time of the last answer, or None before the
            first one.
        task_count: Number of tasks of this owner that the worker may hold.
        unanswered_renewals: Number of consecutive renewals without an answer.
    """

    def __init__(
        self,
        *,
        worker: worker_directory.Worker,
        policy: LeasePolicy,
        token: ids.FenceToken,
        now_ms: int,
    ) -> None:
        """Initializes a session before its first answer.

        Args:
            worker: Directory entry of the worker.
            policy: Timing of leases and their renewal.
            token: Fencing token of the owner.
            now_ms: Monotonic time in milliseconds.
        """
        self.worker = worker
        self.answered_ms: int | None = None
        self.task_count = 0
        self.unanswered_renewals = 0
        self._opened_ms = now_ms
        self._policy = policy
        self._token = token
        self._renewal = RenewalState.IDLE
        self._next_renewal_ms = now_ms
        self._clock_ms = 0
        self._lease_end_ms = now_ms + self._max_owner_ms(policy.max_lease_ms)
        # Sequence numbers: the worker may delete its ends up to the first one;
        # the others are its values in the last sent and last answered renewal.
        self._deletable_end = 0
        self._sent_end = 0
        self._acknowledged_end = 0
        self._poll_requested = False
        self._unresolved_ends: set[int] = set()
        self._highest_end = 0

    @property
    def has_answered(self) -> bool:
        """Whether the worker has answered this owner."""
        return self.answered_ms is not None

    @property
    def renewal_pending(self) -> bool:
        """Whether a lease renewal awaits its answer."""
        return self._renewal is RenewalState.PENDING

    def clock_ms(self, now_ms: int) -> int:
        """Returns a lower bound of the worker's clock, 0 before any answer."""
        if self.answered_ms is None:
            return 0
        return self._clock_ms + int(
            (now_ms - self.answered_ms) * _MIN_CLOCK_RATE
        )

    def grant_lease_ms(self, now_ms: int) -> int:
        """Grants a lease and stores its latest possible end.

        Args:
            now_ms: Monotonic time in milliseconds.

        Returns:
            End of the lease on the worker's clock, in milliseconds.
        """
        until_ms = self.clock_ms(now_ms) + self._policy.lease_ms
        end_ms = now_ms + self._max_owner_ms(self._policy.lease_ms)
        self._lease_end_ms = max(self._lease_end_ms, end_ms)
        return until_ms

    def lease_expired(self, now_ms: int) -> bool:
        """Returns whether all granted leases are certain to have expired.

        Includes the time that the worker needs to kill the tasks.
        """
        return now_ms > self._lease_end_ms + self._policy.stop_ms

    def silent_ms(self, now_ms: int) -> int:
        """Returns the time since the last answer, 0 before the first one."""
        if self.answered_ms is None:
            return 0
        return now_ms - self.answered_ms

    def unheard_ms(self, now_ms: int) -> int:
        """Returns the time since the last answer, or since the opening."""
        if self.answered_ms is None:
            return now_ms - self._opened_ms
        return now_ms - self.answered_ms

    def update_clock(self, clock_ms: int, now_ms: int) -> None:
        """Stores a clock reading of the worker unless it is outdated.

        Answers can arrive out of order; a reading below the current lower bound
        comes from an older answer.
        """
        if self.answered_ms is None or clock_ms >= self.clock_ms(now_ms):
            self._clock_ms = clock_ms
            self.answered_ms = now_ms

    def next_renewal(self, now_ms: int) -> commands.RenewLeases | None:
        """Returns the renewal or status poll that is due, if any.

        At most one renewal is pending at a time; a status poll may be sent
        while a renewal is pending. Leases are renewed only for a worker that
        may hold tasks and answered within `LeasePolicy.trust_ms`. The worker
        must answer immediately if ends are unresolved, if it has not answered
        before, if it left the last renewal unanswered or if it holds no tasks.
        After a silence its leases are then renewed as soon as possible.

        Args:
            now_ms: Monotonic time in milliseconds.

        Returns:
            The command to send, or None.
        """
        if self._poll_requested:
            return self._next_poll()
        if (
            self._renewal is RenewalState.PENDING
            or now_ms < self._next_renewal_ms
        ):
            return None
        if not self._has_reason_to_renew:
            return None
        self._renewal = RenewalState.PENDING
        self._sent_end = self._next_acknowledgement()
        trusted = self.silent_ms(now_ms) < self._policy.trust_ms
        renews = self.has_answered and self.task_count and trusted
        no_wait = (
            self._unresolved_ends
            or self.unanswered_renewals
            or not self.has_answered
            or not self.task_count
        )
        return commands.RenewLeases(
            worker=self.worker,
            until_ms=self.grant_lease_ms(now_ms) if renews else None,
            last_seen=self._sent_end,
            wait_ms=0 if no_wait else self._policy.wait_ms,
            token=self._token,
        )

    def _next_acknowledgement(self) -> int:
        """Returns up to which end the worker may delete now, 0 for none.

        Ends are numbered anew in each incarnation, and a renewal reaches the
        one that is up. So ends are acknowledged only once, and only to a worker
        that answered the last renewal.
        """
        if self.unanswered_renewals:
            return 0
        if self._acknowledged_end < self._deletable_end:
            return self._deletable_end
        return 0

    def _next_poll(self) -> commands.RenewLeases:
        """Returns a status poll, which renews no lease."""
        self._poll_requested = False
        return commands.RenewLeases(
            worker=self.worker,
            until_ms=None,
            last_seen=0,
            wait_ms=0,
            token=self._token,
            look=True,
        )

    def poll_answered(self, report: commands.LeaseReport, now_ms: int) -> None:
        """Handles the answer to a status poll."""
        self.unanswered_renewals = 0
        self.update_clock(report.clock_ms, now_ms)

    def renewal_answered(
        self, report: commands.LeaseReport, now_ms: int
    ) -> None:
        """Handles the answer to a renewal; the next one is due immediately."""
        self._renewal = RenewalState.IDLE
        self.unanswered_renewals = 0
        self._clock_ms = report.clock_ms
        self._acknowledged_end = max(self._acknowledged_end, self._sent_end)
        self.answered_ms = now_ms
        self._next_renewal_ms = now_ms

    def renewal_failed(self, now_ms: int) -> None:
        """Handles a renewal without an answer; schedules a retry."""
        self._renewal = RenewalState.IDLE
        self.unanswered_renewals += 1
        self._next_renewal_ms = now_ms + self._policy.retry_ms

    def renew_soon(self, now_ms: int) -> None:
        """Makes the next renewal due immediately."""
        self._next_renewal_ms = now_ms

    def poll_soon(self) -> None:
        """Requests a status poll.

        A pending renewal may not be answered soon, because the worker delays
        its answer until a run ends.
        """
        self._poll_requested = True

    def register_end(self, number: int, now_ms: int) -> bool:
        """Registers an end from a report as unresolved.

        A worker answers at once while it has an unresolved end, and would
        report the same end again. So the next renewal waits until the end is
        resolved, at most `LeasePolicy.retry_ms`.

        Args:
            number: Sequence number of the end at the worker.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Whether the end was reported for the first time.
        """
        if number <= self._highest_end:
            if number in self._unresolved_ends:
                self._next_renewal_ms = now_ms + self._policy.retry_ms
            return False
        self._highest_end = number
        self._unresolved_ends.add(number)
        self._next_renewal_ms = now_ms + self._policy.retry_ms
        return True

    def resolve_end(self, number: int, now_ms: int) -> None:
        """Marks an end as resolved, so that the worker may delete it.

        The worker deletes all ends up to a given sequence number, so only the
        ends below the lowest unresolved one can be deleted.

        Args:
            number: Sequence number of the end at the worker.
            now_ms: Monotonic time in milliseconds.
        """
        self._unresolved_ends.discard(number)
        deletable = (
            min(self._unresolved_ends, default=self._highest_end + 1) - 1
        )
        if deletable > self._deletable_end:
            self._deletable_end = deletable
            self._next_renewal_ms = now_ms

    @property
    def _has_reason_to_renew(self) -> bool:
        unacknowledged = self._acknowledged_end < self._deletable_end
        unanswered = not self.has_answered or self.unanswered_renewals > 0
        return (
            unanswered
            or bool(self.task_count or self._unresolved_ends)
            or unacknowledged
        )

    def _max_owner_ms(self, worker_ms: int) -> int:
        return int(worker_ms / _MIN_CLOCK_RATE)
