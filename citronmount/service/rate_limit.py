"""Limits how fast each client account may send, by token buckets."""

import collections

import msgspec

from citronmount.core import ids

__all__ = ["MAX_ACCOUNTS", "RateLimit"]

MAX_ACCOUNTS = 10_000

_MS_PER_S = 1_000


class _Bucket(msgspec.Struct, kw_only=True):
    """Tokens left to an account at one moment."""

    tokens: float
    as_of_ms: int


class RateLimit:
    """One token bucket for each account that sent lately.

    Beyond `MAX_ACCOUNTS` the account that has not sent for the longest time
    is forgotten, so that made-up names cannot fill the memory.
    """

    def __init__(self, *, rate_per_s: float, burst: int) -> None:
        """Initializes with full buckets.

        Args:
            rate_per_s: Sustained rate of one account.
            burst: How many requests may come at once.
        """
        self._rate_per_ms = rate_per_s / _MS_PER_S
        self._burst = burst
        self._buckets: collections.OrderedDict[ids.AccountId, _Bucket] = (
            collections.OrderedDict()
        )

    def take(self, account: ids.AccountId, now_ms: int) -> int:
        """Takes one token from the bucket of an account.

        Args:
            account: The account.
            now_ms: Monotonic time.

        Returns:
            0 if the request may go on, otherwise in how many ms to come back.

        Example:
            >>> limit = RateLimit(rate_per_s=10, burst=1)
            >>> limit.take("a", 0), limit.take("a", 0), limit.take("a", 100)
            (0, 100, 0)
        """
        bucket = self._bucket(account, now_ms)
        earned = (now_ms - bucket.as_of_ms) * self._rate_per_ms
        bucket.tokens = min(self._burst, bucket.tokens + earned)
        bucket.as_of_ms = now_ms
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return 0
        return max(1, round((1 - bucket.tokens) / self._rate_per_ms))

    def _bucket(self, account: ids.AccountId, now_ms: int) -> _Bucket:
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = _Bucket(tokens=self._burst, as_of_ms=now_ms)
            self._buckets[account] = bucket
        self._buckets.move_to_end(account)
        if len(self._buckets) > MAX_ACCOUNTS:
            self._buckets.popitem(last=False)
        return bucket
