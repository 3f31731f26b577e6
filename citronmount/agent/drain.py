"""Stops a VM without cutting a request or losing a record."""

from citronmount.agent import call_desk
from citronmount.agent import context
from citronmount.agent import effects
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import ownership as ownership_lib
from citronmount.agent import request_desk
from citronmount.core import ids
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.telemetry import events as timeline

__all__ = ["Drain"]

LAME_DUCK_MS = 2_000
RESUME_REST_MS = 1_000
HANDOVER_TIMEOUT_MS = 1_000


class Drain:
    """Goes from the request to stop to the exit.

    Readiness goes off first, while calls are still served, so that the
    balancer can turn away. Then new calls are refused, what is open is
    finished, and what the log does not have yet is passed to peers.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: view_lib.MembershipView,
        outbox: outbox_lib.Outbox,
        ownership: ownership_lib.Ownership,
        calls: call_desk.CallDesk,
        requests: request_desk.RequestDesk,
    ) -> None:
        """Initializes a VM that is not stopping.

        Args:
            ctx: The shared context.
            view: Tells peers that the VM drains.
            outbox: What the log does not have yet.
            ownership: The owned failure domain.
            calls: Open calls of callers.
            requests: Open short requests.
        """
        self._ctx = ctx
        self._view = view
        self._outbox = outbox
        self._ownership = ownership
        self._calls = calls
        self._requests = requests
        self._since_ms: int | None = None
        self._handing_over = False
        self._exited = False
        self._resumed_ms: int | None = None

    @property
    def refusing(self) -> bool:
        """Whether new calls are refused."""
        return self._elapsed_ms() >= LAME_DUCK_MS

    def begin(self) -> None:
        """Starts to stop; a second request has no effect."""
        if self._since_ms is not None:
            return
        self._since_ms = self._ctx.now_ms
        self._view.draining = True
        self._ctx.trace(timeline.EventKind.VM_DRAINING)

    def resumed(self) -> None:
        """Notes a pause, after which calls may still wait to be read."""
        self._resumed_ms = self._ctx.now_ms

    def tick(self, open_tickets: int) -> None:
        """Exits once nothing is open any more.

        Args:
            open_tickets: HTTP requests without an answer.
        """
        if not self.refusing or self._exited:
            return
        if self._ownership.domain is not None:
            self._ownership.domain.table.answer_all()
        open_work = open_tickets or self._calls.busy() or self._requests.busy()
        if open_work or self._just_resumed() or not self._released():
            return
        if self._outbox.streams():
            self._hand_over()
        else:
            self._exit()

    def _elapsed_ms(self) -> int:
        if self._since_ms is None:
            return -1
        return self._ctx.now_ms - self._since_ms

    def _just_resumed(self) -> bool:
        return (
            self._resumed_ms is not None
            and self._ctx.now_ms - self._resumed_ms < RESUME_REST_MS
        )

    def _released(self) -> bool:
        """Returns whether another VM may schedule the failure domain."""
        if self._ownership.domain is None:
            return True
        failure_domain = self._ctx.settings.failure_domain
        if self._view.candidates(failure_domain, self._ctx.now_ms):
            return self._late()
        return self._ownership.domain.all_attempts_running() or self._late()

    def _late(self) -> bool:
        return self._elapsed_ms() >= self._ctx.settings.drain_limit_ms

    def _hand_over(self) -> None:
        """Passes records to a peer, or waits for the log without one."""
        peers = self._view.live_peers(self._ctx.now_ms)
        if not peers or self._handing_over:
            return
        self._handing_over = True
        streams = self._outbox.streams()
        waiting = set(streams)

        def acknowledged(
            stream: ids.StreamName,
            answer: peer_messages.Acknowledge | None,
        ) -> None:
            if answer is None:
                self._handing_over = False
                return
            waiting.discard(stream)
            if not waiting:
                self._exit()

        for stream in streams:
            call = self._ctx.new_call()
            self._ctx.call_peer(
                peers[0],
                call,
                peer_messages.Replicate(
                    call=call,
                    stream=stream,
                    records=self._outbox.unappended(stream),
                ),
                lambda answer, stream=stream: acknowledged(stream, answer),
                timeout_ms=HANDOVER_TIMEOUT_MS,
            )

    def _exit(self) -> None:
        if self._exited:
            return
        self._exited = True
        self._ownership.step_down("drained")
        self._ctx.trace(timeline.EventKind.VM_STOPPED)
        self._ctx.emit(effects.Exit())
