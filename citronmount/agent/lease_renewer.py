"""Renews the leases of the workers that are assigned to this VM."""

from collections.abc import Callable
import zlib

import msgspec

from citronmount.agent import context
from citronmount.clients import messages
from citronmount.core import ids
from citronmount.membership import membership_view
from citronmount.peers import peer_messages

__all__ = ["LeaseRenewer"]

ACK_TIMEOUT_MS = 1_000
MAX_OWNER_SILENCE_MS = 20_000
LOST_MARGIN_MS = 1_000
UNANSWERED_RETRY_MS = 1_000


class _RenewedWorker(msgspec.Struct, kw_only=True):
    """State of one worker whose leases this VM renews."""

    target: messages.ListedTarget
    due_ms: int
    answered_ms: int
    in_flight: bool = False
    sequence: int = -1
    report: messages.Report | None = None


class LeaseRenewer:
    """Renews the leases of assigned workers and reports changes to the owner.

    It sends one renewal per worker and period. Workers are divided among the
    VMs of the failure domain, so that no VM carries the traffic of all. A
    lease renewer continues without an owner for `MAX_OWNER_SILENCE_MS`, so
    that running work survives a takeover.

    Attributes:
        lapsing_attempts: Attempts whose leases must not be renewed.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        on_report: Callable[[messages.Report], None],
        on_worker_lost: Callable[[ids.WorkerId], None],
        on_token: Callable[[ids.FenceToken], None],
    ) -> None:
        """Initializes a lease renewer without workers.

        Args:
            ctx: The shared context.
            view: The membership view, which assigns workers to VMs.
            on_report: Called with changed reports if this VM is the owner.
            on_worker_lost: Called with each worker whose leases must have
                lapsed, if this VM is the owner.
            on_token: Called with the highest token that a worker has seen, on
                each of its answers.
        """
        self.lapsing_attempts: frozenset[ids.AttemptId] = frozenset()
        self._ctx = ctx
        self._view = view
        self._on_report = on_report
        self._on_worker_lost = on_worker_lost
        self._on_token = on_token
        self._renewed: dict[ids.WorkerId, _RenewedWorker] = {}
        self._owner_alive_ms = 0
        # None in place of a report means that the worker is lost.
        self._unacknowledged: dict[ids.WorkerId, messages.Report | None] = {}
        self._sending = False

    def note_owner_alive(self) -> None:
        """Records that the failure domain has an owner, perhaps this VM."""
        self._owner_alive_ms = self._ctx.now_ms

    def assign_workers(
        self, workers: tuple[messages.ListedTarget, ...]
    ) -> None:
        """Recomputes the workers whose leases this VM renews.

        Args:
            workers: All workers of the failure domain.
        """
        candidates = self._view.candidates(
            self._ctx.settings.failure_domain, self._ctx.now_ms
        )
        assigned = {
            ids.WorkerId(target.name): target
            for target in workers
            if self._view.lease_renewer(ids.WorkerId(target.name), candidates)
            == self._ctx.settings.vm
        }
        for worker in [name for name in self._renewed if name not in assigned]:
            del self._renewed[worker]
        for worker, target in assigned.items():
            if worker in self._renewed:
                self._renewed[worker].target = target
            else:
                self._renewed[worker] = self._new_entry(worker, target)

    def tick(self, token: ids.FenceToken, owner: ids.VmId | None) -> None:
        """Sends due renewals and reports changes to the owner.

        Args:
            token: The highest known fencing token.
            owner: The owner of the failure domain; None while no owner can
                process reports.
        """
        owner_silence_ms = self._ctx.now_ms - self._owner_alive_ms
        if owner_silence_ms <= MAX_OWNER_SILENCE_MS and token > 0:
            for worker, entry in self._renewed.items():
                if not entry.in_flight and entry.due_ms <= self._ctx.now_ms:
                    self._renew(worker, entry, token)
        self._mark_lost_workers()
        self._forward_reports(owner)

    def _new_entry(
        self, worker: ids.WorkerId, target: messages.ListedTarget
    ) -> _RenewedWorker:
        period_ms = self._ctx.settings.renew_period_ms
        spread_ms = zlib.crc32(worker.encode()) % max(period_ms // 3, 1)
        return _RenewedWorker(
            target=target,
            due_ms=self._ctx.now_ms + spread_ms,
            answered_ms=self._ctx.now_ms,
        )

    def _renew(
        self, worker: ids.WorkerId, entry: _RenewedWorker, token: ids.FenceToken
    ) -> None:
        entry.in_flight = True
        entry.due_ms = self._ctx.now_ms + self._ctx.settings.renew_period_ms
        act = messages.Renew(
            ttl_ms=self._ctx.settings.lease_ttl_ms,
            lapse=tuple(sorted(self.lapsing_attempts)),
        )
        call = messages.WorkerCall(
            token=token, acts=(act,), known_sequence=entry.sequence
        )

        def handle_answer(answer: messages.WorkerAnswer | None) -> None:
            entry.in_flight = False
            if answer is None:
                entry.due_ms = min(
                    entry.due_ms, self._ctx.now_ms + UNANSWERED_RETRY_MS
                )
                return
            entry.answered_ms = self._ctx.now_ms
            self._on_token(answer.token)
            if answer.report is not None:
                entry.sequence = answer.report.sequence
                entry.report = answer.report
                self._unacknowledged[worker] = answer.report

        self._ctx.call_worker(entry.target, call, handle_answer)

    def _mark_lost_workers(self) -> None:
        """Marks workers that have been silent until their leases lapsed."""
        max_silence_ms = self._ctx.settings.lease_ttl_ms + LOST_MARGIN_MS
        for worker, entry in self._renewed.items():
            if self._ctx.now_ms - entry.answered_ms > max_silence_ms:
                self._unacknowledged[worker] = None

    def _forward_reports(self, owner: ids.VmId | None) -> None:
        if not self._unacknowledged or owner is None:
            return
        if owner == self._ctx.settings.vm:
            pending = self._unacknowledged
            self._unacknowledged = {}
            for worker, report in pending.items():
                self._deliver(worker, report)
        elif not self._sending:
            self._send_reports(owner)

    def _deliver(
        self, worker: ids.WorkerId, report: messages.Report | None
    ) -> None:
        if report is None:
            self._on_worker_lost(worker)
        else:
            self._on_report(report)

    def _send_reports(self, owner: ids.VmId) -> None:
        self._sending = True
        sent = dict(self._unacknowledged)
        call = self._ctx.new_call()

        def handle_acknowledgement(
            answer: peer_messages.Acknowledge | None,
        ) -> None:
            self._sending = False
            if answer is None:
                return
            for worker, report in sent.items():
                if self._unacknowledged.get(worker) is report:
                    self._unacknowledged.pop(worker, None)

        message = peer_messages.KeeperReport(
            call=call,
            reports=tuple(
                report for report in sent.values() if report is not None
            ),
            lost=tuple(
                worker for worker, report in sent.items() if report is None
            ),
        )
        self._ctx.call_peer(
            owner,
            call,
            message,
            handle_acknowledgement,
            timeout_ms=ACK_TIMEOUT_MS,
        )
