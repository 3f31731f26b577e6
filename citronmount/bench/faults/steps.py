"""The steps at which faults are injected.

A step is recognized by an event that a process receives or an effect that its
agent requests.
"""

from typing import Any

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.bench.faults import registry
from citronmount.clients import messages
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__: list[str] = []


def _call_of(item: Any, kind: type) -> Any:
    """Returns the client's call that an event carries, if it is of a kind."""
    if isinstance(item, events.CallArrived) and isinstance(item.body, kind):
        return item.body
    return None


def _appends(item: Any, *kinds: type) -> bool:
    if not isinstance(item, effects.AppendLog):
        return False
    return any(
        isinstance(records.decode(data), kinds) for _, data in item.records
    )


def _includes_act(item: Any, *kinds: type) -> bool:
    return isinstance(item, effects.CallWorker) and any(
        isinstance(act, kinds) for act in item.body.acts
    )


def _sends(item: Any, *kinds: type) -> bool:
    return isinstance(item, effects.SendPeer) and isinstance(
        item.message, kinds
    )


def _traces_event(item: Any, kind: timeline_events.EventKind) -> bool:
    return isinstance(item, effects.Trace) and item.event.kind is kind


def _in_focus_domain(cell: Any, process: Any) -> bool:
    return process.vm.failure_domain == cell.focus_domain


@registry.step("job.submit")
def _is_job_submit(cell: Any, process: Any, item: Any) -> bool:
    return _call_of(item, peer_messages.SubmitJob) is not None


@registry.step("job.accept")
def _is_job_accept(cell: Any, process: Any, item: Any) -> bool:
    return _appends(item, records.JobAccepted)


@registry.step("job.intent")
def _is_job_intent(cell: Any, process: Any, item: Any) -> bool:
    return _appends(item, records.AttemptIntended)


@registry.step("job.reserve")
def _is_job_reserve(cell: Any, process: Any, item: Any) -> bool:
    return _includes_act(item, messages.Reserve)


@registry.step("job.start")
def _is_job_start(cell: Any, process: Any, item: Any) -> bool:
    return _includes_act(item, messages.Start)


@registry.step("job.renew")
def _is_job_renew(cell: Any, process: Any, item: Any) -> bool:
    if not _includes_act(item, messages.Renew):
        return False
    return any(
        lease.state is states.LeaseState.RUNNING
        for lease in cell.harness.services.workers[item.worker].report().leases
    )


@registry.step("job.report")
def _is_job_report(cell: Any, process: Any, item: Any) -> bool:
    if not isinstance(item, events.WorkerAnswered) or item.answer is None:
        return False
    report = item.answer.report
    return report is not None and any(
        lease.state is states.LeaseState.FINISHED for lease in report.leases
    )


@registry.step("job.evict")
def _is_job_evict(cell: Any, process: Any, item: Any) -> bool:
    return _traces_event(
        item, timeline_events.EventKind.JOB_EVICTING
    ) or _includes_act(item, messages.Checkpoint)


@registry.step("job.end")
def _is_job_end(cell: Any, process: Any, item: Any) -> bool:
    return _appends(item, records.JobEnded)


@registry.step("job.cancel")
def _is_job_cancel(cell: Any, process: Any, item: Any) -> bool:
    return _call_of(item, peer_messages.CancelJob) is not None


@registry.step("request.arrive")
def _is_request_arrive(cell: Any, process: Any, item: Any) -> bool:
    return _call_of(item, peer_messages.RunRequest) is not None


@registry.step("request.claim")
def _is_request_claim(cell: Any, process: Any, item: Any) -> bool:
    sends_claim = _sends(item, peer_messages.ClaimKey)
    return sends_claim or _appends(item, records.KeyClaimed)


@registry.step("request.send")
def _is_request_send(cell: Any, process: Any, item: Any) -> bool:
    return isinstance(item, effects.CallRunner) and not item.spec.idempotent


@registry.step("request.answer")
def _is_request_answer(cell: Any, process: Any, item: Any) -> bool:
    return isinstance(item, events.RunnerAnswered)


@registry.step("change.publish")
def _is_change_publish(cell: Any, process: Any, item: Any) -> bool:
    return _call_of(item, peer_messages.PublishConfiguration) is not None


@registry.step("change.append")
def _is_change_append(cell: Any, process: Any, item: Any) -> bool:
    return _appends(item, records.ConfigurationChange)


@registry.step("change.fold")
def _is_change_fold(cell: Any, process: Any, item: Any) -> bool:
    """Returns whether the process reads a change published during the run.

    The record at offset 0 is the first configuration of the site.
    """
    if not isinstance(item, events.LogRead) or item.page is None:
        return False
    return any(
        isinstance(records.decode(entry.data), records.ConfigurationChange)
        and entry.offset > 0
        for entry in item.page.records
    )


@registry.step("relay.ask")
def _is_relay_ask(cell: Any, process: Any, item: Any) -> bool:
    requests_state = _sends(item, peer_messages.StateRequest)
    return requests_state and item.message.stream == records.CONFIG_STREAM


@registry.step("takeover.suspect")
def _is_takeover_suspect(cell: Any, process: Any, item: Any) -> bool:
    ownership_taken = timeline_events.EventKind.OWNERSHIP_TAKEN
    return _in_focus_domain(cell, process) and _traces_event(
        item, ownership_taken
    )


@registry.step("takeover.fence")
def _is_takeover_fence(cell: Any, process: Any, item: Any) -> bool:
    """Returns whether a call raises the fencing token of its worker."""
    if not _in_focus_domain(cell, process) or not isinstance(
        item, effects.CallWorker
    ):
        return False
    worker_token = cell.harness.services.workers[item.worker].token
    return item.body.token > worker_token


@registry.step("takeover.rebuild")
def _is_takeover_rebuild(cell: Any, process: Any, item: Any) -> bool:
    reads_job_log = isinstance(
        item, effects.ReadLog
    ) and item.stream.startswith("jobs.")
    requests_state = _sends(item, peer_messages.StateRequest)
    return _in_focus_domain(cell, process) and (reads_job_log or requests_state)


@registry.step("takeover.place")
def _is_takeover_place(cell: Any, process: Any, item: Any) -> bool:
    return _in_focus_domain(cell, process) and (
        _traces_event(item, timeline_events.EventKind.JOB_PLACED)
        or _appends(item, records.AttemptIntended)
    )


@registry.step("drain.request")
def _is_drain_request(cell: Any, process: Any, item: Any) -> bool:
    return isinstance(item, events.DrainRequested)


@registry.step("drain.handover")
def _is_drain_handover(cell: Any, process: Any, item: Any) -> bool:
    ownership_left = timeline_events.EventKind.OWNERSHIP_LEFT
    return process.draining and _traces_event(item, ownership_left)


@registry.step("drain.finish")
def _is_drain_finish(cell: Any, process: Any, item: Any) -> bool:
    return isinstance(item, effects.Exit)


def target_of(item: Any) -> str | None:
    """Returns the worker or runner that an event or effect concerns.

    Args:
        item: An event or effect.

    Returns:
        Name of the target, or None if it concerns no target.
    """
    match item:
        case effects.CallWorker() | events.WorkerAnswered():
            return str(item.worker)
        case effects.CallRunner() | events.RunnerAnswered():
            return str(item.runner)
        case _:
            return None
