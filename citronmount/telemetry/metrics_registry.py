"""Latency histograms, counters and gauges of one VM."""

import collections
from collections.abc import Callable

from hdrh import histogram
import msgspec

__all__ = ["Gauge", "HistogramSummary", "MetricsRegistry", "MetricsSnapshot"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

_US_PER_MS = 1_000

Gauge = Callable[[], float]


class HistogramSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One histogram as it is exported.

    Attributes:
        work_class: The kind of work that was timed.
        stage: Which part of it was timed.
        count: How many values were recorded.
        mean_ms: Their mean.
        max_ms: The largest.
        percentiles_ms: Values by percentile.
        encoded: The whole histogram in HdrHistogram's compressed text form,
            which can be merged over VMs.
    """

    work_class: str
    stage: str
    count: int
    mean_ms: float
    max_ms: float
    percentiles_ms: dict[str, float]
    encoded: str


class MetricsSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All metrics at one moment.

    Attributes:
        histograms: Latencies by class and stage.
        counters: Totals since the process started.
        gauges: Present values.
    """

    histograms: tuple[HistogramSummary, ...]
    counters: dict[str, int]
    gauges: dict[str, float]


class _Recorder:
    """A histogram with the exact sum of its values.

    The library finds the mean by a walk over the whole histogram, which would
    hold the loop up at each export.
    """

    def __init__(self) -> None:
        self.histogram = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self.sum_us = 0

    def record(self, value_us: int) -> None:
        """Records one value, at the nearest bound if it is out of range."""
        bounded_us = min(max(value_us, LOWEST_US), HIGHEST_US)
        self.histogram.record_value(bounded_us)
        self.sum_us += bounded_us


class MetricsRegistry:
    """Records what one process does.

    Memory is bounded, as classes, stages and names come from the code and
    never from callers.
    """

    def __init__(self) -> None:
        """Initializes without any value."""
        self._histograms: dict[tuple[str, str], _Recorder] = {}
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, Gauge] = {}

    def record_duration(
        self, work_class: str, stage: str, duration_ms: float
    ) -> None:
        """Records how long a stage took.

        Args:
            work_class: The kind of work.
            stage: The part of it that was timed.
            duration_ms: The duration.
        """
        key = (work_class, stage)
        recorder = self._histograms.get(key)
        if recorder is None:
            recorder = self._histograms[key] = _Recorder()
        recorder.record(int(duration_ms * _US_PER_MS))

    def increment(self, name: str, amount: int = 1) -> None:
        """Adds to a counter.

        Args:
            name: The counter.
            amount: What to add.
        """
        self._counters[name] += amount

    def register_gauge(self, name: str, read: Gauge) -> None:
        """Registers a gauge.

        Args:
            name: The gauge.
            read: Returns its present value.
        """
        self._gauges[name] = read

    def snapshot(self) -> MetricsSnapshot:
        """Returns all metrics of this moment."""
        return MetricsSnapshot(
            histograms=tuple(
                _summary(work_class, stage, recorder)
                for (work_class, stage), recorder in sorted(
                    self._histograms.items(), key=lambda item: item[0]
                )
            ),
            counters=dict(sorted(self._counters.items())),
            gauges={name: read() for name, read in self._gauges.items()},
        )


def _summary(
    work_class: str, stage: str, recorder: _Recorder
) -> HistogramSummary:
    values = recorder.histogram
    count = values.get_total_count()
    points_us = values.get_percentile_to_value_dict(list(PERCENTILES))
    return HistogramSummary(
        work_class=work_class,
        stage=stage,
        count=count,
        mean_ms=recorder.sum_us / count / _US_PER_MS,
        max_ms=values.get_max_value() / _US_PER_MS,
        percentiles_ms={
            f"{percentile:g}": points_us[percentile] / _US_PER_MS
            for percentile in PERCENTILES
        },
        encoded=values.encode().decode("ascii"),
    )
