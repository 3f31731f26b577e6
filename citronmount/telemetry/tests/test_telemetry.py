"""Tests of metrics, stages and logs."""

from collections.abc import Callable
import json
import pathlib
import tempfile
import unittest

from hdrh import histogram
import structlog
from twisted import logger

from citronmount.core import codes
from citronmount.telemetry import events
from citronmount.telemetry import logs
from citronmount.telemetry import metrics as metrics_lib
from citronmount.telemetry import stages

_KIND = events.EventKind


def _event(
    kind: events.EventKind, at_ms: int, **fields: object
) -> events.TimelineEvent:
    return events.TimelineEvent(
        physical_ms=at_ms, logical=0, process="v1", kind=kind, **fields
    )


class MetricsTest(unittest.TestCase):
    """Histograms, counters and gauges."""

    def test_snapshot(self) -> None:
        metrics = metrics_lib.Metrics()
        for value_ms in range(1, 101):
            metrics.record("job.paying", "queued", value_ms)
        metrics.count("calls", 2)
        metrics.gauge("open", lambda: 7)
        found = metrics.snapshot()
        summary = found.histograms[0]
        self.assertEqual(100, summary.count)
        self.assertAlmostEqual(50.5, summary.mean_ms)
        self.assertAlmostEqual(50, summary.percentiles_ms["50"], delta=1)
        self.assertAlmostEqual(99, summary.percentiles_ms["99"], delta=1)
        self.assertEqual({"calls": 2}, found.counters)
        self.assertEqual({"open": 7}, found.gauges)

    def test_exported_histograms_can_be_merged(self) -> None:
        metrics = metrics_lib.Metrics()
        metrics.record("a", "b", 3)
        encoded = metrics.snapshot().histograms[0].encoded
        merged = histogram.HdrHistogram.decode(encoded)
        merged.add(histogram.HdrHistogram.decode(encoded))
        self.assertEqual(2, merged.get_total_count())

    def test_values_out_of_range_are_clamped(self) -> None:
        metrics = metrics_lib.Metrics()
        metrics.record("a", "b", -1)
        metrics.record("a", "b", 1e12)
        self.assertEqual(2, metrics.snapshot().histograms[0].count)


class StageTimerTest(unittest.TestCase):
    """From events to durations."""

    def setUp(self) -> None:
        self.metrics = metrics_lib.Metrics()
        self.timer = stages.StageTimer(
            metrics=self.metrics, class_of=lambda account: "trial"
        )

    def _observe(self, *found: events.TimelineEvent) -> dict[str, float]:
        for event in found:
            self.timer.observe(event)
        return {
            f"{summary.work_class}/{summary.stage}": summary.max_ms
            for summary in self.metrics.snapshot().histograms
        }

    def test_life_of_an_evicted_job(self) -> None:
        found = self._observe(
            _event(_KIND.JOB_ACCEPTED, 0, job="j"),
            _event(_KIND.JOB_PLACED, 10, job="j"),
            _event(_KIND.JOB_STARTED, 15, job="j"),
            _event(_KIND.JOB_EVICTING, 20, job="j"),
            _event(_KIND.JOB_PLACED, 60, job="j"),
            _event(_KIND.JOB_STARTED, 62, job="j"),
            _event(_KIND.JOB_ENDED, 92, job="j"),
        )
        expected = {
            "job.trial/queued": 10,
            "job.trial/starting": 5,
            "job.trial/reclaim": 40,
            "job.trial/running": 30,
            "job.trial/total": 92,
        }
        self.assertEqual(expected, {k: round(v) for k, v in found.items()})

    def test_request_counts_from_its_first_attempt(self) -> None:
        found = self._observe(
            _event(_KIND.REQUEST_SENT, 0, request="q~v-1"),
            _event(_KIND.REQUEST_SENT, 5, request="q~v-2"),
            _event(_KIND.REQUEST_ANSWERED, 9, request="q"),
        )
        self.assertEqual(9, round(found["request.trial/served"]))

    def test_stages_that_began_elsewhere_are_left_out(self) -> None:
        found = self._observe(
            _event(_KIND.JOB_STARTED, 5, job="j"),
            _event(_KIND.JOB_ENDED, 9, job="j"),
        )
        self.assertEqual(["job.trial/running"], list(found))


class LogsTest(unittest.TestCase):
    """JSON lines."""

    def setUp(self) -> None:
        self.addCleanup(structlog.reset_defaults)
        self.addCleanup(structlog.contextvars.clear_contextvars)
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(directory) / "log"

    def _lines(self, write: Callable[[], None]) -> list[dict[str, object]]:
        with logs.configure(vm="v1", level="info", file_path=str(self.path)):
            write()
        return list(map(json.loads, self.path.read_text("utf-8").splitlines()))

    def test_event_becomes_one_line_with_its_ids(self) -> None:
        event = _event(_KIND.JOB_ENDED, 5, job="kr-a/1", code=1002, account="é")

        def write() -> None:
            logs.log_event(structlog.get_logger(), event)
            structlog.get_logger().debug("left out")

        (line,) = self._lines(write)
        wanted = {
            "event": "job_ended",
            "vm": "v1",
            "job": "kr-a/1",
            "account": "é",
            "code_name": codes.ResultCode.DONE.name,
        }
        self.assertEqual(wanted, {name: line[name] for name in wanted})
        self.assertNotIn("attempt", line)

    def test_faults_that_twisted_tells_become_lines(self) -> None:
        twisted_log = logger.Logger()

        def write() -> None:
            twisted_log.info("left out")
            try:
                raise ValueError("lost")
            except ValueError:
                twisted_log.failure("unhandled")

        (line,) = self._lines(write)
        self.assertEqual(("twisted", "v1"), (line["event"], line["vm"]))
        self.assertIn("ValueError: lost", line["error"])
