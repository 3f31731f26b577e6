"""Typed reports of benches, encoded to the same bytes for the same seed."""

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
    """A distribution of times in seconds.

    Attributes:
        count: How many samples there are.
        mean: Their mean.
        p50: Their median.
        p90: The 90th percentile.
        p99: The 99th percentile.
        max: The largest sample.
    """

    count: int
    mean: float
    p50: float
    p90: float
    p99: float
    max: float


class PolicyMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """What one policy made of a workload.

    Attributes:
        completion_time_s: From arrival to the end, by class of work. Work
            that has not ended counts with its time up to the horizon.
        wait_s: From arrival to the first start, by class of work.
        fragmentation: Share of the free accelerators that the shapes of the
            queued jobs could not use, weighted by their demand; None if no
            accelerators are at stake.
        work_done_ratio: Useful accelerator time over the most that the
            capacity in service allowed; None if no accelerators are at stake.
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
    """A stated target and what was measured against it.

    Attributes:
        name: What is bounded.
        policy: The policy measured.
        measured: The figure.
        bound: The target.
        met: Whether the figure keeps the target.
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
        metrics: One entry for each policy.
        bars: The targets that the bench is held against.
    """

    bench: str
    seed: int
    metrics: dict[str, PolicyMetrics]
    bars: tuple[Bar, ...] = ()


def rounded(value: float) -> float:
    """Returns a figure at the precision of reports.

    Args:
        value: Any figure.

    Returns:
        The figure to six significant digits.

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
        ranked: Samples in rising order.
        share: The percentile between 0 and 1.

    Returns:
        The sample at that rank, or 0 without samples.
    """
    if not ranked:
        return 0.0
    return ranked[max(0, math.ceil(share * len(ranked)) - 1)]


def percentiles(samples: Iterable[float]) -> Percentiles:
    """Summarizes samples.

    Args:
        samples: Times in seconds.

    Returns:
        Their distribution.
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
    """Returns a bar that a figure must not exceed.

    Args:
        name: What is bounded.
        policy: The policy measured.
        measured: The figure.
        bound: The target.

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
    """Returns a bar that a figure must reach.

    Args:
        name: What is bounded.
        policy: The policy measured.
        measured: The figure.
        bound: The target.

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
        report: A report.

    Returns:
        JSON bytes with sorted keys.
    """
    return msgspec.json.encode(report, order="sorted")


def as_text(report: BenchReport) -> str:
    """Formats a report for a person.

    Args:
        report: A report.

    Returns:
        Lines with the waits of each policy and the bars.
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
