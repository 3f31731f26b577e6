"""Tests of the event loop of the state machine."""

import unittest

from structlog import testing
from twisted.internet import defer
from twisted.internet import task

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.clients import http_client
from citronmount.clients import messages
from citronmount.clients import wire_format
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages
from citronmount.service import event_loop
from citronmount.service.tests import fakes
from citronmount.telemetry import metrics_registry

_CALL = ids.CallId("c1")
_ADDRESS = "127.0.0.1:1"
_CALL_RUNNER = effects.CallRunner(
    call=_CALL,
    runner=ids.RunnerId("r1"),
    address=_ADDRESS,
    spec=jobs.RequestSpec(request=ids.RequestId("q"), account="a"),
)
_CALL_EFFECTS = (
    effects.AppendLog(call=_CALL, stream="s", records=()),
    effects.ReadLog(call=_CALL, stream="s", start=0),
    effects.ListPlatform(call=_CALL),
    effects.CallWorker(
        call=_CALL,
        worker="w",
        address=_ADDRESS,
        body=messages.WorkerCall(token=1),
    ),
    _CALL_RUNNER,
)


def _no_answer(sent: bool = True) -> http_client.NoAnswerError:
    return http_client.NoAnswerError(
        "lost", code=codes.ResultCode.UNREACHABLE, sent=sent
    )


class RuntimeTest(unittest.TestCase):
    """The events that the runtime dispatches and the effects it executes."""

    def setUp(self) -> None:
        self.log_lines = self.enterContext(testing.capture_logs())
        self.clock = task.Clock()
        self.state_machine = fakes.FakeStateMachine()
        self.peers = fakes.FakePeers()
        self.http = fakes.FakeHttp()
        self.traced = []
        self.metrics = metrics_registry.MetricsRegistry()
        self.runtime = event_loop.Runtime(
            reactor=self.clock,
            state_machine=self.state_machine,
            peers=self.peers,
            http=self.http,
            addresses=event_loop.Addresses(log=_ADDRESS, vm_list=_ADDRESS),
            on_trace=self.traced.append,
            metrics=self.metrics,
        )

    def test_ticks_until_stopped(self) -> None:
        self.runtime.start(250)
        self.clock.pump([0.25] * 4)
        self.runtime.stop()
        self.clock.pump([0.25] * 4)
        self.assertEqual(1, len(self.state_machine.of_type(events.Started)))
        self.assertEqual(4, len(self.state_machine.of_type(events.Tick)))

    def test_each_failed_call_dispatches_exactly_one_event(self) -> None:
        for effect in _CALL_EFFECTS:
            with self.subTest(type(effect).__name__):
                self.state_machine.effects = {events.Started: [effect]}
                self.state_machine.events.clear()
                self.runtime.dispatch(events.Started())
                self.http.pending.pop().errback(_no_answer())
                answers = self.state_machine.events[1:]
                self.assertEqual([_CALL], [event.call for event in answers])

    def test_answers_are_dispatched_and_listed_peers_are_set(self) -> None:
        view = messages.PlatformView(
            vms=(
                messages.ListedVm(
                    vm="v", failure_domain="kr-a", peer_address=_ADDRESS
                ),
            )
        )
        self.state_machine.effects = {
            events.Started: [
                effects.ListPlatform(call=_CALL),
                effects.AppendLog(call=_CALL, stream="s", records=()),
            ]
        }
        self.runtime.dispatch(events.Started())
        self.http.pending[0].callback(view)
        self.http.pending[1].callback(
            wire_format.AppendAnswer(offset=ids.Offset(9))
        )
        self.assertEqual(
            [
                events.PlatformListed(call=_CALL, view=view),
                events.LogAppended(call=_CALL, offset=9),
            ],
            self.state_machine.events[1:],
        )
        self.assertEqual({"v": _ADDRESS}, self.peers.peers)

    def test_failed_runner_call_says_whether_it_was_sent(self) -> None:
        for sent in (True, False):
            with self.subTest(sent=sent):
                self.state_machine.effects = {events.Started: [_CALL_RUNNER]}
                self.runtime.dispatch(events.Started())
                self.http.pending.pop().errback(_no_answer(sent))
                self.assertIs(sent, self.state_machine.events[-1].sent)

    def test_event_dispatched_by_an_effect_waits_for_all_effects(self) -> None:
        order = []

        def send(to: str, message: peer_messages.PeerMessage) -> bool:
            self.runtime.dispatch(events.Tick())
            order.append((to, len(self.state_machine.events)))
            return True

        self.peers.send = send
        message = peer_messages.Acknowledge(call=_CALL)
        self.state_machine.effects = {
            events.Started: [
                effects.SendPeer(to=ids.VmId(name), message=message)
                for name in "ab"
            ]
        }
        self.runtime.dispatch(events.Started())
        self.assertEqual([("a", 1), ("b", 1)], order)
        self.assertEqual(2, len(self.state_machine.of_type(events.Tick)))

    def test_cancelled_call_is_reported_and_late_replies_are_ignored(
        self,
    ) -> None:
        body = peer_messages.GetJob(job=ids.JobId("kr-a/1"))
        answer = self.runtime.call(body)
        failures = []
        answer.addErrback(failures.append)
        answer.cancel()
        self.assertTrue(failures[0].check(defer.CancelledError))
        ticket = self.state_machine.of_type(events.CallerLeft)[0].ticket
        late_reply = effects.Reply(
            ticket=ticket, body=peer_messages.JobsAnswer(statuses=())
        )
        self.state_machine.effects = {events.Tick: [late_reply, late_reply]}
        self.runtime.dispatch(events.Tick())
        self.assertEqual(0, self.runtime.open_calls)

    def test_exception_of_the_state_machine_is_answered_and_counted(
        self,
    ) -> None:
        self.state_machine.raises = True
        answer = self.runtime.call(peer_messages.GetJob(job="kr-a/1"))
        logged = [line["event"] for line in self.log_lines]
        self.assertEqual(["event_failed"], logged)
        results = []
        answer.addCallback(results.append)
        self.assertIs(codes.ResultCode.INTERNAL, results[0].result.code)
        counters = self.metrics.snapshot().counters
        self.assertEqual(1, counters["events_failed"])

    def test_repeated_exit_fires_once(self) -> None:
        self.state_machine.effects = {
            events.Tick: [effects.Exit(), effects.Exit()]
        }
        exits = []
        self.runtime.exited.addCallback(exits.append)
        self.runtime.dispatch(events.Tick())
        self.runtime.dispatch(events.Tick())
        self.assertEqual([None], exits)
