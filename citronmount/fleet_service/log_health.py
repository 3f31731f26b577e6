"""Whether a part of the log answered this VM last time it was called.

The topics may lie on different machines of the site, so one may be silent
while the others answer: what takes jobs in only looks at the job topic.

Load pattern: the log is silent for seconds while callers go on. A call whose
record is not sent can truthfully be refused, at once.
"""

from twisted.internet import interfaces

__all__ = ["LogHealth"]

LATENCY_TIMEOUT_FACTOR = 1.5
MAX_TIMEOUT_MS = 900

_MS_PER_S = 1_000


class LogHealth:
    """Notes the outcome of every call at the log."""

    def __init__(self, *, clock: interfaces.IReactorTime) -> None:
        """Initializes as if the log had just answered.

        Args:
            clock: The reactor.
        """
        self._clock = clock
        self._answered_s = clock.seconds()
        self._failed = False
        self._took_ms = 0

    @property
    def last_call_failed(self) -> bool:
        """Whether the newest call got no answer or was refused."""
        return self._failed

    def record_answer(self, took_ms: int | None = None) -> None:
        """Notes an answer.

        Args:
            took_ms: How long a call took that did not have to wait for
                anything, if it was one.
        """
        if took_ms is not None:
            self._took_ms = took_ms
        self._answered_s = self._clock.seconds()
        self._failed = False

    def record_failure(self) -> None:
        """Notes a call that got no answer or was refused."""
        self._failed = True

    def timeout_ms(self, usual_ms: int) -> int:
        """Returns how long to wait for an answer.

        A log that is slow is not silent: its next answer may take as long as
        its last one.

        Args:
            usual_ms: How long to wait for a log that was quick.

        Returns:
            Milliseconds.
        """
        slow_ms = min(
            int(self._took_ms * LATENCY_TIMEOUT_FACTOR), MAX_TIMEOUT_MS
        )
        return max(usual_ms, slow_ms)

    def since_answer_ms(self) -> int:
        """Returns the time since the last answer."""
        return int((self._clock.seconds() - self._answered_s) * _MS_PER_S)
