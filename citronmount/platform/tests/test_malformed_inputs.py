"""Property tests: no bytes of another writer raise an unexpected error."""

import base64
from collections.abc import Coroutine
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
import msgspec
import structlog
from twisted.internet import defer

from citronmount.clients import addresses
from citronmount.clients import http_client
from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.workers import worker_directory
from citronmount.fleet_service import ports
from citronmount.fleet_service import vm_settings
from citronmount.platform import day_journal
from citronmount.platform import framing
from citronmount.platform import job_bodies
from citronmount.platform import runner_client
from citronmount.platform import settings_file
from citronmount.platform import store_log
from citronmount.platform import topic_records
from citronmount.platform.tests import malformed_inputs
from citronmount.platform.tests import test_decoding
from citronmount.platform.tests import test_runner_client
from citronmount.workflow import records
from citronmount.workflow import spec

JOB = ids.JobId("5c0e7a21d94b36f8")
EXAMPLES = 200
PHASE = {
    "count": 2,
    "cpu": 1,
    "mem_mb": 1,
    "gpu": 1,
    "estimate_ms": 1.5,
    "after": [],
    "gang": True,
    "rack_local": True,
    "constraints": "kind",
    "affinity_to": "r1",
    "anti_affinity": 1,
    "checkpointing": True,
    "speculative": False,
    "long_running": False,
    "image": "i",
    "goal_ms": 1.5,
    "fills": False,
    "may_miss": 1,
}
REPORT = {
    "clock_ms": 1,
    "born": 1,
    "running": [["j.0.0.0", 1, "", 50, None]],
    "finished": [[1, "j.0.0.0", 1, "done", ""]],
}
TENANT = {"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 1}}

decoder_property = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=EXAMPLES,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)


def lists_of(
    valid: dict[str, object],
) -> strategies.SearchStrategy[list[dict[str, object]]]:
    return strategies.lists(malformed_inputs.objects(valid), max_size=3)


def jobs() -> strategies.SearchStrategy[object]:
    return strategies.builds(
        lambda fields, phases: {**fields, "phases": phases},
        malformed_inputs.objects(
            {"spec": "x", "repeats": 1, "first_ms": 1, "interval_ms": 1}
        ),
        strategies.one_of(lists_of(PHASE), malformed_inputs.VALUES),
    )


def configurations() -> strategies.SearchStrategy[object]:
    return strategies.fixed_dictionaries(
        {
            "version": strategies.one_of(
                strategies.just(1), malformed_inputs.VALUES
            ),
            "routes": lists_of({**test_decoding.ROUTE, "timeout_ms": 1}),
            "tenants": lists_of(TENANT),
        }
    )


class AnyAnswerClient:
    """Answers each call with a given status and body."""

    def __init__(self, status: int, body: bytes) -> None:
        self.answer = http_client.HttpResponse(status=status, body=body)

    async def call(
        self, *args: object, **options: object
    ) -> http_client.HttpResponse:
        del args, options
        return self.answer


def result_of(call: Coroutine) -> object:
    """Returns the result of a call that ends at once, or raises its error."""
    results: list[object] = []
    defer.ensureDeferred(call).addBoth(results.append)
    (result,) = results
    return result


STATUSES = strategies.sampled_from([200, 200, 200, 409, 410, 421, 500, 503])


class MalformedInputTest(unittest.TestCase):
    def setUp(self) -> None:
        # Ignored inputs are logged.
        capture = structlog.testing.capture_logs()
        capture.__enter__()
        self.addCleanup(capture.__exit__, None, None, None)

    @decoder_property
    @hypothesis.given(
        malformed_inputs.bodies(
            malformed_inputs.objects(
                {**test_decoding.RUNNER_ENTRY, "remaining_ms": 1}
            )
        )
    )
    def test_worker_entries(self, value: bytes) -> None:
        record = ports.LogRecord(key="i-1", value=value or None, offset=1)
        event = topic_records.decode(ports.Topic.WORKERS, record)
        self.assertEqual("i-1", event.worker)
        if event.entry is not None:
            self.assertIsInstance(event.entry, worker_directory.Worker)
            self.assertIsNotNone(addresses.parse(event.entry.address))
            place = records.Place(worker="i-1", life_ms=event.entry.life_ms)
            msgspec.msgpack.encode(place)

    @decoder_property
    @hypothesis.given(
        strategies.one_of(strategies.just("config"), strategies.text()),
        malformed_inputs.bodies(configurations()),
    )
    def test_configurations(self, key: str, value: bytes) -> None:
        record = ports.LogRecord(key=key, value=value or None, offset=1)
        event = topic_records.decode(ports.Topic.CONFIGURATION, record)
        if isinstance(event, ports.ConfigurationChanged):
            for queue in event.configuration.queues:
                msgspec.msgpack.encode(queue.terms)
            event.configuration.queue_at("h.example", "/p/x")
            event.configuration.account_of("k")

    @decoder_property
    @hypothesis.given(malformed_inputs.bodies(jobs()))
    def test_submissions(self, body: bytes) -> None:
        try:
            workflow = job_bodies.decode_job(JOB, body)
        except job_bodies.InvalidJobError:
            return
        submission = spec.Submission(
            workflow=workflow,
            account=ids.AccountId("a"),
            terms=spec.QueueTerms(
                queue=spec.QueueName("q"), service=spec.ServiceName("s")
            ),
            accepted_ms=1,
        )
        record = records.Submitted(submission=submission)
        key = records.key_of(record)
        self.assertEqual(record, records.decode(key, records.encode(record)))

    @decoder_property
    @hypothesis.given(strategies.data())
    def test_valid_submissions_are_never_refused(
        self, data: strategies.DataObject
    ) -> None:
        large = strategies.integers(0, (1 << 63) - 1)
        # Times are decoded as floats, which hold 2**62 but not 2**63 - 1.
        times = strategies.one_of(
            strategies.integers(0, 1 << 62), strategies.floats(0, 9e18)
        )
        values = {
            "cpu": large,
            "mem_mb": large,
            "gpu": large,
            "estimate_ms": times,
            "gang": strategies.booleans(),
            "constraints": strategies.text(max_size=20),
            "anti_affinity": large,
            "checkpointing": strategies.booleans(),
            "goal_ms": times,
            "may_miss": large,
        }
        phases = [
            {
                "count": data.draw(strategies.integers(1, 10_000)),
                **data.draw(strategies.fixed_dictionaries({}, optional=values)),
                **data.draw(
                    strategies.fixed_dictionaries(
                        {},
                        optional={
                            "after": strategies.lists(
                                strategies.integers(0, number - 1)
                            )
                            if number
                            else strategies.just([])
                        },
                    )
                ),
            }
            for number in range(data.draw(strategies.integers(1, 4)))
        ]
        job = {
            "spec": data.draw(
                strategies.text(max_size=20)
                | strategies.sampled_from(["x" * 4_000, "\u20ac" * 1_333])
            ),
            "phases": phases,
            **data.draw(
                strategies.fixed_dictionaries(
                    {},
                    optional={
                        "repeats": strategies.integers(0, 2),
                        "first_ms": large,
                        "interval_ms": large,
                    },
                )
            ),
        }
        workflow = job_bodies.decode_job(JOB, msgspec.json.encode(job))
        self.assertEqual(
            [phase["count"] for phase in phases],
            [step.tasks for step in workflow.steps],
        )

    @decoder_property
    @hypothesis.given(strategies.data())
    def test_pages_of_the_log(self, data: strategies.DataObject) -> None:
        pairs = data.draw(
            strategies.lists(
                strategies.tuples(
                    strategies.text(max_size=40),
                    strategies.none() | strategies.binary(min_size=1),
                ),
                max_size=4,
            )
        )
        page = bytes(16) + framing.encode(pairs)
        decoded = framing.decode_page(page, 5).records
        self.assertEqual(pairs, [(each.key, each.value) for each in decoded])
        damaged = data.draw(
            strategies.one_of(
                strategies.builds(
                    malformed_inputs.damage,
                    strategies.just(page),
                    strategies.data(),
                ),
                strategies.binary(max_size=80),
            )
        )
        try:
            result = framing.decode_page(damaged, 5)
        except ports.UnknownOutcomeError:
            return
        self.assertEqual(5 + len(result.records), result.next_offset)

    @decoder_property
    @hypothesis.given(
        STATUSES,
        malformed_inputs.bodies(
            malformed_inputs.objects(
                {
                    "offset": 1,
                    "epoch": 1,
                    "end_offset": 1,
                    "truncated": False,
                    "items": [
                        {
                            "key": "k",
                            "offset": 1,
                            "value": base64.b64encode(b"v").decode("ascii"),
                        }
                    ],
                    "generation": 1,
                    "parts": [[store_log.JOBS_TOPIC, 0, 1]],
                }
            )
        ),
    )
    def test_answers_of_the_log(self, status: int, body: bytes) -> None:
        # A truncated snapshot is continued with another call.
        hypothesis.assume(b'"truncated":true' not in body)
        log = store_log.StoreLog(
            client=AnyAnswerClient(status, body), address="", member="me"
        )
        for call in (
            log.append([("k", b"v")], 1_000),
            log.append_as_owner([("k", b"v")], 1, 1, 1_000),
            log.read(ports.Topic.JOBS, 0, 0, 1_000),
            log.snapshot(ports.Topic.JOBS, 1_000),
            log.end_offset(ports.Topic.JOBS, 1_000),
            log.join(0, 1_000, 1_000),
            log.members(1_000),
            log.leave(1_000),
        ):
            result = result_of(call)
            reason = getattr(result, "value", None)
            if isinstance(reason, Exception):
                self.assertIsInstance(reason, errors.CitronmountError)

    @decoder_property
    @hypothesis.given(
        STATUSES,
        malformed_inputs.bodies(
            malformed_inputs.objects(
                {
                    **REPORT,
                    "reason": "fence",
                    "granted": [["i-1", "t"]],
                    "valid_ms": 1.5,
                }
            )
        ),
    )
    def test_answers_of_workers(self, status: int, body: bytes) -> None:
        client = runner_client.RunnerClient(
            client=AnyAnswerClient(status, body)
        )
        outcome, _ = result_of(client.start(test_runner_client.START, 100))
        self.assertIsInstance(outcome, commands.StartOutcome)
        outcome, _ = result_of(client.stop(test_runner_client.STOP, 100))
        self.assertIsInstance(outcome, commands.StopOutcome)
        report = result_of(client.renew_leases(test_runner_client.RENEWAL, 100))
        self.assertIsInstance(
            report, commands.LeaseReport | commands.StopOutcome
        )
        advice = result_of(
            client.request_advice(
                commands.RequestAdvice(
                    step="j.0.0", workers=(test_runner_client.WORKER,)
                ),
                100,
            )
        )
        self.assertIsInstance(advice, commands.AdviceAnswer | None)

    @decoder_property
    @hypothesis.given(strategies.data())
    def test_settings_files(self, data: strategies.DataObject) -> None:
        body = malformed_inputs.damage(test_decoding.SETTINGS, data)
        nesting = data.draw(strategies.sampled_from([0, 0, 10, 3_000]))
        body += b"\nnested = " + b"[" * nesting + b"]" * nesting
        try:
            settings = settings_file.decode(body)
        except vm_settings.SettingsError:
            return
        self.assertIsInstance(settings, vm_settings.VmSettings)

    @decoder_property
    @hypothesis.given(
        malformed_inputs.bodies(
            malformed_inputs.objects(
                {
                    "site": "s",
                    "days": [
                        {
                            "G": 0.5,
                            "slot": "d",
                            "parts": [["p", 1, 1]],
                            "prices": [["cloud calls", 1, 1]],
                        }
                    ],
                }
            )
        )
    )
    def test_journal_entries(self, body: bytes) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "entry.json")
            path.write_bytes(body)
            try:
                day_journal.read(path)
            except errors.DECODING_ERRORS:
                return


if __name__ == "__main__":
    unittest.main()
