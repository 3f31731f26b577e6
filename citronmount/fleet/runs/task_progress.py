"""Progress rate of a running task, from the percentages its worker reports."""

__all__ = ["TaskProgress"]

MIN_CHANGE_PERCENT = 15.0
MIN_ROUGH_RATE_MS = 800

_FULL_PERCENT = 100.0
_MS_PER_S = 1_000


class TaskProgress:
    """First and newest progress report of one run of a task.

    Reports of 100 percent do not enter the rate: a task that has finished its
    work stays at 100 percent while it waits for the rest of its gang.
    """

    def __init__(self) -> None:
        """Initializes a task without reports."""
        self._first: tuple[int, float] | None = None
        self._newest: tuple[int, float] | None = None
        self._changed_ms = 0

    def add_report(self, percent: float, clock_ms: int) -> None:
        """Adds a report; ignores one that is not newer than the last.

        Args:
            percent: Completed share of the work in percent.
            clock_ms: Worker's clock at the report, in milliseconds.
        """
        if self._newest is not None and clock_ms <= self._newest[0]:
            return
        if self._newest is None or percent != self._newest[1]:
            self._changed_ms = clock_ms
        if percent >= _FULL_PERCENT:
            return
        self._first = self._first or (clock_ms, percent)
        self._newest = (clock_ms, percent)

    @property
    def percent_per_s(self) -> float | None:
        """Progress rate, or None before `MIN_CHANGE_PERCENT` of progress."""
        if self._first is None or self._newest is None:
            return None
        gained = self._newest[1] - self._first[1]
        if gained < MIN_CHANGE_PERCENT:
            return None
        return gained * _MS_PER_S / (self._newest[0] - self._first[0])

    @property
    def gained_percent(self) -> float:
        """Progress between the first and the newest report below 100."""
        if self._first is None or self._newest is None:
            return 0.0
        return self._newest[1] - self._first[1]

    @property
    def measured_ms(self) -> int:
        """Time between the first and the newest report below 100."""
        if self._first is None or self._newest is None:
            return 0
        return self._newest[0] - self._first[0]

    @property
    def percent(self) -> float:
        """Newest reported percentage below 100."""
        return self._newest[1] if self._newest else 0.0

    @property
    def rough_percent_per_s(self) -> float | None:
        """Rough progress rate, None before `MIN_ROUGH_RATE_MS` of reports.

        Accurate enough to detect a member that is several times slower, but not
        to compare the speeds of workers.
        """
        if self._first is None or self._newest is None:
            return None
        elapsed_ms = self._newest[0] - self._first[0]
        if elapsed_ms < MIN_ROUGH_RATE_MS:
            return None
        return (self._newest[1] - self._first[1]) * _MS_PER_S / elapsed_ms

    @property
    def unchanged_ms(self) -> int:
        """Time without change of the percentage, up to the newest report."""
        if self._newest is None:
            return 0
        return max(self._newest[0] - self._changed_ms, 0)
