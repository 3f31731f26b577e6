"""An in-memory stand-in of the platform's log service."""

import collections
import itertools

import msgspec

from citronmount.clients import messages
from citronmount.core import ids

__all__ = ["LogModel"]

_DAY_MS = 24 * 60 * 60 * 1_000


class _Entry(msgspec.Struct, frozen=True, kw_only=True):
    """A record with the time of its append."""

    appended_ms: int
    record: messages.LogRecord


class LogModel:
    """Streams of records that are kept for a limited time.

    Offsets rise by one in each stream. Record ids are not compared: an append
    that is retried stands in the stream twice.
    """

    def __init__(
        self, *, retention_ms: int = _DAY_MS, keep_history: bool = False
    ) -> None:
        """Initializes an empty log.

        Args:
            retention_ms: How long a record can be read.
            keep_history: Whether `history` returns what was ever appended.
        """
        self.retention_ms = retention_ms
        self.keep_history = keep_history
        self._streams: dict[ids.StreamName, collections.deque[_Entry]] = (
            collections.defaultdict(collections.deque)
        )
        self._end_offsets: dict[ids.StreamName, int] = collections.defaultdict(
            int
        )
        self._history: dict[ids.StreamName, list[_Entry]] = (
            collections.defaultdict(list)
        )

    def append(
        self,
        stream: ids.StreamName,
        records: tuple[tuple[ids.RecordId, bytes], ...],
        now_ms: int,
    ) -> ids.Offset:
        """Appends records at the end of a stream.

        Args:
            stream: The stream; it is made by its first append.
            records: Pairs of record id and encoded record.
            now_ms: Time of the service.

        Returns:
            The offset of the first record.
        """
        first = self._end_offsets[stream]
        entries = [
            _Entry(
                appended_ms=now_ms,
                record=messages.LogRecord(
                    offset=ids.Offset(offset), record=name, data=data
                ),
            )
            for offset, (name, data) in enumerate(records, start=first)
        ]
        self._streams[stream].extend(entries)
        if self.keep_history:
            self._history[stream].extend(entries)
        self._end_offsets[stream] = first + len(records)
        return ids.Offset(first)

    def read(
        self, stream: ids.StreamName, start: ids.Offset, limit: int, now_ms: int
    ) -> messages.LogPage:
        """Reads a stream.

        Args:
            stream: The stream.
            start: The first offset wanted; older ones may be gone.
            limit: The most records to return.
            now_ms: Time of the service.

        Returns:
            The records that are still kept, in order.
        """
        entries = self._streams[stream]
        while entries and entries[0].appended_ms + self.retention_ms <= now_ms:
            entries.popleft()
        end = self._end_offsets[stream]
        oldest = entries[0].record.offset if entries else end
        skipped = max(0, start - oldest)
        wanted = itertools.islice(entries, skipped, skipped + limit)
        return messages.LogPage(
            records=tuple(entry.record for entry in wanted),
            oldest=ids.Offset(oldest),
            end=ids.Offset(end),
        )

    def history(
        self, stream: ids.StreamName
    ) -> list[tuple[int, messages.LogRecord]]:
        """Returns all records ever appended, for checks.

        Args:
            stream: The stream.

        Returns:
            Pairs of the time of the append and the record.
        """
        return [(e.appended_ms, e.record) for e in self._history[stream]]
