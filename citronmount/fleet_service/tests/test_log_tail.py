from collections.abc import Sequence
import unittest

import structlog
from twisted.internet import defer
from twisted.internet import task

from citronmount.core import codes
from citronmount.fleet_service import log_health
from citronmount.fleet_service import log_tail
from citronmount.fleet_service import ports

ANSWER_S = 0.01
EMPTY_PAGE = ports.LogPage(records=(), next_offset=0, end_offset=0)


class ScriptedLog:
    """Answers each read with the next page or error, the last one forever."""

    def __init__(
        self, clock: task.Clock, answers: Sequence[ports.LogPage | Exception]
    ) -> None:
        self.clock = clock
        self.answers = list(answers)

    async def snapshot(
        self, topic: ports.Topic, timeout_ms: int
    ) -> ports.Snapshot:
        del topic, timeout_ms
        return ports.Snapshot(records=(), end_offset=0)

    async def read(
        self, topic: ports.Topic, offset: int, wait_ms: int, timeout_ms: int
    ) -> ports.LogPage:
        del topic, offset, wait_ms, timeout_ms
        try:
            await task.deferLater(self.clock, ANSWER_S)
        except defer.CancelledError as error:
            raise no_answer() from error
        answer = self.answers[0]
        if len(self.answers) > 1:
            self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_page(first_offset: int, end_offset: int) -> ports.LogPage:
    return ports.LogPage(
        records=tuple(
            ports.LogRecord(key="k", value=b"v", offset=offset)
            for offset in range(first_offset, end_offset)
        ),
        next_offset=end_offset,
        end_offset=end_offset,
    )


def unexpected_errors() -> list[Exception]:
    return [
        RecursionError("nested"),
        UnicodeDecodeError("utf-8", b"\xff", 0, 1, "invalid start byte"),
        IndexError("truncated"),
        ValueError("odd"),
    ]


def no_answer() -> ports.UnknownOutcomeError:
    return ports.UnknownOutcomeError("lost", code=codes.ResultCode.TIMED_OUT)


class ReaderTestCase(unittest.TestCase):
    def events_of(
        self,
        answers: Sequence[ports.LogPage | Exception],
        on_records: log_tail.OnRecords = lambda records: None,
    ) -> list[dict[str, object]]:
        clock = task.Clock()
        tail = log_tail.LogTail(
            clock=clock,
            log=ScriptedLog(clock, answers),
            health=log_health.LogHealth(clock=clock),
            topic=ports.Topic.CONFIGURATION,
            on_snapshot=lambda records: None,
            on_records=on_records,
        )
        with structlog.testing.capture_logs() as events:
            tail.start()
            clock.pump([0.05] * 200)
            tail.stop()
        return events


class ReadLoggingTest(ReaderTestCase):
    def test_an_outage_logs_its_start_its_doublings_and_its_end(self) -> None:
        # The first failure is a waiting read and one that does not wait.
        events = self.events_of([no_answer()] * 10 + [EMPTY_PAGE])
        names = [each["event"] for each in events]
        self.assertEqual(
            ["snapshot_read", "log_lost"]
            + ["log_still_lost"] * 3
            + ["log_regained"],
            names,
        )
        self.assertEqual(9, events[-1]["failed_reads"])
        self.assertGreaterEqual(events[-1]["took_ms"], 1_000)

    def test_a_stopped_reader_logs_no_lost_log(self) -> None:
        events = self.events_of([EMPTY_PAGE])
        self.assertEqual(["snapshot_read"], [each["event"] for each in events])

    def test_a_large_page_is_logged_with_what_is_left_to_read(self) -> None:
        page = ports.LogPage(
            records=(),
            next_offset=3,
            end_offset=5,
            size_bytes=100_000,
            transfer_ms=900,
        )
        events = self.events_of([page, EMPTY_PAGE])
        (event,) = (e for e in events if e["event"] == "large_page_read")
        self.assertEqual(
            (100_000, 2, 900),
            (event["size_bytes"], event["records_behind"], event["took_ms"]),
        )


class StoppedReaderTest(unittest.TestCase):
    """A read that outlives its reader must not move the position."""

    def setUp(self) -> None:
        self.clock = task.Clock()
        self.received: list[int] = []
        self.log = ScriptedLog(self.clock, [make_page(0, 4)])
        self.tail = log_tail.LogTail(
            clock=self.clock,
            log=self.log,
            health=log_health.LogHealth(clock=self.clock),
            topic=ports.Topic.WORKERS,
            on_snapshot=lambda records: None,
            on_records=lambda records: self.received.extend(
                record.offset for record in records
            ),
        )

    def test_read_in_flight_at_the_stop(self) -> None:
        # Left an offset behind, whose records had expired at the next start.
        self.tail.start()
        self.clock.advance(ANSWER_S / 2)
        self.tail.stop()
        self.tail.position = None
        self.clock.pump([ANSWER_S] * 10)
        self.assertIsNone(self.tail.position)
        self.assertEqual([], self.received)

    def test_page_read_before_the_position_was_forgotten(self) -> None:
        self.tail.position = 0
        catch_up = defer.ensureDeferred(self.tail.catch_up(4))
        self.clock.advance(ANSWER_S / 2)
        self.tail.position = None
        self.clock.pump([ANSWER_S] * 4)
        self.assertEqual([0, 1, 2, 3], self.received)
        self.assertTrue(catch_up.called)

    def test_catch_up_starts_over_if_the_records_have_expired(self) -> None:
        # Failed until the reader had noticed it, which may not be running.
        self.tail.position = 1
        self.log.answers = [ports.LogTruncatedError(), make_page(0, 4)]
        catch_up = defer.ensureDeferred(self.tail.catch_up(4))
        self.clock.pump([ANSWER_S] * 4)
        self.assertIsNone(catch_up.result)
        self.assertEqual([0, 1, 2, 3], self.received)


class ContinuedReadingTest(ReaderTestCase):
    """Neither an unexpected error of a read nor a record ends a reader."""

    def test_unreadable_pages_are_read_again_with_back_off(self) -> None:
        received: list[ports.LogRecord] = []
        page = make_page(0, 1)
        events = self.events_of(
            [*unexpected_errors(), page, EMPTY_PAGE], received.extend
        )
        self.assertEqual(page.records, tuple(received))
        (recovery,) = (e for e in events if e["event"] == "log_regained")
        self.assertEqual(len(unexpected_errors()), recovery["failed_reads"])
        self.assertGreaterEqual(recovery["took_ms"], 300)
        (first,) = (e for e in events if e["event"] == "log_lost")
        self.assertIsInstance(first["exc_info"], RecursionError)

    def test_records_that_raise_an_error_are_skipped_with_a_log_line(
        self,
    ) -> None:
        received: list[int] = []

        def receive(records: Sequence[ports.LogRecord]) -> None:
            if records[0].offset == 0:
                raise RecursionError("nested")
            received.extend(record.offset for record in records)

        events = self.events_of(
            [make_page(0, 1), make_page(1, 2), EMPTY_PAGE], receive
        )
        self.assertEqual([1], received)
        (event,) = (e for e in events if e["event"] == "records_skipped")
        self.assertEqual((0, 1), (event["first_offset"], event["records"]))
