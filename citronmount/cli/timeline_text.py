"""Draws time lines as text."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime
import itertools

import msgspec

from citronmount.core import codes
from citronmount.telemetry import timeline_events

__all__ = ["Phase", "draw_job", "draw_list", "merged", "phases"]

BAR_WIDTH = 60

_Kind = timeline_events.EventKind
_PHASE_STARTS = {
    _Kind.JOB_ACCEPTED: "queued",
    _Kind.JOB_PLACED: "starting",
    _Kind.JOB_STARTED: "running",
    _Kind.JOB_EVICTING: "stopping",
}
_PHASE_MARKS = {"queued": ".", "starting": "+", "running": "#", "stopping": "-"}
_MS_PER_S = 1_000
_S_PER_MINUTE = 60


class Phase(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a job's life.

    Attributes:
        name: What the job did.
        duration_ms: How long, by the clocks of the VMs.
    """

    name: str
    duration_ms: int


def merged(
    parts: Iterable[Sequence[timeline_events.TimelineEvent]],
) -> list[timeline_events.TimelineEvent]:
    """Merges the parts of several processes by hybrid logical time.

    Args:
        parts: The events of each process.

    Returns:
        Every distinct event, oldest first.
    """
    distinct = set(itertools.chain.from_iterable(parts))
    return sorted(distinct, key=lambda e: (e.physical_ms, e.logical, e.process))


def draw_list(listed: Sequence[timeline_events.TimelineEvent]) -> Iterator[str]:
    """Yields one line an event with its wall-clock time.

    Args:
        listed: Events, oldest first.

    Yields:
        The lines.
    """
    width = max((len(event.process) for event in listed), default=0)
    for event in listed:
        when = _wall_clock(event.physical_ms)
        subject = _subject(event, with_job=True)
        yield _line(when, event, width, subject)


def draw_job(
    job: str, listed: Sequence[timeline_events.TimelineEvent]
) -> Iterator[str]:
    """Yields the life of one job.

    Args:
        job: The job.
        listed: Its events, oldest first.

    Yields:
        A title, one line an event with the time since the first, and a bar
        of the phases.
    """
    account = next((e.account for e in listed if e.account), "")
    yield f"job {job}  account {account or 'unknown'}"
    if not listed:
        yield "no events; ask more VMs, or it is older than their memory"
        return
    first_ms = listed[0].physical_ms
    width = max(len(event.process) for event in listed)
    yield f"first event {_wall_clock(first_ms)}"
    for event in listed:
        since = f"+{_duration(event.physical_ms - first_ms)}".rjust(10)
        subject = _subject(event, with_job=False)
        yield _line(since, event, width, subject)
    yield from _bar(phases(listed))


def phases(listed: Sequence[timeline_events.TimelineEvent]) -> list[Phase]:
    """Returns the phases of a job's life.

    Args:
        listed: Its events, oldest first.

    Returns:
        The phases in order; events of tasks are passed over.
    """
    bounds = [
        event
        for event in listed
        if event.kind in _PHASE_STARTS or event.kind is _Kind.JOB_ENDED
    ]
    return [
        Phase(
            name=_PHASE_STARTS[begin.kind],
            duration_ms=end.physical_ms - begin.physical_ms,
        )
        for begin, end in itertools.pairwise(bounds)
        if begin.kind in _PHASE_STARTS
    ]


def _bar(parts: Sequence[Phase]) -> Iterator[str]:
    total_ms = sum(part.duration_ms for part in parts)
    if not parts:
        return
    yield "  ".join(
        f"{_PHASE_MARKS[p.name]} {p.name} {_duration(p.duration_ms)}"
        for p in parts
    )
    widths = [
        max(1, round(BAR_WIDTH * part.duration_ms / max(1, total_ms)))
        for part in parts
    ]
    marks = (
        _PHASE_MARKS[part.name] * width
        for part, width in zip(parts, widths, strict=True)
    )
    yield f"|{'|'.join(marks)}|"


def _line(
    when: str, event: timeline_events.TimelineEvent, width: int, subject: str
) -> str:
    process = event.process.ljust(width)
    return f"{when}  {process}  {event.kind.value:<23} {subject}".rstrip()


def _subject(event: timeline_events.TimelineEvent, *, with_job: bool) -> str:
    """Returns what an event is about."""
    attempt = event.attempt.rpartition("#")[2]
    named = (
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
    return "  ".join(f"{label} {text}".strip() for label, text in named if text)


def _code_name(number: int) -> str:
    if not number:
        return ""
    try:
        return codes.ResultCode(number).name
    except ValueError:
        return str(number)


def _wall_clock(epoch_ms: int) -> str:
    seconds, ms = divmod(epoch_ms, _MS_PER_S)
    try:
        moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (OverflowError, OSError, ValueError):
        return f"{epoch_ms} ms"
    return f"{moment:%Y-%m-%d %H:%M:%S}.{ms:03}Z"


def _duration(duration_ms: int) -> str:
    if duration_ms < _MS_PER_S:
        return f"{duration_ms} ms"
    seconds = duration_ms / _MS_PER_S
    if seconds < _S_PER_MINUTE:
        return f"{seconds:.2f} s"
    minutes, rest = divmod(round(seconds), _S_PER_MINUTE)
    return f"{minutes} min {rest:02} s"
