"""Durable writes: to the log, or to peers while the log is down."""

import collections
from collections.abc import Callable
import enum
import itertools

import msgspec

from citronmount.agent import context
from citronmount.core import ids
from citronmount.core import states
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.state import records

__all__ = ["Outbox", "WriteOutcome"]

BATCH_RECORDS = 200
REPLICAS = 2
RETRY_MS = 500
REPLICATE_TIMEOUT_MS = 1_000
WRITE_LIMIT_MS = 4_000
HELD_APPEND_MS = 5_000


class WriteOutcome(enum.Enum):
    """What is known of a write."""

    IN_LOG = "in_log"
    AT_PEERS = "at_peers"
    UNKNOWN = "unknown"
    NEVER_SENT = "never_sent"

    @property
    def durability(self) -> states.Durability | None:
        """The durability that callers are told, or None."""
        return _DURABILITY.get(self)


_DURABILITY = {
    WriteOutcome.IN_LOG: states.Durability.LOG,
    WriteOutcome.AT_PEERS: states.Durability.PEERS,
}

Handler = Callable[[WriteOutcome], None]


class _Write(msgspec.Struct, kw_only=True):
    """One record on its way into the log."""

    stream: ids.StreamName
    record: records.Record
    since_ms: int
    limit_ms: int | None
    on_outcome: Handler | None
    sent: bool = False
    asked_peers: bool = False
    acks: set[ids.VmId] = msgspec.field(default_factory=set)

    def settle(self, outcome: WriteOutcome) -> None:
        """Tells the writer the outcome, once."""
        handler = self.on_outcome
        self.on_outcome = None
        if handler is not None:
            handler(outcome)


class _Held(msgspec.Struct, frozen=True, kw_only=True):
    """A record that is kept for a peer."""

    record: records.Record
    since_ms: int


class Outbox:
    """Writes records durably and in order of each stream.

    A write that the log has not answered within the patience time is kept in
    the memory of two peers, or of one where no more can be reached, and goes
    into the log when it answers again. Appends are retried with the same
    record ids, so a lost answer leads to a copy that the folds ignore.
    """

    def __init__(
        self, *, ctx: context.Context, view: view_lib.MembershipView
    ) -> None:
        """Initializes an empty outbox.

        Args:
            ctx: The shared context.
            view: Who may keep replicas.
        """
        self._ctx = ctx
        self._view = view
        self._writes: dict[
            ids.StreamName, collections.OrderedDict[ids.RecordId, _Write]
        ] = {}
        self._in_flight: set[ids.StreamName] = set()
        self._retry_ms: dict[ids.StreamName, int] = {}
        self._held: dict[ids.StreamName, dict[ids.RecordId, _Held]] = {}
        self.log_available = True

    def write(
        self,
        stream: ids.StreamName,
        record: records.Record,
        on_outcome: Handler | None = None,
        *,
        limit_ms: int | None = WRITE_LIMIT_MS,
    ) -> None:
        """Writes a record.

        Args:
            stream: The stream.
            record: The record.
            on_outcome: Told once how durable the record is.
            limit_ms: When to tell that it is not known to be durable, or
                None to tell only once it is.
        """
        writes = self._writes.setdefault(stream, collections.OrderedDict())
        write = _Write(
            stream=stream,
            record=record,
            since_ms=self._ctx.now_ms,
            limit_ms=limit_ms,
            on_outcome=on_outcome,
        )
        writes[record.record] = write
        self._flush(stream)
        if not self.log_available:
            self._ask_peers(write)

    def store_replicas(
        self, stream: ids.StreamName, entries: tuple[records.Record, ...]
    ) -> None:
        """Keeps records for a peer, in memory, until the log has them.

        Args:
            stream: The stream.
            entries: The records.
        """
        held = self._held.setdefault(stream, {})
        for record in entries:
            since = _Held(record=record, since_ms=self._ctx.now_ms)
            held.setdefault(record.record, since)

    def unappended(self, stream: ids.StreamName) -> tuple[records.Record, ...]:
        """Returns the records that may not be in the log.

        Args:
            stream: The stream.

        Returns:
            Own writes without an answer and those held for peers.
        """
        own = (write.record for write in self._writes.get(stream, {}).values())
        held = (kept.record for kept in self._held.get(stream, {}).values())
        return tuple(itertools.chain(own, held))

    def streams(self) -> list[ids.StreamName]:
        """Returns the streams with records that may not be in the log."""
        names = {
            name
            for name, entries in itertools.chain(
                self._writes.items(), self._held.items()
            )
            if entries
        }
        return sorted(names)

    def empty(self) -> bool:
        """Returns whether every own write is in the log."""
        return not any(self._writes.values())

    def tick(self) -> None:
        """Retries appends, asks peers and ends writes whose time is up."""
        for stream in list(self._writes):
            self._flush(stream)
            for write in list(self._writes[stream].values()):
                self._age(write)
        self._append_held()

    def _flush(self, stream: ids.StreamName) -> None:
        writes = self._writes[stream]
        waiting = self._retry_ms.get(stream, 0) > self._ctx.now_ms
        if not writes or stream in self._in_flight or waiting:
            return
        batch = tuple(itertools.islice(writes.values(), BATCH_RECORDS))
        for write in batch:
            write.sent = True
        self._in_flight.add(stream)
        self._ctx.append_log(
            stream,
            tuple(write.record for write in batch),
            lambda offset: self._appended(stream, batch, offset),
        )

    def _appended(
        self,
        stream: ids.StreamName,
        batch: tuple[_Write, ...],
        offset: ids.Offset | None,
    ) -> None:
        self._in_flight.discard(stream)
        self.log_available = offset is not None
        if offset is None:
            self._retry_ms[stream] = self._ctx.now_ms + RETRY_MS
            return
        writes = self._writes[stream]
        for write in batch:
            writes.pop(write.record.record, None)
        for write in batch:
            write.settle(WriteOutcome.IN_LOG)
        self._flush(stream)

    def _age(self, write: _Write) -> None:
        age_ms = self._ctx.now_ms - write.since_ms
        patience_ms = self._ctx.settings.log_patience_ms
        impatient = not self.log_available or age_ms >= patience_ms
        if impatient and not write.asked_peers:
            self._ask_peers(write)
        waited = write.limit_ms is not None and age_ms >= write.limit_ms
        if waited and write.on_outcome is not None:
            self._give_up(write)

    def _give_up(self, write: _Write) -> None:
        if write.sent or write.asked_peers:
            write.settle(WriteOutcome.UNKNOWN)
            return
        del self._writes[write.stream][write.record.record]
        write.settle(WriteOutcome.NEVER_SENT)

    def _ask_peers(self, write: _Write) -> None:
        peers = self._answering_peers()
        if not peers:
            return
        write.asked_peers = True
        needed = min(REPLICAS, len(peers))
        for peer in peers[: REPLICAS + 1]:
            self._replicate(write, peer, needed)

    def _answering_peers(self) -> list[ids.VmId]:
        """Returns live peers, less those silent since an unanswered call."""
        return [
            peer
            for peer in self._view.live_peers(self._ctx.now_ms)
            if self._view.is_responsive(peer)
        ]

    def _replicate(self, write: _Write, peer: ids.VmId, needed: int) -> None:
        call = self._ctx.new_call()

        def acknowledged(answer: peer_messages.Acknowledge | None) -> None:
            if answer is None:
                self._view.record_unanswered_call(peer, self._ctx.now_ms)
                write.asked_peers = False
                return
            write.acks.add(peer)
            if len(write.acks) >= needed:
                write.settle(WriteOutcome.AT_PEERS)

        message = peer_messages.Replicate(
            call=call, stream=write.stream, records=(write.record,)
        )
        self._ctx.call_peer(
            peer,
            call,
            message,
            acknowledged,
            timeout_ms=REPLICATE_TIMEOUT_MS,
        )

    def _append_held(self) -> None:
        """Appends what is held for peers once the log answers again."""
        if not self.log_available:
            return
        limit_ms = self._ctx.now_ms - HELD_APPEND_MS
        for stream, held in self._held.items():
            due = [kept for kept in held.values() if kept.since_ms <= limit_ms]
            for kept in due:
                del held[kept.record.record]
                self.write(stream, kept.record)
