"""Estimates the relative speeds of machines with their uncertainty.

Tasks that do similar work show the relative speeds of their machines. The
logarithm of each speed is a normal variable, updated by precision-weighted
rates as in a Kalman filter; see Kalman, "A New Approach to Linear Filtering
and Prediction Problems", Journal of Basic Engineering 82, 1960. Rates far from
what is known have little weight, as in the M-estimators of Huber, "Robust
Estimation of a Location Parameter", Annals of Mathematical Statistics 35, 1964.
"""

import collections
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
import statistics

import msgspec

from citronmount.fleet.workers import speed_range
from citronmount.fleet.workers import worker_directory

__all__ = ["PRIOR_DEVIATION", "Rate", "SpeedEstimates"]

# Of the logarithm; covers the speeds from `MIN_SPEED` to `MAX_SPEED`.
PRIOR_DEVIATION = 0.4
RESTORED_DEVIATION = 0.15
MIN_DEVIATION = 0.02
DRIFT_VARIANCE_PER_S = 0.0001
OUTLIER_DEVIATIONS = 2.5
# Larger differences of logarithms are slowdowns for a while.
MAX_LOG_DIFFERENCE = math.log(speed_range.MAX_SPEED / speed_range.MIN_SPEED) + (
    0.4
)
MAX_LEVELS = 1_000

_MS_PER_S = 1_000
_RANGE_DEVIATIONS = 2.0
_SNAPSHOT_DIGITS = 2


class Rate(msgspec.Struct, frozen=True, kw_only=True):
    """Progress rate of a task.

    Attributes:
        machine: The machine of the task.
        log_rate: Natural logarithm of the rate.
        variance: Variance of the logarithm, the machine's speed aside.
    """

    machine: worker_directory.MachineId
    log_rate: float
    variance: float


class _Normal(msgspec.Struct, kw_only=True):
    """Mean and variance of a logarithm, as of a monotonic time."""

    mean: float = 0.0
    variance: float = PRIOR_DEVIATION**2
    updated_ms: int = 0


class _Residual(msgspec.Struct, frozen=True, kw_only=True):
    """Level of a group according to one rate, and its weight."""

    level: float
    rate_variance: float
    outlier_factor: float
    weight: float


class SpeedEstimates:
    """Relative speeds of machines, learned from groups of similar tasks."""

    def __init__(self) -> None:
        """Initializes without observations."""
        self._speeds: dict[worker_directory.MachineId, _Normal] = {}
        self._levels: collections.OrderedDict[Hashable, _Normal] = (
            collections.OrderedDict()
        )

    @property
    def known_count(self) -> int:
        """Number of machines with an estimate."""
        return len(self._speeds)

    def observe_group(
        self, group: Hashable, rates: Sequence[Rate], now_ms: int
    ) -> None:
        """Updates the estimates with new rates of similar tasks.

        The level of the group is the rate on a machine of speed 1. Each rate,
        less the level by the other ones, is an observation of its machine. The
        level is kept for later rates of the group.

        Args:
            group: Key of the tasks that do similar work.
            rates: Rates not observed before.
            now_ms: Monotonic time in milliseconds.
        """
        speeds = {
            each.machine: self._current(each.machine, now_ms) for each in rates
        }
        known = self._levels.pop(group, None)
        residuals = _residuals(rates, speeds, known)
        weight = sum(each.weight for each in residuals)
        total = sum(each.weight * each.level for each in residuals)
        if known is not None:
            weight += 1 / known.variance
            total += known.mean / known.variance
        if not weight:
            return
        for rate, residual in zip(rates, residuals, strict=True):
            others = weight - residual.weight
            if residual.weight and others > weight * 1e-9:
                level = (total - residual.weight * residual.level) / others
                variance = (residual.rate_variance + 1 / others) * (
                    residual.outlier_factor
                )
                self._update(
                    rate.machine,
                    speeds[rate.machine],
                    rate.log_rate - level,
                    variance,
                    now_ms,
                )
        self._levels[group] = _Normal(mean=total / weight, variance=1 / weight)
        if len(self._levels) > MAX_LEVELS:
            self._levels.popitem(last=False)

    def speed_range(
        self, machine: worker_directory.MachineId
    ) -> speed_range.SpeedRange:
        """Returns the likely speeds of a machine, relative to the pool."""
        speed = self._speeds.get(machine)
        if speed is None:
            return speed_range.UNKNOWN
        margin = _RANGE_DEVIATIONS * math.sqrt(speed.variance)
        expected = math.exp(speed.mean)
        return speed_range.SpeedRange(
            low=max(
                math.exp(speed.mean - margin),
                min(speed_range.MIN_SPEED, expected),
            ),
            expected=expected,
            high=min(
                math.exp(speed.mean + margin),
                max(speed_range.MAX_SPEED, expected),
            ),
        )

    def deviation(self, machine: worker_directory.MachineId) -> float:
        """Returns the standard deviation of the logarithm of a speed."""
        speed = self._speeds.get(machine)
        return PRIOR_DEVIATION if speed is None else math.sqrt(speed.variance)

    def slowdown(
        self, machine: worker_directory.MachineId, now_ms: int
    ) -> float:
        """Returns the factor by which a machine is slower than the pool."""
        del now_ms
        return max(1 / self.speed_range(machine).expected, 1.0)

    def snapshot(
        self, machines: Iterable[worker_directory.MachineId]
    ) -> dict[worker_directory.MachineId, float]:
        """Returns the estimates to record for the next owner.

        Args:
            machines: The machines of the pool.

        Returns:
            Natural logarithm of the relative speed of each machine that is
            known at least as well as a restored one.
        """
        return {
            machine: round(self._speeds[machine].mean, _SNAPSHOT_DIGITS)
            for machine in machines
            if self.deviation(machine) <= RESTORED_DEVIATION
        }

    def restore(
        self, snapshot: Mapping[worker_directory.MachineId, float], now_ms: int
    ) -> None:
        """Restores the estimates of an earlier owner.

        Args:
            snapshot: Return value of `snapshot` at the earlier owner.
            now_ms: Monotonic time in milliseconds.
        """
        for machine, log_speed in snapshot.items():
            self._speeds[machine] = _Normal(
                mean=log_speed,
                variance=RESTORED_DEVIATION**2,
                updated_ms=now_ms,
            )

    def _current(
        self, machine: worker_directory.MachineId, now_ms: int
    ) -> _Normal:
        """Returns the estimate of a machine with its drift until now."""
        speed = self._speeds.get(machine)
        if speed is None:
            return _Normal(updated_ms=now_ms)
        elapsed_s = (now_ms - speed.updated_ms) / _MS_PER_S
        variance = speed.variance + DRIFT_VARIANCE_PER_S * elapsed_s
        return _Normal(
            mean=speed.mean,
            variance=min(variance, PRIOR_DEVIATION**2),
            updated_ms=now_ms,
        )

    def _update(
        self,
        machine: worker_directory.MachineId,
        before: _Normal,
        observed: float,
        variance: float,
        now_ms: int,
    ) -> None:
        """Updates an estimate, which several rates of a group may share."""
        current = self._speeds.get(machine, before)
        if current.updated_ms != now_ms:
            current = before
        gain = current.variance / (current.variance + variance)
        self._speeds[machine] = _Normal(
            mean=current.mean + gain * (observed - current.mean),
            variance=max(current.variance * (1 - gain), MIN_DEVIATION**2),
            updated_ms=now_ms,
        )


def _residuals(
    rates: Sequence[Rate],
    speeds: Mapping[worker_directory.MachineId, _Normal],
    known: _Normal | None,
) -> list[_Residual]:
    """Returns the level by each rate; far from a typical one it weighs less.

    The typical level is the upper median, because a machine may be slowed down
    for a while, but not sped up.
    """
    levels = [each.log_rate - speeds[each.machine].mean for each in rates]
    typical = statistics.median_high(levels) if known is None else known.mean
    residuals = []
    for rate, level in zip(rates, levels, strict=True):
        variance = speeds[rate.machine].variance + rate.variance
        difference = abs(level - typical)
        outlier_factor = max(
            difference**2 / (variance * OUTLIER_DEVIATIONS**2), 1.0
        )
        ignored = difference > MAX_LOG_DIFFERENCE
        residuals.append(
            _Residual(
                level=level,
                rate_variance=rate.variance,
                outlier_factor=outlier_factor,
                weight=0.0 if ignored else 1 / (variance * outlier_factor),
            )
        )
    return residuals
