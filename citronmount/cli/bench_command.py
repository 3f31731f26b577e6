"""The command that runs a bench on virtual time."""

from collections.abc import Iterator
import importlib
import types
import typing

import click
from click import shell_completion

from citronmount.cli import options
from citronmount.cli import output
from citronmount.cli import progress

if typing.TYPE_CHECKING:
    from citronmount.bench import report as report_lib

__all__ = ["bench"]


class _Benches(click.ParamType):
    """The name of a registered bench."""

    name = "NAME"

    def shell_complete(
        self, ctx: click.Context, param: click.Parameter, incomplete: str
    ) -> list[shell_completion.CompletionItem]:
        """Completes the name."""
        return [
            shell_completion.CompletionItem(name)
            for name in _registry().names()
            if name.startswith(incomplete)
        ]


def _module(name: str) -> types.ModuleType:
    """Imports a module that no other command needs."""
    return importlib.import_module(f"citronmount.{name}")


def _registry() -> types.ModuleType:
    _module("bench.suite").load()
    return _module("bench.registry")


@click.command()
@click.argument("name", type=_Benches())
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    help="Compare only these policies; repeat it for several.",
)
@click.option(
    "--plot",
    "plot_path",
    type=click.Path(dir_okay=False, writable=True),
    help="Also write a plot; the ending chooses the format, such as .svg.",
)
@options.json_option
@output.reports_errors
def bench(
    name: str,
    seed: int,
    policies: tuple[str, ...],
    plot_path: str | None,
    as_json: bool,
) -> None:
    """Run the bench NAME for each policy on virtual time."""
    registry = _registry()
    unknown = set(policies) - set(registry.POLICIES)
    if unknown:
        known = ", ".join(registry.POLICIES)
        raise click.UsageError(f"unknown policy; there are {known}")
    with progress.notes() as note:
        note(f"running {name}, seed {seed}")
        report = registry.get(name)(seed, policies or registry.POLICIES)
    if plot_path is not None:
        _module("cli.bench_plot").write(report, plot_path)
    if as_json:
        click.echo(_module("bench.report").encode(report))
        return
    for line in _lines(report):
        click.echo(line)


def _lines(report: "report_lib.BenchReport") -> Iterator[str]:
    """Yields a report as text for people."""
    for policy, metrics in report.metrics.items():
        yield policy
        for work, times in metrics.completion_time_s.items():
            yield (
                f"  completion {work}: {times.count} samples, "
                f"p50 {times.p50} s, p99 {times.p99} s"
            )
        if metrics.fragmentation is not None:
            yield f"  fragmentation {metrics.fragmentation}"
        if metrics.work_done_ratio is not None:
            yield f"  work done ratio {metrics.work_done_ratio}"
    for bar in report.bars:
        mark = "met" if bar.met else "missed"
        yield (
            f"{mark}: {bar.name}, {bar.policy}: {bar.measured} "
            f"against {bar.bound}"
        )
