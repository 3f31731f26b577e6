"""Tells from journal entries of scored days how much worth is lost to what.

python -m citronmount.platform.day_losses journal/ID.json ...
"""

import collections
from collections.abc import Iterable
import pathlib
import statistics
import sys

import click
import msgspec

__all__ = ["Day", "losses", "table"]

# What the bench names a price, and the cause that it is counted under.
_CAUSES = {
    "machine-seconds": "VMs in use",
    "memory, GB x seconds": "memory",
    "processor seconds": "calls and processor",
    "GB between zones": "calls and processor",
    "probes and requests without id": "calls and processor",
    "new connections to servers": "calls and processor",
    "cloud calls": "calls and processor",
    "GB at the platform's store": "calls and processor",
    "core-seconds of work thrown away": "rerun work",
    "worth refused with servers free": "refused",
    "worth given up late, untried": "refused",
    "worth refused again": "refused",
}
_OTHER = "other prices"
_LATE = "late or unserved jobs"


class Day(msgspec.Struct, frozen=True, kw_only=True):
    """One played day as the journal holds it.

    Attributes:
        worth: Credit earned less prices over credit owed.
        slot: quiet, trouble or scale.
        parts: Name, weight and share earned of each part of the credit.
        prices: Name, amount and worth of each price.
    """

    worth: float = msgspec.field(name="G")
    slot: str
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]


class _Entry(msgspec.Struct, frozen=True, kw_only=True):
    site: str = ""
    days: list[Day] = []


def losses(day: Day) -> dict[str, float]:
    """Returns what a day lost to each cause.

    Args:
        day: The day.

    Returns:
        Shares of the credit owed; with the worth they add up to 1.
    """
    weights = sum(weight for _, weight, _ in day.parts)
    lost: collections.Counter[str] = collections.Counter()
    lost[_LATE] = sum(
        weight / weights * (1 - share) for _, weight, share in day.parts
    )
    for name, _, worth in day.prices:
        lost[_CAUSES.get(name, _OTHER)] += worth
    return dict(lost)


def table(days: Iterable[Day]) -> list[str]:
    """Returns a Markdown table of the mean losses of each kind of day.

    Args:
        days: Days of one site.

    Returns:
        Lines.
    """
    by_slot: dict[str, list[Day]] = collections.defaultdict(list)
    for day in days:
        by_slot[day.slot].append(day)
    columns = [_LATE, *dict.fromkeys(_CAUSES.values()), _OTHER]
    lines = [
        f"| kind | days | worth | {' | '.join(columns)} |",
        "|---" * (len(columns) + 3) + "|",
    ]
    for slot, some in by_slot.items():
        each = [losses(day) for day in some]
        means = [
            statistics.mean(lost.get(column, 0.0) for lost in each)
            for column in columns
        ]
        worth = statistics.mean(day.worth for day in some)
        cells = " | ".join(f"{mean:.3f}" for mean in means)
        lines.append(f"| {slot} | {len(some)} | {worth:.3f} | {cells} |")
    return lines


def main(paths: list[str]) -> None:
    """Prints the table of each entry."""
    for path in paths:
        data = pathlib.Path(path).read_bytes()
        entry = msgspec.json.decode(data, type=_Entry)
        click.echo(f"{entry.site} ({pathlib.Path(path).stem})")
        click.echo("\n".join(table(entry.days)))


if __name__ == "__main__":
    main(sys.argv[1:])
