"""Plots the metrics of a report; requires the optional extra `plots`."""

import itertools
import pathlib

import msgspec

from citronmount.bench import report
from citronmount.core import codes
from citronmount.core import errors

__all__ = ["plot"]

FIGURE_INCHES = (11.0, 4.5)
DOTS_PER_INCH = 120


def plot(report_file: pathlib.Path, image_file: pathlib.Path) -> None:
    """Draws the waits, completion times and ratios of each policy.

    Args:
        report_file: File with a report as printed with ``--json``.
        image_file: The PNG file to write.

    Raises:
        InvalidInputError: If the file holds no report or matplotlib is not
            installed.
    """
    try:
        result = msgspec.json.decode(
            report_file.read_bytes(), type=report.BenchReport
        )
    except (OSError, msgspec.DecodeError) as error:
        raise _invalid(f"{report_file}: {error}") from error
    try:
        import matplotlib.figure
    except ImportError as error:
        raise _invalid("install the extra: citronmount[plots]") from error
    figure = matplotlib.figure.Figure(
        figsize=FIGURE_INCHES, layout="constrained"
    )
    waits, completions, ratios = figure.subplots(1, 3)
    figure.suptitle(f"{result.bench}, seed {result.seed}")
    _draw_bars(waits, "p99 wait, s", _p99(result, "wait_s"), logarithmic=True)
    _draw_bars(
        completions,
        "p99 completion, s",
        _p99(result, "completion_time_s"),
        logarithmic=True,
    )
    _draw_bars(ratios, "ratios", _ratios(result), logarithmic=False)
    figure.savefig(image_file, dpi=DOTS_PER_INCH, format="png")


def _invalid(message: str) -> errors.InvalidInputError:
    return errors.InvalidInputError(
        message, code=codes.ResultCode.INVALID_REQUEST
    )


def _p99(result: report.BenchReport, field: str) -> dict[str, dict[str, float]]:
    return {
        policy: {
            kind: summary.p99
            for kind, summary in sorted(getattr(metrics, field).items())
        }
        for policy, metrics in sorted(result.metrics.items())
    }


def _ratios(result: report.BenchReport) -> dict[str, dict[str, float]]:
    return {
        policy: {
            name: value
            for name, value in (
                ("fragmentation", metrics.fragmentation),
                ("work done", metrics.work_done_ratio),
            )
            if value is not None
        }
        for policy, metrics in sorted(result.metrics.items())
    }


def _draw_bars(
    axes: object,
    title: str,
    values: dict[str, dict[str, float]],
    *,
    logarithmic: bool,
) -> None:
    groups = sorted(set(itertools.chain.from_iterable(values.values())))
    width = 0.8 / max(1, len(values))
    for number, (policy, heights) in enumerate(values.items()):
        positions = [slot + number * width for slot in range(len(groups))]
        axes.bar(
            positions,
            [heights.get(group, 0.0) for group in groups],
            width,
            label=policy,
        )
    axes.set_xticks(range(len(groups)), groups, rotation=60, fontsize=7)
    axes.set_title(title, fontsize=9)
    axes.legend(fontsize=6)
    if logarithmic:
        axes.set_yscale("log")
