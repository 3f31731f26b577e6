"""Cache of the advice of queue policies: which workers may run a step.

The policy's decision on a step and a worker never changes, but a ticket is
valid only for a limited time and for one incarnation of the worker. At most
one advice request is pending at a time, because the advice service handles the
requests of a VM one by one.
"""

from collections.abc import Iterable
import typing

import msgspec

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.workers import worker_directory

__all__ = ["AdviceCache"]

MAX_WORKERS_PER_REQUEST = 30
RETRY_MS = 200
TICKET_MARGIN_MS = 300

StepId = typing.NewType("StepId", str)


class _Ticket(msgspec.Struct, frozen=True, kw_only=True):
    text: str
    life_ms: int
    until_ms: int


class AdviceCache:
    """Tickets and refusals per step."""

    def __init__(self) -> None:
        """Initializes an empty cache."""
        self._tickets: dict[StepId, dict[ids.WorkerId, _Ticket]] = {}
        self._refused: dict[StepId, set[ids.WorkerId]] = {}
        self._last_requests: dict[StepId, int] = {}
        self._request_count = 0
        self._request_pending = False
        self._next_request_ms = 0

    def ticket(
        self, step: StepId, worker: worker_directory.Worker, now_ms: int
    ) -> str:
        """Returns a valid ticket of a step for a worker, or an empty string."""
        cached = self._tickets.get(step, {}).get(worker.worker)
        if cached is None or cached.life_ms != worker.life_ms:
            return ""
        return cached.text if now_ms < cached.until_ms else ""

    def next_request(
        self,
        step: StepId,
        candidates: Iterable[worker_directory.Worker],
        now_ms: int,
    ) -> commands.RequestAdvice | None:
        """Returns the advice request that is due for a step, if any.

        Covers the first `MAX_WORKERS_PER_REQUEST` candidates that have neither
        a valid ticket nor a refusal.

        Args:
            step: Id of the step in one occurrence.
            candidates: Workers that could run the step.
            now_ms: Monotonic time in milliseconds.

        Returns:
            The request, or None. No further request is returned before
            `store_answer` or `request_failed` is called.
        """
        if self._request_pending or now_ms < self._next_request_ms:
            return None
        refused = self._refused.get(step, set())
        undecided = [
            worker
            for worker in candidates
            if worker.worker not in refused
            and not self.ticket(step, worker, now_ms)
        ]
        if not undecided:
            return None
        self._request_pending = True
        self._request_count += 1
        self._last_requests[step] = self._request_count
        return commands.RequestAdvice(
            step=step, workers=tuple(undecided[:MAX_WORKERS_PER_REQUEST])
        )

    def last_request(self, step: StepId) -> int:
        """Returns the number of a step's last request, 0 before the first."""
        return self._last_requests.get(step, 0)

    def store_answer(
        self,
        advice_request: commands.RequestAdvice,
        answer: commands.AdviceAnswer,
        now_ms: int,
    ) -> None:
        """Stores the tickets and refusals of an answer.

        Tickets expire `TICKET_MARGIN_MS` early, so that they are still valid
        when they reach the worker.
        """
        self._request_pending = False
        tickets = self._tickets.setdefault(StepId(advice_request.step), {})
        refused = self._refused.setdefault(StepId(advice_request.step), set())
        until_ms = now_ms + answer.valid_ms - TICKET_MARGIN_MS
        for worker in advice_request.workers:
            text = answer.tickets.get(worker.worker)
            if text is None:
                refused.add(worker.worker)
                continue
            tickets[worker.worker] = _Ticket(
                text=text, life_ms=worker.life_ms, until_ms=until_ms
            )

    def request_failed(self, now_ms: int) -> None:
        """Handles a request without an answer; allows a retry later."""
        self._request_pending = False
        self._next_request_ms = now_ms + RETRY_MS

    def drop_ticket(self, step: StepId, worker: ids.WorkerId) -> None:
        """Drops a ticket that a worker rejected."""
        self._tickets.get(step, {}).pop(worker, None)

    def forget_job(self, job: ids.JobId) -> None:
        """Drops the tickets and refusals of all steps of a job."""
        prefix = f"{job}."
        for by_step in (self._tickets, self._refused, self._last_requests):
            for step in [each for each in by_step if each.startswith(prefix)]:
                del by_step[step]
