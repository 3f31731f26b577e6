"""Tests of histograms, counters and gauges."""

import unittest

from hdrh import histogram

from citronmount.telemetry import metrics_registry


class MetricsRegistryTest(unittest.TestCase):
    """Tests histograms, counters and gauges."""

    def test_snapshot_holds_all_kinds_of_metrics(self) -> None:
        metrics = metrics_registry.MetricsRegistry()
        for value_ms in range(1, 101):
            metrics.record_duration("job.paying", "queued", value_ms)
        metrics.increment("calls", 2)
        metrics.register_gauge("open", lambda: 7)
        snapshot = metrics.snapshot()
        summary = snapshot.histograms[0]
        self.assertEqual(100, summary.count)
        self.assertAlmostEqual(50.5, summary.mean_ms)
        self.assertAlmostEqual(50, summary.percentiles_ms["50"], delta=1)
        self.assertAlmostEqual(99, summary.percentiles_ms["99"], delta=1)
        self.assertEqual({"calls": 2}, snapshot.counters)
        self.assertEqual({"open": 7}, snapshot.gauges)

    def test_exported_histograms_can_be_merged(self) -> None:
        metrics = metrics_registry.MetricsRegistry()
        metrics.record_duration("a", "b", 3)
        encoded = metrics.snapshot().histograms[0].encoded
        merged = histogram.HdrHistogram.decode(encoded)
        merged.add(histogram.HdrHistogram.decode(encoded))
        self.assertEqual(2, merged.get_total_count())

    def test_values_out_of_range_are_clamped(self) -> None:
        metrics = metrics_registry.MetricsRegistry()
        metrics.record_duration("a", "b", -1)
        metrics.record_duration("a", "b", 1e12)
        self.assertEqual(2, metrics.snapshot().histograms[0].count)
