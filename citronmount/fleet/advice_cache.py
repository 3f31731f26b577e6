"""Which workers a queue's policy allows for a step, as far as asked.

A step's answer on a worker never changes; a ticket is valid for a while and
for one life of the worker. One question is on its way at a time, as the
service answers each VM in turn.
"""

from collections.abc import Iterable
import typing

import msgspec

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import worker_directory

__all__ = ["AdviceCache"]

WORKERS_PER_QUESTION = 30
RETRY_MS = 200
TICKET_MARGIN_MS = 300

StepId = typing.NewType("StepId", str)


class _Ticket(msgspec.Struct, frozen=True, kw_only=True):
    text: str
    life_ms: int
    until_ms: int


class AdviceCache:
    """Tickets and refusals of every step."""

    def __init__(self) -> None:
        """Initializes without any answer."""
        self._tickets: dict[StepId, dict[ids.WorkerId, _Ticket]] = {}
        self._refused: dict[StepId, set[ids.WorkerId]] = {}
        self._open = False
        self._next_ms = 0

    def ticket(
        self, step: StepId, worker: worker_directory.Worker, now_ms: int
    ) -> str:
        """Returns the valid ticket of a step for a worker, or empty."""
        found = self._tickets.get(step, {}).get(worker.worker)
        if found is None or found.life_ms != worker.life_ms:
            return ""
        return found.text if now_ms < found.until_ms else ""

    def next_question(
        self,
        step: StepId,
        candidates: Iterable[worker_directory.Worker],
        now_ms: int,
    ) -> commands.RequestAdvice | None:
        """Returns the question that is due for a step, if any.

        Args:
            step: The step of one occurrence.
            candidates: Workers that could run it, the best first.
            now_ms: Steady time in milliseconds.

        Returns:
            The question; its answer has to come before the next one.
        """
        if self._open or now_ms < self._next_ms:
            return None
        refused = self._refused.get(step, set())
        unknown = [
            worker
            for worker in candidates
            if worker.worker not in refused
            and not self.ticket(step, worker, now_ms)
        ]
        if not unknown:
            return None
        self._open = True
        return commands.RequestAdvice(
            step=step, workers=tuple(unknown[:WORKERS_PER_QUESTION])
        )

    def answered(
        self,
        advice_request: commands.RequestAdvice,
        answer: commands.AdviceAnswer,
        now_ms: int,
    ) -> None:
        """Takes in the answer to a question."""
        self._open = False
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

    def unanswered(self, now_ms: int) -> None:
        """Takes in that a question got no answer."""
        self._open = False
        self._next_ms = now_ms + RETRY_MS

    def drop(self, step: StepId, worker: ids.WorkerId) -> None:
        """Drops a ticket that a worker did not take."""
        self._tickets.get(step, {}).pop(worker, None)

    def forget_job(self, job: ids.JobId) -> None:
        """Drops the answers on all steps of a job."""
        prefix = f"{job}."
        for kept in (self._tickets, self._refused):
            for step in [each for each in kept if each.startswith(prefix)]:
                del kept[step]
