"""Log lines and metrics about the shares of the accounts."""

from citronmount.fleet import owner_state
from citronmount.fleet.accounts import fair_shares
from citronmount.fleet.accounts import transitions

__all__ = ["ShareMonitor", "gauges"]

_SHARE_DIGITS = 3


def gauges(shares: fair_shares.FairShares | None) -> dict[str, float]:
    """Returns gauges of the shares in the last round.

    Args:
        shares: The shares, or None without fair sharing.

    Returns:
        Values by name, as ``share.used.ACCOUNT``; none while all work fits.
    """
    values: dict[str, float] = {}
    for account, share in shares.shares.items() if shares else ():
        values[f"share.used.{account}"] = share.used
        values[f"share.entitled.{account}"] = share.entitled
    return values


class ShareMonitor:
    """Logs when units of an account begin and end to come after others."""

    def __init__(self, *, state: owner_state.OwnerState) -> None:
        """Initializes without accounts over their share.

        Args:
            state: State shared by the parts of the owner.
        """
        self._state = state
        self._over_share: transitions.Transitions[fair_shares.Share] = (
            transitions.Transitions()
        )

    def update(
        self, shares: fair_shares.FairShares | None, version: int, now_ms: int
    ) -> None:
        """Logs the changes that a planning round brought.

        Args:
            shares: The shares after the round, or None without fair sharing.
            version: Version of the configuration in force.
            now_ms: Monotonic time in milliseconds.
        """
        began, ended = self._over_share.update(
            shares.over_share if shares else {}, now_ms
        )
        for event, changed in (
            ("account_over_share", began),
            ("account_not_over_share", ended),
        ):
            for account, share in changed.items():
                self._state.log.info(
                    event,
                    account=account,
                    used=round(share.used, _SHARE_DIGITS),
                    entitled=round(share.entitled, _SHARE_DIGITS),
                    version=version,
                )
