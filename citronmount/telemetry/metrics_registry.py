"""Latency histograms, counters and gauges of one process."""

import collections
from collections.abc import Callable
from collections.abc import Mapping

from hdrh import histogram
import msgspec

__all__ = ["Gauge", "HistogramSummary", "MetricsRegistry", "MetricsSnapshot"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

_US_PER_MS = 1_000

Gauge = Callable[[], float]
GaugeGroup = Callable[[], Mapping[str, float]]


class HistogramSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One histogram as it is exported.

    Attributes:
        work_class: The kind of work that was timed, for example
            ``job.paying`` or the name of a log event.
        stage: The part of the work that was timed.
        count: Number of recorded values.
        mean_ms: Mean of the recorded values.
        max_ms: Maximum of the recorded values.
        percentiles_ms: Values by percentile, for example ``"99.9"``.
        encoded: The whole histogram in HdrHistogram's compressed text form,
            in which histograms of several VMs can be merged.
    """

    work_class: str
    stage: str
    count: int
    mean_ms: float
    max_ms: float
    percentiles_ms: dict[str, float]
    encoded: str


class MetricsSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The values of all metrics at one moment.

    Attributes:
        histograms: Durations, sorted by work class and stage.
        counters: Totals since the start of the process, by name.
        gauges: Current values, by name.
    """

    histograms: tuple[HistogramSummary, ...]
    counters: dict[str, int]
    gauges: dict[str, float]


class _HistogramWithSum:
    """A histogram that also keeps the sum of its values.

    HdrHistogram computes the mean by iterating over the whole histogram, which
    would block the reactor at each export.
    """

    def __init__(self) -> None:
        self.histogram = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self.sum_us = 0

    def record(self, value_us: int) -> None:
        """Records a value, clamped to `LOWEST_US` and `HIGHEST_US`."""
        bounded_us = min(max(value_us, LOWEST_US), HIGHEST_US)
        self.histogram.record_value(bounded_us)
        self.sum_us += bounded_us


class MetricsRegistry:
    """The metrics of one process.

    Memory is bounded, because work classes, stages and names come from the
    code, those of gauge groups also from the configuration, and never from
    callers.
    """

    def __init__(self) -> None:
        """Initializes a registry without metrics."""
        self._histograms: dict[tuple[str, str], _HistogramWithSum] = {}
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, Gauge] = {}
        self._gauge_groups: list[GaugeGroup] = []

    def record_duration(
        self, work_class: str, stage: str, duration_ms: float
    ) -> None:
        """Records the duration of a stage in its histogram.

        Args:
            work_class: The kind of work.
            stage: The part of the work that was timed.
            duration_ms: The duration in ms.
        """
        key = (work_class, stage)
        durations = self._histograms.get(key)
        if durations is None:
            durations = self._histograms[key] = _HistogramWithSum()
        durations.record(int(duration_ms * _US_PER_MS))

    def increment(self, name: str, amount: int = 1) -> None:
        """Increments a counter, which starts at 0.

        Args:
            name: The name of the counter.
            amount: The amount to add.
        """
        self._counters[name] += amount

    def register_gauge(self, name: str, read: Gauge) -> None:
        """Registers a gauge, or replaces the one of the same name.

        Args:
            name: The name of the gauge.
            read: Returns the current value; called at each snapshot.
        """
        self._gauges[name] = read

    def register_gauge_group(self, read: GaugeGroup) -> None:
        """Registers gauges whose names depend on the configuration.

        Args:
            read: Returns the current values by name; called at each snapshot.
        """
        self._gauge_groups.append(read)

    def snapshot(self) -> MetricsSnapshot:
        """Returns the current values of all metrics."""
        return MetricsSnapshot(
            histograms=tuple(
                _summary(work_class, stage, durations)
                for (work_class, stage), durations in sorted(
                    self._histograms.items(), key=lambda item: item[0]
                )
            ),
            counters=dict(sorted(self._counters.items())),
            gauges={
                name: value
                for group in (self._read_gauges, *self._gauge_groups)
                for name, value in group().items()
            },
        )

    def _read_gauges(self) -> dict[str, float]:
        return {name: read() for name, read in self._gauges.items()}


def _summary(
    work_class: str, stage: str, durations: _HistogramWithSum
) -> HistogramSummary:
    hdr_histogram = durations.histogram
    count = hdr_histogram.get_total_count()
    percentiles_us = hdr_histogram.get_percentile_to_value_dict(
        list(PERCENTILES)
    )
    return HistogramSummary(
        work_class=work_class,
        stage=stage,
        count=count,
        mean_ms=durations.sum_us / count / _US_PER_MS,
        max_ms=hdr_histogram.get_max_value() / _US_PER_MS,
        percentiles_ms={
            f"{percentile:g}": percentiles_us[percentile] / _US_PER_MS
            for percentile in PERCENTILES
        },
        encoded=hdr_histogram.encode().decode("ascii"),
    )
