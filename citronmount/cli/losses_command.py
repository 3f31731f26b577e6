"""The command that shows how much worth scored days lost to each cause."""

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
@output.handle_errors
def losses(entries: tuple[pathlib.Path, ...], as_json: bool) -> None:
    """Show, by cause, the worth lost by scored days in journal ENTRIES."""
    journals = {path.stem: day_journal.read(path) for path in entries}
    value = {
        name: [_make_day_body(day) for day in days]
        for name, (_, days) in journals.items()
    }
    lines = [
        line
        for name, (site, days) in journals.items()
        for line in (f"{site} ({name})", *score_losses.markdown_table(days))
    ]
    output.print_lines(value, lines, as_json=as_json)


def _make_day_body(day: score_losses.ScoredDay) -> dict[str, object]:
    lost = {
        cause.value: share
        for cause, share in score_losses.losses_by_cause(day).items()
    }
    return {"kind": day.kind, "worth": day.worth, "lost": lost}
