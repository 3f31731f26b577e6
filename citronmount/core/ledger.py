"""Keeps what each account was served against its due share."""

from citronmount.core import ids

__all__ = ["Ledger"]

_LOOKAHEAD_MS = 600_000


class _Served:
    __slots__ = ("accelerators", "as_of_ms", "virtual_ms", "weight")

    def __init__(self, now_ms: int) -> None:
        self.accelerators = 0
        self.as_of_ms = now_ms
        self.virtual_ms = 0.0
        self.weight = 1


class Ledger:
    """Served accelerator time of each account over its weight.

    An account that comes back after a pause starts at the smallest served
    share of the accounts with demand, so that a pause earns no credit
    (start-time fair queueing, Goyal et al., SIGCOMM 1996).
    """

    def __init__(self) -> None:
        """Initializes an empty ledger."""
        self._served: dict[ids.AccountId, _Served] = {}

    def set_weight(
        self, account: ids.AccountId, weight: int, now_ms: int
    ) -> None:
        """Sets the due share of an account, its guaranteed accelerators."""
        served = self._settle(account, now_ms)
        served.weight = max(weight, 1)

    def change(
        self, account: ids.AccountId, accelerators: int, now_ms: int
    ) -> None:
        """Adds to the accelerators that an account holds at present."""
        self._settle(account, now_ms).accelerators += accelerators

    def wake(
        self,
        account: ids.AccountId,
        others: list[ids.AccountId],
        now_ms: int,
    ) -> None:
        """Notes that an account without demand has demand again.

        Args:
            account: The account.
            others: Accounts that have demand already.
            now_ms: Monotonic time.
        """
        served = self._settle(account, now_ms)
        floor = min(
            (self._settle(other, now_ms).virtual_ms for other in others),
            default=served.virtual_ms,
        )
        served.virtual_ms = max(served.virtual_ms, floor)

    def rank(self, account: ids.AccountId, now_ms: int) -> float:
        """Ranks an account; the one furthest behind has the smallest rank.

        The accelerators held at present count for a time ahead, so that one
        pass over a free pool already divides it by weight.

        Args:
            account: The account.
            now_ms: Monotonic time.

        Returns:
            Its served share, in accelerator milliseconds over weight.
        """
        served = self._settle(account, now_ms)
        ahead = served.accelerators * _LOOKAHEAD_MS / served.weight
        return served.virtual_ms + ahead

    def _settle(self, account: ids.AccountId, now_ms: int) -> _Served:
        served = self._served.get(account)
        if served is None:
            served = self._served[account] = _Served(now_ms)
        elapsed_ms = max(now_ms - served.as_of_ms, 0)
        served.virtual_ms += elapsed_ms * served.accelerators / served.weight
        served.as_of_ms = max(now_ms, served.as_of_ms)
        return served
