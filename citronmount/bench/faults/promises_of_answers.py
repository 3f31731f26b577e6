"""Checks of what callers are told."""

import collections
from collections.abc import Iterator
import itertools

from citronmount.bench.faults import cases
from citronmount.bench.faults import evidence as evidence_lib
from citronmount.bench.faults import promises
from citronmount.core import codes
from citronmount.peers import peer_messages
from citronmount.standins import runner_model
from citronmount.telemetry import timeline_events

__all__: list[str] = []


@promises.promise("own-whole-answer")
def _own_answer(
    evidence: evidence_lib.Evidence,
) -> Iterator[tuple[int, str]]:
    """Each caller gets the whole answer to its own request, once."""
    for ticket, count in evidence.replies.items():
        if count > 1:
            yield 0, f"ticket {ticket} was answered {count} times"
    for case in evidence.callers.requests.values():
        for told in case.told:
            yield from _foreign_answer(case, told)
    for job_case in evidence.callers.jobs.values():
        for told in job_case.told:
            yield from _foreign_status(job_case, told)


def _foreign_status(
    case: cases.JobCase, told: cases.Told
) -> Iterator[tuple[int, str]]:
    match told.body:
        case peer_messages.JobAnswer(status=status):
            if case.job not in (None, status.job):
                yield told.at_ms, f"{case.name} is {case.job}, got {status}"
        case peer_messages.Failure() | None:
            pass
        case _:
            yield told.at_ms, f"{case.name} got {told.body}"


def _foreign_answer(
    case: cases.RequestCase, told: cases.Told
) -> Iterator[tuple[int, str]]:
    if isinstance(told.body, peer_messages.Failure | None):
        return
    if not isinstance(told.body, peer_messages.RequestAnswer):
        yield told.at_ms, f"{told.request} got {told.body}"
        return
    result = told.body.result
    if result.request != told.request:
        yield told.at_ms, f"{told.request} got the answer to {result.request}"
    whole = runner_model.answer_payload(case.specs[told.request])
    if result.code is codes.ResultCode.DONE and result.payload != whole:
        yield told.at_ms, f"{told.request} got payload {result.payload!r}"


@promises.promise("not-run-is-true")
def _not_run(evidence: evidence_lib.Evidence) -> Iterator[tuple[int, str]]:
    """What a refusal says was not run was never run."""
    ran = {
        event.request.partition("~")[0]: at_ms
        for at_ms, event in promises.of_kind(
            evidence, timeline_events.EventKind.RUNNER_STARTED
        )
    }
    for case in evidence.callers.requests.values():
        for told in case.told:
            code = _code(told.body)
            proves = code is not None and codes.info(code).proves_not_run
            if proves and told.request in ran:
                yield (
                    told.at_ms,
                    (
                        f"{told.request} told {code.name}, ran at"
                        f" {ran[told.request]} ms"
                    ),
                )
    by_name: dict[str, list[int]] = collections.defaultdict(list)
    by_job: dict[str, list[int]] = collections.defaultdict(list)
    for at_ms, event in promises.of_kind(
        evidence, timeline_events.EventKind.TASK_STARTED
    ):
        by_name[promises.job_name(evidence, event.attempt)].append(at_ms)
        by_job[event.job].append(at_ms)
    for job_case in evidence.callers.jobs.values():
        starts = by_name[job_case.name]
        yield from _ran_though_refused(job_case, starts)
        result = job_case.final and job_case.final.result
        proves = result and codes.info(result.code).proves_not_run
        if proves and by_job[job_case.job]:
            yield (
                by_job[job_case.job][0],
                f"{job_case.name} told {result.code.name}, ran",
            )


def _ran_though_refused(
    case: cases.JobCase, starts: list[int]
) -> Iterator[tuple[int, str]]:
    """Looks for starts before the first call that was not refused."""
    refused = list(
        itertools.takewhile(lambda told: _proves_not_run(told.body), case.told)
    )
    if not refused:
        return
    all_refused = len(refused) == len(case.told)
    early = [
        at_ms
        for at_ms in starts
        if all_refused or at_ms < case.told[len(refused)].sent_ms
    ]
    if early:
        yield early[0], f"{case.name} ran though refused"


def _proves_not_run(body: peer_messages.Answer | None) -> bool:
    code = _code(body)
    return code is not None and codes.info(code).proves_not_run


def _code(body: peer_messages.Answer | None) -> codes.ResultCode | None:
    match body:
        case peer_messages.Failure(result=result):
            return result.code
        case peer_messages.RequestAnswer(result=result):
            return result.code
        case _:
            return None
