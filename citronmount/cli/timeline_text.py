"""Merges timelines of several processes and formats them as text."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime
import itertools

import msgspec

from citronmount.core import codes
from citronmount.telemetry import timeline_events

__all__ = [
    "Phase",
    "format_events",
    "format_job_timeline",
    "job_phases",
    "merge_events",
]

BAR_WIDTH_CHARACTERS = 60

_Kind = timeline_events.EventKind
_PHASE_BY_FIRST_EVENT = {
    _Kind.JOB_ACCEPTED: "queued",
    _Kind.JOB_PLACED: "starting",
    _Kind.JOB_STARTED: "running",
    _Kind.JOB_EVICTING: "stopping",
}
_PHASE_MARKS = {"queued": ".", "starting": "+", "running": "#", "stopping": "-"}
_MS_PER_S = 1_000
_S_PER_MINUTE = 60


class Phase(msgspec.Struct, frozen=True, kw_only=True):
    """A phase of a job.

    Attributes:
        name: Name of the phase: queued, starting, running or stopping.
        duration_ms: Duration by the clocks of the VMs, which may differ.
    """

    name: str
    duration_ms: int


def merge_events(
    timelines: Iterable[Sequence[timeline_events.TimelineEvent]],
) -> list[timeline_events.TimelineEvent]:
    """Merges the events of several processes by hybrid logical time.

    Args:
        timelines: The events of each process.

    Returns:
        The distinct events, oldest first.
    """
    distinct = set(itertools.chain.from_iterable(timelines))
    return sorted(
        distinct,
        key=lambda event: (event.physical_ms, event.logical, event.process),
    )


def format_events(
    events: Sequence[timeline_events.TimelineEvent],
) -> Iterator[str]:
    """Yields one line per event with its wall-clock time.

    Args:
        events: The events, oldest first.

    Yields:
        The lines.
    """
    width = max((len(event.process) for event in events), default=0)
    for event in events:
        time_text = _format_wall_clock(event.physical_ms)
        subject = _format_subject(event, with_job=True)
        yield _format_event(time_text, event, width, subject)


def format_job_timeline(
    job: str, events: Sequence[timeline_events.TimelineEvent]
) -> Iterator[str]:
    """Yields the timeline of one job.

    Args:
        job: The job.
        events: Its events, oldest first.

    Yields:
        A title, one line per event with the time since the first event, and
        the phases as a bar.
    """
    account = next((event.account for event in events if event.account), "")
    yield f"job {job}  account {account or 'unknown'}"
    if not events:
        yield (
            "no events; other VMs may have them, or they are no longer retained"
        )
        return
    first_ms = events[0].physical_ms
    width = max(len(event.process) for event in events)
    yield f"first event {_format_wall_clock(first_ms)}"
    for event in events:
        elapsed = f"+{_format_duration(event.physical_ms - first_ms)}".rjust(10)
        subject = _format_subject(event, with_job=False)
        yield _format_event(elapsed, event, width, subject)
    yield from _format_phase_bar(job_phases(events))


def job_phases(events: Sequence[timeline_events.TimelineEvent]) -> list[Phase]:
    """Returns the phases of a job.

    Args:
        events: Its events, oldest first.

    Returns:
        The phases in order; events of single tasks are ignored.
    """
    boundaries = [
        event
        for event in events
        if event.kind in _PHASE_BY_FIRST_EVENT or event.kind is _Kind.JOB_ENDED
    ]
    return [
        Phase(
            name=_PHASE_BY_FIRST_EVENT[start.kind],
            duration_ms=end.physical_ms - start.physical_ms,
        )
        for start, end in itertools.pairwise(boundaries)
        if start.kind in _PHASE_BY_FIRST_EVENT
    ]


def _format_phase_bar(ordered_phases: Sequence[Phase]) -> Iterator[str]:
    total_ms = sum(phase.duration_ms for phase in ordered_phases)
    if not ordered_phases:
        return
    yield "  ".join(
        f"{_PHASE_MARKS[phase.name]} {phase.name} "
        f"{_format_duration(phase.duration_ms)}"
        for phase in ordered_phases
    )
    widths = [
        max(
            1,
            round(BAR_WIDTH_CHARACTERS * phase.duration_ms / max(1, total_ms)),
        )
        for phase in ordered_phases
    ]
    marks = (
        _PHASE_MARKS[phase.name] * width
        for phase, width in zip(ordered_phases, widths, strict=True)
    )
    yield f"|{'|'.join(marks)}|"


def _format_event(
    time_text: str,
    event: timeline_events.TimelineEvent,
    width: int,
    subject: str,
) -> str:
    process = event.process.ljust(width)
    return f"{time_text}  {process}  {event.kind.value:<23} {subject}".rstrip()


def _format_subject(
    event: timeline_events.TimelineEvent, *, with_job: bool
) -> str:
    """Returns the job, target and other details of an event as text."""
    attempt = event.attempt.rpartition("#")[2]
    labeled_texts = (
        ("job", event.job if with_job else ""),
        ("attempt", attempt),
        ("request", event.request),
        ("account", event.account if with_job else ""),
        ("on", event.target),
        ("in", event.failure_domain if not event.job else ""),
        ("version", str(event.version or "")),
        ("count", str(event.count or "")),
        ("result", _code_name(event.code)),
        ("", event.detail),
    )
    return "  ".join(
        f"{label} {text}".strip() for label, text in labeled_texts if text
    )


def _code_name(code: int) -> str:
    if not code:
        return ""
    try:
        return codes.ResultCode(code).name
    except ValueError:
        return str(code)


def _format_wall_clock(epoch_ms: int) -> str:
    seconds, ms = divmod(epoch_ms, _MS_PER_S)
    try:
        time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (OverflowError, OSError, ValueError):
        return f"{epoch_ms} ms"
    return f"{time:%Y-%m-%d %H:%M:%S}.{ms:03}Z"


def _format_duration(duration_ms: int) -> str:
    if duration_ms < _MS_PER_S:
        return f"{duration_ms} ms"
    seconds = duration_ms / _MS_PER_S
    if seconds < _S_PER_MINUTE:
        return f"{seconds:.2f} s"
    minutes, remaining_s = divmod(round(seconds), _S_PER_MINUTE)
    return f"{minutes} min {remaining_s:02} s"
