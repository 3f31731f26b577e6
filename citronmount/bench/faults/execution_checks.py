"""Checks of guarantees, gang starts, repeated runs and results of jobs."""

import collections
from collections.abc import Iterator

from citronmount.bench.faults import client_observations
from citronmount.bench.faults import property_checks
from citronmount.bench.faults import run_history
from citronmount.core import codes
from citronmount.core import jobs
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.telemetry import timeline_events

__all__: list[str] = []


@property_checks.property_check("guarantee-reclaimable")
def _guaranteed_jobs_start(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """All tasks of a job within its account's guarantee start within the bound.

    The bound counts from the acceptance or from the end of the last fault. It
    is `property_checks.RECLAIM_BOUND_MS` in a run with faults and
    `property_checks.FAULT_FREE_RECLAIM_BOUND_MS` in a run without.
    """
    runs = property_checks.runs_by_attempt(history)
    for job in history.clients.jobs.values():
        if not job.must_run or job.refused or job.accepted_ms is None:
            continue
        since_ms = max(job.accepted_ms, history.healed_ms)
        reclaim_ms = (
            property_checks.RECLAIM_BOUND_MS
            if history.healed_ms
            else property_checks.FAULT_FREE_RECLAIM_BOUND_MS
        )
        bound_ms = since_ms + reclaim_ms
        start_times = [
            max(task_runs[-1][0] for task_runs in by_worker.values())
            for attempt, by_worker in runs.items()
            if property_checks.job_name(history, attempt) == job.name
            and property_checks.all_members_started(history, attempt, by_worker)
        ]
        in_time = min(start_times, default=bound_ms + 1) <= bound_ms
        if history.ended_ms > bound_ms and not in_time:
            yield (
                bound_ms,
                f"job {job.name} had not started completely by {bound_ms} ms",
            )


@property_checks.property_check("gang-whole")
def _gangs_start_together(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """No part of a gang runs alone for longer than the TTLs allow.

    The bound is the sum of the TTLs of a lease and of a reservation.
    """
    for attempt, by_worker in property_checks.runs_by_attempt(history).items():
        groups = history.attempts[attempt].placement.groups
        workers = [str(group.worker) for group in groups]
        task_runs = [
            task_run
            for worker in workers
            for task_run in by_worker.get(worker, [])
        ]
        if len(task_runs) > len(workers):
            yield (
                task_runs[-1][0],
                f"attempt {attempt} started more than once on a worker",
            )
        boundaries = sorted(
            {
                boundary_ms
                for task_run in task_runs
                for boundary_ms in task_run[:2]
            }
        )
        since_ms: int | None = None
        for time_ms in boundaries:
            if not _runs_partially(workers, by_worker, time_ms):
                if (
                    since_ms
                    and time_ms - since_ms
                    > property_checks.PARTIAL_GANG_BOUND_MS
                ):
                    yield (
                        since_ms,
                        f"attempt {attempt} ran partially until {time_ms} ms",
                    )
                since_ms = None
            elif since_ms is None:
                since_ms = time_ms


def _runs_partially(
    workers: list[str],
    by_worker: dict[str, list[tuple[int, int, str]]],
    at_ms: int,
) -> bool:
    """Returns whether some tasks run while others neither run nor finished.

    Args:
        workers: Workers of all members of the gang.
        by_worker: Task runs of the attempt on each worker.
        at_ms: Virtual time to examine.
    """
    finished = states.LeaseState.FINISHED.value
    running = [
        any(
            start_ms <= at_ms < end_ms
            for start_ms, end_ms, _ in by_worker.get(worker, [])
        )
        for worker in workers
    ]
    running_or_finished = [
        any(
            start_ms <= at_ms and (at_ms < end_ms or state == finished)
            for start_ms, end_ms, state in by_worker.get(worker, [])
        )
        for worker in workers
    ]
    return any(running) and not all(running_or_finished)


@property_checks.property_check("at-most-once")
def _at_most_once(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """Jobs and requests that are not idempotent start at most once.

    The field ``job`` of a runner's event is the idempotency key, which
    idempotent requests don't have.
    """
    previous_runs: dict[str, str] = {}
    for at_ms, event in property_checks.events_of_kind(
        history, timeline_events.EventKind.RUNNER_STARTED
    ):
        if not event.job:
            continue
        if event.job in previous_runs:
            yield (
                at_ms,
                (
                    f"key {event.job} ran as {previous_runs[event.job]} and"
                    f" {event.request}"
                ),
            )
        previous_runs[event.job] = f"{event.request} at {event.target}"
    first_attempts: dict[str, str] = {}
    for at_ms, event in property_checks.events_of_kind(
        history, timeline_events.EventKind.TASK_STARTED
    ):
        spec = history.attempts[event.attempt].spec
        name = property_checks.job_name(history, event.attempt)
        if spec.idempotent:
            continue
        if first_attempts.setdefault(name, event.attempt) != event.attempt:
            yield (
                at_ms,
                (
                    f"job {name} ran as {first_attempts[name]} and"
                    f" {event.attempt}"
                ),
            )


@property_checks.property_check("true-results")
def _true_results(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """Accepted work ends with a result that is true and never changes."""
    runs = property_checks.runs_by_attempt(history)
    attempts_by_job: dict[str, list[str]] = collections.defaultdict(list)
    for attempt in runs:
        attempts_by_job[history.attempts[attempt].spec.job].append(attempt)
    for job in history.clients.jobs.values():
        if job.accepted_ms is not None and job.final is None:
            yield history.ended_ms, f"job {job.name} has no final result"
        if job.final is not None:
            yield from _changed_results(job)
            attempts = [
                (job_attempt, runs[job_attempt])
                for job_attempt in attempts_by_job[job.job]
            ]
            yield from _false_results(history, job, attempts)
    for request in history.clients.requests.values():
        if not request.done:
            yield (
                history.ended_ms,
                f"request {request.name} has no final answer",
            )


def _changed_results(
    job: client_observations.JobObservation,
) -> Iterator[tuple[int, str]]:
    for outcome in job.told:
        if not isinstance(outcome.body, peer_messages.JobAnswer):
            continue
        status = outcome.body.status
        if status.state.final and status.result != job.final.result:
            yield (
                outcome.at_ms,
                (
                    f"job {job.name} reported {status.result}, earlier"
                    f" {job.final.result}"
                ),
            )


def _false_results(
    history: run_history.RunHistory,
    job: client_observations.JobObservation,
    attempts: list[tuple[str, dict[str, list[tuple[int, int, str]]]]],
) -> Iterator[tuple[int, str]]:
    result = job.final.result or jobs.JobResult(code=codes.ResultCode.INTERNAL)
    end_states = [
        [state for task_runs in by_worker.values() for _, _, state in task_runs]
        for attempt, by_worker in attempts
        if property_checks.all_members_started(history, attempt, by_worker)
    ]
    finished = states.LeaseState.FINISHED.value
    failed = states.LeaseState.FAILED.value
    match result.code:
        case codes.ResultCode.DONE:
            result_is_true = any(
                all(state == finished for state in states_of_attempt)
                for states_of_attempt in end_states
            )
        case (
            codes.ResultCode.FAILED_BY_JOB | codes.ResultCode.FAILED_EVERYWHERE
        ):
            result_is_true = any(
                state == failed
                for _, by_worker in attempts
                for task_runs in by_worker.values()
                for *_, state in task_runs
            )
        case codes.ResultCode.CANCELLED_AFTER_START:
            result_is_true = job.cancelled_ms is not None and bool(attempts)
        case codes.ResultCode.CANCELLED_NOT_RUN:
            result_is_true = job.cancelled_ms is not None and not attempts
        case codes.ResultCode.INTERRUPTED:
            result_is_true = not job.spec.idempotent and bool(attempts)
        case codes.ResultCode.OUTCOME_UNKNOWN:
            result_is_true = not job.spec.idempotent
        case _:
            result_is_true = (
                codes.info(result.code).proves_not_run and not attempts
            )
    if not result_is_true:
        yield (
            history.ended_ms,
            (
                f"job {job.name} reported {result.code.name}, but its runs"
                f" ended with {end_states}"
            ),
        )
