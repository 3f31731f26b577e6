"""Tests of the platform calls against the HTTP stand-ins."""

import contextlib
import socket
import unittest

import msgspec
from treq import client as treq_client
from twisted.internet import defer
from twisted.internet import reactor
from twisted.web import client

from citronmount.clients import byte_counting
from citronmount.clients import http_agent
from citronmount.clients import http_client
from citronmount.clients import messages
from citronmount.clients import platform_api
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.standins import http_faults
from citronmount.standins import http_servers
from citronmount.testing import reactor_loop

_TIMEOUT_MS = 30_000
_STREAM = ids.StreamName("jobs.kr-a")
_DOMAIN = ids.FailureDomainId("kr-a")


def _unused_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
    return f"{host}:{port}"


def _worker() -> messages.ListedTarget:
    return messages.ListedTarget(
        name="w1",
        address=_unused_address(),
        failure_domain=_DOMAIN,
        capacity=jobs.Resources(accelerators=8, cores=64, memory_gb=128),
    )


def _runner() -> messages.ListedTarget:
    return messages.ListedTarget(
        name="r1",
        address=_unused_address(),
        failure_domain=_DOMAIN,
        slots=1,
        connections=60,
    )


def _request_spec(name: str, service_ms: int = 1) -> jobs.RequestSpec:
    return jobs.RequestSpec(
        request=ids.RequestId(name),
        account=ids.AccountId("a"),
        payload=f'{{"service_ms": {service_ms}}}',
    )


class PlatformApiTest(unittest.TestCase):
    """Each call against its stand-in, over loopback sockets."""

    def setUp(self) -> None:
        self.settings = http_servers.StandinSettings(
            log_address=_unused_address(),
            vm_list_address=_unused_address(),
            workers=(_worker(),),
            runners=(_runner(),),
        )
        self.events = []
        stack = http_servers.serve_all(self.settings, reactor, self.events)
        self.addCleanup(_close, stack)
        self.http = http_client.HttpClient(reactor=reactor)
        self.addCleanup(lambda: reactor_loop.run(_wait(self.http.close())))

    def test_log_returns_appended_records_unchanged_and_in_order(self) -> None:
        records = ((ids.RecordId("r1"), b"\xff\x00"), (ids.RecordId("r2"), b""))
        answer = reactor_loop.run(_wait(self._append(records)))
        self.assertEqual(0, answer.offset)
        page = reactor_loop.run(_wait(self._read()))
        read_records = tuple((r.record, r.data) for r in page.records)
        self.assertEqual(records, read_records)
        self.assertEqual((0, 2), (page.oldest, page.end))
        self.assertLess(100, self.http.traffic.sent_bytes)
        self.assertLess(100, self.http.traffic.received_bytes)

    def test_append_with_a_lost_answer_is_reported_as_possibly_sent(
        self,
    ) -> None:
        self._put_faults(
            self.settings.log_address, http_faults.Faults(lost_answers=1)
        )
        records = ((ids.RecordId("r1"), b"x"),)
        with self.assertRaises(http_client.NoAnswerError) as caught:
            reactor_loop.run(_wait(self._append(records)))
        self.assertTrue(caught.exception.sent)
        self.assertEqual(1, reactor_loop.run(_wait(self._read())).end)

    def test_log_outage_fails_as_unreachable(self) -> None:
        self._put_faults(
            self.settings.log_address, http_faults.Faults(down=True)
        )
        with self.assertRaises(http_client.NoAnswerError) as caught:
            reactor_loop.run(_wait(self._read()))
        self.assertIs(codes.ResultCode.UNREACHABLE, caught.exception.code)

    def test_slow_answer_fails_as_timed_out(self) -> None:
        self._put_faults(
            self.settings.log_address, http_faults.Faults(delay_ms=500)
        )
        with self.assertRaises(http_client.NoAnswerError) as caught:
            reactor_loop.run(_wait(self._read(timeout_ms=50)))
        self.assertIs(codes.ResultCode.TIMED_OUT, caught.exception.code)
        self.assertTrue(caught.exception.sent)

    def test_leaving_target_is_listed_and_refuses_requests(self) -> None:
        self._put(
            self.settings.vm_list_address, "/targets/r1/state", b"leaving"
        )
        view = reactor_loop.run(
            _wait(
                platform_api.list_platform(
                    self.http, self.settings.vm_list_address, _TIMEOUT_MS
                )
            )
        )
        self.assertEqual(self.settings.workers, view.workers)
        self.assertIs(states.TargetState.LEAVING, view.runners[0].state)
        answer = reactor_loop.run(_wait(self._run(_request_spec("q1"))))
        self.assertIs(messages.RunnerOutcome.LEAVING, answer.outcome)

    def test_unchanged_list_is_cached_and_a_changed_one_read_again(
        self,
    ) -> None:
        address = self.settings.vm_list_address
        first, second = (
            reactor_loop.run(
                _wait(
                    platform_api.list_platform(self.http, address, _TIMEOUT_MS)
                )
            )
            for _ in range(2)
        )
        self.assertIs(first, second)
        self._put(address, "/targets/w1/state", b"leaving")
        third = reactor_loop.run(
            _wait(platform_api.list_platform(self.http, address, _TIMEOUT_MS))
        )
        self.assertIs(states.TargetState.LEAVING, third.workers[0].state)

    def test_worker_reserves_and_refuses_a_stale_token(self) -> None:
        spec = jobs.JobSpec(job=ids.JobId("kr-a/1"), account="a")
        placement = jobs.Placement(
            groups=(jobs.TaskGroup(worker=ids.WorkerId("w1"), tasks=1),)
        )
        reserve = messages.Reserve(
            attempt=ids.AttemptId("kr-a/1#1.2"),
            spec=spec,
            placement=placement,
            tasks=1,
            number=1,
            ttl_ms=2_000,
        )
        answer = reactor_loop.run(_wait(self._act(2, reserve)))
        self.assertIs(messages.ActOutcome.DONE, answer.results[0].outcome)
        self.assertEqual(spec, answer.report.leases[0].spec)
        answer = reactor_loop.run(_wait(self._act(1, reserve)))
        outcome = answer.results[0].outcome
        self.assertIs(messages.ActOutcome.STALE_TOKEN, outcome)

    def test_busy_runner_refuses_and_answers_are_not_mixed_up(self) -> None:
        calls = [
            self._run(_request_spec("q1", 200)),
            self._run(_request_spec("q2")),
        ]
        answers = reactor_loop.run(_wait(defer.gatherResults(calls)))
        outcomes = {answer.request: answer.outcome for answer in answers}
        self.assertEqual(
            {messages.RunnerOutcome.DONE, messages.RunnerOutcome.BUSY},
            set(outcomes.values()),
        )
        self.assertEqual({"q1", "q2"}, set(outcomes))

    def test_lost_runner_answer_is_reported_as_possibly_sent(self) -> None:
        address = self.settings.runners[0].address
        self._put_faults(address, http_faults.Faults(lost_answers=1))
        with self.assertRaises(http_client.NoAnswerError) as caught:
            reactor_loop.run(_wait(self._run(_request_spec("q1"))))
        self.assertTrue(caught.exception.sent)
        self.assertEqual(2, len(self.events))

    def test_refused_connection_is_reported_as_not_sent(self) -> None:
        answer = platform_api.call_runner(
            self.http, _unused_address(), _request_spec("q1"), _TIMEOUT_MS
        )
        with self.assertRaises(http_client.NoAnswerError) as caught:
            reactor_loop.run(_wait(answer))
        self.assertFalse(caught.exception.sent)

    def test_body_of_another_type_is_refused(self) -> None:
        address = self.settings.vm_list_address
        answer = self.http.get(
            address, "/timeline", messages.PlatformView, _TIMEOUT_MS
        )
        with self.assertRaises(http_client.NoAnswerError):
            reactor_loop.run(_wait(answer))

    def _append(self, records: tuple) -> defer.Deferred:
        return platform_api.append_log(
            self.http, self.settings.log_address, _STREAM, records, _TIMEOUT_MS
        )

    def _read(self, timeout_ms: int = _TIMEOUT_MS) -> defer.Deferred:
        return platform_api.read_log(
            self.http, self.settings.log_address, _STREAM, 0, 10, timeout_ms
        )

    def _act(self, token: int, *acts: messages.Act) -> defer.Deferred:
        call = messages.WorkerCall(token=ids.FenceToken(token), acts=acts)
        return platform_api.call_worker(
            self.http, self.settings.workers[0].address, call, _TIMEOUT_MS
        )

    def _run(self, spec: jobs.RequestSpec) -> defer.Deferred:
        return platform_api.call_runner(
            self.http, self.settings.runners[0].address, spec, _TIMEOUT_MS
        )

    def _put_faults(self, address: str, faults: http_faults.Faults) -> None:
        self._put(address, "/faults", msgspec.json.encode(faults))

    def _put(self, address: str, path: str, body: bytes) -> None:
        pool = client.HTTPConnectionPool(reactor, persistent=False)
        plain_client = treq_client.HTTPClient(
            http_agent.make_http_agent(reactor, pool, byte_counting.Traffic())
        )
        url = f"http://{address}{path}"
        response = reactor_loop.run(_wait(plain_client.put(url, body)))
        self.assertEqual(200, response.code)


async def _wait(result: defer.Deferred) -> object:
    return await result


def _close(stack: contextlib.ExitStack) -> None:
    stack.close()
    reactor_loop.run(_wait(defer.succeed(None)))
