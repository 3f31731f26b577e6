"""Tests of the in-memory stand-ins."""

import unittest

from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.standins import log_model
from citronmount.standins import platform_model
from citronmount.standins import runner_model
from citronmount.standins import worker_model
from citronmount.telemetry import timeline_events

_TASK_DEMAND = jobs.Resources(accelerators=1, cores=1, memory_gb=1)


def _spec(run_ms=5_000, exit_code=0, name="d/1"):
    return jobs.JobSpec(
        job=ids.JobId(name),
        account=ids.AccountId("a"),
        per_task=_TASK_DEMAND,
        command=f'{{"run_ms": {run_ms}, "exit_code": {exit_code}}}',
    )


def _reserve(attempt="d/1#1.1", tasks=1, spec=None):
    group = jobs.TaskGroup(worker=ids.WorkerId("w"), tasks=tasks)
    return messages.Reserve(
        attempt=ids.AttemptId(attempt),
        spec=spec or _spec(),
        placement=jobs.Placement(groups=(group,)),
        tasks=tasks,
        number=1,
        ttl_ms=2_000,
    )


def _start(attempt="d/1#1.1"):
    return messages.Start(attempt=ids.AttemptId(attempt), ttl_ms=10_000)


def _stop(attempt="d/1#1.1", grace_ms=0):
    return messages.Stop(attempt=ids.AttemptId(attempt), grace_ms=grace_ms)


class WorkerModelTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        self.worker = worker_model.WorkerModel(
            target=messages.ListedTarget(
                name="w",
                address="127.0.0.1:1",
                failure_domain=ids.FailureDomainId("d"),
                capacity=jobs.Resources(
                    accelerators=8, cores=64, memory_gb=128
                ),
            ),
            emit=self.events.append,
        )

    def call(self, now_ms, *acts, token=1, known_sequence=-1):
        call = messages.WorkerCall(
            token=ids.FenceToken(token),
            acts=acts,
            known_sequence=known_sequence,
        )
        answer = self.worker.call(call, now_ms)
        self.outcomes = [r.outcome.name for r in answer.results]
        return answer

    def states(self, now_ms):
        report = self.call(now_ms).report
        return {lease.attempt: lease.state for lease in report.leases}

    def test_attempt_finishes_after_its_run_time(self):
        self.call(0, _reserve(), _start(), _start())
        self.assertEqual(["DONE"] * 3, self.outcomes)
        report = self.call(6_000).report
        self.assertIs(report.leases[0].state, states.LeaseState.FINISHED)
        self.assertEqual(5_000, report.leases[0].running_ms)
        self.assertEqual(
            [0, 0, 5_000], [event.physical_ms for event in self.events]
        )

    def test_unrenewed_reservation_and_lease_lapse(self):
        spec = _spec(run_ms=60_000)
        self.call(0, _reserve(spec=spec))
        self.call(2_000, _start())
        self.assertEqual(["NOT_RESERVED"], self.outcomes)
        self.call(2_000, _reserve())
        self.assertEqual(["STOPPED_BEFORE"], self.outcomes)
        self.call(3_000, _reserve("b", spec=spec), _start("b"))
        self.call(12_000, messages.Renew(ttl_ms=10_000))
        lapse = messages.Renew(ttl_ms=10_000, lapse=(ids.AttemptId("b"),))
        self.call(21_000, lapse)
        self.assertIs(self.states(21_999)["b"], states.LeaseState.RUNNING)
        self.assertIs(self.states(22_000)["b"], states.LeaseState.LAPSED)

    def test_stale_token_has_no_effect(self):
        self.call(0, token=5)
        answer = self.call(1, _reserve(), token=4)
        self.assertEqual(["STALE_TOKEN"], self.outcomes)
        self.assertEqual(5, answer.token)
        self.assertFalse(answer.report.leases)

    def test_stopped_attempt_cannot_be_reserved_again(self):
        self.call(0, _stop(), _reserve(), _reserve("b"), _start("b"))
        self.assertEqual(
            ["NEVER_RAN", "STOPPED_BEFORE", "DONE", "DONE"], self.outcomes
        )
        forget = messages.Forget(attempts=(ids.AttemptId("b"),))
        self.call(9, _stop("b"), forget, _reserve("b"), _stop("b"))
        self.assertEqual(
            ["RAN", "DONE", "STOPPED_BEFORE", "RAN"], self.outcomes
        )

    def test_full_failing_or_leaving_worker_refuses_acts(self):
        self.call(0, _reserve(tasks=8), _reserve("b"))
        self.assertEqual(["DONE", "NO_CAPACITY"], self.outcomes)
        self.worker.fail_every_start = True
        self.call(1, _start(), _start())
        self.assertEqual(["FAILED_TO_START"] * 2, self.outcomes)
        self.worker.set_leaving(True)
        self.call(2, _reserve("b"))
        self.assertEqual(["LEAVING"], self.outcomes)

    def test_next_attempt_resumes_from_saved_progress(self):
        self.call(0, _reserve(), _start())
        self.call(4_000, _stop(grace_ms=1_000))
        self.call(4_000, _reserve("b"), _start("b"))
        self.assertIs(self.states(5_000)["b"], states.LeaseState.FINISHED)

    def test_report_is_omitted_if_the_caller_knows_it(self):
        answer = self.call(0, _reserve())
        sequence = answer.report.sequence
        self.assertIsNone(self.call(1, known_sequence=sequence).report)
        self.assertIsNotNone(self.call(2_000, known_sequence=sequence).report)


class LogModelTest(unittest.TestCase):
    def test_retried_append_is_kept_twice_until_retention_passes(self):
        model = log_model.LogModel(retention_ms=100)
        stream = ids.StreamName("s")
        pair = (ids.RecordId("r"), b"x")
        self.assertEqual(0, model.append(stream, (pair, pair), 0))
        self.assertEqual(2, model.append(stream, (pair,), 50))
        page = model.read(stream, ids.Offset(1), 10, 99)
        self.assertEqual([1, 2], [r.offset for r in page.records])
        page = model.read(stream, ids.Offset(0), 10, 100)
        self.assertEqual(
            ([2], 2, 3),
            ([r.offset for r in page.records], page.oldest, page.end),
        )
        page = model.read(stream, ids.Offset(0), 10, 999)
        self.assertEqual(((), 3, 3), (page.records, page.oldest, page.end))


class RunnerModelTest(unittest.TestCase):
    def test_full_or_leaving_runner_refuses_requests(self):
        events = []
        model = runner_model.RunnerModel(
            target=messages.ListedTarget(
                name="r",
                address="127.0.0.1:1",
                failure_domain=ids.FailureDomainId("d"),
                slots=1,
            ),
            emit=events.append,
        )
        request = jobs.RequestSpec(
            request=ids.RequestId("1"),
            account=ids.AccountId("a"),
            payload='{"service_ms": 7}',
        )
        self.assertEqual(7, runner_model.service_ms(request))
        self.assertIsNone(model.begin(request, 0))
        self.assertIs(
            model.begin(request, 1).outcome, messages.RunnerOutcome.BUSY
        )
        answer = model.finish(request.request, 7)
        self.assertEqual(runner_model.answer_payload(request), answer.payload)
        model.leaving = True
        self.assertIs(
            model.begin(request, 8).outcome, messages.RunnerOutcome.LEAVING
        )
        self.assertEqual(
            [
                timeline_events.EventKind.RUNNER_STARTED,
                timeline_events.EventKind.RUNNER_ENDED,
            ],
            [event.kind for event in events],
        )


class PlatformModelTest(unittest.TestCase):
    def test_changes_appear_after_the_lag(self):
        model = platform_model.PlatformModel(lag_ms=10)
        vm = messages.ListedVm(
            vm=ids.VmId("v"),
            failure_domain=ids.FailureDomainId("d"),
            peer_address="127.0.0.1:1",
        )
        model.set_vm(vm, 5)
        self.assertEqual((), model.view(14).vms)
        self.assertEqual((vm,), model.view(15).vms)
        model.remove_vm(vm.vm, 20)
        self.assertEqual((), model.view(30).vms)
