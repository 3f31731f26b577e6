"""Estimates the relative speeds of machines.

Some machines take longer for the same work, and an urgent gang is as slow as
its slowest member. The members of a gang do equal work, so their progress rates
show the relative speeds of their machines.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import statistics

from citronmount.fleet.workers import worker_directory

__all__ = ["SLOWER_FACTOR", "WorkerSpeeds"]

SLOWER_FACTOR = 1.12
MIN_GAIN = 0.3
SEVERE_SLOWDOWN_FACTOR = 2.0
SEVERE_SLOWDOWN_TTL_MS = 10_000
MIN_BASELINE_MACHINES = 4

_SNAPSHOT_DIGITS = 2
_RESTORED_OBSERVATIONS = 2


class _SpeedEstimate:
    """Natural logarithm of the relative speed of one machine."""

    def __init__(self) -> None:
        self.log = 0.0
        self.observations = 0
        self.observed_ms = 0


class WorkerSpeeds:
    """Relative speeds of machines."""

    def __init__(self) -> None:
        """Initializes without observations."""
        self._speeds: dict[worker_directory.MachineId, _SpeedEstimate] = {}
        self._cached_fast_log_speed: float | None = None

    def observe(
        self, rates: Mapping[worker_directory.MachineId, float], now_ms: int
    ) -> None:
        """Updates the estimates with the progress rates of a gang's members.

        Rates depend on the job as well as on the machine, and the estimates are
        logarithms. The effect of the job is taken to be the median difference
        between the logarithm of a machine's rate and its estimate; it is
        subtracted from the logarithm of each rate. Each estimate is an
        exponential moving average of the resulting values, in which the first
        observations weigh more.

        Args:
            rates: Mean progress rate on each machine, in percent per second.
                Rates on a single machine are ignored.
            now_ms: Monotonic time in milliseconds.
        """
        if len(rates) < 2:
            return
        speeds = {
            machine: self._speeds.setdefault(machine, _SpeedEstimate())
            for machine in rates
        }
        level = statistics.median(
            math.log(rate) - speeds[machine].log
            for machine, rate in rates.items()
        )
        for machine, rate in rates.items():
            speed = speeds[machine]
            speed.observations += 1
            gain = max(1 / speed.observations, MIN_GAIN)
            speed.log += gain * (math.log(rate) - level - speed.log)
            speed.observed_ms = now_ms
        self._cached_fast_log_speed = None

    def snapshot(
        self, machines: Iterable[worker_directory.MachineId]
    ) -> dict[worker_directory.MachineId, float]:
        """Returns the estimates to record for the next owner.

        Args:
            machines: The machines of the pool.

        Returns:
            Natural logarithm of the relative speed of each machine that has an
            estimate.
        """
        speeds = ((each, self._speeds.get(each)) for each in machines)
        return {
            machine: round(speed.log, _SNAPSHOT_DIGITS)
            for machine, speed in speeds
            if speed is not None
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
            speed = self._speeds.setdefault(machine, _SpeedEstimate())
            speed.log = log_speed
            speed.observations = _RESTORED_OBSERVATIONS
            speed.observed_ms = now_ms
        self._cached_fast_log_speed = None

    def slowdown(
        self, machine: worker_directory.MachineId, now_ms: int
    ) -> float:
        """Returns the factor by which a machine is slower than a fast one.

        A machine without an estimate counts as fast. A severe slowdown may be
        transient, so it is ignored `SEVERE_SLOWDOWN_TTL_MS` after the last
        observation and the machine is tried again.

        Args:
            machine: The machine.
            now_ms: Monotonic time in milliseconds.

        Returns:
            The factor, at least 1.
        """
        speed = self._speeds.get(machine)
        if speed is None:
            return 1.0
        factor = math.exp(self._fast_log_speed() - speed.log)
        stale = now_ms - speed.observed_ms > SEVERE_SLOWDOWN_TTL_MS
        if factor >= SEVERE_SLOWDOWN_FACTOR and stale:
            return 1.0
        return max(factor, 1.0)

    def _fast_log_speed(self) -> float:
        """Returns the log speed of a fast machine.

        That is the upper quartile, or 0 with estimates of fewer than
        `MIN_BASELINE_MACHINES` machines.
        """
        if self._cached_fast_log_speed is None:
            log_speeds = [speed.log for speed in self._speeds.values()]
            self._cached_fast_log_speed = 0.0
            if len(log_speeds) >= MIN_BASELINE_MACHINES:
                self._cached_fast_log_speed = statistics.quantiles(
                    log_speeds, n=4
                )[2]
        return self._cached_fast_log_speed
