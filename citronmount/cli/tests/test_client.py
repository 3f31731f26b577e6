import unittest

from citronmount.cli import calls
from citronmount.cli import client as client_lib
from citronmount.cli.tests import fakes
from citronmount.core import codes
from citronmount.service import bodies

_CODES = codes.ResultCode


def _lost(sent):
    return calls.NoAnswerError("lost", sent=sent)


class ClientTest(unittest.TestCase):
    def call(self, *, idempotent=True, kind=bodies.JobsBody, **script):
        self.servers = fakes.Servers(**script)
        client = client_lib.Client(servers=script, transport=self.servers)
        call = calls.Call(method="GET", path=("v1",), idempotent=idempotent)
        return fakes.run(client.call(call, kind))

    def test_next_server_is_asked_when_nothing_took_effect(self):
        good = bodies.JobsBody(jobs=(), total=0)
        for answer in (
            _lost(sent=False),
            bodies.make_result_body(_CODES.DRAINING),
            bodies.make_result_body(_CODES.REBUILDING),
            bodies.make_result_body(_CODES.NO_CONFIGURATION),
        ):
            found = self.call(idempotent=False, a=answer, b=good)
            self.assertEqual(found, good)
            self.assertEqual(self.servers.asked, ["a", "b"])

    def test_only_idempotent_calls_go_on_after_a_broken_connection(self):
        good = bodies.JobsBody(jobs=(), total=0)
        self.assertEqual(self.call(a=_lost(sent=True), b=good), good)
        with self.assertRaises(ExceptionGroup):
            self.call(idempotent=False, a=_lost(sent=True), b=good)
        self.assertEqual(self.servers.asked, ["a"])

    def call_patiently(self, answers, patience_ms, *, idempotent=True):
        self.servers = fakes.Servers(a=answers)
        client = client_lib.Client(servers="a", transport=self.servers)
        call = calls.Call(method="GET", path=("v1",), idempotent=idempotent)
        return fakes.run(
            client.call_patiently(call, bodies.JobsBody, patience_ms)
        )

    def test_patience_waits_as_told_and_ends(self):
        good = bodies.JobsBody(jobs=(), total=0)
        busy = bodies.make_result_body(_CODES.QUEUE_FULL, retry_after_ms=300)
        self.assertEqual(
            self.call_patiently([busy, _lost(sent=True), good], 9_000), good
        )
        self.assertEqual(self.servers.pauses_ms, [300, 1_000])
        with self.assertRaises(client_lib.RefusedError):
            self.call_patiently([busy] * 9, 700)
        self.assertEqual(self.servers.pauses_ms, [300, 300, 100])

    def test_patience_repeats_nothing_that_may_have_taken_effect(self):
        final = bodies.make_result_body(_CODES.UNKNOWN_ACCOUNT)
        with self.assertRaises(client_lib.RefusedError):
            self.call_patiently([final], 9_000)
        with self.assertRaises(ExceptionGroup):
            self.call_patiently([_lost(sent=True)], 9_000, idempotent=False)

    def test_other_refusals_are_final(self):
        refusal = bodies.make_result_body(_CODES.UNKNOWN_ACCOUNT)
        with self.assertRaises(client_lib.RefusedError) as caught:
            self.call(a=refusal, b=bodies.JobsBody(jobs=(), total=0))
        self.assertEqual(caught.exception.refusal, refusal)
        self.assertEqual(self.servers.asked, ["a"])

    def test_every_failure_is_reported(self):
        with self.assertRaises(ExceptionGroup) as caught:
            self.call(a=_lost(sent=False), b=_lost(sent=False))
        self.assertEqual(len(caught.exception.exceptions), 2)

    def test_unreadable_answer_counts_as_none(self):
        with self.assertRaises(ExceptionGroup):
            self.call(a={"strange": 1})


if __name__ == "__main__":
    unittest.main()
