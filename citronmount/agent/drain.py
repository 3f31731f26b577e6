"""Graceful shutdown of a VM: finishes open calls and keeps all records."""

from citronmount.agent import call_router
from citronmount.agent import context
from citronmount.agent import effects
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import ownership as ownership_lib
from citronmount.agent import request_handler
from citronmount.core import ids
from citronmount.membership import membership_view
from citronmount.peers import peer_messages
from citronmount.telemetry import timeline_events

__all__ = ["Drain"]

LAME_DUCK_MS = 2_000
RESUME_GRACE_MS = 1_000
REPLICATE_TIMEOUT_MS = 1_000


class Drain:
    """Drains the VM and exits the process.

    For `LAME_DUCK_MS`, the VM no longer reports readiness but still serves
    calls, so that the load balancer can redirect traffic. After that it
    refuses new calls and finishes open ones. Records that may not be in the
    log by then are sent to a peer, which appends them; then the process exits.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        outbox: outbox_lib.Outbox,
        ownership: ownership_lib.Ownership,
        calls: call_router.CallRouter,
        requests: request_handler.RequestHandler,
    ) -> None:
        """Initializes a VM that is not draining.

        Args:
            ctx: The shared context.
            view: Holds the draining flag that heartbeats announce.
            outbox: Holds the records that may not be in the log.
            ownership: Provides the owned failure domain.
            calls: Holds the open calls of callers.
            requests: Holds the open short requests.
        """
        self._ctx = ctx
        self._view = view
        self._outbox = outbox
        self._ownership = ownership
        self._calls = calls
        self._requests = requests
        self._started_ms: int | None = None
        self._replicating = False
        self._exited = False
        self._resumed_ms: int | None = None

    @property
    def refusing(self) -> bool:
        """Whether new calls are refused."""
        return self._elapsed_ms() >= LAME_DUCK_MS

    def begin(self) -> None:
        """Starts the drain; repeated requests have no effect."""
        if self._started_ms is not None:
            return
        self._started_ms = self._ctx.now_ms
        self._view.draining = True
        self._ctx.trace(timeline_events.EventKind.VM_DRAINING)

    def record_pause(self) -> None:
        """Records a pause of the process.

        Calls that arrived during the pause may not have been read yet, so
        the VM does not exit within `RESUME_GRACE_MS`.
        """
        self._resumed_ms = self._ctx.now_ms

    def tick(self, open_tickets: int) -> None:
        """Exits once no call is open and no record would be lost.

        Args:
            open_tickets: Number of HTTP requests without an answer.
        """
        if not self.refusing or self._exited:
            return
        if self._ownership.domain is not None:
            self._ownership.domain.table.answer_all_waiters()
        open_work = (
            open_tickets
            or self._calls.has_open_work()
            or self._requests.has_open_work()
        )
        if open_work or self._just_resumed() or not self._may_step_down():
            return
        if self._outbox.unappended_streams():
            self._replicate_unappended()
        else:
            self._exit()

    def _elapsed_ms(self) -> int:
        if self._started_ms is None:
            return -1
        return self._ctx.now_ms - self._started_ms

    def _just_resumed(self) -> bool:
        return (
            self._resumed_ms is not None
            and self._ctx.now_ms - self._resumed_ms < RESUME_GRACE_MS
        )

    def _may_step_down(self) -> bool:
        """Returns whether the VM may step down as owner.

        If there is another candidate, the VM waits until that one has taken
        over; otherwise until all attempts are running. Either wait ends at
        the drain limit.
        """
        if self._ownership.domain is None:
            return True
        failure_domain = self._ctx.settings.failure_domain
        if self._view.candidates(failure_domain, self._ctx.now_ms):
            return self._limit_reached()
        return (
            self._ownership.domain.all_attempts_running()
            or self._limit_reached()
        )

    def _limit_reached(self) -> bool:
        return self._elapsed_ms() >= self._ctx.settings.drain_limit_ms

    def _replicate_unappended(self) -> None:
        """Replicates unappended records to a peer.

        Without a live peer, the VM waits for the log.
        """
        peers = self._view.live_peers(self._ctx.now_ms)
        if not peers or self._replicating:
            return
        self._replicating = True
        streams = self._outbox.unappended_streams()
        unacknowledged = set(streams)

        def handle_acknowledgement(
            stream: ids.StreamName,
            answer: peer_messages.Acknowledge | None,
        ) -> None:
            if answer is None:
                self._replicating = False
                return
            unacknowledged.discard(stream)
            if not unacknowledged:
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
                lambda answer, stream=stream: handle_acknowledgement(
                    stream, answer
                ),
                timeout_ms=REPLICATE_TIMEOUT_MS,
            )

    def _exit(self) -> None:
        if self._exited:
            return
        self._exited = True
        self._ownership.step_down("drained")
        self._ctx.trace(timeline_events.EventKind.VM_STOPPED)
        self._ctx.emit(effects.Exit())
