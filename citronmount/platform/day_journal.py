"""Reads scored days from the journal of the users' benchmark."""

import pathlib

import msgspec

from citronmount.bench import score_losses

__all__ = ["read"]

_CAUSES = {
    "machine-seconds": score_losses.LossCause.VMS,
    "memory, GB x seconds": score_losses.LossCause.MEMORY,
    "processor seconds": score_losses.LossCause.CALLS,
    "GB between zones": score_losses.LossCause.CALLS,
    "probes and requests without id": score_losses.LossCause.CALLS,
    "new connections to servers": score_losses.LossCause.CALLS,
    "cloud calls": score_losses.LossCause.CALLS,
    "GB at the platform's store": score_losses.LossCause.CALLS,
    "core-seconds of work thrown away": score_losses.LossCause.RERUNS,
    "worth refused with servers free": score_losses.LossCause.REFUSED,
    "worth given up late, untried": score_losses.LossCause.REFUSED,
    "worth refused again": score_losses.LossCause.REFUSED,
}


class _JournalDay(msgspec.Struct, frozen=True, kw_only=True):
    # Worth: (credit earned - prices) / credit owed.
    worth: float = msgspec.field(name="G")
    slot: str
    parts: list[tuple[str, float, float]]  # Name, weight, share earned
    prices: list[tuple[str, float, float]]  # Name, unused number, worth


class _JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    site: str = ""
    days: list[_JournalDay] = []


def read(path: pathlib.Path) -> tuple[str, list[score_losses.ScoredDay]]:
    """Returns the site's name and its scored days from an entry's JSON file."""
    entry = msgspec.json.decode(path.read_bytes(), type=_JournalEntry)
    return entry.site, [_to_day(day) for day in entry.days]


def _to_day(day: _JournalDay) -> score_losses.ScoredDay:
    return score_losses.ScoredDay(
        worth=day.worth,
        kind=day.slot,
        parts=[(weight, share) for _, weight, share in day.parts],
        prices=[
            (_CAUSES.get(name, score_losses.LossCause.OTHER), worth)
            for name, _, worth in day.prices
        ],
    )
