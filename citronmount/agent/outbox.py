"""Durable writes to the log, or to peers while the log is unavailable."""

import collections
from collections.abc import Callable
import enum
import itertools

import msgspec

from citronmount.agent import context
from citronmount.core import ids
from citronmount.core import states
from citronmount.membership import membership_view
from citronmount.peers import peer_messages
from citronmount.state import records

__all__ = ["Outbox", "WriteOutcome"]

MAX_BATCH_RECORDS = 200
REPLICAS_PER_WRITE = 2
RETRY_MS = 500
REPLICATE_TIMEOUT_MS = 1_000
WRITE_TIMEOUT_MS = 4_000
REPLICA_APPEND_DELAY_MS = 5_000


class WriteOutcome(enum.Enum):
    """The outcome of a write as far as it is known."""

    IN_LOG = "in_log"
    AT_PEERS = "at_peers"
    UNKNOWN = "unknown"
    NEVER_SENT = "never_sent"

    @property
    def durability(self) -> states.Durability | None:
        """The durability reported to callers, or None if it is not known."""
        return _DURABILITY.get(self)


_DURABILITY = {
    WriteOutcome.IN_LOG: states.Durability.LOG,
    WriteOutcome.AT_PEERS: states.Durability.PEERS,
}

OutcomeHandler = Callable[[WriteOutcome], None]


class _Write(msgspec.Struct, kw_only=True):
    """A record whose append to the log is not confirmed yet.

    Attributes:
        since_ms: Monotonic time at which the write was requested.
        limit_ms: Time after which the outcome is reported as unknown or never
            sent if the record is not durable yet; None for no limit.
        sent: Whether the record may be in the log.
        asked_peers: Whether replicas were requested and no peer has failed to
            answer since.
        acks: Peers that hold a replica.
    """

    stream: ids.StreamName
    record: records.Record
    since_ms: int
    limit_ms: int | None
    on_outcome: OutcomeHandler | None
    sent: bool = False
    asked_peers: bool = False
    acks: set[ids.VmId] = msgspec.field(default_factory=set)

    def settle(self, outcome: WriteOutcome) -> None:
        """Calls the outcome handler unless it has been called before."""
        handler = self.on_outcome
        self.on_outcome = None
        if handler is not None:
            handler(outcome)


class _Replica(msgspec.Struct, frozen=True, kw_only=True):
    """A record kept in memory on behalf of another VM."""

    record: records.Record
    since_ms: int


class Outbox:
    """Writes records durably, in order within each stream.

    A write is sent to up to three peers if the log has not answered it within
    `log_patience_ms`, or at once if the last append got no answer. It is then
    durable once two peers, or the only one reachable, hold it in memory, and is
    appended to the log when the log answers again. Appends are retried with
    the same record ids, so a lost answer can lead to a duplicate record, which
    readers ignore when they fold the stream.
    """

    def __init__(
        self, *, ctx: context.Context, view: membership_view.MembershipView
    ) -> None:
        """Initializes an empty outbox.

        Args:
            ctx: The shared context.
            view: Determines the VMs that receive replicas.
        """
        self._ctx = ctx
        self._view = view
        self._writes: dict[
            ids.StreamName, collections.OrderedDict[ids.RecordId, _Write]
        ] = {}
        self._in_flight: set[ids.StreamName] = set()
        self._next_append_ms: dict[ids.StreamName, int] = {}
        self._replicas: dict[ids.StreamName, dict[ids.RecordId, _Replica]] = {}
        self.log_available = True

    def write(
        self,
        stream: ids.StreamName,
        record: records.Record,
        on_outcome: OutcomeHandler | None = None,
        *,
        limit_ms: int | None = WRITE_TIMEOUT_MS,
    ) -> None:
        """Writes a record.

        A write whose outcome was reported as UNKNOWN is still retried, so it
        may become durable later, without a second call of `on_outcome`. One
        that was reported as NEVER_SENT is dropped.

        Args:
            stream: The stream.
            record: The record.
            on_outcome: Called once: when the record is durable or, if that
                takes longer than `limit_ms`, with UNKNOWN or NEVER_SENT.
            limit_ms: Time after which a write that is not durable is reported
                as UNKNOWN if it was sent to the log, or to peers of which none
                has failed to answer, and otherwise as NEVER_SENT. None for no
                limit.
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
            self._replicate_to_peers(write)

    def store_replicas(
        self, stream: ids.StreamName, entries: tuple[records.Record, ...]
    ) -> None:
        """Keeps another VM's records in memory and later appends them.

        Args:
            stream: The stream.
            entries: The records.
        """
        replicas = self._replicas.setdefault(stream, {})
        for record in entries:
            replica = _Replica(record=record, since_ms=self._ctx.now_ms)
            replicas.setdefault(record.record, replica)

    def unappended(self, stream: ids.StreamName) -> tuple[records.Record, ...]:
        """Returns the records that may not be in the log.

        Args:
            stream: The stream.

        Returns:
            The unconfirmed writes of this VM and the replicas kept for other
            VMs.
        """
        own = (write.record for write in self._writes.get(stream, {}).values())
        replicas = (
            replica.record
            for replica in self._replicas.get(stream, {}).values()
        )
        return tuple(itertools.chain(own, replicas))

    def unappended_streams(self) -> list[ids.StreamName]:
        """Returns the streams with records that may not be in the log."""
        names = {
            name
            for name, entries in itertools.chain(
                self._writes.items(), self._replicas.items()
            )
            if entries
        }
        return sorted(names)

    def empty(self) -> bool:
        """Returns whether no write of this VM waits for the log."""
        return not any(self._writes.values())

    def tick(self) -> None:
        """Retries appends, replicates overdue writes and applies timeouts."""
        for stream in list(self._writes):
            self._flush(stream)
            for write in list(self._writes[stream].values()):
                self._check_time_limits(write)
        self._append_replicas()

    def _flush(self, stream: ids.StreamName) -> None:
        writes = self._writes[stream]
        backing_off = self._next_append_ms.get(stream, 0) > self._ctx.now_ms
        if not writes or stream in self._in_flight or backing_off:
            return
        batch = tuple(itertools.islice(writes.values(), MAX_BATCH_RECORDS))
        for write in batch:
            write.sent = True
        self._in_flight.add(stream)
        self._ctx.append_log(
            stream,
            tuple(write.record for write in batch),
            lambda offset: self._handle_append_answer(stream, batch, offset),
        )

    def _handle_append_answer(
        self,
        stream: ids.StreamName,
        batch: tuple[_Write, ...],
        offset: ids.Offset | None,
    ) -> None:
        self._in_flight.discard(stream)
        self.log_available = offset is not None
        if offset is None:
            self._next_append_ms[stream] = self._ctx.now_ms + RETRY_MS
            return
        writes = self._writes[stream]
        for write in batch:
            writes.pop(write.record.record, None)
        for write in batch:
            write.settle(WriteOutcome.IN_LOG)
        self._flush(stream)

    def _check_time_limits(self, write: _Write) -> None:
        """Replicates an overdue write; reports one past its time limit."""
        age_ms = self._ctx.now_ms - write.since_ms
        log_timeout_ms = self._ctx.settings.log_patience_ms
        replication_due = not self.log_available or age_ms >= log_timeout_ms
        if replication_due and not write.asked_peers:
            self._replicate_to_peers(write)
        timed_out = write.limit_ms is not None and age_ms >= write.limit_ms
        if timed_out and write.on_outcome is not None:
            self._report_timeout(write)

    def _report_timeout(self, write: _Write) -> None:
        """Reports the outcome as unknown, or drops a write never sent."""
        if write.sent or write.asked_peers:
            write.settle(WriteOutcome.UNKNOWN)
            return
        del self._writes[write.stream][write.record.record]
        write.settle(WriteOutcome.NEVER_SENT)

    def _replicate_to_peers(self, write: _Write) -> None:
        peers = self._responsive_peers()
        if not peers:
            return
        write.asked_peers = True
        needed = min(REPLICAS_PER_WRITE, len(peers))
        for peer in peers[: REPLICAS_PER_WRITE + 1]:
            self._replicate(write, peer, needed)

    def _responsive_peers(self) -> list[ids.VmId]:
        """Returns live peers except those that left the last call unanswered.

        A peer is used again once another heartbeat arrives from it.
        """
        return [
            peer
            for peer in self._view.live_peers(self._ctx.now_ms)
            if self._view.is_responsive(peer)
        ]

    def _replicate(self, write: _Write, peer: ids.VmId, needed: int) -> None:
        call = self._ctx.new_call()

        def handle_acknowledgement(
            answer: peer_messages.Acknowledge | None,
        ) -> None:
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
            handle_acknowledgement,
            timeout_ms=REPLICATE_TIMEOUT_MS,
        )

    def _append_replicas(self) -> None:
        """Appends older replicas of other VMs while the log is available."""
        if not self.log_available:
            return
        stored_by_ms = self._ctx.now_ms - REPLICA_APPEND_DELAY_MS
        for stream, replicas in self._replicas.items():
            due = [
                replica
                for replica in replicas.values()
                if replica.since_ms <= stored_by_ms
            ]
            for replica in due:
                del replicas[replica.record.record]
                self.write(stream, replica.record)
