"""Follows one topic of the log: reads a snapshot, then each new record."""

from collections.abc import Callable
from collections.abc import Sequence

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure

from citronmount.core import errors
from citronmount.fleet_service import log_health
from citronmount.fleet_service import ports

__all__ = ["LogTail"]

READ_WAIT_MS = 1_500
WAITING_READ_MARGIN_MS = 100
SNAPSHOT_TIMEOUT_MS = 2_500
CATCH_UP_TIMEOUT_MS = 700
OUTAGE_READ_TIMEOUT_MS = 600
MIN_RETRY_DELAY_MS = 50
MAX_RETRY_DELAY_MS = 200
# Pages of at least this size are logged.
LARGE_PAGE_BYTES = 65_536
# A single record is cheaper to read than a snapshot.
MIN_SKIPPED_RECORDS = 2

_MS_PER_S = 1_000

OnRecords = Callable[[Sequence[ports.LogRecord]], None]


class LogTail:
    """Reads a topic in a loop and passes its records on in order.

    Attributes:
        position: The next offset to read, or None before the first snapshot.
        read_interval_ms: Pause between two reads, in which records accumulate
            so that one read returns many.
        read_wait_ms: How long a read waits for new records.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        health: log_health.LogHealth,
        topic: ports.Topic,
        on_snapshot: OnRecords,
        on_records: OnRecords,
        read_interval_ms: int = 0,
        skips_superseded: bool = False,
    ) -> None:
        """Initializes a reader that is not started.

        Args:
            clock: The reactor.
            log: The log.
            health: The health of the log, which this class updates.
            topic: The topic.
            on_snapshot: Called with the newest record of each key at the start,
                and again if records expired before they were read. The callback
                decides whether these records replace those passed on before or
                are added to them.
            on_records: Called with the records after those, in order.
            read_interval_ms: Pause between two reads, in which records
                accumulate.
            skips_superseded: Whether only the newest record of each key
                matters. A reader that is behind then continues from a
                snapshot, which holds no superseded records: on a slow link
                these may take longer than new ones are published.
        """
        self.position: int | None = None
        self.read_interval_ms = read_interval_ms
        self.read_wait_ms = READ_WAIT_MS
        self._clock = clock
        self._log = log
        self._pause_end: interfaces.IDelayedCall | None = None
        self._health = health
        self._topic = topic
        self._skips_superseded = skips_superseded
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._running: defer.Deferred[None] | None = None
        # Increases with each start and stop, so that a loop knows its end.
        self._loop_number = 0
        self._failed_reads = 0
        self._first_failure_s = 0.0
        self._logger = structlog.get_logger().bind(topic=topic.value)

    def start(self) -> None:
        """Starts reading."""
        self._loop_number += 1
        number = self._loop_number
        self._running = defer.ensureDeferred(self._run(number))
        self._running.addErrback(self._on_loop_failure, number)

    def stop(self) -> None:
        """Stops reading and cancels a read in flight."""
        self._loop_number += 1
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    def reset(self) -> None:
        """Forgets the position: the next read begins with a snapshot."""
        self.position = None

    async def catch_up(
        self,
        end_offset: int | None = None,
        timeout_ms: int = CATCH_UP_TIMEOUT_MS,
    ) -> None:
        """Reads to the end of the topic at once, independently of the loop.

        Starts over from a snapshot if the next records have expired.

        Args:
            end_offset: The offset to reach, or None for the current end.
            timeout_ms: The timeout of each read.

        Raises:
            UnreachableError: The log did not answer or refused a call.
            LogTruncatedError: Records expired again after the snapshot.
        """
        started_over = False
        while end_offset is None or not self._has_reached(end_offset):
            if self.position is None:
                await self._read_snapshot()
                if end_offset is None:
                    return
                continue
            try:
                page = await self._read_available(timeout_ms)
            except ports.LogTruncatedError:
                if started_over:
                    raise
                started_over = True
                continue
            if self._has_reached(page.end_offset):
                return

    async def _run(self, number: int) -> None:
        """Reads until `stop`; neither an answer nor a record ends the loop.

        Args:
            number: The number of this loop. A later one may have started before
                the read of a stopped one returns.
        """
        retry_ms = MIN_RETRY_DELAY_MS
        while number == self._loop_number:
            try:
                await self._read_once()
            except ports.LogTruncatedError:
                continue  # The next read begins with a snapshot.
            except Exception as error:
                if number != self._loop_number:
                    return
                self._record_failure(error)
                await self._pause(retry_ms)
                retry_ms = min(retry_ms * 2, MAX_RETRY_DELAY_MS)
            else:
                retry_ms = MIN_RETRY_DELAY_MS
                self._record_recovery()
                await self._pause(self.read_interval_ms)

    async def _read_once(self) -> None:
        if self.position is None:
            await self._read_snapshot()
            return
        if self._failed_reads:
            await self._resume()
            return
        number = self._loop_number
        margin_ms = self._health.call_timeout_ms(WAITING_READ_MARGIN_MS)
        try:
            page = await self._read(
                self.read_wait_ms, self.read_wait_ms + margin_ms
            )
        except ports.UnknownOutcomeError:
            if number != self._loop_number:
                raise
            # While the log compacts a topic, it may hold back the answers of
            # waiting reads only; the others tell whether it is lost.
            await self._read_available(OUTAGE_READ_TIMEOUT_MS)
            return
        if self._is_far_behind(page.end_offset):
            await self._read_snapshot()

    async def _resume(self) -> None:
        """Reads what was missed during an outage."""
        if self._skips_superseded:
            end_offset = await self._log.end_offset(
                self._topic, OUTAGE_READ_TIMEOUT_MS
            )
            if self._is_far_behind(end_offset):
                await self._read_snapshot()
                return
        await self._read_available(OUTAGE_READ_TIMEOUT_MS)

    def _is_far_behind(self, end_offset: int) -> bool:
        if not self._skips_superseded or self.position is None:
            return False
        return end_offset - self.position >= MIN_SKIPPED_RECORDS

    def _has_reached(self, end_offset: int) -> bool:
        return self.position is not None and self.position >= end_offset

    async def _read_available(self, timeout_ms: int) -> ports.LogPage:
        """Reads the available records without waiting for more."""
        started_s = self._clock.seconds()
        page = await self._read(0, timeout_ms)
        self._health.record_answer(self._elapsed_ms(started_s))
        return page

    async def _read(self, wait_ms: int, timeout_ms: int) -> ports.LogPage:
        """Reads a page from the position on and passes on its records.

        Raises:
            UnreachableError: The log did not answer or refused the call.
            LogTruncatedError: The records have expired, or the position was
                forgotten. It is now, unless another read has moved it on.
        """
        offset = self.position
        if offset is None:
            raise ports.LogTruncatedError
        try:
            page = await self._log.read(
                self._topic, offset, wait_ms, timeout_ms
            )
        except ports.LogTruncatedError:
            self._logger.warning("history_lost", position=offset)
            if self.position == offset:
                self.reset()
            raise
        self._handle_page(page, offset)
        return page

    async def _read_snapshot(self) -> None:
        started_s = self._clock.seconds()
        snapshot = await self._log.snapshot(self._topic, SNAPSHOT_TIMEOUT_MS)
        self._health.record_answer()
        self.position = snapshot.end_offset
        self._logger.info(
            "snapshot_read",
            position=self.position,
            records=len(snapshot.records),
            took_ms=self._elapsed_ms(started_s),
        )
        self._pass_on(self._on_snapshot, snapshot.records)

    def _handle_page(self, page: ports.LogPage, offset: int) -> None:
        """Passes on the new records of a page.

        The loop and `catch_up` may read the same records at the same time. A
        page that would leave a gap is dropped: the position was forgotten while
        the page was read, or a snapshot has moved it back.

        Args:
            page: The page.
            offset: The offset from which it was read.
        """
        self._health.record_answer()
        if self.position is None or offset > self.position:
            return
        new_records = [
            record for record in page.records if record.offset >= self.position
        ]
        self.position = max(self.position, page.next_offset)
        if page.size_bytes >= LARGE_PAGE_BYTES:
            self._logger.info(
                "large_page_read",
                position=self.position,
                records=len(page.records),
                records_behind=page.end_offset - page.next_offset,
                size_bytes=page.size_bytes,
                took_ms=page.transfer_ms,
            )
        if new_records:
            self._pass_on(self._on_records, new_records)

    def _pass_on(
        self, callback: OnRecords, records: Sequence[ports.LogRecord]
    ) -> None:
        """Passes on records; those that raise an error are skipped."""
        try:
            callback(records)
        except Exception:
            self._logger.exception(
                "records_skipped",
                first_offset=records[0].offset if records else None,
                records=len(records),
            )

    def read_continuously(self, read_wait_ms: int) -> None:
        """Reads without pauses from now on; a pause in progress ends at once.

        Args:
            read_wait_ms: How long a read waits for new records.
        """
        self.read_interval_ms = 0
        self.read_wait_ms = read_wait_ms
        if self._pause_end is not None and self._pause_end.active():
            self._pause_end.reset(0)

    async def _pause(self, pause_ms: int) -> None:
        paused: defer.Deferred[None] = defer.Deferred()
        self._pause_end = self._clock.callLater(
            pause_ms / _MS_PER_S, paused.callback, None
        )
        try:
            await paused
        finally:
            if self._pause_end.active():
                self._pause_end.cancel()

    def _record_failure(self, error: Exception) -> None:
        """Logs the failures 1, 2, 4, 8 and so on of an outage.

        The log lines of an unexpected error contain its traceback.
        """
        expected = isinstance(error, errors.CitronmountError)
        self._health.record_failure()
        self._failed_reads += 1
        if self._failed_reads == 1:
            self._first_failure_s = self._clock.seconds()
            self._logger.warning(
                "log_lost",
                error=str(error),
                exc_info=None if expected else error,
            )
        elif self._failed_reads.bit_count() == 1:
            self._logger.warning(
                "log_still_lost",
                failed_reads=self._failed_reads,
                error=str(error),
                exc_info=None if expected else error,
            )

    def _record_recovery(self) -> None:
        if self._failed_reads:
            self._logger.info(
                "log_regained",
                position=self.position,
                failed_reads=self._failed_reads,
                took_ms=self._elapsed_ms(self._first_failure_s),
            )
            self._failed_reads = 0

    def _elapsed_ms(self, start_s: float) -> int:
        return int((self._clock.seconds() - start_s) * _MS_PER_S)

    def _on_loop_failure(self, reason: failure.Failure, number: int) -> None:
        if number == self._loop_number:
            self._logger.error("tail_failed", error=reason.getTraceback())
