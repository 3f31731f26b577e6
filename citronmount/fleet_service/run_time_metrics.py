"""Metrics of the run times that the owner of a pool learns."""

from collections.abc import Callable

from citronmount.fleet.estimates import run_times
from citronmount.telemetry import metrics_registry

__all__ = ["register"]

_Read = Callable[[run_times.RunTimes], float]

_GAUGES: dict[str, _Read] = {
    "run_times.runs": lambda learned: learned.observed_count,
    "run_times.keys": len,
    "run_times.declared_error": lambda learned: learned.declared_error,
    "run_times.learned_error": lambda learned: learned.learned_error,
}


def register(
    registry: metrics_registry.MetricsRegistry,
    current: Callable[[], run_times.RunTimes | None],
) -> None:
    """Registers the gauges, which are 0 while the VM does not own the pool.

    Args:
        registry: The metrics of the process.
        current: Returns the owner's run times, or None on other VMs.
    """
    for name, read in _GAUGES.items():
        registry.register_gauge(name, _gauge(current, read))


def _gauge(
    current: Callable[[], run_times.RunTimes | None], read: _Read
) -> metrics_registry.Gauge:
    def value() -> float:
        learned = current()
        return 0.0 if learned is None else read(learned)

    return value
