"""The steps at which faults strike, recognized by what passes."""

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
    """Returns the caller's call of a kind that an event brings, if any."""
    if isinstance(item, events.CallArrived) and isinstance(item.body, kind):
        return item.body
    return None


def _appends(item: Any, *kinds: type) -> bool:
    if not isinstance(item, effects.AppendLog):
        return False
    return any(isinstance(records.decode(d), kinds) for _, d in item.records)


def _acts(item: Any, *kinds: type) -> bool:
    return isinstance(item, effects.CallWorker) and any(
        isinstance(act, kinds) for act in item.body.acts
    )


def _sends(item: Any, *kinds: type) -> bool:
    return isinstance(item, effects.SendPeer) and isinstance(
        item.message, kinds
    )


def _traces(item: Any, kind: timeline_events.EventKind) -> bool:
    return isinstance(item, effects.Trace) and item.event.kind is kind


def _in_focus(cell: Any, process: Any) -> bool:
    return process.vm.failure_domain == cell.focus


@registry.step("job.submit")
def _submit(cell: Any, process: Any, item: Any) -> bool:
    return _call_of(item, peer_messages.SubmitJob) is not None


@registry.step("job.accept")
def _accept(cell: Any, process: Any, item: Any) -> bool:
    return _appends(item, records.JobAccepted)


@registry.step("job.intent")
def _intent(cell: Any, process: Any, item: Any) -> bool:
    return _appends(item, records.AttemptIntended)


@registry.step("job.reserve")
def _reserve(cell: Any, process: Any, item: Any) -> bool:
    return _acts(item, messages.Reserve)


@registry.step("job.start")
def _start(cell: Any, process: Any, item: Any) -> bool:
    return _acts(item, messages.Start)


@registry.step("job.renew")
def _renew(cell: Any, process: Any, item: Any) -> bool:
    if not _acts(item, messages.Renew):
        return False
    return any(
        lease.state is states.LeaseState.RUNNING
        for lease in cell.harness.services.workers[item.worker].report().leases
    )


@registry.step("job.report")
def _report(cell: Any, process: Any, item: Any) -> bool:
    if not isinstance(item, events.WorkerAnswered) or item.answer is None:
        return False
    report = item.answer.report
    return report is not None and any(
        lease.state is states.LeaseState.FINISHED for lease in report.leases
    )


@registry.step("job.evict")
def _evict(cell: Any, process: Any, item: Any) -> bool:
    return _traces(item, timeline_events.EventKind.JOB_EVICTING) or _acts(
        item, messages.Checkpoint
    )


@registry.step("job.end")
def _end(cell: Any, process: Any, item: Any) -> bool:
    return _appends(item, records.JobEnded)


@registry.step("job.cancel")
def _cancel(cell: Any, process: Any, item: Any) -> bool:
    return _call_of(item, peer_messages.CancelJob) is not None


@registry.step("request.arrive")
def _arrive(cell: Any, process: Any, item: Any) -> bool:
    return _call_of(item, peer_messages.RunRequest) is not None


@registry.step("request.claim")
def _claim(cell: Any, process: Any, item: Any) -> bool:
    claims = _sends(item, peer_messages.ClaimKey)
    return claims or _appends(item, records.KeyClaimed)


@registry.step("request.send")
def _send(cell: Any, process: Any, item: Any) -> bool:
    return isinstance(item, effects.CallRunner) and not item.spec.idempotent


@registry.step("request.answer")
def _answer(cell: Any, process: Any, item: Any) -> bool:
    return isinstance(item, events.RunnerAnswered)


@registry.step("change.publish")
def _publish(cell: Any, process: Any, item: Any) -> bool:
    return _call_of(item, peer_messages.PublishConfiguration) is not None


@registry.step("change.append")
def _append(cell: Any, process: Any, item: Any) -> bool:
    return _appends(item, records.ConfigurationChange)


@registry.step("change.fold")
def _fold(cell: Any, process: Any, item: Any) -> bool:
    if not isinstance(item, events.LogRead) or item.page is None:
        return False
    return any(
        isinstance(records.decode(r.data), records.ConfigurationChange)
        and r.offset > 0
        for r in item.page.records
    )


@registry.step("relay.ask")
def _relay(cell: Any, process: Any, item: Any) -> bool:
    asks = _sends(item, peer_messages.StateRequest)
    return asks and item.message.stream == records.CONFIG_STREAM


@registry.step("takeover.suspect")
def _suspect(cell: Any, process: Any, item: Any) -> bool:
    taken = timeline_events.EventKind.OWNERSHIP_TAKEN
    return _in_focus(cell, process) and _traces(item, taken)


@registry.step("takeover.fence")
def _fence(cell: Any, process: Any, item: Any) -> bool:
    if not _in_focus(cell, process) or not isinstance(item, effects.CallWorker):
        return False
    seen = cell.harness.services.workers[item.worker].token
    return item.body.token > seen


@registry.step("takeover.rebuild")
def _rebuild(cell: Any, process: Any, item: Any) -> bool:
    reads = isinstance(item, effects.ReadLog) and item.stream.startswith(
        "jobs."
    )
    asks = _sends(item, peer_messages.StateRequest)
    return _in_focus(cell, process) and (reads or asks)


@registry.step("takeover.place")
def _place(cell: Any, process: Any, item: Any) -> bool:
    return _in_focus(cell, process) and (
        _traces(item, timeline_events.EventKind.JOB_PLACED)
        or _appends(item, records.AttemptIntended)
    )


@registry.step("drain.request")
def _drain(cell: Any, process: Any, item: Any) -> bool:
    return isinstance(item, events.DrainRequested)


@registry.step("drain.handover")
def _handover(cell: Any, process: Any, item: Any) -> bool:
    left = timeline_events.EventKind.OWNERSHIP_LEFT
    return process.draining and _traces(item, left)


@registry.step("drain.finish")
def _finish(cell: Any, process: Any, item: Any) -> bool:
    return isinstance(item, effects.Exit)


def target_of(item: Any) -> str | None:
    """Returns the worker or runner that an event or effect concerns.

    Args:
        item: An event or effect.

    Returns:
        Its name, or None if it concerns no target.
    """
    match item:
        case effects.CallWorker() | events.WorkerAnswered():
            return str(item.worker)
        case effects.CallRunner() | events.RunnerAnswered():
            return str(item.runner)
        case _:
            return None
