"""Tests of the request router, including failures of runners and peers."""

import collections
import itertools
import unittest

import hypothesis
from hypothesis import strategies

from citronmount.clients import messages
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import request_admission
from citronmount.core import request_decisions
from citronmount.core import request_router
from citronmount.core import request_slots
from citronmount.core import states

_Outcome = messages.RunnerOutcome


def _listed_runner(
    name: str,
    slots: int = 8,
    state: states.TargetState = states.TargetState.UP,
) -> messages.ListedTarget:
    return messages.ListedTarget(
        name=name,
        address="127.0.0.1:1",
        failure_domain=ids.FailureDomainId("gt-a"),
        slots=slots,
        connections=60,
        state=state,
    )


def _router(
    *, runners: int = 2, slots: int = 1
) -> request_router.RequestRouter:
    router = request_router.RequestRouter(vm=ids.VmId("vm-1"))
    router.set_runners(
        tuple(_listed_runner(f"r{i}", slots) for i in range(runners))
    )
    return router


def _spec(name: str, account: str = "door", **fields) -> jobs.RequestSpec:
    return jobs.RequestSpec(
        request=ids.RequestId(name), account=ids.AccountId(account), **fields
    )


def _answer(
    request: str, outcome: _Outcome = _Outcome.DONE, payload: str = "ok"
) -> messages.RunnerAnswer:
    return messages.RunnerAnswer(
        request=ids.RequestId(request), outcome=outcome, payload=payload
    )


def _sends(decisions: list) -> list[request_decisions.Send]:
    return [d for d in decisions if isinstance(d, request_decisions.Send)]


def _results(decisions: list) -> list[jobs.RequestResult]:
    return [
        d.result for d in decisions if isinstance(d, request_decisions.Finish)
    ]


class SplitEvenlyTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 70), max_size=30),
        strategies.integers(1, 41),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_shares_add_up_and_differ_by_at_most_one(self, amounts, count):
        shares = [
            request_slots.split_evenly(tuple(amounts), index, count)
            for index in range(count)
        ]
        self.assertEqual([sum(s) for s in zip(*shares, strict=True)], amounts)
        totals = [sum(share) for share in shares]
        self.assertLessEqual(max(totals) - min(totals), 1)


class RouterTest(unittest.TestCase):
    def _send_one(self, router, spec, now_ms=0):
        self.assertIsNone(router.submit(spec, now_ms))
        (send,) = _sends(router.decide(now_ms))
        return send

    def test_sends_never_exceed_the_slot_share(self):
        router = _router(runners=3, slots=8)
        router.set_share(0, 3)
        for i in range(30):
            router.submit(_spec(f"q{i}"), 0)
        sends = _sends(router.decide(0))
        used = collections.Counter(send.runner for send in sends)
        self.assertEqual(len(sends), 8)
        self.assertLessEqual(max(used.values()), 3)
        self.assertEqual(router.queued_count(), 22)

    def test_only_the_first_of_duplicate_answers_counts(self):
        router = _router()
        send = self._send_one(router, _spec("q"))
        for payload in ("first", "second"):
            router.record_answer(
                send.request,
                send.runner,
                _answer("q", payload=payload),
                True,
                9,
            )
        (result,) = _results(router.decide(9))
        self.assertEqual(result.payload, "first")
        self.assertEqual(router.outstanding_count(), 0)
        self.assertEqual(router.free_slots(), 2)

    def test_answer_for_another_request_is_never_delivered(self):
        router = _router()
        send = self._send_one(router, _spec("q", idempotent=False))
        router.record_answer(send.request, send.runner, _answer("x"), True, 9)
        (result,) = _results(router.decide(9))
        self.assertIs(result.code, codes.ResultCode.OUTCOME_UNKNOWN)

    def test_timeout_code_tells_whether_request_may_have_run(self):
        cases = [
            (0, True, codes.ResultCode.NO_SLOT),
            (0, False, codes.ResultCode.NO_SLOT),
            (1, True, codes.ResultCode.TIMED_OUT),
            (1, False, codes.ResultCode.OUTCOME_UNKNOWN),
        ]
        for slots, idempotent, code in cases:
            with self.subTest(slots=slots, idempotent=idempotent):
                router = _router(runners=1, slots=slots)
                spec = _spec("q", idempotent=idempotent, timeout_ms=100)
                router.submit(spec, 0)
                self.assertEqual(_results(router.decide(99)), [])
                (result,) = _results(router.decide(100))
                self.assertIs(result.code, code)

    def test_timed_out_request_holds_its_slot_until_answered(self):
        router = _router(runners=1)
        send = self._send_one(router, _spec("q", timeout_ms=100))
        self.assertEqual(len(_results(router.decide(100))), 1)
        self.assertEqual(router.free_slots(), 0)
        router.record_answer(send.request, send.runner, None, True, 200)
        self.assertEqual(router.free_slots(), 1)
        self.assertEqual(_results(router.decide(200)), [])

    def test_request_that_did_not_run_is_sent_to_another_runner(self):
        answers = [
            (_answer("q", _Outcome.BUSY), True),
            (_answer("q", _Outcome.LEAVING), True),
            (None, False),
        ]
        for answer, sent in answers:
            with self.subTest(answer=answer):
                router = _router()
                first = self._send_one(router, _spec("q", idempotent=False))
                router.record_answer(
                    first.request, first.runner, answer, sent, 1
                )
                (second,) = _sends(router.decide(1))
                self.assertNotEqual(first.runner, second.runner)

    def test_only_idempotent_requests_are_retried_after_lost_answer(self):
        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                router = _router()
                send = self._send_one(router, _spec("q", idempotent=idempotent))
                router.record_answer(send.request, send.runner, None, True, 1)
                decisions = router.decide(1)
                self.assertEqual(len(_sends(decisions)), int(idempotent))
                self.assertEqual(
                    [r.code for r in _results(decisions)],
                    [] if idempotent else [codes.ResultCode.OUTCOME_UNKNOWN],
                )

    def test_retry_budget_limits_retries_when_all_answers_are_lost(self):
        router = _router(runners=4, slots=8)
        sends = 0
        for i in range(400):
            router.submit(_spec(f"q{i}", f"a{i % 2}"), i)
            while batch := _sends(router.decide(i)):
                sends += len(batch)
                for send in batch:
                    router.record_answer(
                        send.request, send.runner, None, True, i
                    )
        runs_each = sends / 400
        self.assertLess(runs_each, 1.2)

    def test_leaving_runner_gets_no_requests_while_still_listed_as_up(self):
        router = _router(runners=1, slots=4)
        send = self._send_one(router, _spec("q"))
        router.record_answer(
            send.request, send.runner, _answer("q", _Outcome.LEAVING), True, 1
        )
        router.set_runners((_listed_runner("r0", 4),))
        self.assertEqual(_sends(router.decide(3_000)), [])

    def test_request_that_no_runner_receives_is_reported_as_not_run(self):
        router = _router(runners=4, slots=8)
        router.submit(_spec("q", idempotent=False, timeout_ms=60_000), 0)
        results = []
        for now_ms in itertools.count(0, 5_000):
            decisions = router.decide(now_ms)
            results = _results(decisions)
            if results:
                break
            for send in _sends(decisions):
                router.record_answer(
                    send.request, send.runner, None, False, now_ms
                )
        self.assertIs(results[0].code, codes.ResultCode.TARGET_REFUSED)

    def test_failing_runner_is_ejected_and_used_again_after_recovery(self):
        router = _router(runners=4, slots=8)
        recovered = False
        send_counts = collections.Counter()
        for i in range(600):
            now_ms = 10 * i
            router.submit(_spec(f"q{i}", f"a{i % 3}"), now_ms)
            while batch := _sends(router.decide(now_ms)):
                for send in batch:
                    fails = send.runner == "r0" and not recovered
                    send_counts[send.runner, recovered] += 1
                    outcome = _Outcome.FAILED if fails else _Outcome.DONE
                    router.record_answer(
                        send.request,
                        send.runner,
                        _answer(send.request, outcome),
                        True,
                        now_ms,
                    )
            recovered = i >= 300
        self.assertLess(send_counts["r0", False], 8)
        self.assertGreater(send_counts["r0", True], 20)

    def test_failures_of_one_account_do_not_eject_runners(self):
        router = _router(runners=4, slots=8)
        for i in range(200):
            account = "poison" if i % 2 else "door"
            router.submit(_spec(f"q{i}", account, idempotent=False), i)
            for send in _sends(router.decide(i)):
                succeeds = int(send.request[1:]) % 2 == 0
                outcome = _Outcome.DONE if succeeds else _Outcome.FAILED
                router.record_answer(
                    send.request,
                    send.runner,
                    _answer(send.request, outcome),
                    True,
                    i,
                )
        self.assertEqual(router.free_slots(), 32)

    def test_only_idempotent_requests_are_hedged_within_budget(self):
        for idempotent in (True, False):
            router = _router(runners=4, slots=50)
            for i in range(128):
                send = self._send_one(
                    router, _spec(f"w{i}", idempotent=idempotent), 20 * i
                )
                router.record_answer(
                    send.request,
                    send.runner,
                    _answer(f"w{i}"),
                    True,
                    20 * i + 10,
                )
                router.decide(20 * i + 10)
            for i in range(20):
                router.submit(_spec(f"q{i}", idempotent=idempotent), 3_000)
            self.assertEqual(len(_sends(router.decide(3_000))), 20)
            hedges = _sends(router.decide(3_100))
            with self.subTest(idempotent=idempotent):
                if not idempotent:
                    self.assertEqual(hedges, [])
                    continue
                self.assertTrue(0 < len(hedges) <= 6)
                router.record_answer(
                    hedges[0].request,
                    hedges[0].runner,
                    _answer(hedges[0].request, payload="hedge"),
                    True,
                    3_110,
                )
                results = _results(router.decide(3_110))
                self.assertEqual([r.payload for r in results], ["hedge"])

    def test_burst_of_one_account_does_not_starve_another(self):
        router = _router(runners=1, slots=1)
        for i in range(200):
            router.submit(_spec(f"b{i}", "burst"), 0)
        send = _sends(router.decide(0))[0]
        for i in range(5):
            router.submit(_spec(f"d{i}", "door"), 1)
        order = []
        for now_ms in range(50, 1_050, 50):
            router.record_answer(
                send.request, send.runner, _answer(send.request), True, now_ms
            )
            send = _sends(router.decide(now_ms))[0]
            order.append(send.request[0])
        self.assertEqual(order[:12].count("d"), 5)

    def test_paying_accounts_are_served_before_trial_accounts(self):
        router = _router(runners=1, slots=0)
        trial = ids.AccountId("trial")
        router.set_account_class(trial, states.AccountClass.TRIAL)
        router.submit(_spec("t", "trial"), 0)
        router.submit(_spec("p", "door"), 0)
        router.set_runners((_listed_runner("r0", 2),))
        sends = _sends(router.decide(1))
        self.assertEqual([s.request for s in sends], ["p", "t"])

    def test_out_of_service_ends_queued_requests_and_sends_nothing(self):
        router = _router(runners=1)
        send = self._send_one(router, _spec("q"))
        router.submit(_spec("w"), 0)
        router.set_in_service(False)
        (result,) = _results(router.decide(1))
        self.assertEqual(result.request, "w")
        self.assertIs(result.code, codes.ResultCode.FAILURE_DOMAIN_OUT)
        for offered in (True, False):
            self.assertIsNotNone(router.submit(_spec("x"), 1, offered=offered))
        router.record_answer(send.request, send.runner, _answer("q"), True, 2)
        (result,) = _results(router.decide(2))
        self.assertIs(result.code, codes.ResultCode.DONE)
        self.assertEqual(router.free_slots(), 0)
        router.set_in_service(True)
        self._send_one(router, _spec("y"), 3)

    def test_queue_length_is_limited_per_account(self):
        router = _router(runners=1, slots=0)
        results = [router.submit(_spec(f"b{i}", "b"), 0) for i in range(300)]
        refused = [r for r in results if r is not None]
        self.assertEqual(
            len(refused), 300 - request_admission.MAX_QUEUED_PER_ACCOUNT
        )
        self.assertTrue(all(r.retry_after_ms for r in refused))
        self.assertTrue(all(codes.info(r.code).proves_not_run for r in refused))
        self.assertIsNone(router.submit(_spec("d", "door"), 0))

    def test_cancelled_request_gets_no_answer_and_frees_its_slot(self):
        router = _router(runners=1)
        send = self._send_one(router, _spec("q"))
        router.submit(_spec("w"), 0)
        self.assertTrue(router.cancel(ids.RequestId("w")))
        self.assertFalse(router.cancel(send.request))
        router.record_answer(send.request, send.runner, _answer("q"), True, 1)
        self.assertEqual(router.decide(1), [])
        self.assertEqual(router.free_slots(), 1)


class OfferTest(unittest.TestCase):
    def setUp(self):
        super().setUp()
        self.router = _router(runners=1, slots=0)
        self.peer = ids.VmId("vm-2")
        self.router.set_peer_free_slots(self.peer, 3)

    def _offer(self, **fields):
        self.router.submit(_spec("q", **fields), 0)
        (offer,) = self.router.decide(0)
        self.assertEqual(offer.vm, self.peer)
        self.assertEqual(self.router.queued_count(), 0)

    def _decide_after_peer_answer(self, result, *, sent=True, now_ms=2):
        self.router.record_peer_answer(
            ids.RequestId("q"), result, now_ms, sent=sent
        )
        return self.router.decide(now_ms)

    def test_result_of_peer_is_returned(self):
        self._offer()
        result = jobs.RequestResult(
            request=ids.RequestId("q"), code=codes.ResultCode.DONE
        )
        self.assertEqual(
            _results(self._decide_after_peer_answer(result)), [result]
        )

    def test_refused_offer_is_requeued(self):
        self._offer()
        refusal = jobs.RequestResult(
            request=ids.RequestId("q"), code=codes.ResultCode.NO_SLOT
        )
        self.assertEqual(self._decide_after_peer_answer(refusal), [])
        self.assertEqual(self.router.queued_count(), 1)

    def test_lost_peer_leaves_outcome_of_non_idempotent_request_unknown(self):
        self._offer(idempotent=False)
        (result,) = _results(self._decide_after_peer_answer(None))
        self.assertIs(result.code, codes.ResultCode.OUTCOME_UNKNOWN)

    def test_offer_that_was_not_sent_is_requeued(self):
        self._offer(idempotent=False)
        self.assertEqual(self._decide_after_peer_answer(None, sent=False), [])
        self.assertEqual(self.router.queued_count(), 1)

    def test_offer_is_accepted_only_with_a_free_slot(self):
        router = _router(runners=1, slots=1)
        self.assertIsNone(router.submit(_spec("a"), 0, offered=True))
        refusal = router.submit(_spec("b"), 0, offered=True)
        self.assertIs(refusal.code, codes.ResultCode.NO_SLOT)


class _RouterHarness:
    """A router with its attempts in flight and the outcomes of each request."""

    def __init__(self, test):
        self.test = test
        self.router = _router(runners=3, slots=2)
        self.now_ms = 0
        self.accepted, self.cancelled, self.non_idempotent = set(), set(), set()
        self.answer_counts, self.run_counts = (
            collections.Counter(),
            collections.Counter(),
        )
        self.in_flight = []

    def apply_decisions(self):
        decisions = self.router.decide(self.now_ms)
        self.in_flight.extend(_sends(decisions))
        for result in _results(decisions):
            self.answer_counts[result.request] += 1
            if codes.info(result.code).proves_not_run:
                self.test.assertEqual(self.run_counts[result.request], 0)
        self.test.assertLessEqual(self.router.outstanding_count(), 6)

    def submit(self, choice, idempotent):
        spec = _spec(
            f"q{len(self.accepted)}",
            f"a{choice}",
            idempotent=idempotent,
            timeout_ms=40,
        )
        if self.router.submit(spec, self.now_ms) is None:
            self.accepted.add(spec.request)
            self.non_idempotent |= set() if idempotent else {spec.request}

    def end(self, choice, answered):
        if not self.in_flight:
            return
        send = self.in_flight.pop(choice % len(self.in_flight))
        outcome = list(_Outcome)[choice % 4]
        answer = _answer(send.request, outcome) if answered else None
        sent = answered or choice % 2 == 0
        ran = outcome in (_Outcome.DONE, _Outcome.FAILED) if answered else sent
        self.run_counts[send.request] += ran
        self.router.record_answer(
            send.request, send.runner, answer, sent, self.now_ms
        )

    def cancel(self, choice, flag):
        if not self.accepted:
            return
        request = sorted(self.accepted)[choice % len(self.accepted)]
        self.cancelled |= set() if self.answer_counts[request] else {request}
        self.router.cancel(request)

    def wait(self, choice, flag):
        self.now_ms += 10 * choice


class EventOrderTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["submit", "end", "cancel", "wait"]),
                strategies.integers(0, 5),
                strategies.booleans(),
            ),
            max_size=80,
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_every_request_is_answered_once_and_no_slot_leaks(self, events):
        harness = _RouterHarness(self)
        for event, choice, flag in events:
            harness.now_ms += choice
            getattr(harness, event)(choice, flag)
            harness.apply_decisions()
        harness.now_ms += 1_000
        harness.apply_decisions()
        for send in harness.in_flight:
            harness.router.record_answer(
                send.request, send.runner, None, True, harness.now_ms
            )
        self.assertEqual(harness.router.outstanding_count(), 0)
        self.assertEqual(set(harness.answer_counts.values()) - {1}, set())
        self.assertEqual(
            set(harness.answer_counts), harness.accepted - harness.cancelled
        )
        self.assertTrue(
            all(harness.run_counts[r] <= 1 for r in harness.non_idempotent)
        )
