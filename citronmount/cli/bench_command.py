"""The command that runs a bench in virtual time."""

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


class _BenchName(click.ParamType):
    """Parameter type: the name of a registered bench."""

    name = "NAME"

    def shell_complete(
        self, ctx: click.Context, param: click.Parameter, incomplete: str
    ) -> list[shell_completion.CompletionItem]:
        """Returns the names of benches that start with the typed text."""
        return [
            shell_completion.CompletionItem(name)
            for name in _load_registry().names()
            if name.startswith(incomplete)
        ]


def _import_module(name: str) -> types.ModuleType:
    """Imports a module of citronmount when it is needed.

    Other commands and completions start faster without the bench modules.
    """
    return importlib.import_module(f"citronmount.{name}")


def _load_registry() -> types.ModuleType:
    _import_module("bench.suite").load_benches()
    return _import_module("bench.registry")


@click.command()
@click.argument("name", type=_BenchName())
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    help="Run only this policy; repeat for several. Default: all policies.",
)
@click.option(
    "--plot",
    "plot_path",
    type=click.Path(dir_okay=False, writable=True),
    help="Also write a plot; its extension, such as .svg, selects the format.",
)
@options.json_option
@output.handle_errors
def bench(
    name: str,
    seed: int,
    policies: tuple[str, ...],
    plot_path: str | None,
    as_json: bool,
) -> None:
    """Run the bench NAME with each policy in virtual time."""
    registry = _load_registry()
    unknown = set(policies) - set(registry.POLICIES)
    if unknown:
        known = ", ".join(registry.POLICIES)
        raise click.UsageError(f"unknown policy; expected one of {known}")
    with progress.status_line() as show_status:
        show_status(f"running {name}, seed {seed}")
        report = registry.get(name)(seed, policies or registry.POLICIES)
    if plot_path is not None:
        _import_module("cli.bench_plot").write(report, plot_path)
    if as_json:
        click.echo(_import_module("bench.report").encode(report))
        return
    for line in _format_report(report):
        click.echo(line)


def _format_report(report: "report_lib.BenchReport") -> Iterator[str]:
    """Yields the lines of a report as text."""
    for policy, metrics in report.metrics.items():
        yield policy
        for work_class, percentiles in metrics.completion_time_s.items():
            yield (
                f"  completion {work_class}: {percentiles.count} samples, "
                f"p50 {percentiles.p50} s, p99 {percentiles.p99} s"
            )
        if metrics.fragmentation is not None:
            yield f"  fragmentation {metrics.fragmentation}"
        if metrics.work_done_ratio is not None:
            yield f"  work done ratio {metrics.work_done_ratio}"
    for bar in report.bars:
        outcome = "met" if bar.met else "missed"
        yield (
            f"{outcome}: {bar.name}, {bar.policy}: {bar.measured} "
            f"against {bar.bound}"
        )
