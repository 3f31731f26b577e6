"""Confirms with workers that no other scheduler has taken over."""

from collections.abc import Callable
import itertools

from citronmount.agent import context
from citronmount.clients import messages
from citronmount.core import ids

__all__ = ["TokenCheck"]

PROBED_WORKERS = 3
RETRY_MS = 500


class TokenCheck:
    """Asks a few workers whether the own fencing token is still the highest.

    A scheduler that takes over fences its workers before it reads the job
    stream. So when a worker still has the own token after a record has become
    durable, any later scheduler will read that record.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        token: ids.FenceToken,
        on_fenced: Callable[[ids.FenceToken], None],
    ) -> None:
        """Initializes without workers.

        Args:
            ctx: The shared context.
            token: The own fencing token.
            on_fenced: Told when a worker has seen a higher one.
        """
        self._ctx = ctx
        self._token = token
        self._on_fenced = on_fenced
        self._workers: tuple[messages.ListedTarget, ...] = ()
        self._next_worker = 0
        self._waiting: list[Callable[[], None]] = []
        self._covered: list[Callable[[], None]] = []
        self._open_probes = 0
        self._retry_ms = 0
        self._fenced = False

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Takes over the workers that may be asked.

        Args:
            workers: The workers of the failure domain.
        """
        self._workers = workers

    def confirm(self, on_confirmed: Callable[[], None]) -> None:
        """Calls back once the token is confirmed; never, if it is not.

        Args:
            on_confirmed: What to do then.
        """
        self._waiting.append(on_confirmed)
        self._probe()

    def tick(self) -> None:
        """Asks again if no worker has answered."""
        if self._ctx.now_ms >= self._retry_ms:
            self._probe()

    def _probe(self) -> None:
        waits = bool(self._waiting or self._covered)
        if self._open_probes or not waits or self._fenced:
            return
        self._covered.extend(self._waiting)
        self._waiting.clear()
        self._retry_ms = self._ctx.now_ms + RETRY_MS
        targets = self._next_targets()
        if not targets:
            self._confirmed()
            return
        self._open_probes = len(targets)
        call = messages.WorkerCall(token=self._token, known_sequence=1 << 60)
        for target in targets:
            self._ctx.call_worker(target, call, self._answered)

    def _next_targets(self) -> list[messages.ListedTarget]:
        start = self._next_worker
        self._next_worker += PROBED_WORKERS
        count = min(PROBED_WORKERS, len(self._workers))
        ring = itertools.cycle(self._workers)
        begin = start % len(self._workers) if self._workers else 0
        return list(itertools.islice(ring, begin, begin + count))

    def _answered(self, answer: messages.WorkerAnswer | None) -> None:
        self._open_probes -= 1
        if answer is not None and answer.token > self._token:
            self._fenced = True
            self._on_fenced(answer.token)
        elif answer is not None and not self._fenced:
            self._confirmed()
        if not self._open_probes and self._waiting:
            self._probe()

    def _confirmed(self) -> None:
        covered = self._covered
        self._covered = []
        for on_confirmed in covered:
            on_confirmed()
