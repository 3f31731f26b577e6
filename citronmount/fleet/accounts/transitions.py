"""Begin and end of a condition of accounts, for one log line each."""

from collections.abc import Mapping
import typing

from citronmount.core import ids

__all__ = ["Transitions"]

# A condition that changes at each end of a task would otherwise be logged as
# often.
END_DELAY_MS = 1_000

Detail = typing.TypeVar("Detail")


class Transitions(typing.Generic[Detail]):
    """Accounts for which a condition holds, with its newest detail."""

    def __init__(self) -> None:
        """Initializes with a condition that holds for no account."""
        self._details: dict[ids.AccountId, Detail] = {}
        self._last_ms: dict[ids.AccountId, int] = {}

    def update(
        self, details: Mapping[ids.AccountId, Detail], now_ms: int
    ) -> tuple[dict[ids.AccountId, Detail], dict[ids.AccountId, Detail]]:
        """Replaces the accounts for which the condition holds.

        Args:
            details: Detail of each account for which the condition holds now.
            now_ms: Monotonic time in milliseconds.

        Returns:
            The accounts for which the condition began, and those for which it
            has not held for `END_DELAY_MS`.
        """
        began = {
            account: detail
            for account, detail in details.items()
            if account not in self._details
        }
        self._details |= details
        self._last_ms |= dict.fromkeys(details, now_ms)
        ended = {
            account: self._details[account]
            for account, last_ms in self._last_ms.items()
            if now_ms - last_ms >= END_DELAY_MS
        }
        for account in ended:
            del self._details[account], self._last_ms[account]
        return began, ended
