"""A sink for log lines that never blocks and drops what is too much.

Load pattern: a burst of calls makes thousands of lines a second while the
reader of the stream is slow or gone.
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

_ROUTINE_MARKS = ('"level":"info"', '"level":"debug"')


class TokenBucket:
    """A token bucket."""

    def __init__(
        self, *, per_s: float, burst: float, clock: Callable[[], float]
    ) -> None:
        """Initializes a full bucket.

        Args:
            per_s: Tokens that come back each second.
            burst: The most tokens it holds.
            clock: Tells a steady time in seconds.
        """
        self._per_s = per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._filled_s = clock()

    def take(self) -> bool:
        """Takes a token and returns whether there was one."""
        now_s = self._clock()
        gained = (now_s - self._filled_s) * self._per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedSink:
    """Writes lines to a descriptor without waiting for its reader.

    Attributes:
        dropped: Lines that were not written so far.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the sink and makes the descriptor non-blocking.

        Args:
            descriptor: Where the lines go.
            clock: Tells a steady time in seconds.
        """
        os.set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._told = 0
        self._routine = TokenBucket(
            per_s=LINES_PER_S, burst=BURST_LINES, clock=clock
        )
        self._urgent = TokenBucket(
            per_s=URGENT_LINES_PER_S, burst=URGENT_BURST_LINES, clock=clock
        )

    def write(self, text: str) -> None:
        """Writes a line, or drops it.

        Args:
            text: The line with its end.
        """
        routine = any(mark in text for mark in _ROUTINE_MARKS)
        bucket = self._routine if routine else self._urgent
        if not bucket.take():
            self.dropped_lines += 1
            return
        if self.dropped_lines > self._told:
            self._tell_dropped()
        if not self._put(text):
            self.dropped_lines += 1

    def flush(self) -> None:
        """Does nothing, as each line is written at once."""

    def _tell_dropped(self) -> None:
        count = self.dropped_lines
        line = f'{{"event":"log_lines_dropped","total":{count}}}\n'
        if self._put(line):
            self._told = count

    def _put(self, text: str) -> bool:
        data = text.encode("utf-8", "replace")
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            return os.write(self._descriptor, data) == len(data)
        except (BlockingIOError, BrokenPipeError):
            return False
