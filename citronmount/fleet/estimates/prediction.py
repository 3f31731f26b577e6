"""Predictions of run times from learned statistics.

Two predictors compete by the variance of their errors, in logarithms: the
declared run time times a learned bias, and the typical run time of a key. See
Tsafrir, Etsion and Feitelson, "Backfilling Using System-Generated Predictions
Rather than User Runtime Estimates", IEEE TPDS 18(6), 2007, on why predictions
from finished runs are better than declared times.
"""

from collections.abc import Sequence
import enum
import math
import statistics

import msgspec

from citronmount.fleet.estimates import key_statistics

__all__ = [
    "AS_DECLARED",
    "LONG_LOG",
    "Prediction",
    "Quantile",
    "UNKNOWN",
    "predict",
]

# Runs that take this many times their predicted time are long ones.
LONG_FACTOR = 3.5
MAX_LONG_SHARE = 0.3
# A job whose declared time differs by this factor from the usual ones of its
# key is of another kind, so that their typical time says nothing about it.
OTHER_KIND_FACTOR = 3.0
MIN_LONG_SHARE_RUNS = 3.0

LONG_LOG = math.log(LONG_FACTOR)
# The declared time is right on average, by an uncertain factor.
AS_DECLARED = key_statistics.Moments(
    weight=key_statistics.SHRINKAGE_RUNS,
    variance=key_statistics.PRIOR_VARIANCE,
)
UNKNOWN = key_statistics.Moments(variance=key_statistics.PRIOR_VARIANCE)

_NORMAL = statistics.NormalDist()
_OTHER_KIND_LOG = math.log(OTHER_KIND_FACTOR)


class Quantile(enum.Enum):
    """Quantile of a run time; its value is the probability."""

    LOW = 0.02
    MEDIAN = 0.5
    HIGH = 0.9


class Prediction(msgspec.Struct, frozen=True, kw_only=True):
    """Distribution of the logarithm of a run time.

    Attributes:
        runs: Weight of the runs of the broadest key.
        mean: Centre of the runs that are not long ones.
        deviation: Standard deviation of these runs.
        long_share: Share of long runs.
        excess: Mean difference of long runs from the centre.
    """

    runs: float
    mean: float
    deviation: float
    long_share: float
    excess: float

    def quantile_ms(self, quantile: Quantile) -> int:
        """Returns a quantile of the mixture of usual and long runs."""
        usual_share = 1 - self.long_share
        share = quantile.value / usual_share
        if share < 1:
            deviations = _NORMAL.inv_cdf(share)
            log = self.mean + deviations * self.deviation
            return round(math.exp(min(log, self.mean + self.excess)))
        return round(math.exp(self.mean + self.excess))

    def mean_beyond(self, bound: float) -> float:
        """Returns the mean of the usual runs that exceed a bound.

        Args:
            bound: Logarithm of a run time, above the centre.

        Returns:
            The mean of the logarithms, at most that of a long run.
        """
        deviations = (bound - self.mean) / self.deviation
        tail = 1 - _NORMAL.cdf(deviations)
        if tail <= 0:
            return self.mean + LONG_LOG
        beyond = _NORMAL.pdf(deviations) / tail
        return self.mean + min(self.deviation * beyond, LONG_LOG)


def predict(
    found: Sequence[key_statistics.KeyStatistics], log_declared: float | None
) -> Prediction | None:
    """Predicts the run time of a task.

    Args:
        found: Statistics of the task's keys, the broadest first.
        log_declared: Logarithm of the declared run time, or None without one.

    Returns:
        The prediction, or None if nothing is known about the keys.
    """
    if not found:
        return None
    typical, declared = UNKNOWN, UNKNOWN
    bias, spread = AS_DECLARED, AS_DECLARED
    for own in found:
        typical = key_statistics.shrink(own.typical, typical)
        bias = key_statistics.shrink(own.bias, bias)
        declared = key_statistics.shrink(own.declared, declared)
        spread = key_statistics.shrink(own.residual, spread)
    mean = _combine(typical, bias, declared, log_declared)
    if mean is None:
        return None
    broadest = found[0]
    long_share = broadest.excess.weight / max(
        broadest.typical.weight, MIN_LONG_SHARE_RUNS
    )
    return Prediction(
        runs=broadest.typical.weight,
        mean=mean,
        deviation=math.sqrt(_variance_of_new(spread)),
        long_share=min(long_share, MAX_LONG_SHARE),
        excess=max(broadest.excess.mean, LONG_LOG),
    )


def _combine(
    typical: key_statistics.Moments,
    bias: key_statistics.Moments,
    declared: key_statistics.Moments,
    log_declared: float | None,
) -> float | None:
    """Combines the two predictors by inverse variance."""
    if log_declared is None:
        return typical.mean if typical.weight > 0 else None
    by_declared = log_declared + bias.mean
    other_kind = (
        declared.weight > 0
        and abs(log_declared - declared.mean) > _OTHER_KIND_LOG
    )
    if typical.weight <= 0 or other_kind:
        return by_declared
    typical_precision = 1 / _variance_of_new(typical)
    bias_precision = 1 / _variance_of_new(bias)
    share = typical_precision / (typical_precision + bias_precision)
    return by_declared + share * (typical.mean - by_declared)


def _variance_of_new(moments: key_statistics.Moments) -> float:
    """Returns the variance of a new value around an uncertain mean."""
    return moments.variance * (1 + 1 / moments.weight)
