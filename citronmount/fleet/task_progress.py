"""How a running task gets on, from the shares that its worker reports."""

__all__ = ["TaskProgress"]

MIN_CHANGE_PERCENT = 15.0
MIN_ROUGH_RATE_MS = 800

_WHOLE_PERCENT = 100.0
_MS_PER_S = 1_000


class TaskProgress:
    """The first and the newest share of one run of a task.

    A task that has done its work but waits for the rest of its gang stays at
    100 percent, which tells nothing of its rate.
    """

    def __init__(self) -> None:
        """Initializes a task of which nothing was reported."""
        self._first: tuple[int, float] | None = None
        self._last: tuple[int, float] | None = None
        self._changed_ms = 0

    def add_report(self, percent: float, clock_ms: int) -> None:
        """Takes in a report.

        Args:
            percent: The share of its work that is done.
            clock_ms: The worker's clock.
        """
        if self._last is not None and clock_ms <= self._last[0]:
            return
        if self._last is None or percent != self._last[1]:
            self._changed_ms = clock_ms
        if percent >= _WHOLE_PERCENT:
            return
        self._first = self._first or (clock_ms, percent)
        self._last = (clock_ms, percent)

    @property
    def percent_per_s(self) -> float | None:
        """The rate at which the task gets on, or None if it is not known."""
        if self._first is None or self._last is None:
            return None
        change = self._last[1] - self._first[1]
        if change < MIN_CHANGE_PERCENT:
            return None
        return change * _MS_PER_S / (self._last[0] - self._first[0])

    @property
    def percent(self) -> float:
        """The newest share that is below the whole."""
        return self._last[1] if self._last else 0.0

    @property
    def rough_percent_per_s(self) -> float | None:
        """The rate as far as it shows by now, or None before that.

        Good enough to tell a multiple, not to compare speeds.
        """
        if self._first is None or self._last is None:
            return None
        elapsed_ms = self._last[0] - self._first[0]
        if elapsed_ms < MIN_ROUGH_RATE_MS:
            return None
        return (self._last[1] - self._first[1]) * _MS_PER_S / elapsed_ms

    @property
    def unchanged_ms(self) -> int:
        """How long the share has not changed by the newest report."""
        if self._last is None:
            return 0
        return max(self._last[0] - self._changed_ms, 0)
