"""The attempts to run short requests that are in flight."""

import msgspec

from citronmount.core import ids

__all__ = ["Attempt", "AttemptTable"]


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """Sending of a request to a runner; holds a slot until it is answered.

    Attributes:
        request: Request id.
        runner: Runner.
        account: Client account of the request.
        number: Number of the attempt, from 1.
        sent_ms: Monotonic time of sending.
    """

    request: ids.RequestId
    runner: ids.RunnerId
    account: ids.AccountId
    number: int
    sent_ms: int


class AttemptTable:
    """The attempts in flight by request.

    Attributes:
        count: Number of attempts in flight.
    """

    def __init__(self) -> None:
        """Initializes an empty table."""
        self.count = 0
        self._attempts: dict[ids.RequestId, list[Attempt]] = {}

    def __contains__(self, request: ids.RequestId) -> bool:
        """Returns whether an attempt of a request is in flight."""
        return request in self._attempts

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt."""
        self._attempts.setdefault(attempt.request, []).append(attempt)
        self.count += 1

    def remove(
        self, request: ids.RequestId, runner: ids.RunnerId, number: int | None
    ) -> Attempt | None:
        """Removes an attempt.

        Args:
            request: Request id.
            runner: Runner.
            number: Number of the attempt, or None for the oldest one of the
                request at the runner.

        Returns:
            The attempt, or None if it is not in flight.
        """
        in_flight = self._attempts.get(request, [])
        ended = next(
            (
                attempt
                for attempt in in_flight
                if attempt.runner == runner and number in (None, attempt.number)
            ),
            None,
        )
        if ended is None:
            return None
        in_flight.remove(ended)
        if not in_flight:
            del self._attempts[request]
        self.count -= 1
        return ended
