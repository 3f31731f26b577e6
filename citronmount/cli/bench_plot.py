"""Plots the report of a bench, one panel a measure and one bar a policy."""

from collections.abc import Callable
import importlib
import itertools
import os
import typing

from citronmount.bench import report as report_lib
from citronmount.core import codes
from citronmount.core import errors

__all__ = ["panels", "write"]

PANEL_WIDTH_IN = 3.2
PANEL_HEIGHT_IN = 3.0

Panels = dict[str, dict[str, float]]


def panels(report: report_lib.BenchReport) -> Panels:
    """Returns the figures that are plotted.

    Args:
        report: The report of one bench.

    Returns:
        The value of each policy, by the title of the panel. Measures that a
        policy does not have are left out.
    """
    works = sorted(
        set(
            itertools.chain.from_iterable(
                metrics.completion_time_s for metrics in report.metrics.values()
            )
        )
    )
    found = {
        f"{work}: completion {name} (s)": _values(
            report, lambda m, w=work, n=name: _percentile(m, w, n)
        )
        for work in works
        for name in ("p50", "p99")
    }
    found["fragmentation"] = _values(report, lambda m: m.fragmentation)
    found["work done ratio"] = _values(report, lambda m: m.work_done_ratio)
    return {title: values for title, values in found.items() if values}


def write(report: report_lib.BenchReport, path: str | os.PathLike[str]) -> None:
    """Writes the plot of a report.

    Args:
        report: The report of one bench.
        path: The file; its ending chooses the format.

    Raises:
        errors.InvalidInputError: If matplotlib is missing or the file cannot
            be written.
    """
    try:
        figure_lib = importlib.import_module("matplotlib.figure")
    except ImportError as error:
        raise errors.InvalidInputError(
            "plots need matplotlib: install citronmount[plots]",
            code=codes.ResultCode.INVALID_REQUEST,
        ) from error
    drawn = panels(report)
    size = (PANEL_WIDTH_IN * len(drawn), PANEL_HEIGHT_IN)
    figure = figure_lib.Figure(figsize=size, layout="constrained")
    figure.suptitle(f"{report.bench}, seed {report.seed}")
    axes = figure.subplots(1, len(drawn), squeeze=False)[0]
    for axis, (title, values) in zip(axes, drawn.items(), strict=True):
        axis.bar(list(values), list(values.values()))
        axis.set_title(title, fontsize="small")
        axis.tick_params(axis="x", labelrotation=30, labelsize="small")
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise errors.InvalidInputError(
            f"{path}: {error}", code=codes.ResultCode.INVALID_REQUEST
        ) from error


def _values(
    report: report_lib.BenchReport,
    measure: Callable[[report_lib.PolicyMetrics], float | None],
) -> dict[str, float]:
    measured = {
        policy: measure(metrics) for policy, metrics in report.metrics.items()
    }
    return {
        policy: value for policy, value in measured.items() if value is not None
    }


def _percentile(
    metrics: report_lib.PolicyMetrics,
    work: str,
    name: typing.Literal["p50", "p99"],
) -> float | None:
    times = metrics.completion_time_s.get(work)
    return None if times is None else getattr(times, name)
