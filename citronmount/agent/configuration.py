"""Keeps the configuration of one VM in force: polls, publishes, relays."""

from collections.abc import Callable

import msgspec

from citronmount.agent import context
from citronmount.agent import outbox as outbox_lib
from citronmount.config import configuration as configuration_lib
from citronmount.config import fold as fold_lib
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.membership import rendezvous
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.services import messages
from citronmount.state import records
from citronmount.telemetry import events as timeline

__all__ = ["ConfigurationManager"]

SNAPSHOT_EVERY_RECORDS = 500
SNAPSHOTS_PER_RETENTION = 4
PUBLISH_LIMIT_MS = 8_000
PUBLISH_RETRY_MS = 500
RELAY_TIMEOUT_MS = 1_000


class _Publication(msgspec.Struct, kw_only=True):
    """A change whose outcome an operator waits for."""

    change: records.ConfigurationChange
    on_answer: Callable[[peer_messages.PublishAnswer], None]
    due_ms: int
    next_append_ms: int = 0
    in_flight: bool = False
    appended: bool = False


class ConfigurationManager:
    """Folds the configuration stream and tells the agent of new versions.

    A VM that is cut off from the log takes the configuration over from a
    peer that is ahead, as its heartbeats tell.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: view_lib.MembershipView,
        outbox: outbox_lib.Outbox,
        on_change: Callable[[configuration_lib.Configuration], None],
    ) -> None:
        """Initializes with an untrusted, empty fold.

        Args:
            ctx: The shared context.
            view: Which peers are ahead.
            outbox: Told whether the log answers.
            on_change: Told of every new version in force.
        """
        self.fold = fold_lib.ConfigurationFold()
        self._ctx = ctx
        self._view = view
        self._outbox = outbox
        self._on_change = on_change
        self._next_poll_ms = 0
        self._reading = False
        self._relaying = False
        self._snapshot_in_flight = False
        self._snapshot_due_ms: int | None = None
        self._seen_snapshot = self.fold.last_snapshot
        self._publications: dict[ids.RecordId, _Publication] = {}

    @property
    def usable(self) -> bool:
        """Whether there is a trustworthy configuration to serve by."""
        return self.fold.trusted and self.fold.current.version > 0

    def publish(
        self,
        change: records.ConfigurationChange,
        on_answer: Callable[[peer_messages.PublishAnswer], None],
    ) -> None:
        """Publishes a change and answers once its outcome is known.

        Args:
            change: The change; sending one with the same record id again is
                safe.
            on_answer: Told once.
        """
        publication = _Publication(
            change=change,
            on_answer=on_answer,
            due_ms=self._ctx.now_ms + PUBLISH_LIMIT_MS,
        )
        self._publications[change.record] = publication
        self._push(publication)

    def catch_up_with(
        self, peer: ids.VmId, heartbeat: peer_messages.Heartbeat
    ) -> None:
        """Catches up with a peer that has a newer configuration.

        Args:
            peer: The peer.
            heartbeat: Its heartbeat.
        """
        behind = heartbeat.config_version > self.fold.current.version
        if not behind and self.fold.trusted:
            return
        self._next_poll_ms = min(self._next_poll_ms, self._ctx.now_ms)
        unreachable = not self._outbox.log_available or not self.fold.trusted
        if heartbeat.ready and unreachable and not self._relaying:
            self._ask_relay(peer)

    def adopt(self, snapshot: records.ConfigurationSnapshot) -> None:
        """Takes over a peer's configuration.

        Args:
            snapshot: What the peer has folded.
        """
        if snapshot.content.version <= 0:
            return
        if self.fold.adopt(snapshot):
            self._in_force()

    def tick(self) -> None:
        """Polls the log and pushes open publications."""
        if self._ctx.now_ms >= self._next_poll_ms:
            self._poll()
        for publication in list(self._publications.values()):
            self._push(publication)

    def _poll(self) -> None:
        if self._reading:
            return
        self._reading = True
        period_ms = self._ctx.settings.config_poll_ms
        self._next_poll_ms = self._ctx.now_ms + period_ms
        self._ctx.read_log(
            records.CONFIG_STREAM, self.fold.next_offset, self._was_read
        )

    def _was_read(self, page: messages.LogPage | None) -> None:
        self._reading = False
        self._outbox.log_available = page is not None
        if page is None:
            return
        if self.fold.fold_page(page):
            self._in_force()
        self._settle_publications()
        if self.fold.next_offset < page.end and page.records:
            self._next_poll_ms = self._ctx.now_ms
            self._poll()
        else:
            self._maybe_snapshot()

    def _in_force(self) -> None:
        current = self.fold.current
        out = ",".join(
            domain.name
            for domain in current.failure_domains
            if domain.state is states.FailureDomainState.OUT
        )
        self._ctx.trace(
            timeline.EventKind.CONFIGURATION_IN_FORCE,
            version=current.version,
            detail=out,
        )
        self._on_change(current)

    def _push(self, publication: _Publication) -> None:
        """Appends an open publication again until its fate is known."""
        if self._settle(publication):
            return
        if self._ctx.now_ms >= publication.due_ms:
            outcome = codes.ResultCode.CONFIGURATION_OUTCOME_UNKNOWN
            self._answer(publication, outcome)
            return
        due = self._ctx.now_ms >= publication.next_append_ms
        if publication.in_flight or publication.appended or not due:
            return
        publication.in_flight = True

        def appended(offset: ids.Offset | None) -> None:
            publication.in_flight = False
            publication.appended = offset is not None
            publication.next_append_ms = self._ctx.now_ms + PUBLISH_RETRY_MS
            self._poll()

        self._ctx.append_log(
            records.CONFIG_STREAM, (publication.change,), appended
        )

    def _settle_publications(self) -> None:
        for publication in list(self._publications.values()):
            self._settle(publication)

    def _settle(self, publication: _Publication) -> bool:
        outcome = self.fold.outcome(publication.change.record)
        if outcome is None:
            return False
        accepted = outcome is fold_lib.ChangeOutcome.ACCEPTED
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
            timeline.EventKind.CONFIGURATION_ANSWERED,
            version=version,
            code=int(code),
            detail=publication.change.record,
        )
        publication.on_answer(
            peer_messages.PublishAnswer(
                result=jobs.JobResult(code=code), version=version
            )
        )

    def _ask_relay(self, peer: ids.VmId) -> None:
        self._relaying = True
        call = self._ctx.new_call()

        def answered(answer: peer_messages.StateAnswer | None) -> None:
            self._relaying = False
            if answer is not None and answer.configuration is not None:
                self.adopt(answer.configuration)

        self._ctx.call_peer(
            peer,
            call,
            peer_messages.StateRequest(call=call, stream=records.CONFIG_STREAM),
            answered,
            timeout_ms=RELAY_TIMEOUT_MS,
        )

    def _maybe_snapshot(self) -> None:
        """Appends a snapshot before retention drops what it stands for."""
        due = self._snapshot_due()
        if not due or self._snapshot_in_flight or not self._first_choice():
            return
        self._snapshot_in_flight = True

        def appended(offset: ids.Offset | None) -> None:
            self._snapshot_in_flight = False

        snapshot = self.fold.snapshot(ids.RecordId(self._ctx.unique_id()))
        self._ctx.append_log(records.CONFIG_STREAM, (snapshot,), appended)

    def _snapshot_due(self) -> bool:
        """Returns whether the last snapshot is many records or hours old."""
        if not self.usable:
            return False
        period_ms = self._ctx.settings.retention_ms // SNAPSHOTS_PER_RETENTION
        if self._seen_snapshot != self.fold.last_snapshot:
            self._seen_snapshot = self.fold.last_snapshot
            self._snapshot_due_ms = None
        if self._snapshot_due_ms is None:
            self._snapshot_due_ms = self._ctx.now_ms + period_ms
        records_since = self.fold.next_offset - self.fold.last_snapshot
        return (
            records_since > SNAPSHOT_EVERY_RECORDS
            or self._ctx.now_ms >= self._snapshot_due_ms
        )

    def _first_choice(self) -> bool:
        vms = [self._ctx.settings.vm, *self._view.live_peers(self._ctx.now_ms)]
        chosen = rendezvous.choose(records.CONFIG_STREAM, vms)
        return chosen == self._ctx.settings.vm
