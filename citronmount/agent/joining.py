"""Synchronizes a started VM before it may own, renew leases and vote."""

from citronmount.agent import configuration_manager
from citronmount.agent import context
from citronmount.agent import ownership as ownership_lib
from citronmount.agent import stream_reader
from citronmount.core import ids
from citronmount.membership import membership_view
from citronmount.peers import peer_messages
from citronmount.state import records

__all__ = ["Joining"]

RETRY_MS = 500
STATE_TIMEOUT_MS = 1_000


class Joining:
    """Reads the job stream and the state of the peers once after the start.

    A VM is ready when it has a trusted configuration and knows every claim
    that may have been granted. It learns these claims from the log and every
    live peer of its failure domain, or, while the log is unavailable, from
    every live peer if one of them is ready.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        reader: stream_reader.StreamReader,
        configuration: configuration_manager.ConfigurationManager,
        ownership: ownership_lib.Ownership,
        listen_ms: int,
    ) -> None:
        """Initializes a VM that is not ready.

        Args:
            ctx: The shared context.
            view: Determines which peers are alive.
            reader: Reads the job stream into the job view.
            configuration: Provides and adopts the configuration.
            ownership: Merges the state received from peers.
            listen_ms: Time to wait for heartbeats of peers before the VM may
                become ready.
        """
        self._ctx = ctx
        self._view = view
        self._reader = reader
        self._configuration = configuration
        self._ownership = ownership
        self._listening_until_ms: int | None = None
        self._listen_ms = listen_ms
        self._next_read_ms = 0
        self._log_read = False
        self._log_failed = False
        self._reading = False
        self._requested_peers: set[ids.VmId] = set()
        self._answered_peers: set[ids.VmId] = set()
        self._ready_peer_count = 0

    def tick(self) -> None:
        """Continues the synchronization until the VM is ready."""
        if self._view.ready:
            return
        if self._listening_until_ms is None:
            self._listening_until_ms = self._ctx.now_ms + self._listen_ms
        if self._ctx.now_ms >= self._next_read_ms and not self._log_read:
            self._read_log()
        if self._log_read or self._log_failed:
            self._request_states()
        self._set_ready_if_complete()

    def _request_states(self) -> None:
        for peer in self._view.local_peers(self._ctx.now_ms):
            if peer not in self._requested_peers:
                self._request_state(peer)

    def _read_log(self) -> None:
        if self._reading:
            return
        self._reading = True
        self._next_read_ms = self._ctx.now_ms + RETRY_MS
        self._reader.read_to_end(self._on_log_read)

    def _on_log_read(self, complete: bool) -> None:
        self._reading = False
        self._log_failed = not complete
        self._log_read = complete
        self._request_states()
        self._set_ready_if_complete()

    def _request_state(self, peer: ids.VmId) -> None:
        self._requested_peers.add(peer)
        call = self._ctx.new_call()

        def handle_answer(answer: peer_messages.StateAnswer | None) -> None:
            if answer is None:
                self._requested_peers.discard(peer)
                return
            self._answered_peers.add(peer)
            self._ready_peer_count += answer.ready
            self._ownership.merge(answer)
            if answer.configuration is not None:
                self._configuration.adopt(answer.configuration)
            self._set_ready_if_complete()

        self._ctx.call_peer(
            peer,
            call,
            peer_messages.StateRequest(
                call=call,
                stream=records.job_stream(self._ctx.settings.failure_domain),
                recent_claims=self._log_read,
            ),
            handle_answer,
            timeout_ms=STATE_TIMEOUT_MS,
        )

    def _set_ready_if_complete(self) -> None:
        if self._view.ready or not self._configuration.fold.trusted:
            return
        listening = (
            self._listening_until_ms is None
            or self._ctx.now_ms < self._listening_until_ms
        )
        live = set(self._view.local_peers(self._ctx.now_ms))
        all_answered = live <= self._answered_peers
        complete_from_log = self._log_read and all_answered
        complete_from_peers = (
            self._log_failed and all_answered and self._ready_peer_count > 0
        )
        if not listening and (complete_from_log or complete_from_peers):
            self._view.ready = True
