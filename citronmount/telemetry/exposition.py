"""Renders metrics in the Prometheus text exposition format, version 0.0.4."""

from collections.abc import Iterator

from citronmount.telemetry import metrics_registry

__all__ = ["CONTENT_TYPE", "render"]

CONTENT_TYPE = "text/plain; version=0.0.4"

_PREFIX = "citronmount"
_PERCENT = 100


def render(snapshot: metrics_registry.MetricsSnapshot) -> str:
    """Renders all metrics as text for a scraper.

    Args:
        snapshot: The metrics to render.

    Returns:
        One line per sample, with its name, labels and value.
    """
    return "".join(f"{line}\n" for line in _lines(snapshot))


def _lines(snapshot: metrics_registry.MetricsSnapshot) -> Iterator[str]:
    for name, value in snapshot.counters.items():
        yield f'{_PREFIX}_count_total{{name="{_escaped(name)}"}} {value}'
    for name, value in snapshot.gauges.items():
        yield f'{_PREFIX}_gauge{{name="{_escaped(name)}"}} {value:g}'
    for summary in snapshot.histograms:
        yield from _histogram_lines(summary)


def _histogram_lines(
    summary: metrics_registry.HistogramSummary,
) -> Iterator[str]:
    labels = (
        f'event="{_escaped(summary.work_class)}"'
        f',stage="{_escaped(summary.stage)}"'
    )
    for percentile, value_ms in summary.percentiles_ms.items():
        quantile = float(percentile) / _PERCENT
        yield (
            f"{_PREFIX}_duration_ms"
            f'{{{labels},quantile="{quantile:g}"}} {value_ms:g}'
        )
    yield f"{_PREFIX}_duration_ms_count{{{labels}}} {summary.count}"
    total_ms = summary.mean_ms * summary.count
    yield f"{_PREFIX}_duration_ms_sum{{{labels}}} {total_ms:g}"


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")
