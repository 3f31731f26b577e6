"""A rate-limited sink for log lines that never blocks the process.

A burst of calls can produce thousands of log lines a second while the reader
of the stream is slow or gone. Lines beyond the limits, or that the reader does
not take, are dropped and counted.
"""

from collections.abc import Callable
import os
import time

__all__ = ["BoundedSink", "TokenBucket"]

LINES_PER_S = 300
BURST_LINES = 3_000
URGENT_LINES_PER_S = 100
URGENT_BURST_LINES = 1_000
MAX_LINE_BYTES = 4_000

_ROUTINE_LEVELS = ('"level":"info"', '"level":"debug"')


class TokenBucket:
    """A token bucket that limits a rate but allows bursts."""

    def __init__(
        self,
        *,
        tokens_per_s: float,
        capacity: float,
        clock: Callable[[], float],
    ) -> None:
        """Initializes a full bucket.

        Args:
            tokens_per_s: Refill rate.
            capacity: Maximum number of tokens in the bucket.
            clock: Returns a monotonic time in seconds.
        """
        self._tokens_per_s = tokens_per_s
        self._capacity = capacity
        self._clock = clock
        self._tokens = capacity
        self._refilled_s = clock()

    def take(self) -> bool:
        """Takes one token and returns whether one was available."""
        now_s = self._clock()
        gained = (now_s - self._refilled_s) * self._tokens_per_s
        self._tokens = min(self._capacity, self._tokens + gained)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedSink:
    """Writes log lines to a file descriptor without waiting for its reader.

    Lines of level info and debug have one rate limit, all others (warnings and
    errors) a separate one, so that routine lines can't displace them.

    Attributes:
        dropped_lines: Number of lines that were dropped so far.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the sink and makes the descriptor non-blocking.

        Args:
            descriptor: File descriptor that the lines are written to.
            clock: Returns a monotonic time in seconds.
        """
        os.set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._reported_drops = 0
        self._routine_limit = TokenBucket(
            tokens_per_s=LINES_PER_S, capacity=BURST_LINES, clock=clock
        )
        self._urgent_limit = TokenBucket(
            tokens_per_s=URGENT_LINES_PER_S,
            capacity=URGENT_BURST_LINES,
            clock=clock,
        )

    def write(self, text: str) -> None:
        """Writes a line, or drops it.

        A line is dropped if it exceeds the rate limit or if the descriptor does
        not accept all of it at once. If lines were dropped since the last
        report, a line with their total number is written first.

        Args:
            text: The line with its line break. Beyond `MAX_LINE_BYTES` it is
                truncated.
        """
        routine = any(level in text for level in _ROUTINE_LEVELS)
        limit = self._routine_limit if routine else self._urgent_limit
        if not limit.take():
            self.dropped_lines += 1
            return
        if self.dropped_lines > self._reported_drops:
            self._report_dropped_lines()
        if not self._write_to_descriptor(text):
            self.dropped_lines += 1

    def flush(self) -> None:
        """Does nothing, because each line is written at once."""

    def _report_dropped_lines(self) -> None:
        count = self.dropped_lines
        line = f'{{"event":"log_lines_dropped","total":{count}}}\n'
        if self._write_to_descriptor(line):
            self._reported_drops = count

    def _write_to_descriptor(self, text: str) -> bool:
        """Writes text and returns whether all of it was written."""
        data = text.encode("utf-8", "replace")
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            return os.write(self._descriptor, data) == len(data)
        except (BlockingIOError, BrokenPipeError):
            return False
