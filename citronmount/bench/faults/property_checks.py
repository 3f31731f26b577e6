"""Registry of the properties that every run must satisfy, and shared helpers.

Each property has a name, under which reports list it in the field ``promise``
of a violation, and a check that reads the history of a whole run. All bounds
are in milliseconds of virtual time.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import json

import msgspec

from citronmount.bench.faults import run_history
from citronmount.telemetry import timeline_events

__all__ = [
    "PROPERTY_CHECKS",
    "Violation",
    "all_members_started",
    "check",
    "events_of_kind",
    "job_name",
    "property_check",
    "runs_by_attempt",
]

LEASE_TTL_MS = 10_000
RESERVATION_TTL_MS = 2_000
NOTICE_BOUND_MS = 3_000
IN_FORCE_BOUND_MS = 13_000
TAKEOVER_BOUND_MS = LEASE_TTL_MS + 2_000
PARTIAL_GANG_BOUND_MS = LEASE_TTL_MS + RESERVATION_TTL_MS
RECLAIM_BOUND_MS = TAKEOVER_BOUND_MS + PARTIAL_GANG_BOUND_MS
FAULT_FREE_RECLAIM_BOUND_MS = 5_000
DRAIN_BOUND_MS = 35_000


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """A property that did not hold.

    Attributes:
        promise: Name of the property.
        at_ms: Virtual time of the violation.
        detail: Description of the violation.
    """

    promise: str
    at_ms: int
    detail: str


Check = Callable[[run_history.RunHistory], Iterator[tuple[int, str]]]

PROPERTY_CHECKS: dict[str, Check] = {}


def property_check(name: str) -> Callable[[Check], Check]:
    """Registers a function as the check of a property.

    Args:
        name: Name of the property in reports.

    Returns:
        A decorator for a function that yields the virtual time and the
        description of each violation.
    """

    def register(function: Check) -> Check:
        PROPERTY_CHECKS[name] = function
        return function

    return register


def check(history: run_history.RunHistory) -> list[Violation]:
    """Checks every property.

    Args:
        history: History of a completed run.

    Returns:
        All violations, in the order in which the properties were registered.
    """
    return [
        Violation(promise=name, at_ms=at_ms, detail=detail)
        for name, function in PROPERTY_CHECKS.items()
        for at_ms, detail in function(history)
    ]


def events_of_kind(
    history: run_history.RunHistory, *kinds: timeline_events.EventKind
) -> Iterator[tuple[int, timeline_events.TimelineEvent]]:
    """Yields the timeline events of the given kinds with their virtual times.

    Args:
        history: History of a run.
        *kinds: Kinds to select.
    """
    return (
        (at_ms, event)
        for at_ms, event in history.harness.timeline
        if event.kind in kinds
    )


def job_name(history: run_history.RunHistory, attempt: str) -> str:
    """Returns the name that the client gave to the job of an attempt."""
    return json.loads(history.attempts[attempt].spec.command)["name"]


def runs_by_attempt(
    history: run_history.RunHistory,
) -> dict[str, dict[str, list[tuple[int, int, str]]]]:
    """Returns the task runs of each attempt on each worker.

    Returns:
        By attempt and worker, the start time, the end time and the final
        lease state of every task run. One that is still in progress when
        the history ends has the state ``running`` and ends 1 ms after that.
    """
    runs: dict[str, dict[str, list[tuple[int, int, str]]]] = (
        collections.defaultdict(lambda: collections.defaultdict(list))
    )
    kinds = (
        timeline_events.EventKind.TASK_STARTED,
        timeline_events.EventKind.TASK_ENDED,
    )
    for at_ms, event in events_of_kind(history, *kinds):
        worker_runs = runs[event.attempt][event.target]
        if event.kind is timeline_events.EventKind.TASK_STARTED:
            worker_runs.append((at_ms, history.ended_ms + 1, "running"))
        elif worker_runs:
            worker_runs[-1] = (worker_runs[-1][0], at_ms, event.detail)
    started = {
        attempt: {
            worker: task_runs
            for worker, task_runs in by_worker.items()
            if task_runs
        }
        for attempt, by_worker in runs.items()
    }
    return {
        attempt: by_worker
        for attempt, by_worker in started.items()
        if by_worker
    }


def all_members_started(
    history: run_history.RunHistory,
    attempt: str,
    runs_by_worker: dict[str, list[tuple[int, int, str]]],
) -> bool:
    """Returns whether every member of the gang of an attempt has started.

    Args:
        history: History of a run.
        attempt: The attempt.
        runs_by_worker: Its task runs, as `runs_by_attempt` returns them.
    """
    groups = history.attempts[attempt].placement.groups
    return all(runs_by_worker.get(group.worker) for group in groups)
