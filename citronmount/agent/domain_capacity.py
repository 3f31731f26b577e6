"""What a VM knows of the room in each failure domain."""

import collections

from citronmount.agent import context
from citronmount.agent import homes
from citronmount.agent import ownership as ownership_lib
from citronmount.core import ids
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages

__all__ = ["DomainCapacityTracker"]


class DomainCapacityTracker:
    """The room that owners tell of, less what was sent there since."""

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: view_lib.MembershipView,
        ownership: ownership_lib.Ownership,
    ) -> None:
        """Initializes with nothing sent.

        Args:
            ctx: The shared context.
            view: Holds the heartbeats of owners.
            ownership: The own failure domain, if this VM owns it.
        """
        self._ctx = ctx
        self._view = view
        self._ownership = ownership
        self._sent: collections.deque[tuple[int, ids.FailureDomainId, int]] = (
            collections.deque()
        )

    def record_submission(
        self, home: ids.FailureDomainId, accelerators: int
    ) -> None:
        """Notes that a job was sent to a failure domain.

        Args:
            home: The failure domain.
            accelerators: What the job asks for.
        """
        self._sent.append((self._ctx.now_ms, home, accelerators))

    def free_capacity(self) -> dict[ids.FailureDomainId, homes.DomainRoom]:
        """Returns the room in each failure domain that has an owner.

        What this VM has sent there since the last heartbeats is taken off.
        """
        limit_ms = self._ctx.now_ms - self._ctx.settings.remote_heartbeat_ms
        while self._sent and self._sent[0][0] < limit_ms:
            self._sent.popleft()
        sent = collections.Counter()
        for _, home, accelerators in self._sent:
            sent[home] += accelerators
        return {
            name: homes.DomainRoom(
                accelerators=summary.free_accelerators
                - summary.queued_accelerators
                - sent[name],
                largest_gang=summary.largest_gang,
            )
            for name, summary in self.summaries().items()
        }

    def summaries(
        self,
    ) -> dict[ids.FailureDomainId, peer_messages.DomainSummary]:
        """Returns what the owners of live failure domains tell."""
        found: dict[ids.FailureDomainId, peer_messages.DomainSummary] = {}
        for vm in self._view.live_peers(self._ctx.now_ms):
            heartbeat = self._view.peers[vm].heartbeat
            summary = None if heartbeat is None else heartbeat.domain
            if summary is None:
                continue
            known = found.get(summary.failure_domain)
            if known is None or known.token < summary.token:
                found[summary.failure_domain] = summary
        if self._ownership.domain is not None:
            own = self._ownership.domain.summary()
            found[own.failure_domain] = own
        return found
