"""Shares of runner slots, choice of runners and their health.

Each VM of a failure domain may use a fixed share of the slots of every
runner, so that no exchange between VMs is needed for a dispatch and a runner
is never overrun while the VMs agree on their number. Runners are chosen by
the power of two choices: Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", IEEE TPDS 2001.
"""

import itertools
import random

import msgspec

from citronmount.core import ids
from citronmount.core import states
from citronmount.services import messages

__all__ = ["RunnerSlots", "split_evenly"]

EJECT_AFTER_FAILURES = 3
EJECT_ONE_ACCOUNT_AFTER_FAILURES = 9
EJECT_MS = 1_000
EJECT_MAX_MS = 30_000
EJECTED_MAX_SHARE = 0.5
BUSY_BACKOFF_MS = 20
LEAVING_HOLD_MS = 15_000
HEDGE_SPARE_SHARE = 0.2


def split_evenly(
    amounts: tuple[int, ...], index: int, count: int
) -> tuple[int, ...]:
    """Returns one VM's share of each amount.

    The remainders are dealt in rotation, so that the shares of all VMs add
    up to the amounts and the totals of two VMs differ by at most one.

    Args:
        amounts: One amount for each runner.
        index: The number of the VM, from 0.
        count: How many VMs share.

    Returns:
        The share of each amount.

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


class _Runner(msgspec.Struct, kw_only=True):
    """What is known of one runner."""

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
        """Slots of the share that no request holds."""
        if self.state is not states.TargetState.UP:
            return 0
        limit = min(1, self.limit) if self.ejections else self.limit
        return max(0, limit - self.outstanding)


class RunnerSlots:
    """The slots that one VM may use at the runners of its failure domain."""

    def __init__(self, *, seed: int) -> None:
        """Initializes with no runners and the whole share.

        Args:
            seed: Seed of the random choice between runners.
        """
        self._random = random.Random(seed)
        self._runners: dict[ids.RunnerId, _Runner] = {}
        self._listed: tuple[messages.ListedTarget, ...] = ()
        self._usable: list[_Runner] = []
        self._index = 0
        self._count = 1

    def set_runners(self, listed: tuple[messages.ListedTarget, ...]) -> None:
        """Takes over the list of runners.

        A runner that is no longer listed gets no new requests.

        Args:
            listed: The runners of the failure domain.
        """
        self._listed = tuple(sorted(listed, key=lambda target: target.name))
        names = {ids.RunnerId(target.name) for target in listed}
        for runner in self._runners.values():
            if runner.name not in names:
                runner.state = states.TargetState.LOST
        for target in self._listed:
            self._runner(ids.RunnerId(target.name)).state = target.state
        self._deal()

    def set_state(
        self, runner: ids.RunnerId, state: states.TargetState
    ) -> None:
        """Notes whether a runner may get new requests.

        Args:
            runner: The runner.
            state: Only UP lets requests be sent.
        """
        self._runner(runner).state = state

    def set_share(self, index: int, count: int) -> None:
        """Notes which share of the slots this VM may use.

        Args:
            index: The number of the VM among the live ones, from 0.
            count: How many live VMs the failure domain has.

        Raises:
            ValueError: If the index is not below the count.
        """
        if not 0 <= index < count:
            raise ValueError(f"share {index} of {count}")
        self._index = index
        self._count = count
        self._deal()

    def free(self, now_ms: int) -> int:
        """Returns how many requests could be sent now.

        Args:
            now_ms: Monotonic time.

        Returns:
            Free slots of the share at runners that take requests.
        """
        return sum(
            runner.free
            for runner in self._usable
            if runner.closed_until_ms <= now_ms
        )

    def has_spare(self, now_ms: int) -> bool:
        """Returns whether enough of the share is free to spend on hedges.

        Args:
            now_ms: Monotonic time.
        """
        limit = sum(runner.limit for runner in self._usable)
        return self.free(now_ms) > HEDGE_SPARE_SHARE * limit

    def choose(
        self,
        now_ms: int,
        *,
        exclude: frozenset[ids.RunnerId] = frozenset(),
        avoid_probe: bool = False,
    ) -> ids.RunnerId | None:
        """Chooses the less loaded of two random runners with a free slot.

        Args:
            now_ms: Monotonic time.
            exclude: Runners that must not be chosen.
            avoid_probe: Whether to prefer runners that are not on probation.

        Returns:
            The runner, or None if no slot is free.
        """
        able = [
            runner
            for runner in self._usable
            if runner.free
            and runner.closed_until_ms <= now_ms
            and runner.name not in exclude
        ]
        if avoid_probe:
            able = [r for r in able if not r.ejections] or able
        if not able:
            return None
        pair = self._random.sample(able, min(2, len(able)))
        return min(pair, key=_load).name

    def take(self, runner: ids.RunnerId) -> None:
        """Takes a slot for a request that is sent.

        Args:
            runner: The runner.
        """
        self._runners[runner].outstanding += 1

    def release(self, runner: ids.RunnerId) -> None:
        """Frees the slot of a request that was answered or given up.

        Args:
            runner: The runner.
        """
        self._runners[runner].outstanding -= 1

    def succeeded(self, runner: ids.RunnerId) -> None:
        """Notes that a runner served a request.

        Args:
            runner: The runner.
        """
        known = self._runners[runner]
        known.failures = 0
        known.ejections = 0
        known.failed_accounts.clear()

    def failed(
        self, runner: ids.RunnerId, account: ids.AccountId, now_ms: int
    ) -> None:
        """Notes that a runner failed a request and ejects it if it must.

        Failures of one account alone weigh less, so that an account whose
        requests all fail does not take runners from the others.

        Args:
            runner: The runner.
            account: The account of the request.
            now_ms: Monotonic time.
        """
        known = self._runners[runner]
        known.failures += 1
        known.failed_accounts.add(account)
        bound = (
            EJECT_AFTER_FAILURES
            if len(known.failed_accounts) > 1
            else EJECT_ONE_ACCOUNT_AFTER_FAILURES
        )
        if known.ejections or known.failures >= bound:
            self._eject(known, now_ms)

    def unreachable(self, runner: ids.RunnerId, now_ms: int) -> None:
        """Notes that a request did not reach its runner.

        Args:
            runner: The runner.
            now_ms: Monotonic time.
        """
        known = self._runners[runner]
        known.failures += 1
        if known.ejections or known.failures >= EJECT_AFTER_FAILURES:
            self._eject(known, now_ms)

    def busy(self, runner: ids.RunnerId, now_ms: int) -> None:
        """Notes that a runner had no slot free and leaves it alone a while.

        Args:
            runner: The runner.
            now_ms: Monotonic time.
        """
        known = self._runners[runner]
        known.closed_until_ms = max(
            known.closed_until_ms, now_ms + BUSY_BACKOFF_MS
        )

    def leaving(self, runner: ids.RunnerId, now_ms: int) -> None:
        """Notes that a runner itself says that it is leaving.

        It gets no new requests for a while, also if the platform's list,
        which lags, still has it as up.

        Args:
            runner: The runner.
            now_ms: Monotonic time.
        """
        self._runners[runner].closed_until_ms = now_ms + LEAVING_HOLD_MS

    def next_open_ms(self, now_ms: int) -> int | None:
        """Returns when the next runner that is left alone opens again.

        Args:
            now_ms: Monotonic time.

        Returns:
            The time, or None if no runner is left alone.
        """
        return min(
            (
                runner.closed_until_ms
                for runner in self._usable
                if runner.closed_until_ms > now_ms
            ),
            default=None,
        )

    def _eject(self, runner: _Runner, now_ms: int) -> None:
        ejected = sum(1 for r in self._usable if r.ejections and r != runner)
        if ejected + 1 > len(self._usable) * EJECTED_MAX_SHARE:
            return
        delay_ms = min(EJECT_MAX_MS, EJECT_MS << min(runner.ejections, 8))
        runner.ejections += 1
        runner.failures = 0
        runner.failed_accounts.clear()
        runner.closed_until_ms = now_ms + delay_ms

    def _runner(self, name: ids.RunnerId) -> _Runner:
        if name not in self._runners:
            self._runners[name] = _Runner(
                name=name, state=states.TargetState.UP, failed_accounts=set()
            )
        return self._runners[name]

    def _deal(self) -> None:
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


def _load(runner: _Runner) -> float:
    return runner.outstanding / runner.limit
