"""The command that tells what scored days lose to what."""

import pathlib

import click

from citronmount.bench import score_losses
from citronmount.cli import options
from citronmount.cli import output
from citronmount.platform import day_journal

__all__ = ["losses"]


@click.command()
@click.argument(
    "entries",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
)
@options.json_option
@output.reports_errors
def losses(entries: tuple[pathlib.Path, ...], as_json: bool) -> None:
    """Tell from journal ENTRIES what the scored days lost their worth to."""
    found = {path.stem: day_journal.read(path) for path in entries}
    value = {
        name: [_told(day) for day in days] for name, (_, days) in found.items()
    }
    lines = [
        line
        for name, (site, days) in found.items()
        for line in (f"{site} ({name})", *score_losses.markdown_table(days))
    ]
    output.emit_lines(value, lines, as_json=as_json)


def _told(day: score_losses.ScoredDay) -> dict[str, object]:
    lost = {
        c.value: share for c, share in score_losses.losses_by_cause(day).items()
    }
    return {"kind": day.kind, "worth": day.worth, "lost": lost}
