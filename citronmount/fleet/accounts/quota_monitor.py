"""Log lines and metrics about accounts and their quotas."""

from collections.abc import Iterable

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import owner_state
from citronmount.fleet.accounts import quota_limits
from citronmount.fleet.accounts import quotas
from citronmount.fleet.accounts import transitions
from citronmount.fleet.runs import unit_runs
from citronmount.workflow import units

__all__ = ["QuotaMonitor", "gauges"]


def gauges(
    accounts: Iterable[fleet_configuration.Account],
    runs: Iterable[unit_runs.Run],
) -> dict[str, float]:
    """Returns gauges of usage and quota by account and limited resource.

    Args:
        accounts: The client accounts with their quotas.
        runs: All runs.

    Returns:
        Values by name, as ``quota.used.ACCOUNT.RESOURCE``.
    """
    limited = [
        each for each in accounts if each.quota != fleet_configuration.NO_QUOTA
    ]
    used = quotas.used_by_account(runs, [each.account for each in limited])
    values: dict[str, float] = {}
    for each in limited:
        for resource in quota_limits.Resource:
            limit = quota_limits.limit_of(each.quota, resource)
            if limit <= 0:
                continue
            name = f"{each.account}.{resource.value}"
            values[f"quota.used.{name}"] = quota_limits.amount_of(
                used[each.account], resource
            )
            values[f"quota.limit.{name}"] = limit
    return values


class QuotaMonitor:
    """Logs when an account's quota begins and ends to hold back its units."""

    def __init__(self, *, state: owner_state.OwnerState) -> None:
        """Initializes without limited accounts.

        Args:
            state: State shared by the parts of the owner.
        """
        self._state = state
        self._limited: transitions.Transitions[quota_limits.Limit] = (
            transitions.Transitions()
        )
        self._never_fitting: frozenset[units.UnitId] = frozenset()

    def update(
        self, round_quotas: quotas.Quotas | None, version: int, now_ms: int
    ) -> None:
        """Logs the changes that a planning round brought.

        Args:
            round_quotas: The quotas after the round, or None if no unit waited.
            version: Version of the configuration in force.
            now_ms: Monotonic time in milliseconds.
        """
        began, ended = self._limited.update(
            round_quotas.limits if round_quotas else {}, now_ms
        )
        for account, limit in began.items():
            self._log("account_limited", account, limit, version)
        for account, limit in ended.items():
            self._log("account_not_limited", account, limit, version)
        never_fitting = round_quotas.never_fitting if round_quotas else {}
        for unit in never_fitting.keys() - self._never_fitting:
            self._state.log.warning(
                "unit_exceeds_quota",
                unit=unit,
                resource=never_fitting[unit].resource.value,
                needed=never_fitting[unit].needed,
                quota=never_fitting[unit].quota,
                version=version,
            )
        self._never_fitting = frozenset(never_fitting)

    def _log(
        self,
        event: str,
        account: ids.AccountId,
        limit: quota_limits.Limit,
        version: int,
    ) -> None:
        used = quotas.used_by_account(self._state.table, [account])
        self._state.log.info(
            event,
            account=account,
            resource=limit.resource.value,
            used=quota_limits.amount_of(used[account], limit.resource),
            quota=limit.quota,
            version=version,
        )
