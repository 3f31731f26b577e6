"""What the owner knows of one life of a worker: clock, lease, ends."""

import enum

import msgspec

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import worker_directory

__all__ = ["HoldState", "LeasePolicy", "LeaseSession"]

_SLOWEST_CLOCK = 0.98


class HoldState(enum.Enum):
    """Whether a hold is on its way."""

    IDLE = "idle"
    OPEN = "open"


class LeasePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How leases are renewed.

    Attributes:
        lease_ms: How long a lease lasts from its renewal.
        max_lease_ms: The longest lease that any owner may have given.
        wait_ms: How long a hold waits for an end.
        retry_ms: Time between holds that get no answer, or that only repeat
            ends which are not recorded yet.
        trust_ms: Silence after which a worker's lease is not renewed any
            more, so that it surely runs out.
        stop_ms: How long a worker takes to kill what has lapsed.
    """

    lease_ms: int
    max_lease_ms: int
    wait_ms: int = 1_000
    retry_ms: int = 200
    trust_ms: int = 2_500
    stop_ms: int = 400


class LeaseSession:
    """One life of a worker under one owner.

    Attributes:
        worker: Its newest entry.
        answered_ms: Steady time of the last answer, or None before the first.
        runs: How many runs of this owner it may hold.
        waits_unanswered: Holds in a row that got no answer.
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
            worker: The worker's entry.
            policy: How leases are renewed.
            token: The fencing token of the owner.
            now_ms: Steady time in milliseconds.
        """
        self.worker = worker
        self.answered_ms: int | None = None
        self.runs = 0
        self.waits_unanswered = 0
        self._policy = policy
        self._token = token
        self._hold = HoldState.IDLE
        self._next_hold_ms = now_ms
        self._clock_ms = 0
        self._lease_end_ms = now_ms + self._real_ms(policy.max_lease_ms)
        self._last_seen = 0
        self._sent_seen = 0
        self._told_seen = 0
        self._look_wanted = False
        self._unresolved: set[int] = set()
        self._highest_end = 0

    @property
    def primed(self) -> bool:
        """Whether the worker has answered this owner."""
        return self.answered_ms is not None

    @property
    def holding(self) -> bool:
        """Whether a hold is on its way."""
        return self._hold is HoldState.OPEN

    def clock_ms(self, now_ms: int) -> int:
        """Returns what the worker's clock has reached at least."""
        if self.answered_ms is None:
            return 0
        return self._clock_ms + int(
            (now_ms - self.answered_ms) * _SLOWEST_CLOCK
        )

    def lease_until_ms(self, now_ms: int) -> int:
        """Returns the end of a new lease and remembers that it was given.

        Args:
            now_ms: Steady time in milliseconds.

        Returns:
            The end on the worker's clock.
        """
        until_ms = self.clock_ms(now_ms) + self._policy.lease_ms
        end_ms = now_ms + self._real_ms(self._policy.lease_ms)
        self._lease_end_ms = max(self._lease_end_ms, end_ms)
        return until_ms

    def lapsed(self, now_ms: int) -> bool:
        """Returns whether every lease that was given has surely run out."""
        return now_ms > self._lease_end_ms + self._policy.stop_ms

    def silent_ms(self, now_ms: int) -> int:
        """Returns how long the worker has not answered."""
        if self.answered_ms is None:
            return 0
        return now_ms - self.answered_ms

    def heard(self, clock_ms: int, now_ms: int) -> None:
        """Takes in a clock reading from any answer."""
        if self.answered_ms is None or clock_ms >= self.clock_ms(now_ms):
            self._clock_ms = clock_ms
            self.answered_ms = now_ms

    def next_hold(self, now_ms: int) -> commands.RenewLeases | None:
        """Returns the hold that is due, if any.

        Args:
            now_ms: Steady time in milliseconds.

        Returns:
            The hold; the session then waits for its answer.
        """
        if self._look_wanted:
            return self._look()
        if self._hold is HoldState.OPEN or now_ms < self._next_hold_ms:
            return None
        if not self._has_reason_to_hold:
            return None
        self._hold = HoldState.OPEN
        self._sent_seen = self._last_seen
        trusted = self.silent_ms(now_ms) < self._policy.trust_ms
        renews = self.primed and self.runs and trusted
        quick = self._unresolved or not self.primed or not self.runs
        return commands.RenewLeases(
            worker=self.worker,
            until_ms=self.lease_until_ms(now_ms) if renews else None,
            last_seen=self._last_seen,
            wait_ms=0 if quick else self._policy.wait_ms,
            token=self._token,
        )

    def _look(self) -> commands.RenewLeases:
        """Returns a hold that only asks, beside one that may be waiting."""
        self._look_wanted = False
        return commands.RenewLeases(
            worker=self.worker,
            until_ms=None,
            last_seen=self._told_seen,
            wait_ms=0,
            token=self._token,
            look=True,
        )

    def look_answered(self, report: commands.LeaseReport, now_ms: int) -> None:
        """Takes in the answer to a look."""
        self.waits_unanswered = 0
        self.heard(report.clock_ms, now_ms)

    def hold_answered(self, report: commands.LeaseReport, now_ms: int) -> None:
        """Takes in the answer to a hold."""
        self._hold = HoldState.IDLE
        self.waits_unanswered = 0
        self._clock_ms = report.clock_ms
        self._told_seen = self._sent_seen
        self.answered_ms = now_ms
        self._next_hold_ms = now_ms

    def hold_failed(self, now_ms: int) -> None:
        """Takes in that a hold got no answer."""
        self._hold = HoldState.IDLE
        self.waits_unanswered += 1
        self._next_hold_ms = now_ms + self._policy.retry_ms

    def hold_soon(self, now_ms: int) -> None:
        """Lets the next hold go out without a pause."""
        self._next_hold_ms = now_ms

    def look_soon(self) -> None:
        """Has the worker asked at once what it runs.

        A hold that is on its way waits for an end, which may be long.
        """
        self._look_wanted = True

    def note_end(self, number: int, now_ms: int) -> bool:
        """Takes in the number of an end.

        Args:
            number: The number that the worker gave it.
            now_ms: Steady time in milliseconds.

        Returns:
            Whether it is listed for the first time.
        """
        if number <= self._highest_end:
            if number in self._unresolved:
                self._next_hold_ms = now_ms + self._policy.retry_ms
            return False
        self._highest_end = number
        self._unresolved.add(number)
        return True

    def resolve_end(self, number: int, now_ms: int) -> None:
        """Lets the worker forget an end.

        Args:
            number: Its number.
            now_ms: Steady time in milliseconds.
        """
        self._unresolved.discard(number)
        seen = min(self._unresolved, default=self._highest_end + 1) - 1
        if seen > self._last_seen:
            self._last_seen = seen
            self._next_hold_ms = now_ms

    @property
    def _has_reason_to_hold(self) -> bool:
        untold = self._told_seen < self._last_seen
        unclear = not self.primed or self.waits_unanswered > 0
        return unclear or bool(self.runs or self._unresolved) or untold

    def _real_ms(self, worker_ms: int) -> int:
        return int(worker_ms / _SLOWEST_CLOCK)
