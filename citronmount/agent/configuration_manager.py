"""Reads, publishes and adopts the configuration of one VM."""

from collections.abc import Callable

import msgspec

from citronmount.agent import context
from citronmount.agent import outbox as outbox_lib
from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.config import configuration_fold
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.membership import membership_view
from citronmount.membership import rendezvous
from citronmount.peers import peer_messages
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["ConfigurationManager"]

MAX_RECORDS_SINCE_SNAPSHOT = 500
SNAPSHOTS_PER_RETENTION = 4
PUBLISH_TIMEOUT_MS = 8_000
PUBLISH_RETRY_MS = 500
STATE_TIMEOUT_MS = 1_000


class _Publication(msgspec.Struct, kw_only=True):
    """A published change whose outcome has not been reported yet."""

    change: records.ConfigurationChange
    on_answer: Callable[[peer_messages.PublishAnswer], None]
    due_ms: int
    next_append_ms: int = 0
    in_flight: bool = False
    appended: bool = False


class ConfigurationManager:
    """Folds the configuration stream and reports new versions to the agent.

    A VM that cannot reach the log adopts the configuration of a peer whose
    heartbeats announce a newer version.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        outbox: outbox_lib.Outbox,
        on_change: Callable[[configuration.Configuration], None],
    ) -> None:
        """Initializes with an untrusted, empty fold.

        Args:
            ctx: The shared context.
            view: Determines which VM appends snapshots.
            outbox: Updated with whether the log is available.
            on_change: Called with every new version in force.
        """
        self.fold = configuration_fold.ConfigurationFold()
        self._ctx = ctx
        self._view = view
        self._outbox = outbox
        self._on_change = on_change
        self._next_poll_ms = 0
        self._reading = False
        self._requesting_snapshot = False
        self._snapshot_in_flight = False
        self._snapshot_due_ms: int | None = None
        self._last_snapshot_offset = self.fold.last_snapshot
        self._publications: dict[ids.RecordId, _Publication] = {}

    @property
    def usable(self) -> bool:
        """Whether a trusted configuration is in force."""
        return self.fold.trusted and self.fold.current.version > 0

    def publish(
        self,
        change: records.ConfigurationChange,
        on_answer: Callable[[peer_messages.PublishAnswer], None],
    ) -> None:
        """Publishes a change and answers once its outcome is known.

        Args:
            change: The change. Publishing one with the same record id again
                is safe.
            on_answer: Called once with the answer.
        """
        publication = _Publication(
            change=change,
            on_answer=on_answer,
            due_ms=self._ctx.now_ms + PUBLISH_TIMEOUT_MS,
        )
        self._publications[change.record] = publication
        self._append_publication(publication)

    def catch_up_with(
        self, peer: ids.VmId, heartbeat: peer_messages.Heartbeat
    ) -> None:
        """Polls the log at once if a peer's version is newer.

        If the log is unavailable, the snapshot of a ready peer is requested
        too. A VM without a trusted configuration does both on every heartbeat.

        Args:
            peer: The sender of the heartbeat.
            heartbeat: The heartbeat.
        """
        peer_is_newer = heartbeat.config_version > self.fold.current.version
        if not peer_is_newer and self.fold.trusted:
            return
        self._next_poll_ms = min(self._next_poll_ms, self._ctx.now_ms)
        needs_peer = not self._outbox.log_available or not self.fold.trusted
        if heartbeat.ready and needs_peer and not self._requesting_snapshot:
            self._request_snapshot(peer)

    def adopt(self, snapshot: records.ConfigurationSnapshot) -> None:
        """Adopts the configuration of a peer if it is newer.

        Args:
            snapshot: Snapshot of the peer's fold.
        """
        if snapshot.content.version <= 0:
            return
        if self.fold.adopt(snapshot):
            self._notify_change()

    def tick(self) -> None:
        """Polls the log and retries open publications."""
        if self._ctx.now_ms >= self._next_poll_ms:
            self._poll()
        for publication in list(self._publications.values()):
            self._append_publication(publication)

    def _poll(self) -> None:
        if self._reading:
            return
        self._reading = True
        period_ms = self._ctx.settings.config_poll_ms
        self._next_poll_ms = self._ctx.now_ms + period_ms
        self._ctx.read_log(
            records.CONFIG_STREAM, self.fold.next_offset, self._on_page_read
        )

    def _on_page_read(self, page: messages.LogPage | None) -> None:
        self._reading = False
        self._outbox.log_available = page is not None
        if page is None:
            return
        if self.fold.fold_page(page):
            self._notify_change()
        self._answer_decided_publications()
        if self.fold.next_offset < page.end and page.records:
            self._next_poll_ms = self._ctx.now_ms
            self._poll()
        else:
            self._append_snapshot_if_due()

    def _notify_change(self) -> None:
        current = self.fold.current
        out_of_service = ",".join(
            domain.name
            for domain in current.failure_domains
            if domain.state is states.FailureDomainState.OUT
        )
        self._ctx.trace(
            timeline_events.EventKind.CONFIGURATION_IN_FORCE,
            version=current.version,
            detail=out_of_service,
        )
        self._on_change(current)

    def _append_publication(self, publication: _Publication) -> None:
        """Appends an open publication until its outcome is known."""
        if self._answer_if_decided(publication):
            return
        if self._ctx.now_ms >= publication.due_ms:
            outcome = codes.ResultCode.CONFIGURATION_OUTCOME_UNKNOWN
            self._answer(publication, outcome)
            return
        due = self._ctx.now_ms >= publication.next_append_ms
        if publication.in_flight or publication.appended or not due:
            return
        publication.in_flight = True

        def handle_append_answer(offset: ids.Offset | None) -> None:
            publication.in_flight = False
            publication.appended = offset is not None
            publication.next_append_ms = self._ctx.now_ms + PUBLISH_RETRY_MS
            self._poll()

        self._ctx.append_log(
            records.CONFIG_STREAM, (publication.change,), handle_append_answer
        )

    def _answer_decided_publications(self) -> None:
        for publication in list(self._publications.values()):
            self._answer_if_decided(publication)

    def _answer_if_decided(self, publication: _Publication) -> bool:
        outcome = self.fold.outcome(publication.change.record)
        if outcome is None:
            return False
        accepted = outcome is configuration_fold.ChangeOutcome.ACCEPTED
        self._answer(
            publication,
            codes.ResultCode.CONFIGURATION_ACCEPTED
            if accepted
            else codes.ResultCode.CONFIGURATION_STALE_BASE,
        )
        return True

    def _answer(
        self, publication: _Publication, code: codes.ResultCode
    ) -> None:
        self._publications.pop(publication.change.record, None)
        version = self.fold.current.version
        self._ctx.trace(
            timeline_events.EventKind.CONFIGURATION_ANSWERED,
            version=version,
            code=int(code),
            detail=publication.change.record,
        )
        publication.on_answer(
            peer_messages.PublishAnswer(
                result=jobs.JobResult(code=code), version=version
            )
        )

    def _request_snapshot(self, peer: ids.VmId) -> None:
        self._requesting_snapshot = True
        call = self._ctx.new_call()

        def handle_answer(answer: peer_messages.StateAnswer | None) -> None:
            self._requesting_snapshot = False
            if answer is not None and answer.configuration is not None:
                self.adopt(answer.configuration)

        self._ctx.call_peer(
            peer,
            call,
            peer_messages.StateRequest(call=call, stream=records.CONFIG_STREAM),
            handle_answer,
            timeout_ms=STATE_TIMEOUT_MS,
        )

    def _append_snapshot_if_due(self) -> None:
        """Appends a snapshot before retention removes the folded records."""
        due = self._is_snapshot_due()
        if (
            not due
            or self._snapshot_in_flight
            or not self._is_snapshot_writer()
        ):
            return
        self._snapshot_in_flight = True

        def handle_append_answer(offset: ids.Offset | None) -> None:
            self._snapshot_in_flight = False

        snapshot = self.fold.snapshot(ids.RecordId(self._ctx.unique_id()))
        self._ctx.append_log(
            records.CONFIG_STREAM, (snapshot,), handle_append_answer
        )

    def _is_snapshot_due(self) -> bool:
        """Returns whether the last snapshot is too old.

        It is too old after `MAX_RECORDS_SINCE_SNAPSHOT` records, or after a
        quarter of the retention time.
        """
        if not self.usable:
            return False
        period_ms = self._ctx.settings.retention_ms // SNAPSHOTS_PER_RETENTION
        if self._last_snapshot_offset != self.fold.last_snapshot:
            self._last_snapshot_offset = self.fold.last_snapshot
            self._snapshot_due_ms = None
        if self._snapshot_due_ms is None:
            self._snapshot_due_ms = self._ctx.now_ms + period_ms
        records_since = self.fold.next_offset - self.fold.last_snapshot
        return (
            records_since > MAX_RECORDS_SINCE_SNAPSHOT
            or self._ctx.now_ms >= self._snapshot_due_ms
        )

    def _is_snapshot_writer(self) -> bool:
        vms = [self._ctx.settings.vm, *self._view.live_peers(self._ctx.now_ms)]
        chosen = rendezvous.choose(records.CONFIG_STREAM, vms)
        return chosen == self._ctx.settings.vm
