"""Reports of benches; equal reports are encoded to equal bytes."""

from collections.abc import Iterable
import math

import msgspec

__all__ = [
    "Bar",
    "BenchReport",
    "Percentiles",
    "PolicyMetrics",
    "at_least",
    "as_text",
    "at_most",
    "encode",
    "percentile",
    "percentiles",
    "rounded",
]

SIGNIFICANT_DIGITS = 6


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of a distribution of times in seconds.

    Attributes:
        count: Number of samples.
        mean: Mean.
        p50: Median.
        p90: 90th percentile.
        p99: 99th percentile.
        max: Largest sample.
    """

    count: int
    mean: float
    p50: float
    p90: float
    p99: float
    max: float


class PolicyMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one policy on a workload.

    Attributes:
        completion_time_s: From arrival to the end, by class of work. Work
            that has not ended counts with its time up to the horizon.
        wait_s: From arrival to the first start, by class of work.
        fragmentation: Share of the free accelerators that the shapes of the
            queued jobs could not use, weighted by their demand; None if the
            workload uses no accelerators.
        work_done_ratio: Useful work as a share of the most that the capacity
            in service allowed: accelerator time of jobs, or requests done
            over requests sent; None if the bench does not measure it.
        counts: Numbers of events by name.
        ratios: Further ratios by name.
    """

    completion_time_s: dict[str, Percentiles]
    wait_s: dict[str, Percentiles]
    fragmentation: float | None = None
    work_done_ratio: float | None = None
    counts: dict[str, int] = {}
    ratios: dict[str, float] = {}


class Bar(msgspec.Struct, frozen=True, kw_only=True):
    """A bound on a metric and the measured value.

    Attributes:
        name: Name of the bounded metric.
        policy: The measured policy.
        measured: The measured value.
        bound: Largest or smallest value that meets the bar.
        met: Whether the value meets the bar.
    """

    name: str
    policy: str
    measured: float
    bound: float
    met: bool


class BenchReport(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one bench.

    Attributes:
        bench: Name of the bench.
        seed: Seed of the workload.
        metrics: Results by policy or variant.
        bars: Bounds of the bench with the measured values.
    """

    bench: str
    seed: int
    metrics: dict[str, PolicyMetrics]
    bars: tuple[Bar, ...] = ()


def rounded(value: float) -> float:
    """Rounds a value to the precision of reports.

    Args:
        value: Any value.

    Returns:
        The value to six significant digits.

    Example:
        >>> rounded(0.12345678)
        0.123457
    """
    if value == 0 or not math.isfinite(value):
        return value
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


def percentile(ranked: list[float], share: float) -> float:
    """Returns a nearest-rank percentile.

    Args:
        ranked: Samples in ascending order.
        share: The percentile, as a number between 0 and 1.

    Returns:
        The sample at that rank, or 0 without samples.
    """
    if not ranked:
        return 0.0
    return ranked[max(0, math.ceil(share * len(ranked)) - 1)]


def percentiles(samples: Iterable[float]) -> Percentiles:
    """Summarizes the distribution of samples.

    Args:
        samples: Times in seconds.

    Returns:
        The summary.
    """
    ranked = sorted(samples)
    mean = math.fsum(ranked) / len(ranked) if ranked else 0.0
    return Percentiles(
        count=len(ranked),
        mean=rounded(mean),
        p50=rounded(percentile(ranked, 0.5)),
        p90=rounded(percentile(ranked, 0.9)),
        p99=rounded(percentile(ranked, 0.99)),
        max=rounded(percentile(ranked, 1.0)),
    )


def at_most(name: str, policy: str, measured: float, bound: float) -> Bar:
    """Returns a bar that a value meets if it does not exceed the bound.

    Args:
        name: Name of the bounded metric.
        policy: The measured policy.
        measured: The measured value.
        bound: Largest value that meets the bar.

    Returns:
        The bar.
    """
    return Bar(
        name=name,
        policy=policy,
        measured=rounded(measured),
        bound=rounded(bound),
        met=measured <= bound,
    )


def at_least(name: str, policy: str, measured: float, bound: float) -> Bar:
    """Returns a bar that a value meets if it reaches the bound.

    Args:
        name: Name of the bounded metric.
        policy: The measured policy.
        measured: The measured value.
        bound: Smallest value that meets the bar.

    Returns:
        The bar.
    """
    return Bar(
        name=name,
        policy=policy,
        measured=rounded(measured),
        bound=rounded(bound),
        met=measured >= bound,
    )


def encode(report: msgspec.Struct) -> bytes:
    """Encodes a report as one JSON object.

    Args:
        report: A report of any type.

    Returns:
        JSON with sorted keys.
    """
    return msgspec.json.encode(report, order="sorted")


def as_text(report: BenchReport) -> str:
    """Formats a report as text.

    Args:
        report: A report.

    Returns:
        Lines with the times of each policy and the bars.
    """
    lines = [f"{report.bench}, seed {report.seed}"]
    for policy, metrics in sorted(report.metrics.items()):
        lines.append(
            f"{policy}: fragmentation {metrics.fragmentation}, "
            f"work done {metrics.work_done_ratio}"
        )
        lines.extend(
            f"  {kind}: wait p50 {wait.p50} s, p99 {wait.p99} s; "
            f"completion p99 {metrics.completion_time_s[kind].p99} s"
            for kind, wait in sorted(metrics.wait_s.items())
        )
    lines.extend(
        f"{'met' if bar.met else 'MISSED'}: {bar.name} {bar.measured} "
        f"against {bar.bound}"
        for bar in report.bars
    )
    return "\n".join(lines)
