"""Learns how fast workers are, compared with each other.

Load pattern: some machines take longer for the same work, and urgent gangs are
as slow as their slowest member. The members of a gang do equal work, so the
rates at which they get on compare their workers.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import statistics

from citronmount.fleet import worker_directory

__all__ = ["SLOWER_FACTOR", "WorkerSpeeds"]

SLOWER_FACTOR = 1.12
LEAST_GAIN = 0.3
SLUMP_FACTOR = 2.0
SLUMP_MEMORY_MS = 10_000
LEAST_KNOWN = 4

_KEPT_DIGITS = 2
_RESTORED_OBSERVATIONS = 2


class _Speed:
    """The estimate for one worker: logarithm of its relative speed."""

    def __init__(self) -> None:
        self.log = 0.0
        self.observations = 0
        self.learned_ms = 0


class WorkerSpeeds:
    """Relative speeds of machines."""

    def __init__(self) -> None:
        """Initializes without any evidence."""
        self._speeds: dict[worker_directory.MachineId, _Speed] = {}
        self._usual: float | None = None

    def learn(
        self, rates: Mapping[worker_directory.MachineId, float], now_ms: int
    ) -> None:
        """Takes in how fast the members of a gang got on.

        Args:
            rates: Percent per second on each machine.
            now_ms: Steady time in milliseconds.
        """
        if len(rates) < 2:
            return
        known = {
            machine: self._speeds.setdefault(machine, _Speed())
            for machine in rates
        }
        level = statistics.median(
            math.log(rate) - known[machine].log
            for machine, rate in rates.items()
        )
        for machine, rate in rates.items():
            speed = known[machine]
            speed.observations += 1
            gain = max(1 / speed.observations, LEAST_GAIN)
            speed.log += gain * (math.log(rate) - level - speed.log)
            speed.learned_ms = now_ms
        self._usual = None

    def kept(
        self, machines: Iterable[worker_directory.MachineId]
    ) -> dict[worker_directory.MachineId, float]:
        """Returns what a later owner should begin with.

        Args:
            machines: The machines that are there.

        Returns:
            Logarithm of the relative speed of each machine that is known.
        """
        known = ((each, self._speeds.get(each)) for each in machines)
        return {
            machine: round(speed.log, _KEPT_DIGITS)
            for machine, speed in known
            if speed is not None
        }

    def restore(
        self, kept: Mapping[worker_directory.MachineId, float], now_ms: int
    ) -> None:
        """Begins with what an earlier owner has learned.

        Args:
            kept: What `kept` returned there.
            now_ms: Steady time in milliseconds.
        """
        for machine, log in kept.items():
            speed = self._speeds.setdefault(machine, _Speed())
            speed.log = log
            speed.observations = _RESTORED_OBSERVATIONS
            speed.learned_ms = now_ms
        self._usual = None

    def slowdown(
        self, machine: worker_directory.MachineId, now_ms: int
    ) -> float:
        """Returns how much longer a machine takes than a quick one.

        A machine on which nothing is known counts as quick. One that was very
        slow is tried again after a while.

        Args:
            machine: The machine.
            now_ms: Steady time in milliseconds.

        Returns:
            A factor, 1 for a quick machine.
        """
        speed = self._speeds.get(machine)
        if speed is None:
            return 1.0
        factor = math.exp(self._quick_log() - speed.log)
        stale = now_ms - speed.learned_ms > SLUMP_MEMORY_MS
        if factor >= SLUMP_FACTOR and stale:
            return 1.0
        return max(factor, 1.0)

    def _quick_log(self) -> float:
        """Returns the logarithm that three quarters of the pool stay below."""
        if self._usual is None:
            logs = [speed.log for speed in self._speeds.values()]
            self._usual = 0.0
            if len(logs) >= LEAST_KNOWN:
                self._usual = statistics.quantiles(logs, n=4)[2]
        return self._usual
