"""Plots a bench report: one panel per metric, one bar per policy."""

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

PANELS_PER_ROW = 2
PANEL_WIDTH_IN = 5.0
PANEL_HEIGHT_IN = 2.4
TIME_UNIT = "(s)"
LOG_SCALE_MIN_RATIO = 20

Panels = dict[str, dict[str, float]]


def panels(report: report_lib.BenchReport) -> Panels:
    """Returns the values to plot.

    Args:
        report: The report of one bench.

    Returns:
        For each panel title, the value of each policy. Policies without a
        value for a metric are left out, as are panels without values.
    """
    work_classes = sorted(
        set(
            itertools.chain.from_iterable(
                metrics.completion_time_s for metrics in report.metrics.values()
            )
        )
    )
    values_by_title = {
        f"{work_class}: completion {percentile} {TIME_UNIT}": _values_by_policy(
            report,
            lambda metrics, work_class=work_class, percentile=percentile: (
                _percentile(metrics, work_class, percentile)
            ),
        )
        for work_class in work_classes
        for percentile in ("p50", "p99")
    }
    values_by_title["fragmentation"] = _values_by_policy(
        report, lambda metrics: metrics.fragmentation
    )
    values_by_title["work done ratio"] = _values_by_policy(
        report, lambda metrics: metrics.work_done_ratio
    )
    return {
        title: values for title, values in values_by_title.items() if values
    }


def write(report: report_lib.BenchReport, path: str | os.PathLike[str]) -> None:
    """Writes the plot of a report.

    Args:
        report: The report of one bench.
        path: The file; its extension selects the format.

    Raises:
        errors.InvalidInputError: If matplotlib is not installed, or the file
            cannot be written or its format is unknown.
    """
    try:
        figure_module = importlib.import_module("matplotlib.figure")
    except ImportError as error:
        raise errors.InvalidInputError(
            "plots require matplotlib: install citronmount[plots]",
            code=codes.ResultCode.INVALID_REQUEST,
        ) from error
    panels_by_title = panels(report)
    rows = max(1, math.ceil(len(panels_by_title) / PANELS_PER_ROW))
    size = (PANEL_WIDTH_IN * PANELS_PER_ROW, PANEL_HEIGHT_IN * rows)
    figure = figure_module.Figure(figsize=size, layout="constrained")
    figure.suptitle(f"{report.bench}, seed {report.seed}")
    axes = figure.subplots(rows, PANELS_PER_ROW, squeeze=False).flat
    for axis, panel in itertools.zip_longest(axes, panels_by_title.items()):
        if panel is None:
            axis.set_visible(False)
        else:
            _draw_panel(axis, *panel)
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise errors.InvalidInputError(
            f"{path}: {error}", code=codes.ResultCode.INVALID_REQUEST
        ) from error


def _draw_panel(axis: typing.Any, title: str, values: dict[str, float]) -> None:
    """Draws one panel.

    Times get a logarithmic scale if the largest exceeds `LOG_SCALE_MIN_RATIO`
    times the smallest.
    """
    axis.barh(list(values), list(values.values()))
    axis.invert_yaxis()
    axis.set_title(title, fontsize="medium")
    smallest, largest = min(values.values()), max(values.values())
    if (
        title.endswith(TIME_UNIT)
        and 0 < smallest * LOG_SCALE_MIN_RATIO < largest
    ):
        axis.set_xscale("log")


def _values_by_policy(
    report: report_lib.BenchReport,
    get_value: Callable[[report_lib.PolicyMetrics], float | None],
) -> dict[str, float]:
    values = {
        policy: get_value(metrics) for policy, metrics in report.metrics.items()
    }
    return {
        policy: value for policy, value in values.items() if value is not None
    }


def _percentile(
    metrics: report_lib.PolicyMetrics,
    work_class: str,
    percentile: typing.Literal["p50", "p99"],
) -> float | None:
    percentiles = metrics.completion_time_s.get(work_class)
    return None if percentiles is None else getattr(percentiles, percentile)
