"""Fold of the configuration stream into configuration versions."""

import collections
import enum

from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import ids
from citronmount.state import records

__all__ = ["ChangeOutcome", "ConfigurationFold"]

# Bounds memory and the size of snapshots, which list the accepted changes.
MAX_REMEMBERED_CHANGES = 256


class ChangeOutcome(enum.Enum):
    """Whether the fold accepted a change."""

    ACCEPTED = "accepted"
    STALE_BASE = "stale_base"


class ConfigurationFold:
    """The configuration that one process folds from the log.

    Every process folds the same records in the same order and so derives the
    same versions. A change is accepted if its base version equals the version
    folded up to its offset. Of two operators who publish concurrently on the
    same base, exactly one succeeds. A peer's configuration may be adopted
    instead of reading the log.

    Notes:
        This is optimistic concurrency control (Kung and Robinson, ACM TODS
        1981) whose validation happens at the offset of the write in the log.

    Attributes:
        current: The configuration in force.
        next_offset: The offset from which to read the stream next.
        trusted: Whether `current` is known to include every change before
            `next_offset`: the stream was read from offset 0, or a snapshot of
            the log or of a peer covered the records not read.
        last_snapshot: The offset of the last snapshot read from the log, -1
            before the first.
    """

    def __init__(self) -> None:
        """Initializes an empty fold that is not yet trusted."""
        self.current = configuration.Configuration()
        self.next_offset = ids.Offset(0)
        self.trusted = False
        self.last_snapshot = ids.Offset(-1)
        # The last changes, oldest first, by which duplicates are recognized.
        self._accepted: collections.OrderedDict[ids.RecordId, None] = (
            collections.OrderedDict()
        )
        self._rejections: collections.OrderedDict[
            ids.RecordId, ChangeOutcome
        ] = collections.OrderedDict()
        self._records_after_gap: list[tuple[ids.Offset, records.Record]] = []

    def outcome(self, record_id: ids.RecordId) -> ChangeOutcome | None:
        """Returns whether a change was accepted.

        Args:
            record_id: The record id of the change.

        Returns:
            The outcome, or None if the change has not been folded or its
            outcome was dropped: only the last `MAX_REMEMBERED_CHANGES`
            accepted and as many rejected changes are remembered.
        """
        if record_id in self._accepted:
            return ChangeOutcome.ACCEPTED
        return self._rejections.get(record_id)

    def fold_page(self, page: messages.LogPage) -> bool:
        """Folds one page of the configuration stream.

        Args:
            page: The page. Its records before `next_offset` are skipped. If
                `oldest` is after it, the records in between are lost to
                retention.

        Returns:
            Whether the version in force has changed.
        """
        old_version = self.current.version
        decoded = [
            (entry.offset, record)
            for entry in page.records
            if entry.offset >= self.next_offset
            and (record := records.decode(entry.data)) is not None
        ]
        if page.oldest > self.next_offset or self._records_after_gap:
            self._fold_after_gap(decoded)
        else:
            self._fold_in_order(decoded)
        if page.records:
            last_offset = page.records[-1].offset
            self.next_offset = max(
                self.next_offset, ids.Offset(last_offset + 1)
            )
        elif page.oldest > self.next_offset:
            self.next_offset = page.oldest
        if not self._records_after_gap and page.oldest == 0:
            self.trusted = True
        return self.current.version != old_version

    def adopt(self, snapshot: records.ConfigurationSnapshot) -> bool:
        """Adopts a peer's configuration if it is newer or the fold untrusted.

        Args:
            snapshot: Snapshot of the peer's fold.

        Returns:
            Whether the peer's version is newer than the one that was in force.
        """
        is_newer = snapshot.content.version > self.current.version
        if is_newer or not self.trusted:
            self._apply_snapshot(snapshot)
        self.trusted = True
        return is_newer

    def snapshot(
        self, record_id: ids.RecordId
    ) -> records.ConfigurationSnapshot:
        """Returns the folded configuration as a record.

        Args:
            record_id: The id of the new record.

        Returns:
            The snapshot, with the version, the last folded offset and the ids
            of the last accepted changes.
        """
        return records.ConfigurationSnapshot(
            record=record_id,
            as_of=ids.Offset(self.next_offset - 1),
            content=self.current,
            recent=tuple(self._accepted),
        )

    def _fold_in_order(
        self, decoded: list[tuple[ids.Offset, records.Record]]
    ) -> None:
        for offset, record in decoded:
            if isinstance(record, records.ConfigurationChange):
                self._fold_change(record)
            elif isinstance(record, records.ConfigurationSnapshot):
                self.last_snapshot = offset

    def _fold_change(self, change: records.ConfigurationChange) -> None:
        if change.record in self._accepted or change.record in self._rejections:
            return
        if change.base_version != self.current.version:
            self._add_rejection(change.record, ChangeOutcome.STALE_BASE)
            return
        content = change.content
        self.current = configuration.Configuration(
            version=ids.Version(self.current.version + 1),
            failure_domains=content.failure_domains,
            accounts=content.accounts,
            guarantees=content.guarantees,
            allowances=content.allowances,
        )
        self._accepted[change.record] = None
        while len(self._accepted) > MAX_REMEMBERED_CHANGES:
            self._accepted.popitem(last=False)

    def _add_rejection(
        self, record_id: ids.RecordId, outcome: ChangeOutcome
    ) -> None:
        self._rejections[record_id] = outcome
        while len(self._rejections) > MAX_REMEMBERED_CHANGES:
            self._rejections.popitem(last=False)

    def _fold_after_gap(
        self, decoded: list[tuple[ids.Offset, records.Record]]
    ) -> None:
        """Looks for a snapshot that covers the records lost to retention.

        Records are held back until such a snapshot is read, and those after
        its offset are then folded in order. The snapshot must include every
        offset before the first record held back, and its version must not be
        older than the one in force.
        """
        self._records_after_gap.extend(decoded)
        first_offset = (
            self._records_after_gap[0][0] if self._records_after_gap else None
        )
        candidates = [
            (offset, record)
            for offset, record in self._records_after_gap
            if isinstance(record, records.ConfigurationSnapshot)
            and first_offset is not None
            and record.as_of + 1 >= first_offset
            and record.content.version >= self.current.version
        ]
        if not candidates:
            return
        offset, snapshot = max(candidates, key=lambda pair: pair[1].as_of)
        self._apply_snapshot(snapshot)
        self.last_snapshot = offset
        tail = [
            pair for pair in self._records_after_gap if pair[0] > snapshot.as_of
        ]
        self._records_after_gap = []
        self.trusted = True
        self._fold_in_order(tail)

    def _apply_snapshot(self, snapshot: records.ConfigurationSnapshot) -> None:
        self.current = snapshot.content
        self._accepted = collections.OrderedDict.fromkeys(snapshot.recent)
        self.next_offset = max(self.next_offset, ids.Offset(snapshot.as_of + 1))
