"""Tests of the virtual-time harness."""

import unittest

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.bench import harness
from citronmount.bench import harness_network
from citronmount.bench import harness_site
from citronmount.bench import harness_traffic
from citronmount.clients import messages
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages

_VM = ids.VmId("fd-a.vm0")
_OTHER = ids.VmId("fd-b.vm0")


class _Recorder:
    """An agent that records events and returns queued effects once."""

    def __init__(self):
        self.received = []
        self.pending_effects = []

    def handle(self, event, now_ms, wall_ms):
        self.received.append((now_ms, wall_ms, event))
        pending_effects, self.pending_effects = self.pending_effects, []
        return pending_effects

    def kinds(self):
        return [type(event).__name__ for _, _, event in self.received]

    def received_events(self, event_type):
        return [
            event
            for _, _, event in self.received
            if isinstance(event, event_type)
        ]


class HarnessTest(unittest.TestCase):
    def setUp(self):
        self.agents = {}
        self.harness = harness.Harness(
            site=harness_site.make_site(), make_agent=self.make, seed=1
        )
        self.harness.start_all()
        self.harness.run_until_ms(1_000)
        self.agent = self.agents[_VM]

    def make(self, vm, incarnation_ms):
        self.agents[vm.vm] = _Recorder()
        return self.agents[vm.vm]

    def run_ms(self, duration_ms):
        self.harness.run_until_ms(self.harness.clock.now_ms + duration_ms)

    def test_skew_moves_the_wall_clock_but_not_the_monotonic_clock(self):
        before = self.agent.received[-1]
        self.harness.processes[_VM].wall_skew_ms = -60_000
        self.run_ms(1_000)
        after = self.agent.received[-1]
        self.assertEqual(1_000, after[0] - before[0])
        self.assertEqual(-59_000, after[1] - before[1])

    def test_append_takes_effect_if_its_answer_is_lost(self):
        append = effects.AppendLog(
            call=ids.CallId("c"),
            stream=ids.StreamName("s"),
            records=((ids.RecordId("r"), b"x"),),
        )
        self.harness.services.lose_append_answers = True
        self.agent.pending_effects = [append]
        self.run_ms(3_000)
        answers = self.agent.received_events(events.LogAppended)
        self.assertEqual([None], [answer.offset for answer in answers])
        history = self.harness.services.log.history(ids.StreamName("s"))
        self.assertEqual(1, len(history))

    def test_cut_drops_messages_and_link_fault_duplicates_them(self):
        message = peer_messages.Acknowledge(call=ids.CallId("c"))
        send = effects.SendPeer(to=_OTHER, message=message)
        self.harness.network.cuts.add(("fd-a", "fd-b"))
        self.agent.pending_effects = [send]
        self.run_ms(500)
        other = self.agents[_OTHER]
        self.assertFalse(other.received_events(events.PeerArrived))
        self.harness.network.cuts.clear()
        self.harness.network.faults.append(
            harness_network.LinkFault(
                matches=lambda source, target: True, copies=1.0
            )
        )
        self.agent.pending_effects = [send]
        self.run_ms(500)
        self.assertEqual(2, len(other.received_events(events.PeerArrived)))

    def test_resumed_process_gets_one_tick_for_a_whole_pause(self):
        self.harness.pause(_VM)
        received_count = len(self.agent.received)
        self.run_ms(5_000)
        self.assertEqual(received_count, len(self.agent.received))
        self.harness.resume(_VM)
        self.assertEqual(["Tick"], self.agent.kinds()[received_count:])

    def test_killed_process_breaks_calls_and_restarts_with_a_new_agent(self):
        answers = []
        body = peer_messages.GetJob(job=ids.JobId("j"))
        self.harness.call(_VM, body, answers.append)
        self.run_ms(100)
        self.assertIn("CallArrived", self.agent.kinds())
        self.harness.kill(_VM)
        self.run_ms(100)
        self.assertEqual([None], answers)
        self.harness.start(_VM)
        self.run_ms(100)
        self.assertIsNot(self.agent, self.agents[_VM])
        self.assertIn("Started", self.agents[_VM].kinds())

    def test_repeated_reply_reaches_the_caller_once(self):
        answers = []
        body = peer_messages.GetJob(job=ids.JobId("j"))
        ticket = self.harness.call(_VM, body, answers.append)
        answer = peer_messages.Failure(
            result=jobs.JobResult(code=codes.ResultCode.UNKNOWN_JOB)
        )
        self.run_ms(100)
        self.agent.pending_effects = [
            effects.Reply(ticket=ticket, body=answer)
        ] * 2
        self.run_ms(20_000)
        self.assertEqual([answer], answers)

    def test_worker_answers_and_runner_that_is_down_does_not(self):
        self.agent.pending_effects = [
            effects.CallWorker(
                call=ids.CallId("w"),
                worker=ids.WorkerId("fd-a.w000"),
                address="127.0.0.1:1",
                body=messages.WorkerCall(token=ids.FenceToken(7)),
            ),
            effects.CallRunner(
                call=ids.CallId("r"),
                runner=ids.RunnerId("fd-a.r000"),
                address="127.0.0.1:1",
                spec=jobs.RequestSpec(
                    request=ids.RequestId("q"), account=ids.AccountId("a")
                ),
            ),
        ]
        self.harness.services.down.add("fd-a.r000")
        self.run_ms(2_000)
        (worker,) = self.agent.received_events(events.WorkerAnswered)
        self.assertEqual(7, worker.answer.token)
        (runner,) = self.agent.received_events(events.RunnerAnswered)
        self.assertIsNone(runner.answer)


class TrafficTest(unittest.TestCase):
    def test_slope_of_points_on_a_line(self):
        points = [(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]
        self.assertEqual(2.0, harness_traffic.slope(points))


if __name__ == "__main__":
    unittest.main()
