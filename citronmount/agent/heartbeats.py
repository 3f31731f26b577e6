"""Sends heartbeats to the other VMs."""

from citronmount.agent import configuration_manager
from citronmount.agent import context
from citronmount.agent import ownership as ownership_lib
from citronmount.agent import request_handler
from citronmount.core import ids
from citronmount.membership import membership_view
from citronmount.peers import peer_messages

__all__ = ["HeartbeatSender"]


class HeartbeatSender:
    """Sends the VM's heartbeats and the attempts whose leases must lapse.

    VMs of the same failure domain receive them more often than VMs of other
    failure domains, which limits the traffic of large systems.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        configuration: configuration_manager.ConfigurationManager,
        ownership: ownership_lib.Ownership,
        requests: request_handler.RequestHandler,
    ) -> None:
        """Initializes the sender; the first heartbeats are due at once.

        Args:
            ctx: The shared context.
            view: Determines the receivers.
            configuration: Provides the version of the configuration in force.
            ownership: Provides the token and the failure domain's summary.
            requests: Provides the number of free slots at the runners.
        """
        self._ctx = ctx
        self._view = view
        self._configuration = configuration
        self._ownership = ownership
        self._requests = requests
        self._sequence = 0
        self._next_local_ms = 0
        self._next_remote_ms = 0

    def send_now(self) -> None:
        """Sends a heartbeat to all VMs before the period has elapsed."""
        self._next_local_ms = self._ctx.now_ms
        self._next_remote_ms = self._ctx.now_ms
        self.tick()

    def send_to(self, vm: ids.VmId) -> None:
        """Sends a heartbeat to a VM that has just started.

        Args:
            vm: The VM, which has not received any heartbeat yet.
        """
        self._ctx.send(vm, self._heartbeat())

    def tick(self) -> None:
        """Sends the heartbeats that are due."""
        local = self._ctx.now_ms >= self._next_local_ms
        remote = self._ctx.now_ms >= self._next_remote_ms
        if not local and not remote:
            return
        heartbeat = self._heartbeat()
        settings = self._ctx.settings
        if local:
            self._next_local_ms = self._ctx.now_ms + settings.heartbeat_ms
            self._send(heartbeat, local=True)
        if remote:
            self._next_remote_ms = (
                self._ctx.now_ms + settings.remote_heartbeat_ms
            )
            self._send(heartbeat, local=False)

    def _send(self, heartbeat: peer_messages.Heartbeat, *, local: bool) -> None:
        own = self._ctx.settings.failure_domain
        for vm, peer in self._view.peers.items():
            exists = peer.listed or self._view.is_alive(vm, self._ctx.now_ms)
            if exists and (peer.failure_domain == own) is local:
                self._ctx.send(vm, heartbeat)
        lapsing = self._lapse_message()
        if local and lapsing is not None:
            for vm in self._view.local_peers(self._ctx.now_ms):
                self._ctx.send(vm, lapsing)

    def _lapse_message(self) -> peer_messages.LapseAttempts | None:
        domain = self._ownership.domain
        if domain is None:
            return None
        return peer_messages.LapseAttempts(
            token=domain.token, attempts=domain.lapsing_attempts()
        )

    def _heartbeat(self) -> peer_messages.Heartbeat:
        self._sequence += 1
        physical_ms, logical = self._ctx.clock.tick(self._ctx.wall_ms)
        fold = self._configuration.fold
        domain = self._ownership.domain
        router = self._requests.router
        return peer_messages.Heartbeat(
            failure_domain=self._ctx.settings.failure_domain,
            incarnation=self._ctx.settings.incarnation,
            sequence=self._sequence,
            config_version=fold.current.version,
            config_offset=ids.Offset(fold.next_offset),
            ready=self._view.ready,
            draining=self._view.draining,
            domain=None if domain is None else domain.summary(),
            token=self._ownership.token,
            free_slots=router.free_slots(),
            queued_requests=router.queued_count(),
            physical_ms=physical_ms,
            logical=logical,
        )
