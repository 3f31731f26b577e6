"""Runs benches and plots their reports from the command line."""

import pathlib
import sys

import click

from citronmount import bench
from citronmount.bench import plot
from citronmount.bench import registry
from citronmount.bench import report
from citronmount.bench import timings as timings_lib
from citronmount.core import errors

__all__ = ["main"]

PLOT_NAME = "plot"


@click.command(context_settings={"show_default": True})
@click.argument("name")
@click.argument("file", required=False, type=click.Path(path_type=pathlib.Path))
@click.option("--seed", default=1, help="Seed of the workload.")
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(registry.POLICIES),
    help="Only this policy; may be repeated.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--timings",
    is_flag=True,
    help="Print costs as ratios instead; differs from run to run.",
)
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path),
    default="bench.png",
    help="Where to write a plot.",
)
def main(
    name: str,
    file: pathlib.Path | None,
    seed: int,
    policies: tuple[str, ...],
    as_json: bool,
    timings: bool,
    out: pathlib.Path,
) -> None:
    """Runs the bench NAME on virtual time and prints its report.

    With the name "plot", draws the report in FILE instead.
    """
    try:
        if name == PLOT_NAME and file is not None:
            plot.plot(file, out)
            return
        if timings:
            click.echo(report.encode(timings_lib.measure(seed)))
            return
        result = bench.run(name, seed, policies or None)
    except errors.InvalidInputError as error:
        click.echo(f"{error.code.value}: {error}", err=True)
        sys.exit(2)
    if as_json:
        click.echo(report.encode(result))
    else:
        click.echo(report.as_text(result))


if __name__ == "__main__":
    main()
