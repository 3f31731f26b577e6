"""A second checker that reads nothing but the time line."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from citronmount.core import codes
from citronmount.core import states
from citronmount.telemetry import timeline_events

__all__ = ["check"]

PARTIAL_GANG_MS = 12_000

_Kind = timeline_events.EventKind
_Checker = Callable[
    [list[timeline_events.TimelineEvent]],
    Iterator[tuple[timeline_events.TimelineEvent, str]],
]


def check(timeline: Iterable[timeline_events.TimelineEvent]) -> list[str]:
    """Checks what a merged time line alone can tell.

    Args:
        timeline: Events of all processes and targets, each process's own in
            their order.

    Returns:
        One line for each contradiction.
    """
    merged = list(timeline)
    checkers: tuple[_Checker, ...] = (
        _keys_run_once,
        _members_start_once,
        _gangs_are_whole,
        _done_is_done,
        _refused_never_ran,
        _one_result,
        _versions_rise,
        _domains_out_are_quiet,
    )
    return [
        f"{event.physical_ms} {event.process} {event.kind.value}: {text}"
        for checker in checkers
        for event, text in checker(merged)
    ]


def _keys_run_once(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    seen: set[str] = set()
    for event in timeline:
        if event.kind is _Kind.RUNNER_STARTED and event.job:
            if event.job in seen:
                yield event, f"key {event.job} runs again"
            seen.add(event.job)


def _members_start_once(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    seen: set[tuple[str, str]] = set()
    for event in timeline:
        if event.kind is _Kind.TASK_STARTED:
            member = (event.attempt, event.target)
            if member in seen:
                yield event, f"{event.attempt} starts again"
            seen.add(member)


def _gangs_are_whole(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    """Follows how many tasks of each attempt run or have finished."""
    tasks = _tasks_of_jobs(timeline)
    active: collections.Counter = collections.Counter()
    running: collections.Counter = collections.Counter()
    partial_since: dict[str, int] = {}
    for event in timeline:
        if event.kind not in (_Kind.TASK_STARTED, _Kind.TASK_ENDED):
            continue
        if event.kind is _Kind.TASK_STARTED:
            active[event.attempt] += event.count
            running[event.attempt] += event.count
        elif running[event.attempt]:
            running[event.attempt] -= event.count
            if event.detail != states.LeaseState.FINISHED.value:
                active[event.attempt] -= event.count
        whole = active[event.attempt] == tasks.get(event.job)
        since = partial_since.pop(event.attempt, event.physical_ms)
        if event.physical_ms - since > PARTIAL_GANG_MS:
            yield event, f"{event.attempt} ran in part since {since}"
        if running[event.attempt] and not whole:
            partial_since[event.attempt] = since


def _tasks_of_jobs(
    timeline: list[timeline_events.TimelineEvent],
) -> dict[str, int]:
    """Returns the gang sizes, from acceptances or else from reservations."""
    reserved: dict[tuple[str, str], dict[str, int]] = collections.defaultdict(
        dict
    )
    accepted: dict[str, int] = {}
    for event in timeline:
        if event.kind is _Kind.JOB_ACCEPTED:
            accepted[event.job] = event.count
        elif event.kind is _Kind.TASK_RESERVED:
            reserved[event.job, event.attempt][event.target] = event.count
    largest: dict[str, int] = {}
    for (job, _), members in reserved.items():
        largest[job] = max(largest.get(job, 0), sum(members.values()))
    return largest | accepted


def _done_is_done(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    tasks = _tasks_of_jobs(timeline)
    finished: collections.Counter = collections.Counter()
    best: dict[str, int] = {}
    for event in timeline:
        if event.kind is _Kind.TASK_ENDED:
            if event.detail == states.LeaseState.FINISHED.value:
                finished[event.attempt] += event.count
                count = finished[event.attempt]
                best[event.job] = max(best.get(event.job, 0), count)
        elif event.kind is _Kind.JOB_ENDED:
            done = event.code == codes.ResultCode.DONE
            if done and best.get(event.job, 0) != tasks.get(event.job):
                yield event, f"{event.job} is not done whole"


def _refused_never_ran(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    proven: dict[str, timeline_events.TimelineEvent] = {}
    started: set[str] = set()
    for event in timeline:
        match event.kind:
            case _Kind.JOB_ENDED if _proves_not_run(event.code):
                proven[event.job] = event
            case _Kind.TASK_STARTED:
                started.add(event.job)
    for job in sorted(proven.keys() & started):
        yield proven[job], f"{job} was started"


def _proves_not_run(code: int) -> bool:
    return codes.info(codes.ResultCode(code)).proves_not_run


def _one_result(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    results: dict[str, int] = {}
    for event in timeline:
        if event.kind is _Kind.JOB_ENDED:
            first = results.setdefault(event.job, event.code)
            if first != event.code:
                yield event, f"{event.job} ended before with {first}"


def _versions_rise(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    highest: dict[str, int] = {}
    for event in timeline:
        if event.kind is _Kind.CONFIGURATION_IN_FORCE:
            before = highest.get(event.process, 0)
            if event.version < before:
                yield event, f"version {before} was in force before"
            highest[event.process] = max(before, event.version)


def _domains_out_are_quiet(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    """No start in a failure domain that every VM of it knows to be out.

    The detail of a version in force names the failure domains that are out.
    """
    out: dict[str, frozenset[str]] = {}
    vms: dict[str, set[str]] = collections.defaultdict(set)
    for event in timeline:
        match event.kind:
            case _Kind.CONFIGURATION_IN_FORCE:
                out[event.process] = frozenset(event.detail.split(","))
                vms[event.process.partition(".")[0]].add(event.process)
            case _Kind.TASK_RESERVED:
                domain = event.failure_domain
                known = [domain in out[vm] for vm in vms[domain]]
                if known and all(known):
                    yield event, f"{event.job} is reserved, {domain} is out"
