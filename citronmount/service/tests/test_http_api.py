"""Tests of the HTTP API over in-memory connections."""

import unittest

import msgspec
from treq import testing
from twisted.internet import defer
from twisted.internet import task

from citronmount.agent import events
from citronmount.config import configuration as configuration_lib
from citronmount.config import sheet
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.service import event_loop
from citronmount.service import http_api
from citronmount.service import rate_limiter
from citronmount.service.tests import fakes
from citronmount.telemetry import metrics_registry
from citronmount.telemetry import timeline_events
from citronmount.telemetry import timeline_store

_STATUS = jobs.JobStatus(
    job=ids.JobId("kr-a/7f"),
    account=ids.AccountId("a"),
    state=states.JobState.QUEUED,
)
_HEADER = (
    "kind,name,class,state,failure_domain,copies,tasks,accelerators,cores,"
    "memory_gb,adjacency\n"
)
_SHEET = _HEADER + "failure_domain,kr-a,,in,,,,,,,\n"
_WALL_MS = 1_700_000_000_000


def _failure(code: codes.ResultCode, retry_after_ms: int | None = None):
    return peer_messages.Failure(
        result=jobs.JobResult(code=code), retry_after_ms=retry_after_ms
    )


class HttpApiTest(unittest.TestCase):
    """Every route, with a fake state machine behind it."""

    def setUp(self) -> None:
        self.state_machine = fakes.FakeStateMachine()
        self.metrics = metrics_registry.MetricsRegistry()
        self.timeline = timeline_store.TimelineStore(max_events=2)
        self.now_ms = 0
        runtime = event_loop.Runtime(
            reactor=task.Clock(),
            state_machine=self.state_machine,
            peers=fakes.FakePeers(),
            http=fakes.FakeHttp(),
            addresses=event_loop.Addresses(log="", vm_list=""),
            on_trace=self.timeline.add,
            metrics=self.metrics,
        )
        self.api = http_api.Api(
            vm=ids.VmId("v1"),
            failure_domain=ids.FailureDomainId("kr-a"),
            runtime=runtime,
            state_machine=self.state_machine,
            timeline=self.timeline,
            metrics=self.metrics,
            account_limiter=rate_limiter.RateLimiter(rate_per_s=1, burst=2),
            now_ms=lambda: self.now_ms,
            wall_ms=lambda: _WALL_MS,
            new_id=lambda: "made",
        )
        self.http = testing.StubTreq(self.api.app.resource())

    def test_submitted_job_is_accepted_with_the_time_of_submission(
        self,
    ) -> None:
        self._set_answer(peer_messages.JobAnswer(status=_STATUS))
        status, body = self._send(
            "POST", "/v1/jobs", b'{"account": "a", "tasks": 2}'
        )
        self.assertEqual(202, status)
        self.assertEqual(_STATUS, msgspec.convert(body, jobs.JobStatus))
        spec = self._received_calls()[0].spec
        self.assertEqual(("", 2, _WALL_MS), _spec_summary(spec))

    def test_malformed_body_does_not_reach_the_state_machine(self):
        bodies = (
            b"",
            b"\xff",
            b"{}",
            b'{"account": ""}',
            b'{"account": "a", "tasks": 0}',
            b'{"account": "a", "taks": 2}',
            b'{"account": "a", "per_task": {"accelerators": -1}}',
            b'{"account": "a", "adjacency": "planet"}',
            b"[" * 100_000,
        )
        for body in bodies:
            with self.subTest(body[:40]):
                status, answer = self._send("POST", "/v1/jobs", body)
                self.assertEqual((400, 2002), (status, answer["code"]))
                self.assertTrue(answer["proves_not_run"])
        self.assertEqual([], self._received_calls())

    def test_failures_have_the_status_of_their_code_or_family(self) -> None:
        rows = (
            (codes.ResultCode.NEVER_FITS, 400),
            (codes.ResultCode.UNKNOWN_JOB, 404),
            (codes.ResultCode.TOO_LARGE, 413),
            (codes.ResultCode.QUEUE_FULL, 503),
            (codes.ResultCode.RATE_LIMITED, 429),
            (codes.ResultCode.OUTCOME_UNKNOWN, 200),
            (codes.ResultCode.INTERNAL, 500),
            (codes.ResultCode.TIMED_OUT, 504),
        )
        for code, expected in rows:
            with self.subTest(code.name):
                self._set_answer(_failure(code))
                status, body = self._send("GET", "/v1/jobs/kr-a/7f")
                self.assertEqual((expected, int(code)), (status, body["code"]))

    def test_refusal_that_may_be_retried_has_a_retry_after_header(self) -> None:
        self._set_answer(_failure(codes.ResultCode.QUEUE_FULL, 1_500))
        response = self._response("GET", "/v1/jobs/kr-a/7f")
        self.assertEqual(["2"], response.headers.getRawHeaders("Retry-After"))

    def test_job_id_with_a_slash_can_be_read_and_cancelled(self) -> None:
        self._set_answer(peer_messages.JobAnswer(status=_STATUS))
        self._send("GET", "/v1/jobs/kr-a/7f?wait_ms=999999999")
        self._send("DELETE", "/v1/jobs/kr-a/7f")
        self.assertEqual(
            [
                peer_messages.GetJob(
                    job="kr-a/7f", wait_ms=http_api.MAX_WAIT_MS
                ),
                peer_messages.CancelJob(job="kr-a/7f"),
            ],
            self._received_calls(),
        )

    def test_cancel_of_an_account_lists_domains_without_an_answer(self) -> None:
        self._set_answer(
            peer_messages.JobsAnswer(
                statuses=(_STATUS,), total=4, unanswered=("kr-b",)
            )
        )
        status, body = self._send("DELETE", "/v1/jobs?account=a")
        self.assertEqual(
            (200, 4, 1), (status, body["total"], len(body["jobs"]))
        )
        self.assertEqual(["kr-b"], body["unanswered"])
        self._send("DELETE", "/v1/jobs?account=a&failure_domain=kr-a")
        domains = [call.failure_domain for call in self._received_calls()]
        self.assertEqual(["", "kr-a"], domains)

    def test_list_jobs_passes_account_and_limit(self) -> None:
        self._set_answer(peer_messages.JobsAnswer(statuses=(_STATUS,), total=1))
        status, body = self._send("GET", "/v1/jobs?account=a&limit=5")
        self.assertEqual((200, 1), (status, body["total"]))
        call = self._received_calls()[0]
        self.assertEqual(("", "a", 5), msgspec.structs.astuple(call))

    def test_malformed_query_is_refused(self) -> None:
        for query in ("limit=x", "limit=-1", "limit=%FF", "limit=%D9%A1"):
            with self.subTest(query):
                status, body = self._send("GET", f"/v1/jobs?{query}")
                self.assertEqual((400, 2002), (status, body["code"]))

    def test_request_gets_an_id_and_the_status_of_its_result(self) -> None:
        for code, expected in (
            (codes.ResultCode.DONE, 200),
            (codes.ResultCode.NO_SLOT, 503),
        ):
            result = jobs.RequestResult(request="made", code=code)
            self._set_answer(peer_messages.RequestAnswer(result=result))
            status, body = self._send(
                "POST", "/v1/requests", b'{"account": "a"}'
            )
            self.assertEqual((expected, int(code)), (status, body["code"]))
        self.assertEqual("made", self._received_calls()[0].spec.request)

    def test_rate_limit_applies_to_each_account_and_recovers(self) -> None:
        self._set_answer(peer_messages.JobAnswer(status=_STATUS))
        bodies = [b'{"account": "a"}'] * 3 + [b'{"account": "b"}']
        statuses = [self._send("POST", "/v1/jobs", body)[0] for body in bodies]
        self.assertEqual([202, 202, 429, 202], statuses)
        self.now_ms = 1_000
        self.assertEqual(202, self._send("POST", "/v1/jobs", bodies[0])[0])

    def test_published_sheet_is_passed_on_and_its_result_returned(self) -> None:
        rows = (
            (codes.ResultCode.CONFIGURATION_ACCEPTED, 200),
            (codes.ResultCode.CONFIGURATION_STALE_BASE, 409),
            (codes.ResultCode.CONFIGURATION_OUTCOME_UNKNOWN, 504),
        )
        for code, expected in rows:
            with self.subTest(code.name):
                self._set_answer(
                    peer_messages.PublishAnswer(
                        result=jobs.JobResult(code=code), version=4
                    )
                )
                status, body = self._publish("base_version=3&author=me")
                self.assertEqual((expected, 4), (status, body["version"]))
        change = self._received_calls()[0].change
        self.assertEqual((3, "me"), (change.base_version, change.author))
        expected_content = sheet.parse(_SHEET.encode()).configuration
        self.assertEqual(expected_content, change.content)

    def test_faulty_sheet_is_refused_with_all_faults(self) -> None:
        data = _HEADER + "failure_domain,kr-a,,off,,,,,,,\nwhat,,,,,,,,,,\n"
        status, body = self._publish("base_version=3", data)
        self.assertEqual((422, 7002, 2), _publish_summary(status, body))
        self.assertEqual([], self._received_calls())

    def test_sheet_that_would_block_the_event_loop_is_refused(self) -> None:
        row = "client_account,a,paying,,,,,,,,\n"
        data = _HEADER + row * (http_api.MAX_SHEET_BYTES // len(row) + 1)
        status, body = self._publish("base_version=3", data)
        self.assertEqual((413, 2006), (status, body["code"]))

    def test_publication_without_a_base_version_is_refused(self) -> None:
        status, body = self._publish("author=me")
        self.assertEqual((400, 2002), (status, body["code"]))

    def test_configuration_is_returned_or_reported_as_missing(self) -> None:
        status, body = self._send("GET", "/v1/configuration")
        self.assertEqual((200, 3), (status, body["version"]))
        content = msgspec.convert(
            body["content"], configuration_lib.Configuration
        )
        self.assertEqual(self.state_machine.configuration, content)
        self.state_machine.configuration = None
        status, body = self._send("GET", "/v1/configuration")
        self.assertEqual((503, 3002), (status, body["code"]))

    def test_timeline_is_filtered_and_bounded(self) -> None:
        for number, account in enumerate("abab"):
            self.timeline.add(
                timeline_events.TimelineEvent(
                    physical_ms=number,
                    logical=0,
                    process="v1",
                    kind=timeline_events.EventKind.JOB_PLACED,
                    account=account,
                )
            )
        _, body = self._send("GET", "/v1/timeline?account=b")
        self.assertEqual([3], [e["physical_ms"] for e in body["events"]])
        self.assertEqual(2, body["dropped"])

    def test_health_readiness_membership_and_metrics_are_served(self) -> None:
        self.metrics.record_duration("job.paying", "queued", 5)
        self.assertEqual(200, self._send("GET", "/v1/health")[0])
        self.assertEqual(200, self._send("GET", "/v1/ready")[0])
        self.assertEqual(200, self._send("GET", "/v1/membership")[0])
        _, body = self._send("GET", "/v1/metrics")
        stages = [(h["work_class"], h["stage"]) for h in body["histograms"]]
        self.assertEqual([("job.paying", "queued")], stages)

    def test_unknown_path_or_method_is_answered_in_json(self) -> None:
        rows = (("GET", "/v2/jobs", 404), ("PATCH", "/v1/jobs", 405))
        for method, path, expected in rows:
            with self.subTest(path):
                status, body = self._send(method, path)
                self.assertEqual((expected, 2002), (status, body["code"]))

    def test_vm_that_is_not_ready_gives_the_reason(self) -> None:
        self.state_machine.ready = False
        self.assertEqual(3008, self._send("GET", "/v1/ready")[1]["code"])
        self.state_machine.configuration = configuration_lib.Configuration()
        self.assertEqual(3002, self._send("GET", "/v1/ready")[1]["code"])
        self.state_machine.configuration = None
        self.assertEqual(3002, self._send("GET", "/v1/ready")[1]["code"])
        self.state_machine.draining = True
        self.assertEqual(3003, self._send("GET", "/v1/ready")[1]["code"])

    def test_drain_is_dispatched_and_a_draining_vm_is_not_ready(self) -> None:
        self.assertEqual(202, self._send("POST", "/v1/drain")[0])
        self.assertEqual(
            1, len(self.state_machine.of_type(events.DrainRequested))
        )
        self.state_machine.ready, self.state_machine.draining = False, True
        self.assertEqual(503, self._send("GET", "/v1/ready")[0])

    def test_closed_connection_is_reported_as_a_caller_that_left(self) -> None:
        answer = self.http.request(
            "POST", "http://127.0.0.1/v1/jobs", data=b'{"account": "a"}'
        )
        answer.addErrback(lambda reason: None)
        self.http.flush()
        answer.cancel()
        self.http.flush()
        arrived = self.state_machine.of_type(events.CallArrived)
        left = self.state_machine.of_type(events.CallerLeft)
        self.assertEqual(
            [event.ticket for event in arrived],
            [event.ticket for event in left],
        )

    def _set_answer(self, body: peer_messages.Answer) -> None:
        self.state_machine.answer = lambda call: body

    def _received_calls(self) -> list[peer_messages.CallerCall]:
        return [
            event.body
            for event in self.state_machine.of_type(events.CallArrived)
        ]

    def _publish(self, query: str, data: str = _SHEET) -> tuple[int, dict]:
        return self._send("PUT", f"/v1/configuration?{query}", data.encode())

    def _send(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, dict]:
        response = self._response(method, path, body)
        data = self._result(response.content())
        return response.code, msgspec.json.decode(data)

    def _response(self, method: str, path: str, body: bytes | None = None):
        url = f"http://127.0.0.1{path}"
        return self._result(self.http.request(method, url, data=body))

    def _result(self, answer: defer.Deferred) -> object:
        results = []
        answer.addBoth(results.append)
        while not results:
            self.http.flush()
        return results[0]


def _spec_summary(spec: jobs.JobSpec) -> tuple[str, int, int]:
    return spec.job, spec.tasks, spec.submitted_ms


def _publish_summary(status: int, body: dict) -> tuple[int, int, int]:
    return status, body["code"], len(body["faults"])
