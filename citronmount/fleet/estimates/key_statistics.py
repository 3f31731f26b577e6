"""Decaying statistics of the run times of one key."""

import math

import msgspec

__all__ = ["KeyStatistics", "Moments", "PRIOR_VARIANCE", "shrink"]

# A run keeps this share of its weight with each later run of its key.
WEIGHT_RETENTION = 0.97
# Number of runs that the broader key counts for.
SHRINKAGE_RUNS = 3.0
# Of the logarithm; a factor of 1.57 is one standard deviation.
PRIOR_VARIANCE = 0.2
MIN_VARIANCE = 0.0025
CLIP_DEVIATIONS = 2.0
# Of the logarithm. Without it, a key of very regular runs follows a lasting
# change only over hundreds of runs.
MIN_CLIP = 0.5


class Moments(msgspec.Struct, kw_only=True):
    """Weighted mean and variance of a logarithm.

    Attributes:
        weight: Number of runs, of which older ones count less.
        mean: Mean.
        variance: Variance around the mean.
    """

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float, weight: float) -> None:
        """Adds a value; the values before it lose weight."""
        self.weight = self.weight * WEIGHT_RETENTION**weight + weight
        gain = weight / self.weight
        deviation = value - self.mean
        self.mean += gain * deviation
        self.variance = (1 - gain) * (self.variance + gain * deviation**2)

    def raise_mean(self, value: float, weight: float) -> None:
        """Moves the mean towards a higher value; ignores a lower one.

        Weight and variance stay, so that the mean is no more certain than
        before.
        """
        if self.weight > 0:
            gain = weight / (self.weight + weight)
            self.mean += gain * max(value - self.mean, 0.0)


class KeyStatistics(msgspec.Struct, kw_only=True):
    """What is known about the run times of one key, in logarithms.

    Attributes:
        typical: Run times.
        bias: Run times relative to the declared ones.
        declared: Declared run times.
        residual: Run times relative to the predictions.
        excess: Run times of long runs relative to the predictions.
    """

    typical: Moments = msgspec.field(default_factory=Moments)
    bias: Moments = msgspec.field(default_factory=Moments)
    declared: Moments = msgspec.field(default_factory=Moments)
    residual: Moments = msgspec.field(default_factory=Moments)
    excess: Moments = msgspec.field(default_factory=Moments)

    def all_moments(self) -> tuple[Moments, ...]:
        """Returns the moments in the order of the fields."""
        return tuple(getattr(self, name) for name in self.__struct_fields__)


def shrink(own: Moments, broader: Moments) -> Moments:
    """Combines the moments of a key with those of the next broader one.

    Args:
        own: Moments of the key.
        broader: Combined moments of the broader key. With weight 0 it has only
            a variance and no mean.

    Returns:
        Moments whose weight is the key's own, plus that of the broader key up
        to `SHRINKAGE_RUNS`.
    """
    if own.weight <= 0:
        return broader
    prior_runs = SHRINKAGE_RUNS
    mean = own.mean
    if broader.weight > 0:
        share = prior_runs / (own.weight + prior_runs)
        mean += share * (broader.mean - own.mean)
    variance = (own.weight * own.variance + prior_runs * broader.variance) / (
        own.weight + prior_runs
    )
    return Moments(
        weight=own.weight + min(broader.weight, prior_runs),
        mean=mean,
        variance=max(variance, MIN_VARIANCE),
    )


def clipped(value: float, around: Moments) -> float:
    """Returns a value, moved to within some deviations of the mean.

    Huber, "Robust Estimation of a Location Parameter", Annals of Mathematical
    Statistics 35(1), 1964: rare outliers hardly move the mean, while a lasting
    change does.
    """
    if around.weight <= 0:
        return value
    limit = max(CLIP_DEVIATIONS * math.sqrt(around.variance), MIN_CLIP)
    return min(max(value, around.mean - limit), around.mean + limit)
