"""Accounting of the service that accounts get beyond their guarantees."""

from citronmount.core import ids

__all__ = ["Ledger"]

_RANK_LOOKAHEAD_MS = 600_000


class _AccountService:
    __slots__ = (
        "accelerators",
        "guaranteed",
        "updated_ms",
        "virtual_time_ms",
        "weight",
    )

    def __init__(self, now_ms: int) -> None:
        self.accelerators = 0
        self.guaranteed = 0
        self.updated_ms = now_ms
        self.virtual_time_ms = 0.0
        self.weight = 1

    @property
    def beyond_guarantee(self) -> int:
        return max(self.accelerators - self.guaranteed, 0)


class Ledger:
    """Accelerator time beyond guarantees per account, divided by its weight.

    Use within an account's guarantee is not counted. An account that has
    demand again after a pause starts at the smallest virtual time of the
    accounts with demand, so that a pause earns no credit (start-time fair
    queueing, Goyal et al., SIGCOMM 1996).
    """

    def __init__(self) -> None:
        """Initializes an empty ledger."""
        self._services: dict[ids.AccountId, _AccountService] = {}

    def set_entitlement(
        self,
        account: ids.AccountId,
        *,
        weight: int,
        guaranteed: int,
        now_ms: int,
    ) -> None:
        """Sets the weight and the guarantee of an account.

        Args:
            account: Client account.
            weight: Weight of the account in sharing accelerators beyond
                guarantees.
            guaranteed: Accelerators guaranteed to the account in the failure
                domain.
            now_ms: Monotonic time.
        """
        service = self._advance(account, now_ms)
        service.weight = max(weight, 1)
        service.guaranteed = guaranteed

    def add_held(
        self, account: ids.AccountId, accelerators: int, now_ms: int
    ) -> None:
        """Adds accelerators to those that an account holds; may be negative."""
        self._advance(account, now_ms).accelerators += accelerators

    def resume(
        self,
        account: ids.AccountId,
        active_accounts: list[ids.AccountId],
        now_ms: int,
    ) -> None:
        """Records that an account without demand has demand again.

        Args:
            account: Client account.
            active_accounts: Accounts that already have demand.
            now_ms: Monotonic time.
        """
        service = self._advance(account, now_ms)
        min_virtual_time_ms = min(
            (
                self._advance(other, now_ms).virtual_time_ms
                for other in active_accounts
            ),
            default=service.virtual_time_ms,
        )
        service.virtual_time_ms = max(
            service.virtual_time_ms, min_virtual_time_ms
        )

    def rank(self, account: ids.AccountId, now_ms: int) -> float:
        """Ranks an account; the least served account has the smallest rank.

        Accelerators in use count as if held for a further lookahead period,
        so that a single scheduling pass over a free pool divides it by weight.

        Args:
            account: Client account.
            now_ms: Monotonic time.

        Returns:
            Accelerator milliseconds beyond the guarantee, divided by weight.
        """
        service = self._advance(account, now_ms)
        lookahead = (
            service.beyond_guarantee * _RANK_LOOKAHEAD_MS / service.weight
        )
        return service.virtual_time_ms + lookahead

    def _advance(self, account: ids.AccountId, now_ms: int) -> _AccountService:
        service = self._services.get(account)
        if service is None:
            service = self._services[account] = _AccountService(now_ms)
        elapsed_ms = max(now_ms - service.updated_ms, 0)
        service.virtual_time_ms += (
            elapsed_ms * service.beyond_guarantee / service.weight
        )
        service.updated_ms = max(now_ms, service.updated_ms)
        return service
