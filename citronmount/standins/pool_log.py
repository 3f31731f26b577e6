"""In-memory log of a pool with fault injection."""

from collections.abc import Sequence
import enum
import itertools

import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from citronmount.core import codes
from citronmount.core import ids
from citronmount.fleet_service import ports

__all__ = ["LogFault", "PoolLog", "PoolLogClient"]

# Duration of a call: half for the request and half for the answer.
ANSWER_S = 0.006
# Partitions that are assigned to the members of the owners' group.
PARTITION_COUNT = 12
MAX_PAGE_BYTES = 1 << 20

_MS_PER_S = 1_000
# Give each client the member name of a new process.
_PROCESS_NUMBERS = itertools.count(1)


class LogFault(enum.Enum):
    """Faults of the log for one VM.

    REFUSES fails every call without effect, SILENT lets every call time out
    without effect, and LOSES_ANSWERS executes appends but lets them time out.
    """

    NONE = "none"
    REFUSES = "refuses"
    SILENT = "silent"
    LOSES_ANSWERS = "loses_answers"


class _Producer(msgspec.Struct, kw_only=True):
    """The newest owner that appended.

    Attributes:
        epoch: Epoch of the owner.
        answers: First offset of each of its appends, by sequence number.
    """

    epoch: int = 0
    answers: dict[int, int] = {}


class PoolLog:
    """Topics and owners' group of a pool, shared by the clients of all VMs.

    Attributes:
        clock: Times the calls and the membership of the owners' group.
        topics: The records of each topic.
        faults: Fault of each VM; a VM without an entry has none.
        silent_topics: Topics on which every call times out without effect.
        holds_waiting_reads: Whether reads that wait for records time out, as
            while the log compacts its topics.
        extra_join_delay_s: Delay of a join request beyond that of other calls.
        link_bytes_per_s: Rate at which a VM receives records; a VM without an
            entry receives them at once.
    """

    def __init__(self, *, clock: interfaces.IReactorTime) -> None:
        """Initializes empty topics.

        Args:
            clock: Times the calls and the expiry of members.
        """
        self.clock = clock
        self.topics: dict[ports.Topic, list[ports.LogRecord]] = {
            topic: [] for topic in ports.Topic
        }
        self.faults: dict[ids.VmId, LogFault] = {}
        self.silent_topics: set[ports.Topic] = set()
        self.holds_waiting_reads = False
        self.extra_join_delay_s = 0.0
        self.link_bytes_per_s: dict[ids.VmId, int] = {}
        self._first_offsets: dict[ports.Topic, int] = dict.fromkeys(
            ports.Topic, 0
        )
        self._append_waiters: dict[ports.Topic, list[defer.Deferred[None]]] = {
            topic: [] for topic in ports.Topic
        }
        self._producer = _Producer()
        self._members: dict[str, float] = {}
        # Generation in which each member was added, and that of its last join.
        self._added: dict[str, int] = {}
        self._acknowledged: dict[str, int] = {}
        self._generation = 0

    def append_records(
        self, topic: ports.Topic, entries: Sequence[tuple[str, bytes | None]]
    ) -> int:
        """Appends records to a topic and returns the offset of the first."""
        records = self.topics[topic]
        first = len(records)
        records += [
            ports.LogRecord(key=key, value=value, offset=first + number)
            for number, (key, value) in enumerate(entries)
        ]
        waiters, self._append_waiters[topic] = self._append_waiters[topic], []
        for waiter in waiters:
            waiter.callback(None)
        return first

    def drop_history(self, topic: ports.Topic) -> None:
        """Makes all present records of a topic unreadable by offset.

        A snapshot still contains the newest record of each key.
        """
        self._first_offsets[topic] = len(self.topics[topic])

    def read_page(self, topic: ports.Topic, offset: int) -> ports.LogPage:
        """Returns the records from an offset on that fit in a page.

        A page holds at least one record, and others up to `MAX_PAGE_BYTES`.

        Raises:
            LogTruncatedError: The record at the offset was dropped.
        """
        if offset < self._first_offsets[topic]:
            raise ports.LogTruncatedError
        available = self.topics[topic][offset:]
        ends_bytes = itertools.accumulate(map(_size_bytes, available))
        fitting = sum(1 for end in ends_bytes if end <= MAX_PAGE_BYTES)
        records = tuple(available[: max(fitting, 1)])
        return ports.LogPage(
            records=records,
            next_offset=offset + len(records),
            end_offset=len(self.topics[topic]),
        )

    def snapshot(self, topic: ports.Topic) -> ports.Snapshot:
        """Returns the newest record of each key that was not deleted."""
        records_by_key = {record.key: record for record in self.topics[topic]}
        live_records = [
            record
            for record in records_by_key.values()
            if record.value is not None
        ]
        live_records.sort(key=lambda record: record.offset)
        return ports.Snapshot(
            records=tuple(live_records), end_offset=len(self.topics[topic])
        )

    def append_as_owner(
        self,
        entries: Sequence[tuple[str, bytes | None]],
        epoch: int,
        sequence: int,
    ) -> int:
        """Appends to the job topic unless a newer epoch was seen.

        An append with a known epoch and sequence is a retry: it appends nothing
        and returns the same offset as before. See `ports.Log`.

        Raises:
            FencedError: A newer epoch was seen.
        """
        if epoch < self._producer.epoch:
            raise ports.FencedError(self._producer.epoch)
        if epoch > self._producer.epoch:
            self._producer = _Producer(epoch=epoch, answers={})
        if sequence not in self._producer.answers:
            offset = self.append_records(ports.Topic.JOBS, entries)
            self._producer.answers[sequence] = offset
        return self._producer.answers[sequence]

    def join(self, member: str, ttl_ms: int) -> ports.Membership:
        """Joins the owners' group or renews the membership.

        The first member that is alive is the candidate for ownership. Members
        beyond the first `PARTITION_COUNT` are assigned no partition, and a new
        one none until each of the others has joined once more.
        """
        now_s = self.clock.seconds()
        old_members = list(self._members)
        self._members = {
            name: until_s
            for name, until_s in self._members.items()
            if until_s > now_s
        }
        self._members.setdefault(member, 0)
        self._members[member] = now_s + ttl_ms / _MS_PER_S
        self._generation += old_members != list(self._members)
        self._acknowledged[member] = self._generation
        if member not in old_members:
            self._added[member] = self._generation
        return ports.Membership(
            generation=self._generation,
            dealt=member in self.members(),
            candidate=next(iter(self._members)) == member,
        )

    def prefer_newest_member(self) -> None:
        """Reverses the order of members; the newest becomes the candidate."""
        self._members = dict(reversed(self._members.items()))
        self._generation += 1

    def members(self) -> frozenset[str]:
        """Returns the live members that are assigned a partition."""
        now_s = self.clock.seconds()
        alive = [
            member
            for member, until_s in self._members.items()
            if until_s > now_s
        ]
        assigned = (
            member
            for member in alive
            if all(
                self._acknowledged[other] >= self._added[member]
                for other in alive
            )
        )
        return frozenset(itertools.islice(assigned, PARTITION_COUNT))

    def leave(self, member: str) -> None:
        """Removes a member from the owners' group."""
        self._members.pop(member, None)
        self._generation += 1

    def wait_for_append(
        self, topic: ports.Topic, wait_ms: int
    ) -> defer.Deferred[None]:
        """Returns a Deferred that fires on an append or after `wait_ms`."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._append_waiters[topic].append(waiter)

        def fire_on_timeout() -> None:
            if not waiter.called:
                self._append_waiters[topic].remove(waiter)
                waiter.callback(None)

        self.clock.callLater(wait_ms / _MS_PER_S, fire_on_timeout)
        return waiter


class PoolLogClient:
    """Client of one VM for a `PoolLog`; implements `ports.Log`.

    Attributes:
        calls: Counter of requests; a read that waits for an append sends two.
        member: Name of the process in the owners' group.
    """

    def __init__(self, *, log: PoolLog, vm: ids.VmId) -> None:
        """Initializes a client.

        Args:
            log: The log.
            vm: The VM whose faults apply to the calls.
        """
        self.calls = itertools.count()
        self.member = f"{vm}/{next(_PROCESS_NUMBERS)}"
        self._log = log
        self._vm = vm

    async def append(
        self, records: Sequence[tuple[str, bytes | None]], timeout_ms: int
    ) -> int:
        """Appends records to the job topic and returns the first offset."""
        await self._send_request(timeout_ms, ports.Topic.JOBS)
        offset = self._log.append_records(ports.Topic.JOBS, records)
        await self._receive_answer(timeout_ms)
        return offset

    async def append_as_owner(
        self,
        records: Sequence[tuple[str, bytes | None]],
        epoch: int,
        sequence: int,
        timeout_ms: int,
    ) -> int:
        """Appends to the job topic as owner; fails if the epoch is stale."""
        await self._send_request(timeout_ms, ports.Topic.JOBS)
        offset = self._log.append_as_owner(records, epoch, sequence)
        await self._receive_answer(timeout_ms)
        return offset

    async def read(
        self, topic: ports.Topic, offset: int, wait_ms: int, timeout_ms: int
    ) -> ports.LogPage:
        """Reads records from an offset, waiting for an append if needed."""
        await self._send_request(timeout_ms, topic)
        if wait_ms and self._log.holds_waiting_reads:
            await self._wait_for_timeout(timeout_ms)
        page = self._log.read_page(topic, offset)
        if not page.records and wait_ms:
            await self._log.wait_for_append(topic, wait_ms)
            await self._send_request(timeout_ms, topic)
            page = self._log.read_page(topic, offset)
        await task.deferLater(self._log.clock, ANSWER_S / 2)
        await self._receive_records(page.records)
        return page

    async def snapshot(
        self, topic: ports.Topic, timeout_ms: int
    ) -> ports.Snapshot:
        """Reads the newest record of each key."""
        await self._send_request(timeout_ms, topic)
        snapshot = self._log.snapshot(topic)
        await self._receive_records(snapshot.records)
        return snapshot

    async def end_offset(self, topic: ports.Topic, timeout_ms: int) -> int:
        """Returns the offset after the last record."""
        await self._send_request(timeout_ms, topic)
        return len(self._log.topics[topic])

    async def join(
        self, generation: int, ttl_ms: int, timeout_ms: int
    ) -> ports.Membership:
        """Joins the owners' group or renews the membership."""
        await self._send_request(timeout_ms)
        await task.deferLater(self._log.clock, self._log.extra_join_delay_s)
        return self._log.join(self.member, ttl_ms)

    async def members(self, timeout_ms: int) -> frozenset[str]:
        """Returns the live members that are assigned a partition."""
        await self._send_request(timeout_ms)
        return self._log.members()

    async def leave(self, timeout_ms: int) -> None:
        """Leaves the owners' group."""
        await self._send_request(timeout_ms)
        self._log.leave(self.member)

    async def _send_request(
        self, timeout_ms: int, topic: ports.Topic | None = None
    ) -> None:
        next(self.calls)
        if timeout_ms < ANSWER_S * _MS_PER_S:
            await self._wait_for_timeout(timeout_ms)
        await task.deferLater(self._log.clock, ANSWER_S / 2)
        fault = self._log.faults.get(self._vm, LogFault.NONE)
        if fault is LogFault.REFUSES:
            raise ports.CallRefusedError(
                "refused", code=codes.ResultCode.UNREACHABLE
            )
        if fault is LogFault.SILENT or topic in self._log.silent_topics:
            await self._wait_for_timeout(timeout_ms)

    async def _receive_records(
        self, records: Sequence[ports.LogRecord]
    ) -> None:
        """Waits for the transfer, which no time limit cuts off."""
        rate = self._log.link_bytes_per_s.get(self._vm)
        if rate:
            size_bytes = sum(map(_size_bytes, records))
            await task.deferLater(self._log.clock, size_bytes / rate)

    async def _receive_answer(self, timeout_ms: int) -> None:
        await task.deferLater(self._log.clock, ANSWER_S / 2)
        fault = self._log.faults.get(self._vm, LogFault.NONE)
        if fault is LogFault.LOSES_ANSWERS:
            await self._wait_for_timeout(timeout_ms)

    async def _wait_for_timeout(self, timeout_ms: int) -> None:
        await task.deferLater(self._log.clock, timeout_ms / _MS_PER_S)
        raise ports.UnknownOutcomeError(
            "no answer", code=codes.ResultCode.TIMED_OUT
        )


def _size_bytes(record: ports.LogRecord) -> int:
    return len(record.key) + len(record.value or b"")
