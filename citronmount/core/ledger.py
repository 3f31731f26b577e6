"""Keeps what each account was served against its due share."""

from citronmount.core import ids

__all__ = ["Ledger"]

_LOOKAHEAD_MS = 600_000


class _Served:
    __slots__ = (
        "accelerators",
        "as_of_ms",
        "guaranteed",
        "virtual_ms",
        "weight",
    )

    def __init__(self, now_ms: int) -> None:
        self.accelerators = 0
        self.guaranteed = 0
        self.as_of_ms = now_ms
        self.virtual_ms = 0.0
        self.weight = 1

    @property
    def extra(self) -> int:
        return max(self.accelerators - self.guaranteed, 0)


class Ledger:
    """Accelerator time served beyond guarantees, over the account's weight.

    What an account uses of its guarantee is its own and is not counted.
    An account that comes back after a pause starts at the smallest served
    share of the accounts with demand, so that a pause earns no credit
    (start-time fair queueing, Goyal et al., SIGCOMM 1996).
    """

    def __init__(self) -> None:
        """Initializes an empty ledger."""
        self._served: dict[ids.AccountId, _Served] = {}

    def set_entitlement(
        self,
        account: ids.AccountId,
        *,
        weight: int,
        guaranteed: int,
        now_ms: int,
    ) -> None:
        """Sets what an account is due.

        Args:
            account: The account.
            weight: Its share beyond guarantees, relative to others.
            guaranteed: Accelerators guaranteed to it in the failure domain.
            now_ms: Monotonic time.
        """
        served = self._settle(account, now_ms)
        served.weight = max(weight, 1)
        served.guaranteed = guaranteed

    def add_held(
        self, account: ids.AccountId, accelerators: int, now_ms: int
    ) -> None:
        """Adds to the accelerators that an account holds at present."""
        self._settle(account, now_ms).accelerators += accelerators

    def resume(
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
        ahead = served.extra * _LOOKAHEAD_MS / served.weight
        return served.virtual_ms + ahead

    def _settle(self, account: ids.AccountId, now_ms: int) -> _Served:
        served = self._served.get(account)
        if served is None:
            served = self._served[account] = _Served(now_ms)
        elapsed_ms = max(now_ms - served.as_of_ms, 0)
        served.virtual_ms += elapsed_ms * served.extra / served.weight
        served.as_of_ms = max(now_ms, served.as_of_ms)
        return served
