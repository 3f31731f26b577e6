"""What a VM believes of the free runner slots of its peers."""

import msgspec

from citronmount.core import ids

__all__ = ["PeerSlots"]

PEER_VIEW_TTL_MS = 1_500
PEER_REFUSED_PAUSE_MS = 5
PEER_UNSURE_OFFERS = 4


class _Peer(msgspec.Struct, kw_only=True):
    free: int
    heard_ms: int
    pending: int = 0
    paused_until_ms: int = 0


class PeerSlots:
    """Beliefs about peers, corrected by what they answer to offers."""

    def __init__(self) -> None:
        """Initializes without peers."""
        self._peers: dict[ids.VmId, _Peer] = {}

    def heard(self, vm: ids.VmId, free: int, now_ms: int) -> None:
        """Notes how many slots a peer says that it has free.

        Args:
            vm: The peer.
            free: Its free slots.
            now_ms: Monotonic time.
        """
        peer = self._peers.setdefault(vm, _Peer(free=free, heard_ms=now_ms))
        peer.free = free
        peer.heard_ms = now_ms

    def offered(self, vm: ids.VmId) -> None:
        """Notes that a request was offered to a peer.

        Args:
            vm: The peer.
        """
        peer = self._peers[vm]
        peer.free -= 1
        peer.pending += 1

    def refused(self, vm: ids.VmId, now_ms: int) -> None:
        """Notes that a peer had no slot for an offered request.

        Args:
            vm: The peer.
            now_ms: Monotonic time.
        """
        peer = self._peers.get(vm)
        if peer is not None:
            peer.free = 0
            peer.pending = max(0, peer.pending - 1)
            peer.paused_until_ms = now_ms + PEER_REFUSED_PAUSE_MS

    def served(self, vm: ids.VmId) -> None:
        """Notes that a peer served an offered request.

        Args:
            vm: The peer.
        """
        peer = self._peers.get(vm)
        if peer is not None:
            peer.pending = max(0, peer.pending - 1)

    def gone(self, vm: ids.VmId) -> None:
        """Forgets a peer that does not answer.

        Args:
            vm: The peer.
        """
        self._peers.pop(vm, None)

    def choose(self, now_ms: int) -> ids.VmId | None:
        """Returns the peer that is believed to have most free slots.

        A peer that is believed to have none is still asked for a few
        requests at a time, because its reports come seldom beside the time
        that a request takes; after a refusal it is left alone a while.

        Args:
            now_ms: Monotonic time.

        Returns:
            The peer, or None if none may be asked now.
        """
        able = [
            (peer.free, vm)
            for vm, peer in self._peers.items()
            if peer.heard_ms + PEER_VIEW_TTL_MS > now_ms
            and peer.paused_until_ms <= now_ms
            and (peer.free > 0 or peer.pending < PEER_UNSURE_OFFERS)
        ]
        return max(able)[1] if able else None
