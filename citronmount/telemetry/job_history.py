"""Reconstructs job histories from log lines and finds where time was lost."""

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
    "parse_line",
]

_JOB_SUBMITTED = "job_submitted"
_UNIT_PLACED = "unit_placed"
_RUN_STARTED = "run_started"
_RUN_ENDING = "run_ending"
_RUN_ENDED = "run_ended"
_JOB_FINISHED = "job_finished"
_VERDICT_ACCEPTED = "done"
_MS_PER_S = 1_000


class Phase(enum.Enum):
    """The phases that a job's time is attributed to, in chronological order."""

    SUBMISSION = "refused before it was accepted"
    AWAITING_OWNER = "accepted, but no owner decided on it"
    EARLIER_STEPS = "earlier steps"
    AWAITING_CAPACITY = "waiting for room"
    INCOMPLETE_RUNS = "runs that came to nothing"
    STARTING = "from the decision to all tasks at work"
    LAST_RUN = "the last run at work"
    COMPLETION = "from the last end to the final state"


_PRODUCTIVE = (Phase.EARLIER_STEPS, Phase.LAST_RUN)


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a VM's log.

    Attributes:
        time_s: Unix time in s.
        event: The name of the event.
        fields: All fields of the line, including the event and timestamp.
    """

    time_s: float
    event: str
    fields: Mapping[str, object]

    @property
    def job(self) -> str | None:
        """The job that the line names, directly or by unit or task, or None.

        Ids of units and tasks start with the id of the job and a dot.
        """
        for name in ("job", "unit", "task"):
            value = self.fields.get(name)
            if isinstance(value, str):
                return value.partition(".")[0]
        return None


class JobHistory(msgspec.Struct, kw_only=True):
    """The log lines about one job, and figures derived from them.

    Attributes:
        job: The job.
        lines: All lines about the job, in chronological order.
    """

    job: str
    lines: list[LogLine] = []

    @property
    def final_state_line(self) -> LogLine | None:
        """The line with the final state of the job, or None."""
        return next(
            (line for line in self.lines if line.event == _JOB_FINISHED), None
        )

    @property
    def priority(self) -> int | None:
        """The priority of the job, or None if none of its units was placed."""
        placed = [line for line in self.lines if line.event == _UNIT_PLACED]
        return int(placed[0].fields["priority"]) if placed else None

    def phase_durations_ms(self) -> dict[Phase, float]:
        """Returns the time that the job spent in each phase, in ms.

        Phases after the submission are measured on the unit that ended last.

        Returns:
            Durations by phase. Empty if there is no line about the acceptance
            or the end of the job; only the submission if lines about the unit
            are missing.
        """
        accepted_s = self._accepted_s()
        final_state_line = self.final_state_line
        if accepted_s is None or final_state_line is None:
            return {}
        spent_s = {Phase.SUBMISSION: accepted_s - self.lines[0].time_s}
        unit = self._last_unit()
        unit_lines = [line for line in self.lines if _is_about(line, unit)]
        placed = [line for line in unit_lines if line.event == _UNIT_PLACED]
        started = _starts_of_last_run(unit_lines)
        ended = [line for line in unit_lines if line.event == _RUN_ENDED]
        if placed and started and ended:
            waited_s = sum(_waited_s(placement) for placement in placed)
            ready_s = placed[0].time_s - _waited_s(placed[0])
            ready_to_last_placed_s = placed[-1].time_s - ready_s
            phase_until_ready = (
                Phase.AWAITING_OWNER
                if _is_in_first_step(unit)
                else Phase.EARLIER_STEPS
            )
            spent_s[phase_until_ready] = max(ready_s - accepted_s, 0.0)
            spent_s[Phase.AWAITING_CAPACITY] = waited_s
            spent_s[Phase.INCOMPLETE_RUNS] = max(
                ready_to_last_placed_s - waited_s, 0.0
            )
            running_since_s = max(started[0].time_s, placed[-1].time_s)
            spent_s[Phase.STARTING] = running_since_s - placed[-1].time_s
            spent_s[Phase.LAST_RUN] = ended[-1].time_s - running_since_s
            spent_s[Phase.COMPLETION] = (
                final_state_line.time_s - ended[-1].time_s
            )
        return {phase: s * _MS_PER_S for phase, s in spent_s.items()}

    def longest_delay(self) -> Phase | None:
        """Returns the phase in which most time was lost.

        Time spent in earlier steps and in the last run is not lost.

        Returns:
            The phase, or None if no durations are known.
        """
        lost_ms = {
            phase: ms
            for phase, ms in self.phase_durations_ms().items()
            if phase not in _PRODUCTIVE
        }
        return max(lost_ms, key=lost_ms.__getitem__, default=None)

    def count_failure_causes(self) -> collections.Counter[str]:
        """Counts the runs that an owner ended, by cause."""
        return collections.Counter(
            str(line.fields.get("cause"))
            for line in self.lines
            if line.event == _RUN_ENDING
        )

    def _accepted_s(self) -> float | None:
        accepted = [
            line.time_s
            for line in self.lines
            if line.event == _JOB_SUBMITTED
            and line.fields.get("verdict") == _VERDICT_ACCEPTED
        ]
        return min(accepted, default=None)

    def _last_unit(self) -> str:
        """Returns the unit whose run ended last, or an empty string.

        Each line about the end of a run names a task. The task of a single-task
        unit has the id of the unit; tasks of a gang append an index to it.
        """
        ended = [line for line in self.lines if line.event == _RUN_ENDED]
        if not ended:
            return ""
        task = str(ended[-1].fields["task"])
        units = {str(line.fields.get("unit")) for line in self.lines}
        return task if task in units else task.rpartition(".")[0]


def parse_line(text: str) -> LogLine | None:
    """Parses one line; any text before the first brace is ignored.

    Args:
        text: The line, for example with a prefix of the log collector.

    Returns:
        The parsed line, or None if it is not a log line of a VM.
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
        texts: Lines of the logs of any VMs, in any order.

    Returns:
        The histories by job, for every job that a line names.
    """
    histories: dict[str, JobHistory] = {}
    for line in filter(None, map(parse_line, texts)):
        job = line.job
        if job is not None:
            histories.setdefault(
                job, JobHistory(job=job, lines=[])
            ).lines.append(line)
    for history in histories.values():
        history.lines.sort(key=lambda line: line.time_s)
    return histories


def late_jobs(histories: Mapping[str, JobHistory]) -> list[JobHistory]:
    """Returns the jobs that lost more time than their objective allows.

    The objective is a multiple of the duration of the work plus a margin. Work
    that takes longer than estimated does not count as lost time.

    Args:
        histories: The histories by job.

    Returns:
        The histories of the late jobs, the one with the greatest excess
        first.
    """
    late = [
        (excess_ms, history)
        for history in histories.values()
        if (excess_ms := _excess_ms(history)) > 0
    ]
    late.sort(key=lambda pair: pair[0], reverse=True)
    return [history for _, history in late]


def _excess_ms(history: JobHistory) -> float:
    """Returns the time lost beyond the slack of the objective, in ms.

    Lines of an older version lack the slack; the excess is then the job's age
    at its end minus its objective.
    """
    spent_ms = history.phase_durations_ms()
    if Phase.LAST_RUN not in spent_ms or history.final_state_line is None:
        return 0.0
    fields = history.final_state_line.fields
    if "slack_factor" not in fields or "margin_ms" not in fields:
        return float(fields["age_ms"]) - float(fields["objective_ms"])
    work_ms = sum(spent_ms.get(phase, 0.0) for phase in _PRODUCTIVE)
    slack_ms = (float(fields["slack_factor"]) - 1) * work_ms
    slack_ms += float(fields["margin_ms"])
    return sum(spent_ms.values()) - work_ms - slack_ms


def _is_in_first_step(unit: str) -> bool:
    """Returns whether a unit belongs to the first step of its job.

    Unit ids are ``JOB.OCCURRENCE.STEP`` or ``JOB.OCCURRENCE.STEP.INDEX``.
    """
    return unit.split(".")[2:3] == ["0"]


def _starts_of_last_run(lines: list[LogLine]) -> list[LogLine]:
    """Returns the lines about the start of the newest run of a unit.

    A new owner logs the start of a run that is in progress again, so there can
    be several lines; the first one has the actual start time.
    """
    starts = [line for line in lines if line.event == _RUN_STARTED]
    runs = [line.fields.get("run", 0) for line in starts]
    return [
        start for start in starts if start.fields.get("run", 0) == max(runs)
    ]


def _waited_s(line: LogLine) -> float:
    return float(line.fields.get("waited_ms", 0)) / _MS_PER_S


def _is_about(line: LogLine, unit: str) -> bool:
    """Returns whether a line names a unit or one of its tasks."""
    name = str(line.fields.get("unit") or line.fields.get("task") or "")
    return name == unit or name.rpartition(".")[0] == unit
