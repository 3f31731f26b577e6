"""The command that explains jobs from the VMs' log lines."""

import collections
from collections.abc import Iterable
import typing

import click

from citronmount.cli import options
from citronmount.cli import output
from citronmount.telemetry import job_history

__all__ = ["explain"]

_SHOWN = (
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
@click.option("--job", default="", help="Tell all about this job.")
@click.option("--priority", type=int, help="Only jobs of this priority.")
@options.json_option
@output.reports_errors
def explain(
    logs: tuple[typing.TextIO, ...],
    job: str,
    priority: int | None,
    as_json: bool,
) -> None:
    """Tell from the log lines of VMs why jobs were late.

    LOGS are files with the lines of any VMs; - is standard input. Without
    --job, count the late jobs by what they lost most of their time on.
    """
    found = job_history.job_histories(line for log in logs for line in log)
    if job:
        if job not in found:
            raise click.BadParameter(f"no line names the job {job}")
        _tell(found[job], as_json)
        return
    late = [
        story
        for story in job_history.late_jobs(found)
        if priority is None or story.priority == priority
    ]
    _count(late, as_json)


def _tell(story: job_history.JobHistory, as_json: bool) -> None:
    lines = [dict(line.fields) for line in story.lines]
    spent = {p.value: round(ms) for p, ms in story.phase_durations_ms().items()}
    value = {"job": story.job, "lines": lines, "spent_ms": spent}
    first_s = story.lines[0].time_s
    text = [
        f"{line.time_s - first_s:8.3f} s  {line.event}  {_facts(line)}"
        for line in story.lines
    ]
    text += [f"{ms:8d} ms  {phase}" for phase, ms in spent.items()]
    output.emit_lines(value, text, as_json=as_json)


def _facts(line: job_history.LogLine) -> str:
    known = ((name, line.fields.get(name)) for name in _SHOWN)
    return " ".join(f"{name}={value}" for name, value in known if value)


def _count(late: Iterable[job_history.JobHistory], as_json: bool) -> None:
    groups: dict[str, list[job_history.JobHistory]] = collections.defaultdict(
        list
    )
    for story in late:
        phase = story.longest_delay()
        groups[phase.value if phase else "unknown"].append(story)
    value = {name: [s.job for s in each] for name, each in groups.items()}
    text = [
        f"{len(each):4d}  {name}  {_causes(each)}\n      {_some(each)}"
        for name, each in sorted(groups.items(), key=lambda x: -len(x[1]))
    ]
    output.emit_lines(value, text or ["no late job"], as_json=as_json)


def _causes(found: Iterable[job_history.JobHistory]) -> str:
    counts: collections.Counter[str] = collections.Counter()
    for story in found:
        counts.update(set(story.count_failure_causes()))
    return ", ".join(f"{cause} {n}" for cause, n in counts.most_common())


def _some(found: list[job_history.JobHistory]) -> str:
    return " ".join(story.job for story in found[:4])
