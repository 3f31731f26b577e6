"""Reads from the VMs' log lines what became of jobs, and where time went."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import enum
import json

import msgspec

__all__ = [
    "JobHistory",
    "LogLine",
    "Phase",
    "job_histories",
    "late_jobs",
    "parse",
]

_SUBMISSION = "job_submitted"
_PLACED = "unit_placed"
_STARTED = "run_started"
_ENDING = "run_ending"
_ENDED = "run_ended"
_FINISHED = "job_finished"
_ACCEPTED = "done"
_MS_PER_S = 1_000


class Phase(enum.Enum):
    """What a job spends its time on, in the order in which it happens."""

    INTAKE = "refused before it was accepted"
    UNDECIDED = "accepted, but no owner decided on it"
    EARLIER = "earlier steps"
    WAITING = "waiting for room"
    REPEATING = "runs that came to nothing"
    STARTING = "from the decision to all tasks at work"
    WORKING = "the last run at work"
    RECORDING = "from the last end to the final state"


_WORK = (Phase.EARLIER, Phase.WORKING)


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a VM's log.

    Attributes:
        time_s: Unix time.
        event: Its event.
        fields: All its fields.
    """

    time_s: float
    event: str
    fields: Mapping[str, object]

    @property
    def job(self) -> str | None:
        """The job that it is about, or None."""
        for name in ("job", "unit", "task"):
            value = self.fields.get(name)
            if isinstance(value, str):
                return value.partition(".")[0]
        return None


class JobHistory(msgspec.Struct, kw_only=True):
    """The lines about one job and what they say.

    Attributes:
        job: The job.
        lines: All lines about it, by time.
    """

    job: str
    lines: list[LogLine] = []

    @property
    def finish(self) -> LogLine | None:
        """The line with its final state, if there is one."""
        return next((x for x in self.lines if x.event == _FINISHED), None)

    @property
    def priority(self) -> int | None:
        """Its priority, or None if nothing of it was placed."""
        placed = [x for x in self.lines if x.event == _PLACED]
        return int(placed[0].fields["priority"]) if placed else None

    def phase_durations_ms(self) -> dict[Phase, float]:
        """Returns the time spent in each phase, in milliseconds.

        Of a job of several units the one that ended last counts.
        """
        accepted_s = self._accepted_s()
        finish = self.finish
        if accepted_s is None or finish is None:
            return {}
        marks = {Phase.INTAKE: accepted_s - self.lines[0].time_s}
        unit = self._last_unit()
        of_unit = [x for x in self.lines if _is_of(x, unit)]
        placed = [x for x in of_unit if x.event == _PLACED]
        started = _starts_of_last_run(of_unit)
        ended = [x for x in of_unit if x.event == _ENDED]
        if placed and started and ended:
            waited_s = sum(_waited_s(line) for line in placed)
            ready_s = placed[0].time_s - _waited_s(placed[0])
            before_s = placed[-1].time_s - ready_s
            before = Phase.UNDECIDED if _is_first(unit) else Phase.EARLIER
            marks[before] = max(ready_s - accepted_s, 0.0)
            marks[Phase.WAITING] = waited_s
            marks[Phase.REPEATING] = max(before_s - waited_s, 0.0)
            begun_s = max(started[0].time_s, placed[-1].time_s)
            marks[Phase.STARTING] = begun_s - placed[-1].time_s
            marks[Phase.WORKING] = ended[-1].time_s - begun_s
            marks[Phase.RECORDING] = finish.time_s - ended[-1].time_s
        return {phase: s * _MS_PER_S for phase, s in marks.items()}

    def longest_delay(self) -> Phase | None:
        """Returns the phase in which most time was lost, or None."""
        lost = {
            p: ms
            for p, ms in self.phase_durations_ms().items()
            if p not in _WORK
        }
        return max(lost, key=lost.__getitem__, default=None)

    def count_failure_causes(self) -> collections.Counter[str]:
        """Counts why runs of the job came to nothing."""
        return collections.Counter(
            str(line.fields.get("cause"))
            for line in self.lines
            if line.event == _ENDING
        )

    def _accepted_s(self) -> float | None:
        accepted = [
            line.time_s
            for line in self.lines
            if line.event == _SUBMISSION
            and line.fields.get("verdict") == _ACCEPTED
        ]
        return min(accepted, default=None)

    def _last_unit(self) -> str:
        ended = [x for x in self.lines if x.event == _ENDED]
        if not ended:
            return ""
        task = str(ended[-1].fields["task"])
        units = {str(x.fields.get("unit")) for x in self.lines}
        return task if task in units else task.rpartition(".")[0]


def parse(text: str) -> LogLine | None:
    """Reads one line; what comes before the first brace is skipped.

    Args:
        text: The line.

    Returns:
        The line, or None if it is no log line of a VM.
    """
    try:
        fields = json.loads(text[text.index("{") :])
        stamp = datetime.datetime.fromisoformat(fields["timestamp"])
        event = fields["event"]
    except (ValueError, KeyError, TypeError):
        return None
    return LogLine(time_s=stamp.timestamp(), event=event, fields=fields)


def job_histories(texts: Iterable[str]) -> dict[str, JobHistory]:
    """Groups log lines by job.

    Args:
        texts: Lines of any VMs, in any order.

    Returns:
        A story for each job that is named.
    """
    found: dict[str, JobHistory] = {}
    for line in filter(None, map(parse, texts)):
        job = line.job
        if job is not None:
            found.setdefault(job, JobHistory(job=job, lines=[])).lines.append(
                line
            )
    for story in found.values():
        story.lines.sort(key=lambda line: line.time_s)
    return found


def late_jobs(found: Mapping[str, JobHistory]) -> list[JobHistory]:
    """Returns the jobs that lost more time than their objective allows.

    The objective is a multiple of the work and a margin. What the work takes
    beyond its estimate is not lost.

    Args:
        found: Stories by job.

    Returns:
        The stories, the one that lost most first.
    """
    late = [
        (excess_ms, story)
        for story in found.values()
        if (excess_ms := _excess_ms(story)) > 0
    ]
    late.sort(key=lambda pair: pair[0], reverse=True)
    return [story for _, story in late]


def _excess_ms(story: JobHistory) -> float:
    """Returns the time lost beyond the slack of the objective.

    Lines of an older version do not tell the slack; their objective counts.
    """
    spent = story.phase_durations_ms()
    if Phase.WORKING not in spent or story.finish is None:
        return 0.0
    fields = story.finish.fields
    if "slack_factor" not in fields or "margin_ms" not in fields:
        return float(fields["age_ms"]) - float(fields["objective_ms"])
    work_ms = sum(spent.get(phase, 0.0) for phase in _WORK)
    slack_ms = (float(fields["slack_factor"]) - 1) * work_ms
    slack_ms += float(fields["margin_ms"])
    return sum(spent.values()) - work_ms - slack_ms


def _is_first(unit: str) -> bool:
    """Returns whether a unit belongs to the first step of its job."""
    return unit.split(".")[2:3] == ["0"]


def _starts_of_last_run(lines: list[LogLine]) -> list[LogLine]:
    """Returns the lines on the start of the newest run of a unit.

    A new owner tells again that a run is at work, so the first one counts.
    """
    starts = [line for line in lines if line.event == _STARTED]
    runs = [line.fields.get("run", 0) for line in starts]
    return [x for x in starts if x.fields.get("run", 0) == max(runs)]


def _waited_s(line: LogLine) -> float:
    return float(line.fields.get("waited_ms", 0)) / _MS_PER_S


def _is_of(line: LogLine, unit: str) -> bool:
    name = str(line.fields.get("unit") or line.fields.get("task") or "")
    return name == unit or name.rpartition(".")[0] == unit
