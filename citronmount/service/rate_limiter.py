"""Token buckets that limit the request rate of each client account."""

import collections

import msgspec

from citronmount.core import ids

__all__ = ["MAX_ACCOUNTS", "RateLimiter"]

MAX_ACCOUNTS = 10_000

_MS_PER_S = 1_000


class _Bucket(msgspec.Struct, kw_only=True):
    """Tokens that an account had at one time."""

    tokens: float
    as_of_ms: int


class RateLimiter:
    """One token bucket for each recently active account.

    Beyond `MAX_ACCOUNTS` buckets, the least recently used one is evicted, so
    that invented account names cannot exhaust the memory.
    """

    def __init__(self, *, rate_per_s: float, burst: int) -> None:
        """Initializes the limiter; every account starts with a full bucket.

        Args:
            rate_per_s: Sustained rate of one account, in requests per second.
            burst: Capacity of a bucket, in requests.
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
            0 if the request is allowed, otherwise the time in ms until the
            next token.

        Example:
            >>> limiter = RateLimiter(rate_per_s=10, burst=1)
            >>> [limiter.take("a", now_ms) for now_ms in (0, 0, 100)]
            [0, 100, 0]
        """
        bucket = self._bucket(account, now_ms)
        refill = (now_ms - bucket.as_of_ms) * self._rate_per_ms
        bucket.tokens = min(self._burst, bucket.tokens + refill)
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
