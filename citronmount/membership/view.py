"""Which VMs live, from the platform's list joined with heartbeats."""

import msgspec

from citronmount.core import ids
from citronmount.core import states
from citronmount.membership import rendezvous
from citronmount.peers import messages as peer_messages
from citronmount.services import messages

__all__ = ["MembershipView", "Peer"]


class Peer(msgspec.Struct, kw_only=True):
    """What is known of another VM.

    Attributes:
        vm: The VM.
        failure_domain: Where it is.
        listed: Whether the platform's list has it as live.
        heard_ms: Monotonic time of its last heartbeat, or None.
        heartbeat: Its last heartbeat, or None.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomainId
    listed: bool = False
    heard_ms: int | None = None
    heartbeat: peer_messages.Heartbeat | None = None


class MembershipView:
    """One VM's view of all VMs.

    A VM is alive while its heartbeats arrive. The platform's list lags, so it
    only tells whom to send heartbeats to and who may vote. The view serves
    efficiency: nothing unsafe follows from a wrong one.
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        failure_domain: ids.FailureDomainId,
        suspicion_ms: int,
        remote_suspicion_ms: int,
    ) -> None:
        """Initializes a view that knows only the VM itself.

        Args:
            vm: The VM that holds the view.
            failure_domain: Where it is.
            suspicion_ms: Silence after which a VM of the same failure domain
                counts as dead.
            remote_suspicion_ms: The same for other failure domains.
        """
        self.vm = vm
        self.failure_domain = failure_domain
        self.ready = False
        self.draining = False
        self.peers: dict[ids.VmId, Peer] = {}
        self._silent_ms: dict[ids.VmId, int] = {}
        self._suspicion_ms = suspicion_ms
        self._remote_suspicion_ms = remote_suspicion_ms

    def update_listing(self, view: messages.PlatformView) -> None:
        """Takes over the platform's list.

        Args:
            view: The list; a VM that is absent or leaving gets no vote.
        """
        live = {
            listed.vm: listed
            for listed in view.vms
            if listed.state is states.VmState.LIVE and listed.vm != self.vm
        }
        for vm, listed in live.items():
            if vm not in self.peers:
                self.peers[vm] = Peer(
                    vm=vm, failure_domain=listed.failure_domain
                )
        for vm, peer in self.peers.items():
            peer.listed = vm in live

    def record_heartbeat(
        self,
        vm: ids.VmId,
        heartbeat: peer_messages.Heartbeat,
        now_ms: int,
    ) -> bool:
        """Takes over a heartbeat.

        Args:
            vm: The sender.
            heartbeat: The heartbeat.
            now_ms: Monotonic time.

        Returns:
            Whether it was news; late and doubled heartbeats are not.
        """
        peer = self.peers.setdefault(
            vm, Peer(vm=vm, failure_domain=heartbeat.failure_domain)
        )
        last = peer.heartbeat
        if last is not None and not self._is_newer(peer, heartbeat, now_ms):
            return False
        peer.heartbeat = heartbeat
        peer.heard_ms = now_ms
        return True

    def _is_newer(
        self, peer: Peer, heartbeat: peer_messages.Heartbeat, now_ms: int
    ) -> bool:
        """Returns whether a heartbeat follows the last one of its VM.

        A process that was restarted after its wall clock went back has a
        lower incarnation; it counts once the former one is silent.
        """
        if _order(heartbeat) > _order(peer.heartbeat):
            return True
        restarted = heartbeat.incarnation != peer.heartbeat.incarnation
        return restarted and not self.is_alive(peer.vm, now_ms)

    def restart_suspicion_timers(self, now_ms: int) -> None:
        """Restarts every silence timer, after the process itself was paused.

        Args:
            now_ms: Monotonic time.
        """
        for peer in self.peers.values():
            if peer.heard_ms is not None:
                peer.heard_ms = now_ms

    def is_alive(self, vm: ids.VmId, now_ms: int) -> bool:
        """Returns whether a VM's heartbeats arrive.

        Args:
            vm: Any VM, the holder included.
            now_ms: Monotonic time.

        Returns:
            Whether it was heard within the suspicion time.
        """
        if vm == self.vm:
            return True
        peer = self.peers.get(vm)
        if peer is None or peer.heard_ms is None:
            return False
        local = peer.failure_domain == self.failure_domain
        limit = self._suspicion_ms if local else self._remote_suspicion_ms
        return now_ms - peer.heard_ms <= limit

    def last_heartbeat_ms(self, vm: ids.VmId) -> int:
        """Returns when a VM was last heard, 0 if never.

        Args:
            vm: Another VM.

        Returns:
            Monotonic time.
        """
        peer = self.peers.get(vm)
        return 0 if peer is None else peer.heard_ms or 0

    def record_unanswered_call(self, vm: ids.VmId, now_ms: int) -> None:
        """Notes that a VM has left a call unanswered.

        Args:
            vm: The VM.
            now_ms: Monotonic time.
        """
        self._silent_ms[vm] = now_ms

    def is_responsive(self, vm: ids.VmId) -> bool:
        """Returns whether a VM was heard since it last left a call unanswered.

        Args:
            vm: The VM.
        """
        return self.last_heartbeat_ms(vm) > self._silent_ms.get(vm, -1)

    def candidates(
        self, failure_domain: ids.FailureDomainId, now_ms: int
    ) -> list[ids.VmId]:
        """Returns the VMs that may own or keep in a failure domain.

        Args:
            failure_domain: The failure domain.
            now_ms: Monotonic time.

        Returns:
            Live, ready VMs of the failure domain that are not draining.
        """
        found = [
            peer.vm
            for peer in self.peers.values()
            if peer.failure_domain == failure_domain
            and peer.heartbeat is not None
            and peer.heartbeat.ready
            and not peer.heartbeat.draining
            and self.is_alive(peer.vm, now_ms)
        ]
        own = failure_domain == self.failure_domain
        if own and self.ready and not self.draining:
            found.append(self.vm)
        return sorted(found)

    def owner(
        self, failure_domain: ids.FailureDomainId, now_ms: int
    ) -> ids.VmId | None:
        """Returns the VM that should schedule a failure domain.

        Args:
            failure_domain: The failure domain.
            now_ms: Monotonic time.

        Returns:
            The first choice among the candidates, or None.
        """
        chosen = rendezvous.choose(
            failure_domain, self.candidates(failure_domain, now_ms)
        )
        return None if chosen is None else ids.VmId(chosen)

    def lease_renewer(
        self, worker: ids.WorkerId, candidates: list[ids.VmId]
    ) -> ids.VmId | None:
        """Returns the VM that should renew a worker's leases.

        Args:
            worker: The worker.
            candidates: The candidates of the worker's failure domain.

        Returns:
            The first choice, or None if there is no candidate.
        """
        chosen = rendezvous.choose(worker, candidates)
        return None if chosen is None else ids.VmId(chosen)

    def voters(self) -> list[ids.VmId]:
        """Returns the VMs of the own failure domain that have a vote.

        Returns:
            The holder and every VM that the platform lists as live.
        """
        return sorted(
            [
                self.vm,
                *(
                    peer.vm
                    for peer in self.peers.values()
                    if peer.listed
                    and peer.failure_domain == self.failure_domain
                ),
            ]
        )

    def live_peers(self, now_ms: int) -> list[ids.VmId]:
        """Returns all other VMs whose heartbeats arrive, nearest first.

        Args:
            now_ms: Monotonic time.

        Returns:
            VMs of the own failure domain first, then by name.
        """
        return sorted(
            (vm for vm in self.peers if self.is_alive(vm, now_ms)),
            key=lambda vm: (
                self.peers[vm].failure_domain != self.failure_domain,
                vm,
            ),
        )

    def local_peers(self, now_ms: int) -> list[ids.VmId]:
        """Returns the other live VMs of the own failure domain.

        Args:
            now_ms: Monotonic time.

        Returns:
            Their ids, sorted.
        """
        return [
            vm
            for vm in self.live_peers(now_ms)
            if self.peers[vm].failure_domain == self.failure_domain
        ]


def _order(heartbeat: peer_messages.Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.sequence
