"""The promises: their bounds, their registry and what checks share."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import json

import msgspec

from citronmount.bench.faults import evidence as evidence_lib
from citronmount.telemetry import timeline_events

__all__ = [
    "PROMISES",
    "Violation",
    "check",
    "is_whole",
    "job_name",
    "of_kind",
    "promise",
    "runs_by_attempt",
]

LEASE_TTL_MS = 10_000
RESERVATION_TTL_MS = 2_000
NOTICE_MS = 3_000
IN_FORCE_MS = 13_000
TAKE_OVER_MS = LEASE_TTL_MS + 2_000
PARTIAL_GANG_MS = LEASE_TTL_MS + RESERVATION_TTL_MS
RECLAIM_MS = TAKE_OVER_MS + PARTIAL_GANG_MS
QUIET_RECLAIM_MS = 5_000
DRAIN_MS = 35_000


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """A promise that was broken.

    Attributes:
        promise: Its name.
        at_ms: True time.
        detail: What happened.
    """

    promise: str
    at_ms: int
    detail: str


Check = Callable[[evidence_lib.Evidence], Iterator[tuple[int, str]]]

PROMISES: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Registers the check of a promise.

    Args:
        name: Its name.

    Returns:
        The decorator.
    """

    def register(function: Check) -> Check:
        PROMISES[name] = function
        return function

    return register


def check(evidence: evidence_lib.Evidence) -> list[Violation]:
    """Checks every promise.

    Args:
        evidence: What was seen of a whole run.

    Returns:
        All violations, in the order of the promises.
    """
    return [
        Violation(promise=name, at_ms=at_ms, detail=detail)
        for name, function in PROMISES.items()
        for at_ms, detail in function(evidence)
    ]


def of_kind(
    evidence: evidence_lib.Evidence, *kinds: timeline_events.EventKind
) -> Iterator[tuple[int, timeline_events.TimelineEvent]]:
    """Returns the events of some kinds with their true times.

    Args:
        evidence: What was seen of a run.
        *kinds: The kinds.
    """
    return (
        (at_ms, event)
        for at_ms, event in evidence.harness.timeline
        if event.kind in kinds
    )


def job_name(evidence: evidence_lib.Evidence, attempt: str) -> str:
    """Returns the caller's name of the job that an attempt runs."""
    return json.loads(evidence.attempts[attempt].spec.command)["name"]


def runs_by_attempt(
    evidence: evidence_lib.Evidence,
) -> dict[str, dict[str, list[tuple[int, int, str]]]]:
    """Returns start, end and how of every run, by attempt and worker."""
    runs: dict[str, dict[str, list[tuple[int, int, str]]]] = (
        collections.defaultdict(lambda: collections.defaultdict(list))
    )
    kinds = (
        timeline_events.EventKind.TASK_STARTED,
        timeline_events.EventKind.TASK_ENDED,
    )
    for at_ms, event in of_kind(evidence, *kinds):
        at_worker = runs[event.attempt][event.target]
        if event.kind is timeline_events.EventKind.TASK_STARTED:
            at_worker.append((at_ms, evidence.ended_ms + 1, "running"))
        elif at_worker:
            at_worker[-1] = (at_worker[-1][0], at_ms, event.detail)
    started = {
        attempt: {worker: spans for worker, spans in at.items() if spans}
        for attempt, at in runs.items()
    }
    return {attempt: at for attempt, at in started.items() if at}


def is_whole(
    evidence: evidence_lib.Evidence,
    attempt: str,
    at_workers: dict[str, list[tuple[int, int, str]]],
) -> bool:
    """Returns whether every member of an attempt has started."""
    groups = evidence.attempts[attempt].placement.groups
    return all(at_workers.get(group.worker) for group in groups)
