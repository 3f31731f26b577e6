"""Tracks whether the log answered the latest call of this VM.

The topics of the log may be served by different machines of the site, so one
topic may stop answering while the others do not. The calls on the job topic
therefore have an instance of their own, and the job service considers only
that one.

The log may not answer for seconds while clients keep submitting jobs. A
submission whose record was never sent can be refused at once, because it is
certain that the job will not run.
"""

from twisted.internet import interfaces

__all__ = ["LogHealth"]

LATENCY_TIMEOUT_FACTOR = 1.5
MAX_TIMEOUT_MS = 900

_MS_PER_S = 1_000


class LogHealth:
    """Records whether the calls on one topic, or on several, were answered."""

    def __init__(self, *, clock: interfaces.IReactorTime) -> None:
        """Initializes as if the log had just answered.

        Args:
            clock: The reactor.
        """
        self._clock = clock
        self._last_answer_s = clock.seconds()
        self._last_call_failed = False
        self._latency_ms = 0

    @property
    def last_call_failed(self) -> bool:
        """Whether the latest call got no answer or was refused."""
        return self._last_call_failed

    def record_answer(self, latency_ms: int | None = None) -> None:
        """Records an answer.

        Args:
            latency_ms: The duration of a call that did not wait for records,
                or None for any other call.
        """
        if latency_ms is not None:
            self._latency_ms = latency_ms
        self._last_answer_s = self._clock.seconds()
        self._last_call_failed = False

    def record_failure(self) -> None:
        """Records a call that got no answer or was refused."""
        self._last_call_failed = True

    def call_timeout_ms(self, default_ms: int) -> int:
        """Returns the timeout of the next call.

        The next answer may take as long as the last one, so the timeout grows
        with the latest latency, up to `MAX_TIMEOUT_MS`. Otherwise a slow log
        would count as unreachable.

        Args:
            default_ms: The timeout for a log with a low latency.

        Returns:
            Milliseconds.
        """
        scaled_ms = min(
            int(self._latency_ms * LATENCY_TIMEOUT_FACTOR), MAX_TIMEOUT_MS
        )
        return max(default_ms, scaled_ms)

    def since_answer_ms(self) -> int:
        """Returns the time since the last answer in milliseconds."""
        return int((self._clock.seconds() - self._last_answer_s) * _MS_PER_S)
