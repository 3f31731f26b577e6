"""Whether a part of the log answered this VM last time it was called.

The topics may lie on different machines of the site, so one may be silent
while the others answer: what takes jobs in only looks at the job topic.

Load pattern: the log is silent for seconds while callers go on. A call whose
record is not sent can truthfully be refused, at once.
"""

from twisted.internet import interfaces

__all__ = ["LogContact"]

_MS_PER_S = 1_000


class LogContact:
    """Notes the outcome of every call at the log."""

    def __init__(self, *, clock: interfaces.IReactorTime) -> None:
        """Initializes as if the log had just answered.

        Args:
            clock: The reactor.
        """
        self._clock = clock
        self._answered_s = clock.seconds()
        self._failed = False

    @property
    def lost(self) -> bool:
        """Whether the newest call got no answer or was refused."""
        return self._failed

    def answered(self) -> None:
        """Notes an answer."""
        self._answered_s = self._clock.seconds()
        self._failed = False

    def failed(self) -> None:
        """Notes a call that got no answer or was refused."""
        self._failed = True

    def silent_ms(self) -> int:
        """Returns the time since the last answer."""
        return int((self._clock.seconds() - self._answered_s) * _MS_PER_S)
