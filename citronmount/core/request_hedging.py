"""Budgets of repeated requests and the delay before a hedge.

Hedged requests follow Dean and Barroso, "The Tail at Scale", CACM 2013: a
second copy is sent only after a high percentile of the measured time and only
for a small share of the requests.
"""

import collections
import math

__all__ = ["Budget", "HedgeDelay", "RateLimit"]

SAMPLES = 256
MIN_SAMPLES = 64
REFRESH_EVERY = 32
HEDGE_PERCENTILE = 0.95
HEDGE_MIN_DELAY_MS = 5


class Budget:
    """Allows repeats up to a share of the first attempts."""

    def __init__(self, *, share: float, burst: float) -> None:
        """Initializes a full budget.

        Args:
            share: Repeats allowed for each first attempt.
            burst: The most repeats that may be saved up.
        """
        self._share = share
        self._burst = burst
        self._saved = burst

    def earn(self) -> None:
        """Notes a first attempt."""
        self._saved = min(self._burst, self._saved + self._share)

    def spend(self) -> bool:
        """Takes one repeat from the budget.

        Returns:
            Whether there was one.
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class RateLimit:
    """A token bucket for the arrivals of one account."""

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        """Initializes a full bucket.

        Args:
            rate_per_s: Arrivals allowed each second.
            burst: Arrivals allowed at once.
        """
        self._rate_per_ms = rate_per_s / 1_000
        self._burst = burst
        self._tokens = burst
        self._filled_ms: int | None = None

    def admit(self, now_ms: int) -> int:
        """Takes a token.

        Args:
            now_ms: Monotonic time.

        Returns:
            0 if there was one, otherwise how many ms until there is one.
        """
        passed_ms = now_ms - (
            now_ms if self._filled_ms is None else self._filled_ms
        )
        self._filled_ms = now_ms
        self._tokens = min(
            self._burst, self._tokens + passed_ms * self._rate_per_ms
        )
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0
        return math.ceil((1.0 - self._tokens) / self._rate_per_ms)


class HedgeDelay:
    """The delay after which a request counts as slow."""

    def __init__(self) -> None:
        """Initializes without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self._seen = 0
        self._delay_ms: int | None = None

    def observe(self, took_ms: float) -> None:
        """Notes how long an answer took.

        Args:
            took_ms: The time from dispatch to answer.
        """
        self._samples.append(took_ms)
        self._seen += 1
        if self._seen >= MIN_SAMPLES and self._seen % REFRESH_EVERY == 0:
            ranked = sorted(self._samples)
            high = ranked[int(HEDGE_PERCENTILE * (len(ranked) - 1))]
            self._delay_ms = max(HEDGE_MIN_DELAY_MS, math.ceil(high))

    @property
    def delay_ms(self) -> int | None:
        """The delay, or None while there are too few samples."""
        return self._delay_ms
