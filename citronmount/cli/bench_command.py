"""The command that runs a bench on virtual time."""

import importlib

import click
from click import shell_completion

from citronmount.cli import output
from citronmount.cli import progress

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


def _registry() -> object:
    """Loads the benches, which no other command needs."""
    importlib.import_module("citronmount.bench.suite").load()
    return importlib.import_module("citronmount.bench.registry")


@click.command()
@click.argument("name", type=_Benches())
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    help="Compare only these policies; repeat it for several.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON value.")
@output.reports_errors
def bench(
    name: str, seed: int, policies: tuple[str, ...], as_json: bool
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
    report_lib = importlib.import_module("citronmount.bench.report")
    if as_json:
        click.echo(report_lib.encode(report))
        return
    for policy, metrics in report.metrics.items():
        click.echo(policy)
        for work, times in metrics.completion_time_s.items():
            click.echo(
                f"  completion {work}: {times.count} ended, "
                f"p50 {times.p50} s, p99 {times.p99} s"
            )
        click.echo(f"  fragmentation {metrics.fragmentation}")
        click.echo(f"  work done ratio {metrics.work_done_ratio}")
    for bar in report.bars:
        mark = "met" if bar.met else "missed"
        click.echo(
            f"{mark}: {bar.name}, {bar.policy}: {bar.measured} "
            f"against {bar.bound}"
        )
