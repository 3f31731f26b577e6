"""Confirms with workers that no other VM has taken over as owner."""

from collections.abc import Callable
import itertools

from citronmount.agent import context
from citronmount.clients import messages
from citronmount.core import ids

__all__ = ["TokenCheck"]

PROBED_WORKERS = 3
RETRY_MS = 500


class TokenCheck:
    """Probes a few workers for a fencing token higher than the owner's.

    A VM that takes over fences the workers before it reads the job stream. If
    a worker still has this owner's token after a record became durable, a
    later owner therefore reads the stream after that and finds the record.
    This does not cover a takeover that continues without that worker (silent
    for `ownership.FENCE_TIMEOUT_MS`) or without the log (after
    `ownership.MAX_LOG_READ_ATTEMPTS` failed reads).
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
            token: The fencing token of this owner.
            on_fenced: Called with the higher token if a worker reports one.
        """
        self._ctx = ctx
        self._token = token
        self._on_fenced = on_fenced
        self._workers: tuple[messages.ListedTarget, ...] = ()
        self._next_worker = 0
        self._awaiting_probe: list[Callable[[], None]] = []
        self._awaiting_answer: list[Callable[[], None]] = []
        self._open_probes = 0
        self._next_probe_ms = 0
        self._fenced = False

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Sets the workers that may be probed.

        Args:
            workers: The workers of the failure domain.
        """
        self._workers = workers

    def confirm(self, on_confirmed: Callable[[], None]) -> None:
        """Calls back once a worker has confirmed the token.

        Up to `PROBED_WORKERS` workers are probed at once; the first answer
        without a higher token confirms this one. If none of them answers,
        others are probed later.

        Args:
            on_confirmed: Called at the first confirmation by a probe sent
                from now on, or without a probe if there are no workers. Not
                called if a worker has reported a higher token before that.
        """
        self._awaiting_probe.append(on_confirmed)
        self._probe()

    def tick(self) -> None:
        """Probes again while callbacks wait and no probe is open."""
        if self._ctx.now_ms >= self._next_probe_ms:
            self._probe()

    def _probe(self) -> None:
        has_callbacks = bool(self._awaiting_probe or self._awaiting_answer)
        if self._open_probes or not has_callbacks or self._fenced:
            return
        self._awaiting_answer.extend(self._awaiting_probe)
        self._awaiting_probe.clear()
        self._next_probe_ms = self._ctx.now_ms + RETRY_MS
        targets = self._next_targets()
        if not targets:
            self._report_confirmed()
            return
        self._open_probes = len(targets)
        call = messages.WorkerCall(token=self._token, known_sequence=1 << 60)
        for target in targets:
            self._ctx.call_worker(target, call, self._handle_answer)

    def _next_targets(self) -> list[messages.ListedTarget]:
        offset = self._next_worker
        self._next_worker += PROBED_WORKERS
        count = min(PROBED_WORKERS, len(self._workers))
        cycle = itertools.cycle(self._workers)
        first = offset % len(self._workers) if self._workers else 0
        return list(itertools.islice(cycle, first, first + count))

    def _handle_answer(self, answer: messages.WorkerAnswer | None) -> None:
        self._open_probes -= 1
        if answer is not None and answer.token > self._token:
            self._fenced = True
            self._on_fenced(answer.token)
        elif answer is not None and not self._fenced:
            self._report_confirmed()
        if not self._open_probes and self._awaiting_probe:
            self._probe()

    def _report_confirmed(self) -> None:
        confirmed = self._awaiting_answer
        self._awaiting_answer = []
        for on_confirmed in confirmed:
            on_confirmed()
