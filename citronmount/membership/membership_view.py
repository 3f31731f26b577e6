"""Membership view of one VM, from heartbeats and the platform's list."""

import msgspec

from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import states
from citronmount.membership import rendezvous
from citronmount.peers import peer_messages

__all__ = ["MembershipView", "Peer"]


class Peer(msgspec.Struct, kw_only=True):
    """The state of another VM as known to this one.

    Attributes:
        vm: Id of the VM.
        failure_domain: The failure domain that the VM runs in.
        listed: Whether the platform lists the VM as live.
        heard_ms: Monotonic time at which its last heartbeat was received,
            or None if none was.
        heartbeat: The last heartbeat, or None if none was received.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomainId
    listed: bool = False
    heard_ms: int | None = None
    heartbeat: peer_messages.Heartbeat | None = None


class MembershipView:
    """Membership view of one VM: which other VMs are alive.

    A VM is alive while its heartbeats arrive. The platform's list lags
    behind, so it only determines which VMs receive heartbeats and which may
    vote. Safety does not depend on the view: a wrong view costs efficiency
    only.
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        failure_domain: ids.FailureDomainId,
        suspicion_ms: int,
        remote_suspicion_ms: int,
    ) -> None:
        """Initializes a view that contains only the local VM.

        Args:
            vm: Id of the local VM.
            failure_domain: The failure domain of the local VM.
            suspicion_ms: Time without a heartbeat after which a VM of the
                same failure domain is considered dead.
            remote_suspicion_ms: The same for VMs of other failure domains.
        """
        self.vm = vm
        self.failure_domain = failure_domain
        self.ready = False
        self.draining = False
        self.peers: dict[ids.VmId, Peer] = {}
        self._unanswered_call_ms: dict[ids.VmId, int] = {}
        self._suspicion_ms = suspicion_ms
        self._remote_suspicion_ms = remote_suspicion_ms

    def update_listing(self, platform_view: messages.PlatformView) -> None:
        """Updates which VMs the platform lists as live.

        Args:
            platform_view: The platform's list. VMs that are absent or leaving
                lose their vote.
        """
        live = {
            listed.vm: listed
            for listed in platform_view.vms
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
        """Records a heartbeat unless it is late or a duplicate.

        Args:
            vm: The sender.
            heartbeat: The heartbeat.
            now_ms: Monotonic time.

        Returns:
            Whether the heartbeat was recorded.
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
        """Returns whether a heartbeat is newer than the last one of its VM.

        A process that restarts after its wall clock was set back has a lower
        incarnation than before. Its heartbeats are accepted once the previous
        incarnation is no longer alive.
        """
        if _sequence_key(heartbeat) > _sequence_key(peer.heartbeat):
            return True
        restarted = heartbeat.incarnation != peer.heartbeat.incarnation
        return restarted and not self.is_alive(peer.vm, now_ms)

    def restart_suspicion_timers(self, now_ms: int) -> None:
        """Restarts all suspicion timers after a pause of the local process.

        Args:
            now_ms: Monotonic time.
        """
        for peer in self.peers.values():
            if peer.heard_ms is not None:
                peer.heard_ms = now_ms

    def is_alive(self, vm: ids.VmId, now_ms: int) -> bool:
        """Returns whether a VM is alive; the local VM always is.

        Args:
            vm: Id of any VM.
            now_ms: Monotonic time.

        Returns:
            Whether a heartbeat arrived within the suspicion time.
        """
        if vm == self.vm:
            return True
        peer = self.peers.get(vm)
        if peer is None or peer.heard_ms is None:
            return False
        local = peer.failure_domain == self.failure_domain
        limit_ms = self._suspicion_ms if local else self._remote_suspicion_ms
        return now_ms - peer.heard_ms <= limit_ms

    def last_heartbeat_ms(self, vm: ids.VmId) -> int:
        """Returns the time at which the last heartbeat of a VM arrived.

        Args:
            vm: Id of another VM.

        Returns:
            Monotonic time, or 0 if no heartbeat ever arrived.
        """
        peer = self.peers.get(vm)
        return 0 if peer is None else peer.heard_ms or 0

    def record_unanswered_call(self, vm: ids.VmId, now_ms: int) -> None:
        """Records that a call to a VM timed out.

        Args:
            vm: The VM that did not answer.
            now_ms: Monotonic time.
        """
        self._unanswered_call_ms[vm] = now_ms

    def is_responsive(self, vm: ids.VmId) -> bool:
        """Returns whether a heartbeat followed the last unanswered call.

        Args:
            vm: Id of another VM.

        Returns:
            True also for a VM that never left a call unanswered.
        """
        return self.last_heartbeat_ms(vm) > self._unanswered_call_ms.get(vm, -1)

    def candidates(
        self, failure_domain: ids.FailureDomainId, now_ms: int
    ) -> list[ids.VmId]:
        """Returns the VMs eligible as owner or lease renewer.

        Args:
            failure_domain: The failure domain.
            now_ms: Monotonic time.

        Returns:
            The sorted ids of all VMs of the failure domain that are alive,
            ready and not draining.
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
        """Returns the VM that should own a failure domain.

        Args:
            failure_domain: The failure domain.
            now_ms: Monotonic time.

        Returns:
            The candidate chosen by rendezvous hashing, or None if there is no
            candidate.
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
            The candidate chosen by rendezvous hashing, or None if there is no
            candidate.
        """
        chosen = rendezvous.choose(worker, candidates)
        return None if chosen is None else ids.VmId(chosen)

    def voters(self) -> list[ids.VmId]:
        """Returns the VMs of the local failure domain that vote on claims.

        Returns:
            The sorted ids of the local VM and of every VM that the platform
            lists as live, whether its heartbeats arrive or not.
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
        """Returns the other VMs that are alive.

        Args:
            now_ms: Monotonic time.

        Returns:
            Their ids: VMs of the local failure domain first, each group
            sorted.
        """
        return sorted(
            (vm for vm in self.peers if self.is_alive(vm, now_ms)),
            key=lambda vm: (
                self.peers[vm].failure_domain != self.failure_domain,
                vm,
            ),
        )

    def local_peers(self, now_ms: int) -> list[ids.VmId]:
        """Returns the other VMs of the local failure domain that are alive.

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


def _sequence_key(heartbeat: peer_messages.Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.sequence
