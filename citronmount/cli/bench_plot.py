"""Plots the report of a bench, one panel a measure and one bar a policy."""

from collections.abc import Callable
import importlib
import itertools
import math
import os
import typing

from citronmount.bench import report as report_lib
from citronmount.core import codes
from citronmount.core import errors

__all__ = ["panels", "write"]

COLUMNS = 2
PANEL_WIDTH_IN = 5.0
PANEL_HEIGHT_IN = 2.4
TIME_UNIT = "(s)"
LOG_SPREAD = 20

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
        f"{work}: completion {name} {TIME_UNIT}": _values(
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
    rows = max(1, math.ceil(len(drawn) / COLUMNS))
    size = (PANEL_WIDTH_IN * COLUMNS, PANEL_HEIGHT_IN * rows)
    figure = figure_lib.Figure(figsize=size, layout="constrained")
    figure.suptitle(f"{report.bench}, seed {report.seed}")
    axes = figure.subplots(rows, COLUMNS, squeeze=False).flat
    for axis, panel in itertools.zip_longest(axes, drawn.items()):
        if panel is None:
            axis.set_visible(False)
        else:
            _draw(axis, *panel)
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise errors.InvalidInputError(
            f"{path}: {error}", code=codes.ResultCode.INVALID_REQUEST
        ) from error


def _draw(axis: typing.Any, title: str, values: dict[str, float]) -> None:
    """Draws one panel, widely spread times on a logarithmic scale."""
    axis.barh(list(values), list(values.values()))
    axis.invert_yaxis()
    axis.set_title(title, fontsize="medium")
    low, high = min(values.values()), max(values.values())
    if title.endswith(TIME_UNIT) and 0 < low * LOG_SPREAD < high:
        axis.set_xscale("log")


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
