"""An independent checker that reads only the timeline of a run."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from citronmount.core import codes
from citronmount.core import states
from citronmount.telemetry import timeline_events

__all__ = ["check"]

# Sum of the TTLs of a lease and of a reservation.
PARTIAL_GANG_BOUND_MS = 12_000

_Kind = timeline_events.EventKind
_Checker = Callable[
    [list[timeline_events.TimelineEvent]],
    Iterator[tuple[timeline_events.TimelineEvent, str]],
]


def check(timeline: Iterable[timeline_events.TimelineEvent]) -> list[str]:
    """Finds contradictions in a merged timeline.

    Args:
        timeline: Events of all processes and targets. The events of each
            process are in the order in which they happened.

    Returns:
        One line for each contradiction.
    """
    merged = list(timeline)
    checkers: tuple[_Checker, ...] = (
        _keys_start_once,
        _members_start_once,
        _gangs_run_together,
        _done_jobs_finished,
        _not_run_jobs_never_start,
        _results_never_change,
        _versions_never_decrease,
        _no_reservations_in_domains_out,
    )
    return [
        f"{event.physical_ms} {event.process} {event.kind.value}: {text}"
        for checker in checkers
        for event, text in checker(merged)
    ]


def _keys_start_once(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    """Finds idempotency keys that are run twice.

    The field ``job`` of a runner's event is the key, which idempotent requests
    don't have.
    """
    started_keys: set[str] = set()
    for event in timeline:
        if event.kind is _Kind.RUNNER_STARTED and event.job:
            if event.job in started_keys:
                yield event, f"key {event.job} is run a second time"
            started_keys.add(event.job)


def _members_start_once(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    started_members: set[tuple[str, str]] = set()
    for event in timeline:
        if event.kind is _Kind.TASK_STARTED:
            member = (event.attempt, event.target)
            if member in started_members:
                yield (
                    event,
                    f"attempt {event.attempt} starts a second time here",
                )
            started_members.add(member)


def _gangs_run_together(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    """Finds attempts that ran partially for longer than the bound.

    An attempt runs partially while some of its tasks run and others neither run
    nor have finished.
    """
    tasks = _tasks_of_jobs(timeline)
    running_or_finished: collections.Counter = collections.Counter()
    running: collections.Counter = collections.Counter()
    partial_since_ms: dict[str, int] = {}
    for event in timeline:
        if event.kind not in (_Kind.TASK_STARTED, _Kind.TASK_ENDED):
            continue
        if event.kind is _Kind.TASK_STARTED:
            running_or_finished[event.attempt] += event.count
            running[event.attempt] += event.count
        elif running[event.attempt]:
            running[event.attempt] -= event.count
            if event.detail != states.LeaseState.FINISHED.value:
                running_or_finished[event.attempt] -= event.count
        complete = running_or_finished[event.attempt] == tasks.get(event.job)
        since_ms = partial_since_ms.pop(event.attempt, event.physical_ms)
        if event.physical_ms - since_ms > PARTIAL_GANG_BOUND_MS:
            yield (
                event,
                f"attempt {event.attempt} ran partially since {since_ms} ms",
            )
        if running[event.attempt] and not complete:
            partial_since_ms[event.attempt] = since_ms


def _tasks_of_jobs(
    timeline: list[timeline_events.TimelineEvent],
) -> dict[str, int]:
    """Returns the gang size of each job.

    It is read from the acceptance, or else from the largest reservation of an
    attempt.
    """
    reserved: dict[tuple[str, str], dict[str, int]] = collections.defaultdict(
        dict
    )
    accepted: dict[str, int] = {}
    for event in timeline:
        if event.kind is _Kind.JOB_ACCEPTED:
            accepted[event.job] = event.count
        elif event.kind is _Kind.TASK_RESERVED:
            reserved[event.job, event.attempt][event.target] = event.count
    max_reserved: dict[str, int] = {}
    for (job, _), members in reserved.items():
        max_reserved[job] = max(max_reserved.get(job, 0), sum(members.values()))
    return max_reserved | accepted


def _done_jobs_finished(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    tasks = _tasks_of_jobs(timeline)
    finished: collections.Counter = collections.Counter()
    max_finished: dict[str, int] = {}
    for event in timeline:
        if event.kind is _Kind.TASK_ENDED:
            if event.detail == states.LeaseState.FINISHED.value:
                finished[event.attempt] += event.count
                count = finished[event.attempt]
                max_finished[event.job] = max(
                    max_finished.get(event.job, 0), count
                )
        elif event.kind is _Kind.JOB_ENDED:
            is_done = event.code == codes.ResultCode.DONE
            if is_done and max_finished.get(event.job, 0) != tasks.get(
                event.job
            ):
                yield (
                    event,
                    f"job {event.job} is done, but not all its tasks finished",
                )


def _not_run_jobs_never_start(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    not_run: dict[str, timeline_events.TimelineEvent] = {}
    started: set[str] = set()
    for event in timeline:
        match event.kind:
            case _Kind.JOB_ENDED if _proves_not_run(event.code):
                not_run[event.job] = event
            case _Kind.TASK_STARTED:
                started.add(event.job)
    for job in sorted(not_run.keys() & started):
        yield not_run[job], f"job {job} ended as not run, but was started"


def _proves_not_run(code: int) -> bool:
    return codes.info(codes.ResultCode(code)).proves_not_run


def _results_never_change(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    results: dict[str, int] = {}
    for event in timeline:
        if event.kind is _Kind.JOB_ENDED:
            first_code = results.setdefault(event.job, event.code)
            if first_code != event.code:
                yield (
                    event,
                    f"job {event.job} ended before with code {first_code}",
                )


def _versions_never_decrease(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    highest: dict[str, int] = {}
    for event in timeline:
        if event.kind is _Kind.CONFIGURATION_IN_FORCE:
            previous = highest.get(event.process, 0)
            if event.version < previous:
                yield event, f"higher version {previous} was in force before"
            highest[event.process] = max(previous, event.version)


def _no_reservations_in_domains_out(
    timeline: list[timeline_events.TimelineEvent],
) -> Iterator[tuple[timeline_events.TimelineEvent, str]]:
    """Finds reservations in a domain that all its VMs know to be out.

    The detail of a CONFIGURATION_IN_FORCE event lists the failure domains that
    are out of service.
    """
    domains_out: dict[str, frozenset[str]] = {}
    vms_of_domain: dict[str, set[str]] = collections.defaultdict(set)
    for event in timeline:
        match event.kind:
            case _Kind.CONFIGURATION_IN_FORCE:
                domains_out[event.process] = frozenset(event.detail.split(","))
                vms_of_domain[event.process.partition(".")[0]].add(
                    event.process
                )
            case _Kind.TASK_RESERVED:
                domain = event.failure_domain
                known_out = [
                    domain in domains_out[vm] for vm in vms_of_domain[domain]
                ]
                if known_out and all(known_out):
                    yield (
                        event,
                        f"job {event.job} is reserved, but {domain} is out",
                    )
