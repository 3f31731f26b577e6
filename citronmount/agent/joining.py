"""Brings a started VM up to date before it owns, keeps or votes."""

from citronmount.agent import configuration as configuration_lib
from citronmount.agent import context
from citronmount.agent import ownership as ownership_lib
from citronmount.agent import stream_reader
from citronmount.core import ids
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.state import records

__all__ = ["Joining"]

RETRY_MS = 500
STATE_TIMEOUT_MS = 1_000


class Joining:
    """Reads the job stream and the peers once after the start.

    A VM is ready when it has a trustworthy configuration and knows every
    claim that may have been granted: from the log and every live peer of its
    failure domain, or from a ready peer alone while the log is down.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: view_lib.MembershipView,
        reader: stream_reader.StreamReader,
        configuration: configuration_lib.ConfigurationManager,
        ownership: ownership_lib.Ownership,
        listen_ms: int,
    ) -> None:
        """Initializes a VM that is not ready.

        Args:
            ctx: The shared context.
            view: Which peers live.
            reader: Brings the job book up to date.
            configuration: The configuration in force.
            ownership: Merges the answers of peers.
            listen_ms: How long to wait for heartbeats of peers first.
        """
        self._ctx = ctx
        self._view = view
        self._reader = reader
        self._configuration = configuration
        self._ownership = ownership
        self._listen_until_ms: int | None = None
        self._listen_ms = listen_ms
        self._retry_ms = 0
        self._log_read = False
        self._log_failed = False
        self._reading = False
        self._asked: set[ids.VmId] = set()
        self._answered: set[ids.VmId] = set()
        self._ready_answers = 0

    def tick(self) -> None:
        """Goes on until the VM is ready."""
        if self._view.ready:
            return
        if self._listen_until_ms is None:
            self._listen_until_ms = self._ctx.now_ms + self._listen_ms
        if self._ctx.now_ms >= self._retry_ms and not self._log_read:
            self._read()
        if self._log_read or self._log_failed:
            self._ask_peers()
        self._check()

    def _ask_peers(self) -> None:
        for peer in self._view.local_peers(self._ctx.now_ms):
            if peer not in self._asked:
                self._ask(peer)

    def _read(self) -> None:
        if self._reading:
            return
        self._reading = True
        self._retry_ms = self._ctx.now_ms + RETRY_MS
        self._reader.read_to_end(self._was_read)

    def _was_read(self, complete: bool) -> None:
        self._reading = False
        self._log_failed = not complete
        self._log_read = complete
        self._ask_peers()
        self._check()

    def _ask(self, peer: ids.VmId) -> None:
        self._asked.add(peer)
        call = self._ctx.new_call()

        def answered(answer: peer_messages.StateAnswer | None) -> None:
            if answer is None:
                self._asked.discard(peer)
                return
            self._answered.add(peer)
            self._ready_answers += answer.ready
            self._ownership.merge(answer)
            if answer.configuration is not None:
                self._configuration.adopt(answer.configuration)
            self._check()

        self._ctx.call_peer(
            peer,
            call,
            peer_messages.StateRequest(
                call=call,
                stream=records.job_stream(self._ctx.settings.failure_domain),
                recent_claims=self._log_read,
            ),
            answered,
            timeout_ms=STATE_TIMEOUT_MS,
        )

    def _check(self) -> None:
        if self._view.ready or not self._configuration.fold.trusted:
            return
        listening = (
            self._listen_until_ms is None
            or self._ctx.now_ms < self._listen_until_ms
        )
        live = set(self._view.local_peers(self._ctx.now_ms))
        all_peers = live <= self._answered
        by_log = self._log_read and all_peers
        by_peers = self._log_failed and all_peers and self._ready_answers > 0
        if not listening and (by_log or by_peers):
            self._view.ready = True
