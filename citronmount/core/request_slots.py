"""Slot shares, load balancing and outlier ejection of runners.

Each VM of a failure domain may use a fixed share of the slots of every
runner. A dispatch therefore needs no communication between VMs, and no runner
is overloaded as long as the VMs agree on their number. Runners are chosen by
the power of two choices: Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", IEEE TPDS 2001.
"""

import itertools
import random

import msgspec

from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import states

__all__ = ["RunnerSlots", "split_evenly"]

EJECT_AFTER_FAILURES = 3
EJECT_AFTER_SINGLE_ACCOUNT_FAILURES = 9
EJECTION_BASE_MS = 1_000
EJECTION_MAX_MS = 30_000
MAX_EJECTED_SHARE = 0.5
BUSY_BACKOFF_MS = 20
LEAVING_BACKOFF_MS = 15_000
HEDGE_MIN_FREE_SHARE = 0.2


def split_evenly(
    amounts: tuple[int, ...], index: int, count: int
) -> tuple[int, ...]:
    """Returns the share of one VM in each amount.

    Remainders are assigned round-robin, so that the shares of all VMs add up
    to the amounts, and the total shares of two VMs differ by at most one.

    Args:
        amounts: One amount per runner.
        index: Index of the VM, from 0.
        count: Number of VMs.

    Returns:
        The VM's share of each amount.

    Example:
        >>> [split_evenly((8, 8), i, 3) for i in range(3)]
        [(3, 3), (3, 2), (2, 3)]
    """
    starts = itertools.accumulate(
        (amount % count for amount in amounts), initial=0
    )
    return tuple(
        amount // count + ((index - start) % count < amount % count)
        for amount, start in zip(amounts, starts, strict=False)
    )


class _RunnerRecord(msgspec.Struct, kw_only=True):
    """State of a runner; `ejections` counts those since its last success."""

    name: ids.RunnerId
    state: states.TargetState
    limit: int = 0
    outstanding: int = 0
    failures: int = 0
    failed_accounts: set[ids.AccountId]
    ejections: int = 0
    closed_until_ms: int = 0

    @property
    def free(self) -> int:
        """Free slots of the VM's share; an ejected runner has at most one."""
        if self.state is not states.TargetState.UP:
            return 0
        limit = min(1, self.limit) if self.ejections else self.limit
        return max(0, limit - self.outstanding)


class RunnerSlots:
    """Runner slots that one VM may use in its failure domain."""

    def __init__(self, *, seed: int) -> None:
        """Initializes without runners, as if there were no other VM.

        Args:
            seed: Seed of the random choice of runners.
        """
        self._random = random.Random(seed)
        self._runners: dict[ids.RunnerId, _RunnerRecord] = {}
        self._listed: tuple[messages.ListedTarget, ...] = ()
        self._usable: list[_RunnerRecord] = []
        self._index = 0
        self._count = 1

    def set_runners(self, listed: tuple[messages.ListedTarget, ...]) -> None:
        """Replaces the list of runners.

        A runner that is no longer listed gets no new requests.

        Args:
            listed: Runners of the failure domain.
        """
        self._listed = tuple(sorted(listed, key=lambda target: target.name))
        names = {ids.RunnerId(target.name) for target in listed}
        for runner in self._runners.values():
            if runner.name not in names:
                runner.state = states.TargetState.LOST
        for target in self._listed:
            self._get_or_add(ids.RunnerId(target.name)).state = target.state
        self._update_limits()

    def set_state(
        self, runner: ids.RunnerId, state: states.TargetState
    ) -> None:
        """Sets the state of a runner.

        Args:
            runner: Runner.
            state: State; requests are sent only to a runner that is UP.
        """
        self._get_or_add(runner).state = state

    def set_share(self, index: int, count: int) -> None:
        """Sets the share of the slots that this VM may use.

        Args:
            index: Index of the VM among the live VMs, from 0.
            count: Number of live VMs in the failure domain.

        Raises:
            ValueError: If the index is negative or not less than the count.
        """
        if not 0 <= index < count:
            raise ValueError(
                f"share index {index} is out of range for {count} VMs"
            )
        self._index = index
        self._count = count
        self._update_limits()

    def free_slots(self, now_ms: int) -> int:
        """Counts the slots to which requests can be sent now.

        Args:
            now_ms: Monotonic time.

        Returns:
            Free slots of the VM's share at runners that accept requests.
        """
        return sum(
            runner.free
            for runner in self._usable
            if runner.closed_until_ms <= now_ms
        )

    def has_hedge_capacity(self, now_ms: int) -> bool:
        """Returns whether enough slots are free to send hedged requests.

        Args:
            now_ms: Monotonic time.
        """
        limit = sum(runner.limit for runner in self._usable)
        return self.free_slots(now_ms) > HEDGE_MIN_FREE_SHARE * limit

    def choose(
        self,
        now_ms: int,
        *,
        exclude: frozenset[ids.RunnerId] = frozenset(),
        prefer_healthy: bool = False,
    ) -> ids.RunnerId | None:
        """Chooses the less loaded of two random runners with a free slot.

        Args:
            now_ms: Monotonic time.
            exclude: Runners that must not be chosen.
            prefer_healthy: Whether to prefer runners that have served a
                request since their last ejection.

        Returns:
            The runner, or None if no slot is free.
        """
        candidates = [
            runner
            for runner in self._usable
            if runner.free
            and runner.closed_until_ms <= now_ms
            and runner.name not in exclude
        ]
        if prefer_healthy:
            candidates = [
                r for r in candidates if not r.ejections
            ] or candidates
        if not candidates:
            return None
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=_load).name

    def acquire(self, runner: ids.RunnerId) -> None:
        """Allocates a slot to a request that is sent.

        Args:
            runner: Runner.
        """
        self._runners[runner].outstanding += 1

    def release(self, runner: ids.RunnerId) -> None:
        """Frees the slot of a request that was answered or abandoned.

        Args:
            runner: Runner.
        """
        self._runners[runner].outstanding -= 1

    def record_success(self, runner: ids.RunnerId) -> None:
        """Records that a runner served a request.

        Args:
            runner: Runner.
        """
        record = self._runners[runner]
        record.failures = 0
        record.ejections = 0
        record.failed_accounts.clear()

    def record_failure(
        self, runner: ids.RunnerId, account: ids.AccountId, now_ms: int
    ) -> None:
        """Records a failed request, which may eject the runner.

        The threshold is higher if all failures are of the same account, so
        that an account whose requests all fail does not take runners from the
        others.

        Args:
            runner: Runner.
            account: Client account of the request.
            now_ms: Monotonic time.
        """
        record = self._runners[runner]
        record.failures += 1
        record.failed_accounts.add(account)
        threshold = (
            EJECT_AFTER_FAILURES
            if len(record.failed_accounts) > 1
            else EJECT_AFTER_SINGLE_ACCOUNT_FAILURES
        )
        if record.ejections or record.failures >= threshold:
            self._eject(record, now_ms)

    def record_unreachable(self, runner: ids.RunnerId, now_ms: int) -> None:
        """Records that a request did not reach its runner.

        Args:
            runner: Runner.
            now_ms: Monotonic time.
        """
        record = self._runners[runner]
        record.failures += 1
        if record.ejections or record.failures >= EJECT_AFTER_FAILURES:
            self._eject(record, now_ms)

    def record_busy(self, runner: ids.RunnerId, now_ms: int) -> None:
        """Records that a runner had no free slot, and backs off from it.

        Args:
            runner: Runner.
            now_ms: Monotonic time.
        """
        record = self._runners[runner]
        record.closed_until_ms = max(
            record.closed_until_ms, now_ms + BUSY_BACKOFF_MS
        )

    def record_leaving(self, runner: ids.RunnerId, now_ms: int) -> None:
        """Records that a runner has answered that it is leaving.

        It gets no new requests for a while, even if the platform's list, which
        lags behind, still shows it as up.

        Args:
            runner: Runner.
            now_ms: Monotonic time.
        """
        self._runners[runner].closed_until_ms = now_ms + LEAVING_BACKOFF_MS

    def next_available_ms(self, now_ms: int) -> int | None:
        """Returns when the next backoff or ejection of a runner ends.

        Args:
            now_ms: Monotonic time.

        Returns:
            Monotonic time, or None if no runner is in backoff or ejected.
        """
        return min(
            (
                runner.closed_until_ms
                for runner in self._usable
                if runner.closed_until_ms > now_ms
            ),
            default=None,
        )

    def _eject(self, runner: _RunnerRecord, now_ms: int) -> None:
        ejected_count = sum(
            1 for r in self._usable if r.ejections and r != runner
        )
        if ejected_count + 1 > len(self._usable) * MAX_EJECTED_SHARE:
            return
        delay_ms = min(
            EJECTION_MAX_MS, EJECTION_BASE_MS << min(runner.ejections, 8)
        )
        runner.ejections += 1
        runner.failures = 0
        runner.failed_accounts.clear()
        runner.closed_until_ms = now_ms + delay_ms

    def _get_or_add(self, name: ids.RunnerId) -> _RunnerRecord:
        if name not in self._runners:
            self._runners[name] = _RunnerRecord(
                name=name, state=states.TargetState.UP, failed_accounts=set()
            )
        return self._runners[name]

    def _update_limits(self) -> None:
        slots = tuple(target.slots for target in self._listed)
        connections = tuple(target.connections for target in self._listed)
        shares = zip(
            self._listed,
            split_evenly(slots, self._index, self._count),
            split_evenly(connections, self._index, self._count),
            strict=True,
        )
        for target, slot_share, connection_share in shares:
            runner = self._runners[ids.RunnerId(target.name)]
            runner.limit = min(slot_share, connection_share)
        self._usable = [
            self._runners[ids.RunnerId(target.name)] for target in self._listed
        ]
        listed = {runner.name for runner in self._usable}
        self._runners = {
            name: runner
            for name, runner in self._runners.items()
            if name in listed or runner.outstanding
        }


def _load(runner: _RunnerRecord) -> float:
    return runner.outstanding / runner.limit
