"""Order of the accounts while more work waits than fits.

An account's dominant share is the largest part of the pool's capacity that it
uses among the resources. See Ghodsi et al., "Dominant Resource Fairness: Fair
Allocation of Multiple Resource Types", NSDI 2011. Here the shares decide only
between units of one priority that can be on time.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import operator

import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.accounts import quotas
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

__all__ = ["FairShares", "Share"]

# A few run times of a task, so that a burst counts about as long as it took.
USAGE_HALF_LIFE_MS = 10_000
# For an account without a weight beside accounts that have one.
DEFAULT_WEIGHT = 1.0
# Decayed usage below this part of the capacity is forgotten.
MIN_SHARE = 0.000_1

_RANK_GROUP_LENGTH = 3

Amounts = tuple[float, float, float]
Rank = Callable[[waiting_units.WaitingUnit], tuple]


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """The share of an account, as parts of the pool's capacity.

    Attributes:
        used: Dominant share of what the account uses.
        entitled: Its part by weight among the accounts that run or wait.
    """

    used: float
    entitled: float


class FairShares:
    """Usage of the accounts over time, and the order that follows from it.

    Usage of an account is, by resource, the larger of what it may have running
    and the mean of that over the recent past, where older usage weighs less.

    Attributes:
        shares: Shares of the accounts in the last round, before its decisions.
        over_share: Those of accounts with units that came later for it.
    """

    def __init__(self) -> None:
        """Initializes without usage; it starts from the first `observe`."""
        self.shares: dict[ids.AccountId, Share] = {}
        self.over_share: dict[ids.AccountId, Share] = {}
        self._weights: dict[ids.AccountId, float] = {}
        self._used: dict[ids.AccountId, Amounts] = {}
        self._means: dict[ids.AccountId, Amounts] = {}
        self._observed_ms: int | None = None

    def observe(
        self,
        accounts: Iterable[fleet_configuration.Account],
        runs: Iterable[unit_runs.Run],
        now_ms: int,
    ) -> None:
        """Updates weights and usage.

        Args:
            accounts: The client accounts with their weights.
            runs: All runs.
            now_ms: Monotonic time in milliseconds.
        """
        self.shares = {}
        self.over_share = {}
        self._weights = {
            each.account: each.weight for each in accounts if each.weight > 0
        }
        all_runs = list(runs)
        running = {run.submission.account for run in all_runs}
        used = {
            account: _amounts(demand)
            for account, demand in quotas.used_by_account(
                all_runs, running
            ).items()
        }
        if self._observed_ms is None:
            self._means = dict(used)
        else:
            elapsed_ms = max(now_ms - self._observed_ms, 0)
            kept = 0.5 ** (elapsed_ms / USAGE_HALF_LIFE_MS)
            self._means = {
                account: tuple(
                    kept * mean + (1.0 - kept) * amount
                    for mean, amount in zip(
                        self._means.get(account, _NOTHING),
                        self._used.get(account, _NOTHING),
                        strict=True,
                    )
                )
                for account in self._means.keys() | self._used.keys()
            }
        self._used = used
        self._observed_ms = now_ms

    def order(
        self,
        ranked: list[waiting_units.WaitingUnit],
        *,
        rank: Rank,
        workers: Sequence[worker_directory.Worker],
        allocations: worker_allocations.WorkerAllocations,
        round_quotas: quotas.Quotas,
    ) -> list[waiting_units.WaitingUnit]:
        """Returns the waiting units with those of accounts under share first.

        The order stays as it is without weights, and while the units need no
        more than is free.

        Args:
            ranked: The units, the most urgent first.
            rank: Returns the sort key of a unit; its first parts say whether a
                unit is inside a guarantee, its priority and whether it is late.
            workers: The workers that may receive tasks.
            allocations: Resources allocated on the workers.
            round_quotas: Quotas and usage before the round.

        Returns:
            The units; the order changes only within equal first parts of the
            rank, and not among late units.
        """
        if not self._weights or not _is_contended(
            ranked, workers, allocations, round_quotas
        ):
            return ranked
        capacity = _total(worker.capacity for worker in workers)
        self._forget_small_usage(capacity)
        projected = {
            account: tuple(
                map(
                    max,
                    self._used.get(account, _NOTHING),
                    self._means.get(account, _NOTHING),
                )
            )
            for account in self._used.keys()
            | self._means.keys()
            | {unit.submission.account for unit in ranked}
        }
        self._set_shares(projected, ranked, capacity)
        # Units of a step share the first parts of the rank.
        groups: dict[tuple, tuple] = {}
        over_accounts: set[ids.AccountId] = set()
        keyed = []
        for unit in ranked:
            step = unit.key.step_key
            group = groups.get(step)
            if group is None:
                group = groups[step] = rank(unit)[:_RANK_GROUP_LENGTH]
            account = unit.submission.account
            if account not in over_accounts:
                used = _dominant(projected[account], capacity)
                if used >= self.shares[account].entitled:
                    over_accounts.add(account)
                projected[account] = _sum(
                    projected[account], _amounts(unit.demand)
                )
            unguaranteed, _, late = group
            comes_later = account in over_accounts and unguaranteed and not late
            if comes_later:
                self.over_share[account] = self.shares[account]
            keyed.append(((*group, comes_later), unit))
        return [unit for _, unit in sorted(keyed, key=operator.itemgetter(0))]

    def _set_shares(
        self,
        projected: dict[ids.AccountId, Amounts],
        ranked: Sequence[waiting_units.WaitingUnit],
        capacity: Amounts,
    ) -> None:
        """Sets the shares of the accounts that run or wait or did recently."""
        active = self._used.keys() | {u.submission.account for u in ranked}
        weights = {
            account: self._weights.get(account, DEFAULT_WEIGHT)
            for account in projected
        }
        total = sum(weights[account] for account in active)
        self.shares = {
            account: Share(
                used=_dominant(amounts, capacity),
                entitled=weights[account] / total,
            )
            for account, amounts in projected.items()
        }

    def _forget_small_usage(self, capacity: Amounts) -> None:
        self._means = {
            account: mean
            for account, mean in self._means.items()
            if account in self._used or _dominant(mean, capacity) >= MIN_SHARE
        }


_NOTHING: Amounts = (0.0, 0.0, 0.0)


def _amounts(demand: spec.Demand) -> Amounts:
    return (demand.millicores, demand.memory_mb, demand.accelerators)


def _sum(left: Amounts, right: Amounts) -> Amounts:
    return left[0] + right[0], left[1] + right[1], left[2] + right[2]


def _total(demands: Iterable[spec.Demand]) -> Amounts:
    total = _NOTHING
    for demand in demands:
        total = _sum(total, _amounts(demand))
    return total


def _dominant(amounts: Amounts, capacity: Amounts) -> float:
    return max(
        amount / available if available else 0.0
        for amount, available in zip(amounts, capacity, strict=True)
    )


def _is_contended(
    waiting: Sequence[waiting_units.WaitingUnit],
    workers: Iterable[worker_directory.Worker],
    allocations: worker_allocations.WorkerAllocations,
    round_quotas: quotas.Quotas,
) -> bool:
    """Returns whether the units need more of a resource than is free.

    What an account's quota holds back anyway does not count.
    """
    counts = collections.Counter(unit.key.step_key for unit in waiting)
    needed: dict[ids.AccountId, spec.Demand] = {}
    for unit in {unit.key.step_key: unit for unit in waiting}.values():
        account = unit.submission.account
        needed[account] = worker_allocations.add_demands(
            needed.get(account, worker_allocations.NO_DEMAND),
            worker_allocations.multiply_demand(
                unit.demand, counts[unit.key.step_key]
            ),
        )
    startable = _total(
        round_quotas.cap(account, demand) for account, demand in needed.items()
    )
    free = _total(map(allocations.free, workers))
    return any(
        amount > available
        for amount, available in zip(startable, free, strict=True)
    )
