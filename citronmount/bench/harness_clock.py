"""Virtual clock with a heap of pending callbacks."""

from collections.abc import Callable
import heapq
import itertools

__all__ = ["US_PER_MS", "VirtualClock"]

US_PER_MS = 1_000


class VirtualClock:
    """Runs callbacks in the order of their virtual times.

    Callbacks with equal times run in the order in which they were scheduled.

    Examples:
        >>> clock = VirtualClock()
        >>> clock.after_ms(5, print, "later")
        >>> clock.run_until_ms(10)
        later
    """

    def __init__(self) -> None:
        """Initializes the clock at zero without callbacks."""
        self.now_us = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple]] = []
        self._counter = itertools.count()

    @property
    def now_ms(self) -> int:
        """Virtual time in whole milliseconds."""
        return self.now_us // US_PER_MS

    def after_us(
        self, delay_us: int, callback: Callable[..., object], *args: object
    ) -> None:
        """Schedules a callback.

        Args:
            delay_us: Delay from now in us; a negative one counts as 0.
            callback: The function to call.
            *args: Arguments of the callback.
        """
        at_us = self.now_us + max(0, delay_us)
        heapq.heappush(self._heap, (at_us, next(self._counter), callback, args))

    def after_ms(
        self, delay_ms: float, callback: Callable[..., object], *args: object
    ) -> None:
        """Schedules a callback.

        Args:
            delay_ms: Delay from now in ms, rounded to whole us.
            callback: The function to call.
            *args: Arguments of the callback.
        """
        self.after_us(round(delay_ms * US_PER_MS), callback, *args)

    def run_until_ms(self, until_ms: int) -> None:
        """Runs every callback that is due up to a time.

        Args:
            until_ms: The time, which the clock then shows unless it was later
                before.
        """
        until_us = until_ms * US_PER_MS
        while self._heap and self._heap[0][0] <= until_us:
            at_us, _, callback, args = heapq.heappop(self._heap)
            self.now_us = at_us
            callback(*args)
        self.now_us = max(self.now_us, until_us)
