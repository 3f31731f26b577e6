import os
import unittest

import msgspec

from citronmount.telemetry import bounded_sink
from citronmount.telemetry import event_metrics
from citronmount.telemetry import exposition
from citronmount.telemetry import metrics_registry

INFO = '{"level":"info","event":"x"}\n'
WARNING = '{"level":"warning","event":"y"}\n'


class BoundedSinkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.now_s = 0.0
        self.sink = bounded_sink.BoundedSink(
            descriptor=writer, clock=lambda: self.now_s
        )

    def read(self) -> list[str]:
        text = os.read(self.reader, 1 << 20).decode("utf-8")
        return text.splitlines()

    def test_burst_of_ten_times_the_rate_is_limited_and_counted(self) -> None:
        for step in range(10):
            self.now_s = step * 0.1
            for _ in range(bounded_sink.LINES_PER_S):
                self.sink.write(INFO)
                os.set_blocking(self.reader, False)
            self.read()
        written = 10 * bounded_sink.LINES_PER_S - self.sink.dropped_lines
        allowed = bounded_sink.BURST_LINES + bounded_sink.LINES_PER_S
        self.assertLessEqual(written, allowed)

    def test_warnings_are_written_while_routine_lines_are_dropped(
        self,
    ) -> None:
        while not self.sink.dropped_lines:
            self.sink.write('{"level":"info"}\n')
        self.read()
        self.sink.write(WARNING)
        lines = self.read()
        self.assertIn(WARNING.strip(), lines)
        self.assertIn("log_lines_dropped", lines[0])

    def test_stalled_reader_does_not_block_the_writer(self) -> None:
        for step in range(400):
            self.now_s = float(step)
            for _ in range(20):
                self.sink.write("x" * 200 + WARNING)
        self.assertGreater(self.sink.dropped_lines, 0)

    def test_long_line_is_truncated(self) -> None:
        self.sink.write("z" * 10_000 + "\n")
        (line,) = self.read()
        self.assertLess(len(line), bounded_sink.MAX_LINE_BYTES)


class EventMetricsTest(unittest.TestCase):
    def test_events_become_counters_and_histograms(self) -> None:
        registry = metrics_registry.MetricsRegistry()
        processor = event_metrics.EventMetrics(metrics=registry)
        for waited_ms in (5, 7):
            event = {"event": "placed", "waited_ms": waited_ms, "kind": "a"}
            self.assertIs(event, processor(None, "info", event))
        text = exposition.render(registry.snapshot())
        self.assertIn('count_total{name="events.placed"} 2', text)
        self.assertIn('count_total{name="events.placed.kind.a"} 2', text)
        self.assertIn(
            'duration_ms_count{event="placed",stage="waited"} 2', text
        )

    def test_quotes_in_names_are_escaped(self) -> None:
        registry = metrics_registry.MetricsRegistry()
        registry.register_gauge('odd"name', lambda: 1.5)
        text = exposition.render(registry.snapshot())
        self.assertEqual('citronmount_gauge{name="odd\\"name"} 1.5\n', text)
        self.assertTrue(msgspec.json.encode(text))


if __name__ == "__main__":
    unittest.main()
