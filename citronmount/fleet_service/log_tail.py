"""Follows one topic of the log from its newest records to its end."""

from collections.abc import Callable
from collections.abc import Sequence

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure

from citronmount.core import errors
from citronmount.fleet_service import contact as contact_lib
from citronmount.fleet_service import ports

__all__ = ["LogTail"]

READ_WAIT_MS = 1_500
READ_MARGIN_MS = 700
SNAPSHOT_TIMEOUT_MS = 2_500
LOOK_UP_MS = 700
LOST_READ_MS = 600
FIRST_RETRY_MS = 50
LAST_RETRY_MS = 200

_MS_PER_S = 1_000

OnRecords = Callable[[Sequence[ports.LogRecord]], None]


class LogTail:
    """Reads a topic in a loop and hands its records on in order.

    Attributes:
        position: The next offset to read, or None before the first snapshot.
        pace_ms: Time between two reads, so that records gather.
        wait_ms: How long a read waits for records.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        contact: contact_lib.LogContact,
        topic: ports.Topic,
        on_snapshot: OnRecords,
        on_records: OnRecords,
        pace_ms: int = 0,
    ) -> None:
        """Initializes a tail that does not read yet.

        Args:
            clock: The reactor.
            log: The log.
            contact: Notes whether the log answers.
            topic: The topic.
            on_snapshot: Gets the newest record of each key, which replace all
                that was handed on before.
            on_records: Gets what came after.
            pace_ms: Time between two reads, so that records gather.
        """
        self.position: int | None = None
        self.pace_ms = pace_ms
        self.wait_ms = READ_WAIT_MS
        self._clock = clock
        self._log = log
        self._resume: interfaces.IDelayedCall | None = None
        self._contact = contact
        self._topic = topic
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._running: defer.Deferred[None] | None = None
        self._stopped = True
        self._lost = False
        self._trace = structlog.get_logger().bind(topic=topic.value)

    def start(self) -> None:
        """Starts reading."""
        self._stopped = False
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._ended)

    def stop(self) -> None:
        """Stops reading; a read on its way is cancelled."""
        self._stopped = True
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    async def catch_up(
        self,
        end_offset: int | None = None,
        timeout_ms: int = LOOK_UP_MS,
    ) -> None:
        """Reads to the end of the topic, beside the loop.

        Args:
            end_offset: The offset to reach, or None for the present end.
            timeout_ms: How long each read may take.

        Raises:
            UnreachableError: The log did not answer.
            LogTruncatedError: The records expired; the loop reads anew.
        """
        if self.position is None:
            await self._read_snapshot()
        while end_offset is None or self.position < end_offset:
            page = await self._read_now(timeout_ms)
            if page.next_offset >= page.end_offset:
                return

    async def _run(self) -> None:
        retry_ms = FIRST_RETRY_MS
        while not self._stopped:
            try:
                await self._read_once()
            except ports.LogTruncatedError:
                self._trace.warning("history_lost", position=self.position)
                self.position = None
            except errors.UnreachableError as error:
                self._note_lost(error)
                await self._pause(retry_ms)
                retry_ms = min(retry_ms * 2, LAST_RETRY_MS)
            else:
                retry_ms = FIRST_RETRY_MS
                self._note_regained()
                await self._pause(self.pace_ms)

    async def _read_once(self) -> None:
        if self.position is None:
            await self._read_snapshot()
            return
        if self._lost:
            await self._read_now(LOST_READ_MS)
            return
        page = await self._log.read(
            self._topic,
            self.position,
            self.wait_ms,
            self.wait_ms + READ_MARGIN_MS,
        )
        self._take(page)

    async def _read_now(self, timeout_ms: int) -> ports.LogPage:
        """Reads what is there, without waiting for more."""
        began_s = self._clock.seconds()
        page = await self._log.read(self._topic, self.position, 0, timeout_ms)
        took_ms = int((self._clock.seconds() - began_s) * _MS_PER_S)
        self._take(page)
        self._contact.answered(took_ms)
        return page

    async def _read_snapshot(self) -> None:
        snapshot = await self._log.snapshot(self._topic, SNAPSHOT_TIMEOUT_MS)
        self._contact.answered()
        self.position = snapshot.end_offset
        self._on_snapshot(snapshot.records)

    def _take(self, page: ports.LogPage) -> None:
        self._contact.answered()
        fresh = [
            record
            for record in page.records
            if self.position is not None and record.offset >= self.position
        ]
        self.position = max(self.position or 0, page.next_offset)
        if fresh:
            self._on_records(fresh)

    def hurry(self, wait_ms: int) -> None:
        """Reads without pauses from now on, and ends a pause at once.

        Args:
            wait_ms: How long a read waits for records.
        """
        self.pace_ms = 0
        self.wait_ms = wait_ms
        if self._resume is not None and self._resume.active():
            self._resume.reset(0)

    async def _pause(self, pause_ms: int) -> None:
        paused: defer.Deferred[None] = defer.Deferred()
        self._resume = self._clock.callLater(
            pause_ms / _MS_PER_S, paused.callback, None
        )
        try:
            await paused
        finally:
            if self._resume.active():
                self._resume.cancel()

    def _note_lost(self, error: errors.UnreachableError) -> None:
        self._contact.failed()
        if not self._lost:
            self._lost = True
            self._trace.warning("log_lost", error=str(error))

    def _note_regained(self) -> None:
        if self._lost:
            self._lost = False
            self._trace.info("log_regained", position=self.position)

    def _ended(self, reason: failure.Failure) -> None:
        if not self._stopped:
            self._trace.error("tail_failed", error=reason.getTraceback())
