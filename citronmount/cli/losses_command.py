"""The command that tells what scored days lose to what."""

import pathlib

import click

from citronmount.bench import day_losses
from citronmount.platform import day_journal

__all__ = ["losses"]


@click.command()
@click.argument(
    "entries",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
)
def losses(entries: tuple[pathlib.Path, ...]) -> None:
    """Tell from journal ENTRIES what the scored days lost their worth to."""
    for path in entries:
        site, days = day_journal.read(path)
        click.echo(f"{site} ({path.stem})")
        click.echo("\n".join(day_losses.table(days)))
