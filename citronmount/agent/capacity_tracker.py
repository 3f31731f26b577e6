"""Free capacity of each failure domain, as far as a VM knows it."""

import collections

from citronmount.agent import context
from citronmount.agent import homes
from citronmount.agent import ownership as ownership_lib
from citronmount.core import ids
from citronmount.membership import membership_view
from citronmount.peers import peer_messages

__all__ = ["CapacityTracker"]


class CapacityTracker:
    """Tracks the free capacity of every failure domain.

    Owners report it in their heartbeats. Jobs that this VM has submitted since
    then are subtracted, so that it does not fill the same capacity twice.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        ownership: ownership_lib.Ownership,
    ) -> None:
        """Initializes a tracker without recent submissions.

        Args:
            ctx: The shared context.
            view: The membership view, with the heartbeats of owners.
            ownership: This VM's failure domain, if it owns it.
        """
        self._ctx = ctx
        self._view = view
        self._ownership = ownership
        self._recent_submissions: collections.deque[
            tuple[int, ids.FailureDomainId, int]
        ] = collections.deque()

    def record_submission(
        self, home: ids.FailureDomainId, accelerators: int
    ) -> None:
        """Records that this VM has submitted a job to a failure domain.

        Args:
            home: The failure domain.
            accelerators: The number of accelerators that the job requests.
        """
        self._recent_submissions.append((self._ctx.now_ms, home, accelerators))

    def free_capacities(
        self,
    ) -> dict[ids.FailureDomainId, homes.DomainCapacity]:
        """Returns the free capacity of each failure domain with an owner.

        Accelerators of queued jobs and of jobs that this VM has submitted
        within the last heartbeat period are subtracted, so the number can be
        negative.
        """
        since_ms = self._ctx.now_ms - self._ctx.settings.remote_heartbeat_ms
        while (
            self._recent_submissions
            and self._recent_submissions[0][0] < since_ms
        ):
            self._recent_submissions.popleft()
        submitted = collections.Counter()
        for _, home, accelerators in self._recent_submissions:
            submitted[home] += accelerators
        return {
            name: homes.DomainCapacity(
                accelerators=summary.free_accelerators
                - summary.queued_accelerators
                - submitted[name],
                largest_gang=summary.largest_gang,
            )
            for name, summary in self.summaries().items()
        }

    def summaries(
        self,
    ) -> dict[ids.FailureDomainId, peer_messages.DomainSummary]:
        """Returns the last summary of each failure domain with a live owner.

        If two VMs claim a failure domain, the higher fencing token counts.
        """
        newest: dict[ids.FailureDomainId, peer_messages.DomainSummary] = {}
        for vm in self._view.live_peers(self._ctx.now_ms):
            heartbeat = self._view.peers[vm].heartbeat
            summary = None if heartbeat is None else heartbeat.domain
            if summary is None:
                continue
            known = newest.get(summary.failure_domain)
            if known is None or known.token < summary.token:
                newest[summary.failure_domain] = summary
        if self._ownership.domain is not None:
            own_summary = self._ownership.domain.summary()
            newest[own_summary.failure_domain] = own_summary
        return newest
