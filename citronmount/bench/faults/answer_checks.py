"""Checks of the answers that clients receive."""

import collections
from collections.abc import Iterator
import itertools

from citronmount.bench.faults import client_observations
from citronmount.bench.faults import property_checks
from citronmount.bench.faults import run_history
from citronmount.core import codes
from citronmount.peers import peer_messages
from citronmount.standins import runner_model
from citronmount.telemetry import timeline_events

__all__: list[str] = []


@property_checks.property_check("own-whole-answer")
def _own_complete_answer(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """Each client gets the complete answer to its own request, once."""
    for ticket, count in history.reply_counts.items():
        if count > 1:
            yield 0, f"ticket {ticket} was answered {count} times, expected 1"
    for request in history.clients.requests.values():
        for outcome in request.told:
            yield from _answer_mismatches(request, outcome)
    for job in history.clients.jobs.values():
        for outcome in job.told:
            yield from _status_mismatches(job, outcome)


def _status_mismatches(
    job: client_observations.JobObservation,
    outcome: client_observations.CallOutcome,
) -> Iterator[tuple[int, str]]:
    match outcome.body:
        case peer_messages.JobAnswer(status=status):
            if job.job not in (None, status.job):
                yield (
                    outcome.at_ms,
                    f"job {job.name} has id {job.job}, got status {status}",
                )
        case peer_messages.Failure() | None:
            pass
        case _:
            yield (
                outcome.at_ms,
                f"job {job.name}: expected a job status, got {outcome.body}",
            )


def _answer_mismatches(
    request: client_observations.RequestObservation,
    outcome: client_observations.CallOutcome,
) -> Iterator[tuple[int, str]]:
    if isinstance(outcome.body, peer_messages.Failure | None):
        return
    if not isinstance(outcome.body, peer_messages.RequestAnswer):
        yield (
            outcome.at_ms,
            (
                f"request {outcome.request}: expected a request answer, got"
                f" {outcome.body}"
            ),
        )
        return
    result = outcome.body.result
    if result.request != outcome.request:
        yield (
            outcome.at_ms,
            f"request {outcome.request} got the answer to {result.request}",
        )
    expected = runner_model.answer_payload(request.specs[outcome.request])
    if result.code is codes.ResultCode.DONE and result.payload != expected:
        yield (
            outcome.at_ms,
            f"request {outcome.request} got wrong payload {result.payload!r}",
        )


@property_checks.property_check("not-run-is-true")
def _not_run_results_are_true(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """Work that a result code reports as not run has never started.

    Runners report a request under its id, ``~`` and a unique suffix, which the
    VM that routed the request appended.
    """
    start_times = {
        event.request.partition("~")[0]: at_ms
        for at_ms, event in property_checks.events_of_kind(
            history, timeline_events.EventKind.RUNNER_STARTED
        )
    }
    for request in history.clients.requests.values():
        for outcome in request.told:
            code = _result_code(outcome.body)
            proves_not_run = (
                code is not None and codes.info(code).proves_not_run
            )
            if proves_not_run and outcome.request in start_times:
                yield (
                    outcome.at_ms,
                    (
                        f"request {outcome.request} answered {code.name}, but"
                        f" ran at {start_times[outcome.request]} ms"
                    ),
                )
    starts_by_name: dict[str, list[int]] = collections.defaultdict(list)
    starts_by_job: dict[str, list[int]] = collections.defaultdict(list)
    for at_ms, event in property_checks.events_of_kind(
        history, timeline_events.EventKind.TASK_STARTED
    ):
        starts_by_name[property_checks.job_name(history, event.attempt)].append(
            at_ms
        )
        starts_by_job[event.job].append(at_ms)
    for job in history.clients.jobs.values():
        starts = starts_by_name[job.name]
        yield from _starts_before_acceptance(job, starts)
        result = job.final and job.final.result
        proves_not_run = result and codes.info(result.code).proves_not_run
        if proves_not_run and starts_by_job[job.job]:
            yield (
                starts_by_job[job.job][0],
                f"job {job.name} ended with {result.code.name}, but ran",
            )


def _starts_before_acceptance(
    job: client_observations.JobObservation, starts: list[int]
) -> Iterator[tuple[int, str]]:
    """Finds a start of a job while all submissions so far had been refused.

    A refusal is an outcome whose code proves that the job did not run. A start
    is legitimate from when the client sent the first call with another outcome.
    """
    refusals = list(
        itertools.takewhile(
            lambda outcome: _proves_not_run(outcome.body), job.told
        )
    )
    if not refusals:
        return
    all_refused = len(refusals) == len(job.told)
    early_starts = [
        at_ms
        for at_ms in starts
        if all_refused or at_ms < job.told[len(refusals)].sent_ms
    ]
    if early_starts:
        yield early_starts[0], f"job {job.name} ran although it was refused"


def _proves_not_run(body: peer_messages.Answer | None) -> bool:
    code = _result_code(body)
    return code is not None and codes.info(code).proves_not_run


def _result_code(body: peer_messages.Answer | None) -> codes.ResultCode | None:
    match body:
        case peer_messages.Failure(result=result):
            return result.code
        case peer_messages.RequestAnswer(result=result):
            return result.code
        case _:
            return None
