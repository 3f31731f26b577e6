from collections.abc import Coroutine
import unittest

import msgspec
from twisted.internet import defer

from citronmount.clients import http_client
from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.workers import worker_directory
from citronmount.platform import runner_client
from citronmount.workflow import spec
from citronmount.workflow import units

NESTED = b'{"unknown":' + b"[" * 3_000 + b"]" * 3_000 + b"}"
WORKER = worker_directory.Worker(
    worker=ids.WorkerId("i-1"),
    life_ms=1,
    machine="m-1",
    address="10.128.0.9:8080",
    failure_domain=ids.FailureDomainId("a"),
    service=spec.ServiceName("s"),
    state=worker_directory.WorkerState.READY,
    capacity=spec.Demand(millicores=1_000),
    labels=frozenset({"r1"}),
    rack=ids.RackId("r1"),
)
START = commands.Start(
    worker=WORKER,
    task=units.TaskName("j.0.0.0"),
    run=1,
    payload="",
    until_ms=1_000,
    saved="",
    token=ids.FenceToken(1),
)
STOP = commands.Stop(
    worker=WORKER,
    task=units.TaskName("j.0.0.0"),
    run=1,
    token=ids.FenceToken(1),
)
RENEWAL = commands.RenewLeases(
    worker=WORKER,
    until_ms=None,
    last_seen=0,
    wait_ms=0,
    token=ids.FenceToken(1),
)


class OneAnswerClient:
    """Answers each call with the same status and body."""

    def __init__(self, body: bytes, status: int) -> None:
        self.body = body
        self.status = status

    async def call(
        self, *args: object, **options: object
    ) -> http_client.HttpResponse:
        del args, options
        return http_client.HttpResponse(status=self.status, body=self.body)


def result_of(call: Coroutine) -> object:
    """Returns the result of a call that ends at once, or raises its error."""
    results: list[object] = []
    defer.ensureDeferred(call).addBoth(results.append)
    (result,) = results
    return result


def make_client(body: bytes, status: int = 200) -> runner_client.RunnerClient:
    return runner_client.RunnerClient(client=OneAnswerClient(body, status))


class UnreadableAnswerTest(unittest.TestCase):
    """A command to a worker never fails; see `ports.WorkerCommands`."""

    bodies = (b"", b"<html>", b"[]", b"\xff", NESTED)

    def test_unreadable_answer_to_a_command_has_the_outcome_of_its_status(
        self,
    ) -> None:
        for body in self.bodies:
            client = make_client(body)
            self.assertEqual(
                (commands.StartOutcome.STARTED, None),
                result_of(client.start(START, 100)),
            )
            self.assertEqual(
                (commands.StopOutcome.STOPPED, None),
                result_of(client.stop(STOP, 100)),
            )

    def test_report_with_a_value_of_a_wrong_type_is_no_report(self) -> None:
        rows = {
            "running": [["j.0.0.0", 1, "", 50]],
            "finished": [[1, "j.0.0.0", 1, "done", ""]],
        }
        report = {"clock_ms": 5, "born": 1, **rows}
        client = make_client(msgspec.json.encode(report))
        decoded = result_of(client.renew_leases(RENEWAL, 100))
        self.assertEqual(0, decoded.running[0].load)
        invalid_fields = (
            {"clock_ms": 1 << 64},
            {"born": 1 << 64},
            {"running": [["j.0.0.0", 1, "", "half"]]},
            {"running": [["j.0.0.0", 1 << 64, "", 50]]},
            {"running": [[7, 1, "", 50]]},
            {"running": [["j.0.0.0"]]},
            {"finished": [[1 << 64, "j.0.0.0", 1, "done", ""]]},
            {"finished": [[1, "j.0.0.0", 1, "odd", ""]]},
        )
        for fields in invalid_fields:
            client = make_client(msgspec.json.encode({**report, **fields}))
            with self.subTest(fields):
                self.assertIs(
                    commands.StopOutcome.UNKNOWN,
                    result_of(client.renew_leases(RENEWAL, 100)),
                )

    def test_unreadable_report_is_no_report(self) -> None:
        for body in self.bodies:
            self.assertIs(
                commands.StopOutcome.UNKNOWN,
                result_of(make_client(body).renew_leases(RENEWAL, 100)),
            )


if __name__ == "__main__":
    unittest.main()
