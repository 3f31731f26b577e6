"""Keeps the newest events of a VM's time line in bounded memory."""

import collections
from collections.abc import Iterator
import itertools

import msgspec

from citronmount.telemetry import timeline_events

__all__ = ["TimelineExcerpt", "TimelineFilter", "TimelineStore"]


class TimelineFilter(msgspec.Struct, frozen=True, kw_only=True):
    """Which events to return; empty fields match all.

    Attributes:
        job: Only events of this job.
        account: Only events of this client account.
        target: Only events of this target.
        limit: The most events to return, newest first.
    """

    job: str = ""
    account: str = ""
    target: str = ""
    limit: int = 1_000

    def matches(self, event: timeline_events.TimelineEvent) -> bool:
        """Returns whether an event passes.

        Args:
            event: The event.

        Returns:
            Whether every field that is set equals the event's.
        """
        return (
            self.job in ("", event.job)
            and self.account in ("", event.account)
            and self.target in ("", event.target)
        )


class TimelineExcerpt(msgspec.Struct, frozen=True, kw_only=True):
    """What a search brought.

    Attributes:
        events: The events, oldest first.
        dropped: How many older events the store has let go.
    """

    events: tuple[timeline_events.TimelineEvent, ...]
    dropped: int


class TimelineStore:
    """The newest events of one VM, oldest dropped first."""

    def __init__(self, *, max_events: int) -> None:
        """Initializes an empty store.

        Args:
            max_events: How many events are kept.
        """
        self._events: collections.deque[timeline_events.TimelineEvent] = (
            collections.deque(maxlen=max_events)
        )
        self._added = 0

    def add(self, event: timeline_events.TimelineEvent) -> None:
        """Keeps an event and drops the oldest one if the store is full.

        Args:
            event: The event.
        """
        self._events.append(event)
        self._added += 1

    def find(self, wanted: TimelineFilter) -> TimelineExcerpt:
        """Returns the newest events that pass a filter.

        Args:
            wanted: The filter.

        Returns:
            The events and how many were dropped before.
        """
        newest = itertools.islice(self._newest(wanted), wanted.limit)
        found = tuple(newest)[::-1]
        return TimelineExcerpt(
            events=found, dropped=self._added - len(self._events)
        )

    def _newest(
        self, wanted: TimelineFilter
    ) -> Iterator[timeline_events.TimelineEvent]:
        return filter(wanted.matches, reversed(self._events))
