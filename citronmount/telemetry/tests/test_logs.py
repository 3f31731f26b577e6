"""Tests of the log lines."""

from collections.abc import Callable
import json
import pathlib
import tempfile
import unittest

import structlog
from twisted import logger

from citronmount.core import codes
from citronmount.telemetry import logs
from citronmount.telemetry import timeline_events


class LogsTest(unittest.TestCase):
    """Tests the JSON lines of timeline events and of Twisted."""

    def setUp(self) -> None:
        self.addCleanup(structlog.reset_defaults)
        self.addCleanup(structlog.contextvars.clear_contextvars)
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(directory) / "log"

    def _lines(self, write: Callable[[], None]) -> list[dict[str, object]]:
        with logs.configure(vm="v1", level="info", file_path=str(self.path)):
            write()
        return list(map(json.loads, self.path.read_text("utf-8").splitlines()))

    def test_timeline_event_becomes_one_line_without_empty_fields(
        self,
    ) -> None:
        event = timeline_events.TimelineEvent(
            physical_ms=5,
            logical=0,
            process="v1",
            kind=timeline_events.EventKind.JOB_ENDED,
            job="kr-a/1",
            code=1002,
            account="é",
        )

        def write() -> None:
            logs.log_event(structlog.get_logger(), event)
            structlog.get_logger().debug("left out")

        (line,) = self._lines(write)
        expected = {
            "event": "job_ended",
            "vm": "v1",
            "job": "kr-a/1",
            "account": "é",
            "code_name": codes.ResultCode.DONE.name,
        }
        self.assertEqual(expected, {name: line[name] for name in expected})
        self.assertNotIn("attempt", line)

    def test_failures_logged_by_twisted_become_lines(self) -> None:
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
