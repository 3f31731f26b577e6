"""Retry budgets, rate limits and the delay before a hedged request.

Hedged requests follow Dean and Barroso, "The Tail at Scale", CACM 2013: a
second copy is sent only after a high percentile of the measured latency and
only for a small share of the requests.
"""

import collections
import math

__all__ = ["HedgeDelay", "RetryBudget", "TokenBucket"]

MAX_SAMPLES = 256
MIN_SAMPLES = 64
REFRESH_EVERY_SAMPLES = 32
HEDGE_QUANTILE = 0.95
HEDGE_MIN_DELAY_MS = 5


class RetryBudget:
    """Limits retries or hedges to a share of the first attempts."""

    def __init__(self, *, share: float, burst: float) -> None:
        """Initializes a full budget.

        Args:
            share: Number of retries allowed per first attempt.
            burst: Maximum balance, in retries.
        """
        self._share = share
        self._burst = burst
        self._balance = burst

    def deposit(self) -> None:
        """Adds the share of one first attempt to the balance."""
        self._balance = min(self._burst, self._balance + self._share)

    def try_withdraw(self) -> bool:
        """Takes one retry from the balance.

        Returns:
            Whether the balance was sufficient.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class TokenBucket:
    """Token bucket that limits the request rate of an account."""

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        """Initializes a full bucket.

        Args:
            rate_per_s: Sustained number of requests per second.
            burst: Number of requests allowed at once.
        """
        self._rate_per_ms = rate_per_s / 1_000
        self._burst = burst
        self._tokens = burst
        self._refilled_ms: int | None = None

    def try_take(self, now_ms: int) -> int:
        """Takes a token if one is available.

        Args:
            now_ms: Monotonic time.

        Returns:
            0 if a token was taken, otherwise the time in ms until the next
            token becomes available.
        """
        elapsed_ms = now_ms - (
            now_ms if self._refilled_ms is None else self._refilled_ms
        )
        self._refilled_ms = now_ms
        self._tokens = min(
            self._burst, self._tokens + elapsed_ms * self._rate_per_ms
        )
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0
        return math.ceil((1.0 - self._tokens) / self._rate_per_ms)


class HedgeDelay:
    """Delay after which a request is hedged, from recent latencies."""

    def __init__(self) -> None:
        """Initializes without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._sample_count = 0
        self._delay_ms: int | None = None

    def observe(self, latency_ms: float) -> None:
        """Records the latency of an answered request.

        Args:
            latency_ms: Time from dispatch to answer.
        """
        self._samples.append(latency_ms)
        self._sample_count += 1
        if (
            self._sample_count >= MIN_SAMPLES
            and self._sample_count % REFRESH_EVERY_SAMPLES == 0
        ):
            ordered = sorted(self._samples)
            quantile_ms = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]
            self._delay_ms = max(HEDGE_MIN_DELAY_MS, math.ceil(quantile_ms))

    @property
    def delay_ms(self) -> int | None:
        """Delay in ms, or None while there are too few samples."""
        return self._delay_ms
