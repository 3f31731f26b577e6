"""Breaks down by cause the score lost on days of the users' benchmark."""

import collections
from collections.abc import Iterable
import enum
import statistics

import msgspec

__all__ = ["LossCause", "ScoredDay", "losses_by_cause", "markdown_table"]


class LossCause(enum.Enum):
    """Cause of a loss of score."""

    LATE = "late or unserved jobs"
    VMS = "VMs in use"
    MEMORY = "memory"
    CALLS = "calls and processor"
    RERUNS = "rerun work"
    REFUSED = "refused"
    OTHER = "other prices"


class ScoredDay(msgspec.Struct, frozen=True, kw_only=True):
    """Score of one simulated day.

    Attributes:
        worth: The score: credit earned less prices, as a share of the credit
            owed.
        kind: The kind of day.
        parts: Weight and share earned of each part of the credit.
        prices: Cause of each price and the score that it costs.
    """

    worth: float
    kind: str
    parts: list[tuple[float, float]]
    prices: list[tuple[LossCause, float]]


def losses_by_cause(day: ScoredDay) -> dict[LossCause, float]:
    """Returns the score that a day lost to each cause.

    Args:
        day: The day.

    Returns:
        Shares of the credit owed; with the day's score they add up to 1.
    """
    weights = sum(weight for weight, _ in day.parts)
    lost: dict[LossCause, float] = collections.defaultdict(float)
    lost[LossCause.LATE] = sum(
        weight / weights * (1 - share) for weight, share in day.parts
    )
    for cause, price in day.prices:
        lost[cause] += price
    return dict(lost)


def markdown_table(days: Iterable[ScoredDay]) -> list[str]:
    """Returns a Markdown table of the mean losses of each kind of day.

    Args:
        days: Days of one site.

    Returns:
        The lines of the table.
    """
    by_kind: dict[str, list[ScoredDay]] = collections.defaultdict(list)
    for day in days:
        by_kind[day.kind].append(day)
    titles = [cause.value for cause in LossCause]
    lines = [
        f"| kind | days | worth | {' | '.join(titles)} |",
        "|---" * (len(titles) + 3) + "|",
    ]
    return lines + [_row(kind, group) for kind, group in by_kind.items()]


def _row(kind: str, days: list[ScoredDay]) -> str:
    day_losses = [losses_by_cause(day) for day in days]
    means = [
        statistics.mean(lost.get(cause, 0.0) for lost in day_losses)
        for cause in LossCause
    ]
    worth = statistics.mean(day.worth for day in days)
    cells = " | ".join(f"{mean:.3f}" for mean in means)
    return f"| {kind} | {len(days)} | {worth:.3f} | {cells} |"
