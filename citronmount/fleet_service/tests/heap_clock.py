"""A virtual clock that remains fast with thousands of delayed calls."""

import heapq
import itertools

from twisted.internet import base
from twisted.internet import task

__all__ = ["HeapClock"]


class HeapClock(task.Clock):
    """A test clock that keeps its delayed calls in a heap.

    Twisted's own test clock sorts all calls whenever one is added.
    """

    def __init__(self) -> None:
        """Initializes the clock at 0 s."""
        super().__init__()
        self._heap: list[tuple[float, int, base.DelayedCall]] = []
        self._sequence_numbers = itertools.count()

    def callLater(  # noqa: N802, name set by IReactorTime
        self, when: float, what: object, *args: object, **options: object
    ) -> base.DelayedCall:
        """Schedules a call in `when` seconds of virtual time."""
        call = base.DelayedCall(
            self.seconds() + when,
            what,
            args,
            options,
            lambda cancelled: None,
            self._push,
            self.seconds,
        )
        self._push(call)
        return call

    def advance(self, amount: float) -> None:
        """Advances the clock and runs the calls that have become due."""
        self.rightNow += amount
        while self._heap and self._heap[0][0] <= self.seconds():
            _, _, call = heapq.heappop(self._heap)
            if not call.active():
                continue
            if call.getTime() > self.seconds():
                self._push(call)
                continue
            call.called = 1
            call.func(*call.args, **call.kw)

    def _push(self, call: base.DelayedCall) -> None:
        heapq.heappush(
            self._heap, (call.getTime(), next(self._sequence_numbers), call)
        )
