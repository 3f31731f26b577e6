import unittest

from citronmount.cli import api_client
from citronmount.cli import calls
from citronmount.cli.tests import fakes
from citronmount.core import codes
from citronmount.service import bodies

_CODES = codes.ResultCode


def _no_answer(sent):
    return calls.NoAnswerError("lost", sent=sent)


class ClientTest(unittest.TestCase):
    def call(self, *, idempotent=True, result_type=bodies.JobsBody, **script):
        self.servers = fakes.ScriptedServers(**script)
        client = api_client.Client(servers=script, transport=self.servers)
        call = calls.Call(method="GET", path=("v1",), idempotent=idempotent)
        return fakes.run_to_completion(client.call(call, result_type))

    def test_a_call_without_effect_fails_over_to_the_next_server(self):
        expected = bodies.JobsBody(jobs=(), total=0)
        for reply in (
            _no_answer(sent=False),
            bodies.make_result_body(_CODES.DRAINING),
            bodies.make_result_body(_CODES.REBUILDING),
            bodies.make_result_body(_CODES.NO_CONFIGURATION),
        ):
            result = self.call(idempotent=False, a=reply, b=expected)
            self.assertEqual(result, expected)
            self.assertEqual(self.servers.called, ["a", "b"])

    def test_only_idempotent_calls_fail_over_after_a_lost_connection(self):
        expected = bodies.JobsBody(jobs=(), total=0)
        self.assertEqual(
            self.call(a=_no_answer(sent=True), b=expected), expected
        )
        with self.assertRaises(ExceptionGroup):
            self.call(idempotent=False, a=_no_answer(sent=True), b=expected)
        self.assertEqual(self.servers.called, ["a"])

    def call_with_retries(self, replies, pause_budget_ms, *, idempotent=True):
        self.servers = fakes.ScriptedServers(a=replies)
        client = api_client.Client(servers="a", transport=self.servers)
        call = calls.Call(method="GET", path=("v1",), idempotent=idempotent)
        return fakes.run_to_completion(
            client.call_with_retries(call, bodies.JobsBody, pause_budget_ms)
        )

    def test_retries_pause_as_requested_until_the_budget_is_used_up(self):
        expected = bodies.JobsBody(jobs=(), total=0)
        busy = bodies.make_result_body(_CODES.QUEUE_FULL, retry_after_ms=300)
        self.assertEqual(
            self.call_with_retries(
                [busy, _no_answer(sent=True), expected], 9_000
            ),
            expected,
        )
        self.assertEqual(self.servers.pauses_ms, [300, 1_000])
        with self.assertRaises(api_client.RefusedError):
            self.call_with_retries([busy] * 9, 700)
        self.assertEqual(self.servers.pauses_ms, [300, 300, 100])

    def test_permanent_refusals_and_unknown_outcomes_are_not_retried(self):
        permanent = bodies.make_result_body(_CODES.UNKNOWN_ACCOUNT)
        with self.assertRaises(api_client.RefusedError):
            self.call_with_retries([permanent], 9_000)
        with self.assertRaises(ExceptionGroup):
            self.call_with_retries(
                [_no_answer(sent=True)], 9_000, idempotent=False
            )

    def test_a_refusal_by_the_call_itself_does_not_fail_over(self):
        refusal = bodies.make_result_body(_CODES.UNKNOWN_ACCOUNT)
        with self.assertRaises(api_client.RefusedError) as caught:
            self.call(a=refusal, b=bodies.JobsBody(jobs=(), total=0))
        self.assertEqual(caught.exception.result, refusal)
        self.assertEqual(self.servers.called, ["a"])

    def test_the_failure_of_every_server_is_reported(self):
        with self.assertRaises(ExceptionGroup) as caught:
            self.call(a=_no_answer(sent=False), b=_no_answer(sent=False))
        self.assertEqual(len(caught.exception.exceptions), 2)

    def test_an_unreadable_reply_counts_as_no_answer(self):
        with self.assertRaises(ExceptionGroup):
            self.call(a={"strange": 1})


if __name__ == "__main__":
    unittest.main()
