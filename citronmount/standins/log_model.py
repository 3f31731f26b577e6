"""In-memory stand-in for the platform's log service."""

import collections
import itertools

import msgspec

from citronmount.clients import messages
from citronmount.core import ids

__all__ = ["LogModel"]

_DAY_MS = 24 * 60 * 60 * 1_000


class _Entry(msgspec.Struct, frozen=True, kw_only=True):
    """A record and the time at which it was appended."""

    appended_ms: int
    record: messages.LogRecord


class LogModel:
    """Streams of records with a retention time.

    Offsets in a stream are consecutive. Appends are not deduplicated by record
    id: a retried append stores its records twice.
    """

    def __init__(
        self, *, retention_ms: int = _DAY_MS, keep_history: bool = False
    ) -> None:
        """Initializes an empty log.

        Args:
            retention_ms: Time after its append until a record expires.
            keep_history: Whether `history` also keeps expired records.
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
        """Appends records to a stream.

        Args:
            stream: The stream, which is created by its first append.
            records: Pairs of record id and encoded record.
            now_ms: Current time of the service.

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
        """Reads a page of a stream.

        Args:
            stream: The stream.
            start: First offset to read; if it has expired, the page starts at
                the oldest retained record.
            limit: Maximum number of records to return.
            now_ms: Current time of the service.

        Returns:
            Retained records in offset order.
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
        """Returns every record appended, including expired ones.

        It is empty unless the log was created with `keep_history`.

        Args:
            stream: The stream.

        Returns:
            Pairs of append time in ms and record.
        """
        return [(e.appended_ms, e.record) for e in self._history[stream]]
