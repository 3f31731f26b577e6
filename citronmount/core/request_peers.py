"""A VM's estimate of the free runner slots of its peers."""

import msgspec

from citronmount.core import ids

__all__ = ["PeerSlotTable"]

PEER_REPORT_TTL_MS = 1_500
PEER_REFUSAL_BACKOFF_MS = 5
MAX_SPECULATIVE_OFFERS = 4


class _Peer(msgspec.Struct, kw_only=True):
    """State of a peer.

    Attributes:
        free: Estimated number of free slots; negative after speculative
            offers.
        heard_ms: Monotonic time of its last report.
        pending: Number of offers that it has not answered.
        paused_until_ms: Monotonic time before which it gets no offers.
    """

    free: int
    heard_ms: int
    pending: int = 0
    paused_until_ms: int = 0


class PeerSlotTable:
    """Estimates of free slots by peer.

    The numbers that peers report are corrected by the offers made since and
    by the answers to them.
    """

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._peers: dict[ids.VmId, _Peer] = {}

    def update_free_slots(self, vm: ids.VmId, free: int, now_ms: int) -> None:
        """Records the number of free slots that a peer reports.

        Args:
            vm: Peer.
            free: Number of free slots.
            now_ms: Monotonic time.
        """
        peer = self._peers.setdefault(vm, _Peer(free=free, heard_ms=now_ms))
        peer.free = free
        peer.heard_ms = now_ms

    def record_offer(self, vm: ids.VmId) -> None:
        """Records that a request was offered to a peer.

        Args:
            vm: Peer.
        """
        peer = self._peers[vm]
        peer.free -= 1
        peer.pending += 1

    def record_refusal(self, vm: ids.VmId, now_ms: int) -> None:
        """Records that a peer had no slot for an offered request.

        Args:
            vm: Peer.
            now_ms: Monotonic time.
        """
        peer = self._peers.get(vm)
        if peer is not None:
            peer.free = 0
            peer.pending = max(0, peer.pending - 1)
            peer.paused_until_ms = now_ms + PEER_REFUSAL_BACKOFF_MS

    def record_served(self, vm: ids.VmId) -> None:
        """Records that a peer served an offered request.

        Args:
            vm: Peer.
        """
        peer = self._peers.get(vm)
        if peer is not None:
            peer.pending = max(0, peer.pending - 1)

    def forget(self, vm: ids.VmId) -> None:
        """Removes a peer that does not answer.

        Args:
            vm: Peer.
        """
        self._peers.pop(vm, None)

    def choose(self, now_ms: int) -> ids.VmId | None:
        """Chooses the peer with the most estimated free slots.

        A peer without estimated free slots still gets a few offers at a time,
        because the interval of its reports is long compared with the duration
        of a request. After a refusal it gets no offers for a short time.

        Args:
            now_ms: Monotonic time.

        Returns:
            The peer, or None if no peer may get an offer now.
        """
        candidates = [
            (peer.free, vm)
            for vm, peer in self._peers.items()
            if peer.heard_ms + PEER_REPORT_TTL_MS > now_ms
            and peer.paused_until_ms <= now_ms
            and (peer.free > 0 or peer.pending < MAX_SPECULATIVE_OFFERS)
        ]
        return max(candidates)[1] if candidates else None
