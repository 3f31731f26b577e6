"""The command that explains why jobs were late, from the logs of VMs."""

import collections
from collections.abc import Iterable
import typing

import click

from citronmount.cli import options
from citronmount.cli import output
from citronmount.telemetry import job_history

__all__ = ["explain"]

_SHOWN_FIELDS = (
    "verdict",
    "run",
    "workers",
    "waited_ms",
    "victims",
    "took_ms",
    "cause",
    "task",
    "worker",
    "kind",
    "state",
    "age_ms",
    "objective_ms",
)


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
@click.option(
    "--job", default="", help="Show the log lines and phases of this job."
)
@click.option("--priority", type=int, help="Only jobs of this priority.")
@options.json_option
@output.handle_errors
def explain(
    logs: tuple[typing.TextIO, ...],
    job: str,
    priority: int | None,
    as_json: bool,
) -> None:
    """Explain why jobs were late, from the log lines of VMs.

    LOGS are log files of any number of VMs; - is standard input. Without
    --job, count the late jobs by the phase that delayed them most.
    """
    histories = job_history.job_histories(line for log in logs for line in log)
    if job:
        if job not in histories:
            raise click.BadParameter(f"no line names the job {job}")
        _print_history(histories[job], as_json)
        return
    late_histories = [
        history
        for history in job_history.late_jobs(histories)
        if priority is None or history.priority == priority
    ]
    _print_delay_counts(late_histories, as_json)


def _print_history(history: job_history.JobHistory, as_json: bool) -> None:
    lines = [dict(line.fields) for line in history.lines]
    durations_ms = {
        phase.value: round(duration_ms)
        for phase, duration_ms in history.phase_durations_ms().items()
    }
    value = {"job": history.job, "lines": lines, "spent_ms": durations_ms}
    first_s = history.lines[0].time_s
    text = [
        f"{line.time_s - first_s:8.3f} s  {line.event}  {_format_fields(line)}"
        for line in history.lines
    ]
    text += [
        f"{duration_ms:8d} ms  {phase}"
        for phase, duration_ms in durations_ms.items()
    ]
    output.print_lines(value, text, as_json=as_json)


def _format_fields(line: job_history.LogLine) -> str:
    known_fields = ((name, line.fields.get(name)) for name in _SHOWN_FIELDS)
    return " ".join(f"{name}={value}" for name, value in known_fields if value)


def _print_delay_counts(
    late_histories: Iterable[job_history.JobHistory], as_json: bool
) -> None:
    histories_by_phase: dict[str, list[job_history.JobHistory]] = (
        collections.defaultdict(list)
    )
    for history in late_histories:
        phase = history.longest_delay()
        histories_by_phase[phase.value if phase else "unknown"].append(history)
    value = {
        phase_name: [history.job for history in delayed]
        for phase_name, delayed in histories_by_phase.items()
    }
    text = [
        f"{len(delayed):4d}  {phase_name}  {_format_causes(delayed)}\n"
        f"      {_format_job_ids(delayed)}"
        for phase_name, delayed in sorted(
            histories_by_phase.items(), key=lambda group: -len(group[1])
        )
    ]
    output.print_lines(value, text or ["no late jobs"], as_json=as_json)


def _format_causes(histories: Iterable[job_history.JobHistory]) -> str:
    """Returns each cause of failures with the number of jobs that had it."""
    counts: collections.Counter[str] = collections.Counter()
    for history in histories:
        counts.update(set(history.count_failure_causes()))
    return ", ".join(
        f"{cause} {count}" for cause, count in counts.most_common()
    )


def _format_job_ids(histories: list[job_history.JobHistory]) -> str:
    """Returns the ids of the first four jobs."""
    return " ".join(history.job for history in histories[:4])
