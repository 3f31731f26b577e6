"""Stores the newest timeline events of a VM in bounded memory."""

import collections
from collections.abc import Iterator
import itertools

import msgspec

from citronmount.telemetry import timeline_events

__all__ = ["TimelineExcerpt", "TimelineFilter", "TimelineStore"]


class TimelineFilter(msgspec.Struct, frozen=True, kw_only=True):
    """Selects timeline events; empty fields match every event.

    Attributes:
        job: Only events of this job.
        account: Only events of this client account.
        target: Only events of this target.
        limit: Maximum number of events to return; the newest are chosen.
    """

    job: str = ""
    account: str = ""
    target: str = ""
    limit: int = 1_000

    def matches(self, event: timeline_events.TimelineEvent) -> bool:
        """Returns whether all non-empty fields equal those of an event.

        Args:
            event: The event to compare with; `limit` is not considered.
        """
        return (
            self.job in ("", event.job)
            and self.account in ("", event.account)
            and self.target in ("", event.target)
        )


class TimelineExcerpt(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a search in a timeline store.

    Attributes:
        events: The matching events, oldest first.
        dropped: Number of older events that the store has discarded since it
            was created, whether they match or not.
    """

    events: tuple[timeline_events.TimelineEvent, ...]
    dropped: int


class TimelineStore:
    """A bounded store of timeline events that discards the oldest first."""

    def __init__(self, *, max_events: int) -> None:
        """Initializes an empty store.

        Args:
            max_events: Maximum number of events in the store.
        """
        self._events: collections.deque[timeline_events.TimelineEvent] = (
            collections.deque(maxlen=max_events)
        )
        self._added = 0

    def add(self, event: timeline_events.TimelineEvent) -> None:
        """Adds an event and discards the oldest one if the store is full.

        Args:
            event: The newest event.
        """
        self._events.append(event)
        self._added += 1

    def find(self, event_filter: TimelineFilter) -> TimelineExcerpt:
        """Returns the newest events that match a filter.

        Args:
            event_filter: Selects the events and limits their number.

        Returns:
            The events and the number of discarded events.
        """
        newest = itertools.islice(
            self._newest_first(event_filter), event_filter.limit
        )
        found = tuple(newest)[::-1]
        return TimelineExcerpt(
            events=found, dropped=self._added - len(self._events)
        )

    def _newest_first(
        self, event_filter: TimelineFilter
    ) -> Iterator[timeline_events.TimelineEvent]:
        return filter(event_filter.matches, reversed(self._events))
