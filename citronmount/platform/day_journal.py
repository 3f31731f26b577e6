"""Reads scored days from the journal of the users' benchmark."""

import pathlib

import msgspec

from citronmount.bench import day_losses

__all__ = ["read"]

_CAUSES = {
    "machine-seconds": day_losses.Cause.VMS,
    "memory, GB x seconds": day_losses.Cause.MEMORY,
    "processor seconds": day_losses.Cause.CALLS,
    "GB between zones": day_losses.Cause.CALLS,
    "probes and requests without id": day_losses.Cause.CALLS,
    "new connections to servers": day_losses.Cause.CALLS,
    "cloud calls": day_losses.Cause.CALLS,
    "GB at the platform's store": day_losses.Cause.CALLS,
    "core-seconds of work thrown away": day_losses.Cause.RERUNS,
    "worth refused with servers free": day_losses.Cause.REFUSED,
    "worth given up late, untried": day_losses.Cause.REFUSED,
    "worth refused again": day_losses.Cause.REFUSED,
}


class _JournalDay(msgspec.Struct, frozen=True, kw_only=True):
    """A scored day.

    `parts` has rows of name, weight and share earned, `prices` rows of name, a
    number that is not used here, and worth.
    """

    # Worth: (credit earned - prices) / credit owed.
    worth: float = msgspec.field(name="G")
    slot: str
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]


class _JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    site: str = ""
    days: list[_JournalDay] = []


def read(path: pathlib.Path) -> tuple[str, list[day_losses.Day]]:
    """Reads the scored days of a journal entry.

    Args:
        path: JSON file of the entry.

    Returns:
        The site's name and its days.
    """
    entry = msgspec.json.decode(path.read_bytes(), type=_JournalEntry)
    return entry.site, [_to_day(day) for day in entry.days]


def _to_day(day: _JournalDay) -> day_losses.Day:
    return day_losses.Day(
        worth=day.worth,
        kind=day.slot,
        parts=[(weight, share) for _, weight, share in day.parts],
        prices=[
            (_CAUSES.get(name, day_losses.Cause.OTHER), worth)
            for name, _, worth in day.prices
        ],
    )
