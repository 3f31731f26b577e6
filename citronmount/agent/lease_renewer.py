"""Renews the leases of the workers that this VM keeps."""

from collections.abc import Callable
import zlib

import msgspec

from citronmount.agent import context
from citronmount.core import ids
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.services import messages

__all__ = ["LeaseRenewer"]

ACK_TIMEOUT_MS = 1_000
AUTHORITY_MS = 20_000
LOST_MARGIN_MS = 1_000
SILENT_RETRY_MS = 1_000


class _Kept(msgspec.Struct, kw_only=True):
    """One worker that the VM keeps."""

    target: messages.ListedTarget
    due_ms: int
    answered_ms: int
    in_flight: bool = False
    sequence: int = -1
    report: messages.Report | None = None


class LeaseRenewer:
    """Sends one renewal a worker and period, and passes on what changed.

    Workers are divided among the VMs of the failure domain, so that no VM
    carries the traffic of all. A keeper goes on without an owner for a
    bounded time, so that running work outlives a take-over.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: view_lib.MembershipView,
        on_report: Callable[[messages.Report], None],
        on_worker_lost: Callable[[ids.WorkerId], None],
        on_token: Callable[[ids.FenceToken], None],
    ) -> None:
        """Initializes a keeper of no workers.

        Args:
            ctx: The shared context.
            view: Who keeps which worker.
            on_report: Takes changed reports if this VM is the owner.
            on_worker_lost: Takes silent workers if this VM is the owner.
            on_token: Takes every token that a worker has seen.
        """
        self.lapsing_attempts: frozenset[ids.AttemptId] = frozenset()
        self._ctx = ctx
        self._view = view
        self._on_report = on_report
        self._on_worker_lost = on_worker_lost
        self._on_token = on_token
        self._kept: dict[ids.WorkerId, _Kept] = {}
        self._owner_heard_ms = 0
        self._unacknowledged: dict[ids.WorkerId, messages.Report | None] = {}
        self._passing = False

    def note_owner_alive(self) -> None:
        """Notes that an owner, or this VM as owner, is at work."""
        self._owner_heard_ms = self._ctx.now_ms

    def assign_workers(
        self, workers: tuple[messages.ListedTarget, ...]
    ) -> None:
        """Recomputes which workers this VM keeps.

        Args:
            workers: All workers of the failure domain.
        """
        candidates = self._view.candidates(
            self._ctx.settings.failure_domain, self._ctx.now_ms
        )
        mine = {
            ids.WorkerId(target.name): target
            for target in workers
            if self._view.keeper(ids.WorkerId(target.name), candidates)
            == self._ctx.settings.vm
        }
        for worker in [name for name in self._kept if name not in mine]:
            del self._kept[worker]
        for worker, target in mine.items():
            if worker in self._kept:
                self._kept[worker].target = target
            else:
                self._kept[worker] = self._new(worker, target)

    def tick(self, token: ids.FenceToken, owner: ids.VmId | None) -> None:
        """Sends what is due.

        Args:
            token: The highest fencing token known.
            owner: The owner of the failure domain; None while there is none
                that could take reports.
        """
        silent_ms = self._ctx.now_ms - self._owner_heard_ms
        if silent_ms <= AUTHORITY_MS and token > 0:
            for worker, kept in self._kept.items():
                if not kept.in_flight and kept.due_ms <= self._ctx.now_ms:
                    self._renew(worker, kept, token)
        self._note_lost()
        self._pass_on(owner)

    def _new(
        self, worker: ids.WorkerId, target: messages.ListedTarget
    ) -> _Kept:
        period_ms = self._ctx.settings.renew_period_ms
        spread_ms = zlib.crc32(worker.encode()) % max(period_ms // 3, 1)
        return _Kept(
            target=target,
            due_ms=self._ctx.now_ms + spread_ms,
            answered_ms=self._ctx.now_ms,
        )

    def _renew(
        self, worker: ids.WorkerId, kept: _Kept, token: ids.FenceToken
    ) -> None:
        kept.in_flight = True
        kept.due_ms = self._ctx.now_ms + self._ctx.settings.renew_period_ms
        act = messages.Renew(
            ttl_ms=self._ctx.settings.lease_ttl_ms,
            lapse=tuple(sorted(self.lapsing_attempts)),
        )
        call = messages.WorkerCall(
            token=token, acts=(act,), known_sequence=kept.sequence
        )

        def answered(answer: messages.WorkerAnswer | None) -> None:
            kept.in_flight = False
            if answer is None:
                kept.due_ms = min(
                    kept.due_ms, self._ctx.now_ms + SILENT_RETRY_MS
                )
                return
            kept.answered_ms = self._ctx.now_ms
            self._on_token(answer.token)
            if answer.report is not None:
                kept.sequence = answer.report.sequence
                kept.report = answer.report
                self._unacknowledged[worker] = answer.report

        self._ctx.call_worker(kept.target, call, answered)

    def _note_lost(self) -> None:
        """Marks workers whose leases must have lapsed by now."""
        limit_ms = self._ctx.settings.lease_ttl_ms + LOST_MARGIN_MS
        for worker, kept in self._kept.items():
            if self._ctx.now_ms - kept.answered_ms > limit_ms:
                self._unacknowledged[worker] = None

    def _pass_on(self, owner: ids.VmId | None) -> None:
        if not self._unacknowledged or owner is None:
            return
        if owner == self._ctx.settings.vm:
            waiting = self._unacknowledged
            self._unacknowledged = {}
            for worker, report in waiting.items():
                self._deliver(worker, report)
        elif not self._passing:
            self._send(owner)

    def _deliver(
        self, worker: ids.WorkerId, report: messages.Report | None
    ) -> None:
        if report is None:
            self._on_worker_lost(worker)
        else:
            self._on_report(report)

    def _send(self, owner: ids.VmId) -> None:
        self._passing = True
        sent = dict(self._unacknowledged)
        call = self._ctx.new_call()

        def acknowledged(answer: peer_messages.Acknowledge | None) -> None:
            self._passing = False
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
            owner, call, message, acknowledged, timeout_ms=ACK_TIMEOUT_MS
        )
