"""Property tests of the HTTP API with arbitrary input."""

import unittest

import hypothesis
from hypothesis import strategies
import msgspec
from treq import testing
from twisted.internet import task

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
from citronmount.telemetry import timeline_store

_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=6,
)
_FIELDS = strategies.sampled_from(
    (*jobs.JobSpec.__struct_fields__, *jobs.RequestSpec.__struct_fields__)
)
_BODIES = strategies.binary(max_size=60) | strategies.dictionaries(
    _FIELDS, _VALUES, max_size=5
).map(msgspec.json.encode)
_ROUTES = strategies.sampled_from(
    (
        ("POST", "/v1/jobs"),
        ("POST", "/v1/requests"),
        ("PUT", "/v1/configuration"),
        ("GET", "/v1/jobs"),
        ("DELETE", "/v1/jobs"),
        ("GET", "/v1/timeline"),
    )
)
_QUERIES = strategies.dictionaries(
    strategies.sampled_from(
        ("account", "limit", "base_version", "failure_domain", "wait_ms")
    ),
    strategies.text(max_size=8),
    max_size=3,
)
_STATUS = jobs.JobStatus(
    job=ids.JobId("kr-a/1"),
    account=ids.AccountId("a"),
    state=states.JobState.QUEUED,
)


def _answer(call: peer_messages.CallerCall) -> peer_messages.Answer:
    match call:
        case peer_messages.RunRequest(spec=spec):
            return peer_messages.RequestAnswer(
                result=jobs.RequestResult(
                    request=spec.request, code=codes.ResultCode.DONE
                )
            )
        case peer_messages.ListJobs() | peer_messages.CancelJobs():
            return peer_messages.JobsAnswer(statuses=(_STATUS,), total=1)
        case _:
            return peer_messages.JobAnswer(status=_STATUS)


def _make_client() -> testing.StubTreq:
    state_machine = fakes.FakeStateMachine(_answer)
    metrics = metrics_registry.MetricsRegistry()
    timeline = timeline_store.TimelineStore(max_events=1)
    runtime = event_loop.Runtime(
        reactor=task.Clock(),
        state_machine=state_machine,
        peers=fakes.FakePeers(),
        http=fakes.FakeHttp(),
        addresses=event_loop.Addresses(log="", vm_list=""),
        on_trace=timeline.add,
        metrics=metrics,
    )
    api = http_api.Api(
        vm=ids.VmId("v1"),
        failure_domain=ids.FailureDomainId("kr-a"),
        runtime=runtime,
        state_machine=state_machine,
        timeline=timeline,
        metrics=metrics,
        account_limiter=rate_limiter.RateLimiter(rate_per_s=1, burst=1_000_000),
        now_ms=lambda: 0,
        wall_ms=lambda: 0,
    )
    return testing.StubTreq(api.app.resource())


class InputTest(unittest.TestCase):
    """Arbitrary input never causes a traceback or an internal error."""

    def setUp(self) -> None:
        self.http = _make_client()

    @hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None, database=None
    )
    @hypothesis.given(route=_ROUTES, query=_QUERIES, body=_BODIES)
    def test_every_answer_is_json_without_an_internal_error(
        self,
        route: tuple[str, str],
        query: dict[str, str],
        body: bytes,
    ) -> None:
        method, path = route
        results = []
        answer = self.http.request(
            method, f"http://127.0.0.1{path}", params=query, data=body
        )
        answer.addCallback(lambda r: r.content().addCallback(results.append))
        answer.addCallback(lambda _: results.append(None))
        self.http.flush()
        decoded = msgspec.json.decode(results[0])
        code = decoded.get("code", codes.ResultCode.OK)
        self.assertNotEqual(9, code // 1_000, decoded)
