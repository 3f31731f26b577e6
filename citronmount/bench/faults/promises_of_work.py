"""Checks of guarantees, gangs, repetition and results."""

import collections
from collections.abc import Iterator

from citronmount.bench.faults import cases
from citronmount.bench.faults import evidence as evidence_lib
from citronmount.bench.faults import promises
from citronmount.core import codes
from citronmount.core import jobs
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.telemetry import timeline_events

__all__: list[str] = []


@promises.promise("guarantee-reclaimable")
def _reclaimable(
    evidence: evidence_lib.Evidence,
) -> Iterator[tuple[int, str]]:
    """A job inside its guarantee starts whole within a bound."""
    runs = promises.runs_by_attempt(evidence)
    for case in evidence.callers.jobs.values():
        if not case.must_run or case.refused or case.accepted_ms is None:
            continue
        since_ms = max(case.accepted_ms, evidence.healed_ms)
        limit_ms = (
            promises.RECLAIM_MS
            if evidence.healed_ms
            else promises.QUIET_RECLAIM_MS
        )
        bound_ms = since_ms + limit_ms
        starts = [
            max(spans[-1][0] for spans in at_workers.values())
            for attempt, at_workers in runs.items()
            if promises.job_name(evidence, attempt) == case.name
            and promises.is_whole(evidence, attempt, at_workers)
        ]
        in_time = min(starts, default=bound_ms + 1) <= bound_ms
        if evidence.ended_ms > bound_ms and not in_time:
            yield bound_ms, f"{case.name} not whole by {bound_ms} ms"


@promises.promise("gang-whole")
def _gang_whole(
    evidence: evidence_lib.Evidence,
) -> Iterator[tuple[int, str]]:
    """No part of a gang runs alone for longer than the leases allow."""
    for attempt, at_workers in promises.runs_by_attempt(evidence).items():
        groups = evidence.attempts[attempt].placement.groups
        workers = [str(group.worker) for group in groups]
        spans = [
            span for worker in workers for span in at_workers.get(worker, [])
        ]
        if len(spans) > len(workers):
            yield spans[-1][0], f"{attempt} started twice at one worker"
        marks = sorted({mark for span in spans for mark in span[:2]})
        since_ms: int | None = None
        for mark_ms in marks:
            if not _runs_in_part(workers, at_workers, mark_ms):
                if since_ms and mark_ms - since_ms > promises.PARTIAL_GANG_MS:
                    yield since_ms, f"{attempt} ran in part to {mark_ms} ms"
                since_ms = None
            elif since_ms is None:
                since_ms = mark_ms


def _runs_in_part(
    workers: list[str],
    at_workers: dict[str, list[tuple[int, int, str]]],
    at_ms: int,
) -> bool:
    """Returns whether some run while others neither run nor have finished."""
    finished = states.LeaseState.FINISHED.value
    runs = [
        any(s <= at_ms < e for s, e, _ in at_workers.get(w, []))
        for w in workers
    ]
    fine = [
        any(
            s <= at_ms and (at_ms < e or how == finished)
            for s, e, how in at_workers.get(w, [])
        )
        for w in workers
    ]
    return any(runs) and not all(fine)


@promises.promise("at-most-once")
def _at_most_once(
    evidence: evidence_lib.Evidence,
) -> Iterator[tuple[int, str]]:
    """What must not be repeated starts at most once."""
    seen: dict[str, str] = {}
    for at_ms, event in promises.of_kind(
        evidence, timeline_events.EventKind.RUNNER_STARTED
    ):
        if not event.job:
            continue
        if event.job in seen:
            yield (
                at_ms,
                (f"{event.job} ran as {seen[event.job]} and {event.request}"),
            )
        seen[event.job] = f"{event.request} at {event.target}"
    first: dict[str, str] = {}
    for at_ms, event in promises.of_kind(
        evidence, timeline_events.EventKind.TASK_STARTED
    ):
        spec = evidence.attempts[event.attempt].spec
        name = promises.job_name(evidence, event.attempt)
        if spec.idempotent:
            continue
        if first.setdefault(name, event.attempt) != event.attempt:
            yield at_ms, f"{name} ran as {first[name]} and {event.attempt}"


@promises.promise("true-results")
def _true_results(
    evidence: evidence_lib.Evidence,
) -> Iterator[tuple[int, str]]:
    """What was accepted ends in a true result that never changes."""
    runs = promises.runs_by_attempt(evidence)
    by_job: dict[str, list[str]] = collections.defaultdict(list)
    for attempt in runs:
        by_job[evidence.attempts[attempt].spec.job].append(attempt)
    for case in evidence.callers.jobs.values():
        if case.accepted_ms is not None and case.final is None:
            yield evidence.ended_ms, f"{case.name} has no final result"
        if case.final is not None:
            yield from _changed_result(case)
            attempts = [(a, runs[a]) for a in by_job[case.job]]
            yield from _false_result(evidence, case, attempts)
    for request in evidence.callers.requests.values():
        if not request.done:
            yield evidence.ended_ms, f"{request.name} has no answer"


def _changed_result(
    case: cases.JobCase,
) -> Iterator[tuple[int, str]]:
    for told in case.told:
        if not isinstance(told.body, peer_messages.JobAnswer):
            continue
        status = told.body.status
        if status.state.final and status.result != case.final.result:
            yield (
                told.at_ms,
                (
                    f"{case.name} told {status.result}, before"
                    f" {case.final.result}"
                ),
            )


def _false_result(
    evidence: evidence_lib.Evidence,
    case: cases.JobCase,
    attempts: list[tuple[str, dict[str, list[tuple[int, int, str]]]]],
) -> Iterator[tuple[int, str]]:
    result = case.final.result or jobs.JobResult(code=codes.ResultCode.INTERNAL)
    ends = [
        [how for spans in at_workers.values() for _, _, how in spans]
        for attempt, at_workers in attempts
        if promises.is_whole(evidence, attempt, at_workers)
    ]
    finished = states.LeaseState.FINISHED.value
    failed = states.LeaseState.FAILED.value
    match result.code:
        case codes.ResultCode.DONE:
            true = any(all(how == finished for how in e) for e in ends)
        case (
            codes.ResultCode.FAILED_BY_JOB | codes.ResultCode.FAILED_EVERYWHERE
        ):
            true = any(
                how == failed
                for _, at_workers in attempts
                for spans in at_workers.values()
                for *_, how in spans
            )
        case codes.ResultCode.CANCELLED_AFTER_START:
            true = case.cancelled_ms is not None and bool(attempts)
        case codes.ResultCode.CANCELLED_NOT_RUN:
            true = case.cancelled_ms is not None and not attempts
        case codes.ResultCode.INTERRUPTED:
            true = not case.spec.idempotent and bool(attempts)
        case codes.ResultCode.OUTCOME_UNKNOWN:
            true = not case.spec.idempotent
        case _:
            true = codes.info(result.code).proves_not_run and not attempts
    if not true:
        yield (
            evidence.ended_ms,
            (f"{case.name} told {result.code.name}, runs ended {ends}"),
        )
