"""Folds the configuration stream into versions."""

import collections
import enum

from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import ids
from citronmount.state import records

__all__ = ["ChangeOutcome", "ConfigurationFold"]

REMEMBERED_CHANGES = 256


class ChangeOutcome(enum.Enum):
    """What the fold decided about a change."""

    ACCEPTED = "accepted"
    STALE_BASE = "stale_base"


class ConfigurationFold:
    """The configuration of one process, folded from the log or from a peer.

    Every process folds the same records in the same order to the same
    versions. A change is accepted if its base version equals the folded
    version at its offset, so of two racing operators exactly one wins.

    Notes:
        The log arbitrates as in optimistic concurrency control (Kung and
        Robinson, ACM TODS 1981), with validation at the offset of the write.
    """

    def __init__(self) -> None:
        """Initializes an empty fold that is not yet trustworthy."""
        self.current = configuration.Configuration()
        self.next_offset = ids.Offset(0)
        self.trusted = False
        self.last_snapshot = ids.Offset(-1)
        self._accepted: collections.OrderedDict[ids.RecordId, None] = (
            collections.OrderedDict()
        )
        self._outcomes: collections.OrderedDict[ids.RecordId, ChangeOutcome] = (
            collections.OrderedDict()
        )
        self._search: list[tuple[ids.Offset, records.Record]] = []

    def outcome(self, record: ids.RecordId) -> ChangeOutcome | None:
        """Returns what became of a change.

        Args:
            record: The record id of the change.

        Returns:
            The outcome, or None if the change has not been folded or was
            folded long ago.
        """
        if record in self._accepted:
            return ChangeOutcome.ACCEPTED
        return self._outcomes.get(record)

    def fold_page(self, page: messages.LogPage) -> bool:
        """Folds one page that was read from `next_offset` on.

        Args:
            page: The page.

        Returns:
            Whether the version in force has changed.
        """
        before = self.current.version
        decoded = [
            (entry.offset, record)
            for entry in page.records
            if entry.offset >= self.next_offset
            and (record := records.decode(entry.data)) is not None
        ]
        if page.oldest > self.next_offset or self._search:
            self._fold_after_gap(decoded)
        else:
            self._fold_in_order(decoded)
        if page.records:
            last = page.records[-1].offset
            self.next_offset = max(self.next_offset, ids.Offset(last + 1))
        elif page.oldest > self.next_offset:
            self.next_offset = page.oldest
        if not self._search and page.oldest == 0:
            self.trusted = True
        return self.current.version != before

    def adopt(self, snapshot: records.ConfigurationSnapshot) -> bool:
        """Takes over a peer's configuration if it is newer.

        Args:
            snapshot: The peer's folded configuration.

        Returns:
            Whether the version in force has changed.
        """
        newer = snapshot.content.version > self.current.version
        if newer or not self.trusted:
            self._replace(snapshot)
        self.trusted = True
        return newer

    def snapshot(self, record: ids.RecordId) -> records.ConfigurationSnapshot:
        """Returns the folded configuration as a record.

        Args:
            record: The id of the new record.

        Returns:
            The snapshot; it carries the version and the last folded offset.
        """
        return records.ConfigurationSnapshot(
            record=record,
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
        if change.record in self._accepted or change.record in self._outcomes:
            return
        if change.base_version != self.current.version:
            self._remember(change.record, ChangeOutcome.STALE_BASE)
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
        while len(self._accepted) > REMEMBERED_CHANGES:
            self._accepted.popitem(last=False)

    def _remember(self, record: ids.RecordId, outcome: ChangeOutcome) -> None:
        self._outcomes[record] = outcome
        while len(self._outcomes) > REMEMBERED_CHANGES:
            self._outcomes.popitem(last=False)

    def _fold_after_gap(
        self, decoded: list[tuple[ids.Offset, records.Record]]
    ) -> None:
        """Looks for a snapshot that closes the gap left by retention."""
        self._search.extend(decoded)
        first = self._search[0][0] if self._search else None
        usable = [
            (offset, record)
            for offset, record in self._search
            if isinstance(record, records.ConfigurationSnapshot)
            and first is not None
            and record.as_of + 1 >= first
            and record.content.version >= self.current.version
        ]
        if not usable:
            return
        offset, snapshot = max(usable, key=lambda pair: pair[1].as_of)
        self._replace(snapshot)
        self.last_snapshot = offset
        tail = [pair for pair in self._search if pair[0] > snapshot.as_of]
        self._search = []
        self.trusted = True
        self._fold_in_order(tail)

    def _replace(self, snapshot: records.ConfigurationSnapshot) -> None:
        self.current = snapshot.content
        self._accepted = collections.OrderedDict.fromkeys(snapshot.recent)
        self.next_offset = max(self.next_offset, ids.Offset(snapshot.as_of + 1))
