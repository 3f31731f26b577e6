import types
import unittest
from unittest import mock

import msgspec
import structlog
import treq.testing
from twisted.internet import defer

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service.tests import pool_fixture
from citronmount.platform import job_api
from citronmount.standins import pool_log

JOB = "5c0e7a21d94b36f8"
BODY = msgspec.json.encode({"spec": "x", "phases": [{"count": 1, "gpu": 1}]})
HEADERS = {"X-Api-Key": "key-acme"}


class JobApiTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.guaranteed_accelerators = {"acme": 4}
        self.publish_configuration(version=2)
        self.run_for(0.5)
        self.run_time_ms = lambda task, run: 1_000
        self.steps[JOB, 0] = pool_fixture.make_step()
        api = job_api.JobApi(service=self.pool_vms[1].job_service)
        self.http = treq.testing.StubTreq(api.app.resource())

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str | bytes] = HEADERS,
    ) -> tuple[int, dict]:
        requested = self.http.request(
            method, f"http://h.example{path}", data=body, headers=headers
        )
        response = self.result_of(requested)
        text = self.result_of(response.text())
        self.headers = response.headers
        return response.code, msgspec.json.decode(text) if text else {}

    def result_of(self, deferred: defer.Deferred) -> object:
        results: list[object] = []
        deferred.addBoth(results.append)
        for _ in range(800):
            if results:
                break
            self.clock.advance(pool_fixture.STEP_S)
            self.http.flush()
        self.assertTrue(results, "no response within 4 s")
        return results[0]

    def test_job_is_reported_from_submission_to_completion(self) -> None:
        path = f"/batch/{JOB}"
        self.assertEqual(200, self.call("POST", path, BODY)[0])
        self.assertEqual(200, self.call("POST", path, BODY)[0])
        self.run_for(0.4)
        self.assertEqual((200, {"state": "active"}), self.call("GET", path))
        self.run_for(2.0)
        self.assertEqual((200, {"state": "complete"}), self.call("GET", path))
        self.assertEqual(200, self.call("DELETE", path)[0])
        self.assertEqual((200, {"pending": 0}), self.call("GET", "/batch/"))

    def test_invalid_calls_get_their_status_and_start_no_task(self) -> None:
        job_path = f"/batch/{JOB}"
        calls = (
            (401, "POST", job_path, BODY, {"X-Api-Key": "other"}),
            (401, "GET", job_path, b"", {}),
            (404, "POST", f"/none/{JOB}", BODY, HEADERS),
            (404, "GET", "/none/", b"", HEADERS),
            (404, "POST", "/batch/short", BODY, HEADERS),
            (400, "POST", job_path, b"{", HEADERS),
            (405, "PUT", job_path, BODY, HEADERS),
            (410, "GET", job_path, b"", HEADERS),
            (410, "DELETE", job_path, b"", HEADERS),
        )
        for status, method, path, body, headers in calls:
            with self.subTest(method=method, path=path, status=status):
                code, _ = self.call(method, path, body, headers)
                self.assertEqual(status, code)
        self.assertEqual([], self.pool_workers.starts)

    def test_gang_above_the_quota_is_refused_without_retry_after(self) -> None:
        # Waiting does not help, so the client must not be told to retry.
        self.quotas = {"acme": fleet_configuration.Quota(max_accelerators=3)}
        self.publish_configuration(version=3)
        self.run_for(0.5)
        phase = {"count": 4, "gpu": 1, "gang": True}
        body = msgspec.json.encode({"spec": "x", "phases": [phase]})
        code, answer = self.call("POST", f"/batch/{JOB}", body)
        self.assertEqual(429, code)
        self.assertIn("accelerators", str(answer))
        self.assertIsNone(self.headers.getRawHeaders("retry-after"))
        self.assertEqual(410, self.call("GET", f"/batch/{JOB}")[0])

    def test_headers_of_any_bytes_are_answered(self) -> None:
        path = f"/batch/{JOB}"
        status, _ = self.call("GET", path, headers={"X-Api-Key": b"\xff"})
        self.assertEqual(401, status)
        deadlines = (b"\xff", "\u00b2", "\u0664", "9" * 5_000, "-1", "")
        for number, deadline in enumerate(deadlines):
            status, _ = self.call(
                "POST",
                f"/batch/{number:016x}",
                msgspec.json.encode({"spec": "", "phases": [{"count": 0}]}),
                {**HEADERS, "Citronmount-Deadline-Ms": deadline},
            )
            self.assertEqual(400, status, deadline)
            self.steps[f"{number:016x}", 0] = pool_fixture.make_step()
            status, _ = self.call(
                "POST",
                f"/batch/{number:016x}",
                BODY,
                {**HEADERS, "Citronmount-Deadline-Ms": deadline},
            )
            self.assertEqual(200, status, deadline)

    def test_unexpected_error_ends_one_call_with_a_log_line(self) -> None:
        path = f"/batch/{JOB}"
        service = self.pool_vms[1].job_service
        with (
            mock.patch.object(service, "submit", side_effect=KeyError("odd")),
            structlog.testing.capture_logs() as events,
        ):
            self.assertEqual(500, self.call("POST", path, BODY)[0])
        self.assertIn("call_failed", [each["event"] for each in events])
        self.assertEqual(200, self.call("POST", path, BODY)[0])

    def test_refusal_by_the_log_sets_retry_after(self) -> None:
        self.log.faults[ids.VmId("vm1")] = pool_log.LogFault.REFUSES
        self.assertEqual(503, self.call("POST", f"/batch/{JOB}", BODY)[0])
        self.assertEqual(["1"], self.headers.getRawHeaders("retry-after"))

    def test_lost_log_answer_is_a_timeout_and_not_a_refusal(self) -> None:
        self.log.faults[ids.VmId("vm1")] = pool_log.LogFault.LOSES_ANSWERS
        self.assertEqual(504, self.call("POST", f"/batch/{JOB}", BODY)[0])

    def test_closing_ignores_a_client_that_disconnected(self) -> None:
        job_api.close_after_response(types.SimpleNamespace(channel=None))
        channel = types.SimpleNamespace(persistent=True)
        job_api.close_after_response(types.SimpleNamespace(channel=channel))
        self.assertFalse(channel.persistent)

    def test_vm_without_configuration_refuses_calls(self) -> None:
        self.pool_vms[1].job_service.configuration = None
        self.assertEqual(503, self.call("POST", f"/batch/{JOB}", BODY)[0])


if __name__ == "__main__":
    unittest.main()
