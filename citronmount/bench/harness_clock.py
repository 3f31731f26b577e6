"""A virtual clock with a heap of pending actions."""

from collections.abc import Callable
import heapq
import itertools

__all__ = ["US_PER_MS", "VirtualClock"]

US_PER_MS = 1_000


class VirtualClock:
    """Runs actions in the order of their virtual times.

    Actions of the same time run in the order in which they were scheduled.

    Examples:
        >>> clock = VirtualClock()
        >>> clock.after_ms(5, print, "later")
        >>> clock.run_until_ms(10)
        later
    """

    def __init__(self) -> None:
        """Initializes the clock at zero with nothing to run."""
        self.now_us = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple]] = []
        self._counter = itertools.count()

    @property
    def now_ms(self) -> int:
        """The virtual time in whole milliseconds."""
        return self.now_us // US_PER_MS

    def after_us(
        self, delay_us: int, action: Callable[..., object], *args: object
    ) -> None:
        """Schedules an action.

        Args:
            delay_us: How long from now.
            action: What to call.
            *args: Its arguments.
        """
        at_us = self.now_us + max(0, delay_us)
        heapq.heappush(self._heap, (at_us, next(self._counter), action, args))

    def after_ms(
        self, delay_ms: float, action: Callable[..., object], *args: object
    ) -> None:
        """Schedules an action.

        Args:
            delay_ms: How long from now.
            action: What to call.
            *args: Its arguments.
        """
        self.after_us(round(delay_ms * US_PER_MS), action, *args)

    def run_until_ms(self, until_ms: int) -> None:
        """Runs every action that is due up to a time.

        Args:
            until_ms: The time; the clock shows it afterwards.
        """
        until_us = until_ms * US_PER_MS
        while self._heap and self._heap[0][0] <= until_us:
            at_us, _, action, args = heapq.heappop(self._heap)
            self.now_us = at_us
            action(*args)
        self.now_us = max(self.now_us, until_us)
