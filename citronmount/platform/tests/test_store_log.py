from collections.abc import Coroutine
import unittest
from unittest import mock

import msgspec
from twisted.internet import defer
from twisted.internet import task

from citronmount.clients import http_client
from citronmount.clients.tests import slow_response
from citronmount.core import ids
from citronmount.fleet_service import job_service
from citronmount.fleet_service import log_health
from citronmount.fleet_service import log_tail
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.platform import store_log
from citronmount.workflow import job_views

NESTED = b'{"unknown":' + b"[" * 3_000 + b"]" * 3_000 + b"}"


class OneAnswerClient:
    """Answers each call with the same status and body."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        self.body = body
        self.status = status

    async def call(
        self, *args: object, **options: object
    ) -> http_client.HttpResponse:
        del args, options
        return http_client.HttpResponse(status=self.status, body=self.body)


def result_of(call: Coroutine) -> object:
    """Returns the result of a call that ends at once, or its error."""
    results: list[object] = []
    defer.ensureDeferred(call).addBoth(results.append)
    (result,) = results
    return result


def make_log(body: bytes, status: int = 200) -> store_log.StoreLog:
    return store_log.StoreLog(
        client=OneAnswerClient(body, status), address="", member="me"
    )


class CancelledCallTest(unittest.TestCase):
    """A client that disconnects must not make the log count as lost."""

    def test_cancelled_read_is_no_missing_answer(self) -> None:
        # Refused the next submissions, as if the log did not answer.
        clock = task.Clock()
        health = log_health.LogHealth(clock=clock)
        client = http_client.HttpClient(
            reactor=clock, agent=slow_response.SilentAgent()
        )
        tail = log_tail.LogTail(
            clock=clock,
            log=store_log.StoreLog(
                client=client, address="127.0.0.1:80", member="me"
            ),
            health=health,
            topic=ports.Topic.JOBS,
            on_snapshot=lambda records: None,
            on_records=lambda records: None,
        )
        service = job_service.JobService(
            clock=clock,
            log=mock.Mock(),
            job_view=job_views.JobView(),
            job_tail=tail,
            health=health,
            on_change=lambda: None,
            wall_clock=lambda: 0,
        )
        results: list[object] = []
        call = defer.ensureDeferred(
            service.state(pool_fixture.make_queue(), ids.JobId("j"))
        )
        call.addErrback(results.append)
        call.cancel()
        self.assertTrue(results[0].check(defer.CancelledError))
        self.assertFalse(health.last_call_failed)


class UnreadableAnswerTest(unittest.TestCase):
    """Callers handle an unreadable answer like a lost one."""

    def assert_unknown_outcome(
        self, body: bytes, method: str, *args: object, status: int = 200
    ) -> None:
        call = getattr(make_log(body, status), method)
        result = result_of(call(*args, 1_000))
        self.assertIsInstance(result.value, ports.UnknownOutcomeError)

    def test_answers_that_are_not_json(self) -> None:
        for body in (b"", b"<html>", b"[]", b"\xff", NESTED):
            self.assert_unknown_outcome(body, "join", 0, 1_000)
            self.assert_unknown_outcome(body, "members")
            self.assert_unknown_outcome(body, "append", [("k", b"v")])
            self.assert_unknown_outcome(body, "snapshot", ports.Topic.JOBS)
            self.assert_unknown_outcome(
                body, "append_as_owner", [("k", b"v")], 1, 1, status=409
            )

    def test_truncated_page(self) -> None:
        body = b"\0" * 16 + b"\0\0\0\x09k"
        self.assert_unknown_outcome(body, "read", ports.Topic.JOBS, 0, 0)

    def test_value_that_is_not_base64(self) -> None:
        item = {"key": "k", "offset": 1, "value": "?"}
        body = msgspec.json.encode({"items": [item], "end_offset": 2})
        self.assert_unknown_outcome(body, "snapshot", ports.Topic.JOBS)


class EndOffsetTest(unittest.TestCase):
    def test_end_of_a_topic_is_read_without_its_records(self) -> None:
        log = make_log(msgspec.json.encode({"items": [], "end_offset": 7}))
        call = log.end_offset(ports.Topic.CONFIGURATION, 1_000)
        self.assertEqual(7, result_of(call))


class MembersTest(unittest.TestCase):
    def members(self, *rows: list[object]) -> frozenset[str]:
        log = make_log(msgspec.json.encode({"parts": rows}))
        return result_of(log.members(1_000))

    def test_partition_without_a_member_names_no_member(self) -> None:
        rows = [["keyed.jobs", part, "", 0] for part in range(3)]
        self.assertEqual(frozenset(), self.members(*rows))

    def test_members_are_named_once(self) -> None:
        rows = [["keyed.jobs", 0, "a", 0], ["keyed.jobs", 1, "a", 0]]
        self.assertEqual(frozenset({"a"}), self.members(*rows))
