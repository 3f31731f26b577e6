"""The state machine of one VM: takes events and returns effects."""

from collections.abc import Callable

from citronmount.agent import call_desk
from citronmount.agent import capacity_tracker
from citronmount.agent import claims as claims_lib
from citronmount.agent import configuration as configuration_lib
from citronmount.agent import context
from citronmount.agent import drain as drain_lib
from citronmount.agent import effects
from citronmount.agent import events
from citronmount.agent import heartbeats as heartbeats_lib
from citronmount.agent import joining as joining_lib
from citronmount.agent import lease_renewer
from citronmount.agent import mover as mover_lib
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import ownership as ownership_lib
from citronmount.agent import request_desk
from citronmount.agent import settings as settings_lib
from citronmount.agent import stream_reader
from citronmount.config import configuration
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.services import messages
from citronmount.state import job_views
from citronmount.state import records
from citronmount.telemetry import events as timeline

__all__ = ["Agent"]

RECENT_CLAIMS_MS = 600_000


class Agent:
    """All decisions of one VM, without input, output or clock.

    The shell calls `handle` with each event and carries out the effects that
    it returns. Every effect with a call id must be answered by exactly one
    event of that id.
    """

    def __init__(self, *, settings: settings_lib.AgentSettings) -> None:
        """Initializes an agent that knows nothing but itself.

        Args:
            settings: Identity and timing.
        """
        self.settings = settings
        self._ctx = context.Context(settings=settings)
        self._last_ms: int | None = None
        self._platform = messages.PlatformView()
        self._workers: tuple[messages.ListedTarget, ...] = ()
        self._next_list_ms = 0
        self._listing = False
        self._assigned: tuple[object, ...] = ()
        self._tickets: set[ids.TicketId] = set()
        self.view = view_lib.MembershipView(
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            suspicion_ms=settings.suspicion_ms,
            remote_suspicion_ms=settings.remote_suspicion_ms,
        )
        self.book = job_views.JobView(failure_domain=settings.failure_domain)
        self.outbox = outbox_lib.Outbox(ctx=self._ctx, view=self.view)
        self.reader = stream_reader.StreamReader(ctx=self._ctx, book=self.book)
        self.claims = claims_lib.Claims(
            ctx=self._ctx,
            view=self.view,
            book=self.book,
            outbox=self.outbox,
            reader=self.reader,
        )
        self.configuration = configuration_lib.ConfigurationKeeper(
            ctx=self._ctx,
            view=self.view,
            outbox=self.outbox,
            on_change=self._configuration_changed,
        )
        self.ownership = ownership_lib.Ownership(
            ctx=self._ctx,
            view=self.view,
            book=self.book,
            outbox=self.outbox,
            reader=self.reader,
            claims=self.claims,
            configuration=self.configuration,
            workers=lambda: self._workers,
        )
        self._make_desks()

    def _make_desks(self) -> None:
        self.lease_renewer = lease_renewer.LeaseRenewer(
            ctx=self._ctx,
            view=self.view,
            on_report=self._worker_report,
            on_worker_lost=self._worker_lost,
            on_token=self.ownership.learn_token,
        )
        self.requests = request_desk.RequestDesk(
            ctx=self._ctx,
            view=self.view,
            configuration_keeper=self.configuration,
            claims=self.claims,
        )
        rooms = capacity_tracker.CapacityTracker(
            ctx=self._ctx, view=self.view, ownership=self.ownership
        )
        self.calls = call_desk.CallDesk(
            ctx=self._ctx,
            view=self.view,
            configuration=self.configuration,
            ownership=self.ownership,
            rooms=rooms,
            requests=self.requests,
        )
        self.mover = mover_lib.Mover(
            ctx=self._ctx,
            outbox=self.outbox,
            ownership=self.ownership,
            calls=self.calls,
            rooms=rooms,
            configuration=self.configuration,
        )
        self.drain = drain_lib.Drain(
            ctx=self._ctx,
            view=self.view,
            outbox=self.outbox,
            ownership=self.ownership,
            calls=self.calls,
            requests=self.requests,
        )
        self.joining = joining_lib.Joining(
            ctx=self._ctx,
            view=self.view,
            reader=self.reader,
            configuration=self.configuration,
            ownership=self.ownership,
            listen_ms=self.settings.heartbeat_ms * 2,
        )
        self.heartbeats = heartbeats_lib.Heartbeats(
            ctx=self._ctx,
            view=self.view,
            configuration=self.configuration,
            ownership=self.ownership,
            requests=self.requests,
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new calls to this VM."""
        return (
            self.view.ready
            and self.configuration.usable
            and not self.view.draining
        )

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        """Handles one event.

        Args:
            event: What happened.
            now_ms: Monotonic time.
            wall_ms: Wall-clock time in ms since the epoch.

        Returns:
            What to do, in order.
        """
        self._ctx.now_ms = now_ms
        self._ctx.wall_ms = wall_ms
        self._notice_pause(now_ms)
        self._dispatch(event)
        self.ownership.settle()
        if self.ownership.domain is not None:
            self.ownership.domain.decide_if_due()
        self.requests.pump()
        out = self._ctx.effects
        self._ctx.effects = []
        return out

    def _notice_pause(self, now_ms: int) -> None:
        """Gives up ownership if the process did not run for a while."""
        last_ms = self._last_ms
        self._last_ms = now_ms
        if last_ms is None:
            return
        gap_ms = now_ms - last_ms
        if gap_ms <= self.settings.pause_limit_ms:
            return
        self._ctx.trace(timeline.EventKind.VM_RESUMED_LATE, count=gap_ms)
        self.view.forget_silence(now_ms)
        self.drain.resumed()
        self.ownership.step_down("paused")
        self.ownership.not_before(now_ms + self.settings.suspicion_ms)

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case events.Tick():
                self._tick()
            case events.PeerArrived(sender=sender, message=message):
                self._peer_message(sender, message)
            case events.CallArrived():
                self._call_arrived(event)
            case events.CallerLeft(ticket=ticket):
                self._tickets.discard(ticket)
            case events.DrainRequested():
                self.drain.begin()
                self.heartbeats.send_now()
            case events.Started():
                self._started()
            case events.RunnerAnswered(call=call):
                self._ctx.resolve(call, event)
            case _:
                self._answer_arrived(event)

    def _answer_arrived(self, event: events.Event) -> None:
        match event:
            case events.LogAppended(call=call, offset=offset):
                self._ctx.resolve(call, offset)
            case events.LogRead(call=call, page=page):
                self._ctx.resolve(call, page)
            case events.PlatformListed(call=call, view=view):
                self._ctx.resolve(call, view)
            case events.WorkerAnswered(call=call, answer=answer):
                self._ctx.resolve(call, answer)

    def _started(self) -> None:
        self._ctx.trace(timeline.EventKind.VM_STARTED)
        self.ownership.not_before(
            self._ctx.now_ms + self.settings.heartbeat_ms * 2
        )
        self._tick()

    def _tick(self) -> None:
        self._ctx.expire_peer_calls()
        self._list_platform()
        self.configuration.tick()
        self.joining.tick()
        self.outbox.tick()
        self.claims.tick()
        self._reassign()
        self.ownership.tick()
        self._tick_lease_renewer()
        self.mover.tick()
        self.calls.tick()
        self.drain.tick(len(self._tickets))
        self.heartbeats.tick()

    def _list_platform(self) -> None:
        if self._listing or self._ctx.now_ms < self._next_list_ms:
            return
        self._listing = True
        period_ms = self.settings.platform_poll_ms
        self._next_list_ms = self._ctx.now_ms + period_ms
        self._ctx.list_platform(self._was_listed)

    def _was_listed(self, view: messages.PlatformView | None) -> None:
        self._listing = False
        if view is None or view == self._platform:
            return
        self._platform = view
        strangers = [
            listed.vm for listed in view.vms if listed.vm not in self.view.peers
        ]
        self.view.listed(view)
        for vm in strangers:
            if vm in self.view.peers:
                self.heartbeats.send_to(vm)
        own = self.settings.failure_domain
        self._workers = tuple(
            target for target in view.workers if target.failure_domain == own
        )
        self.requests.set_runners(
            tuple(
                target
                for target in view.runners
                if target.failure_domain == own
            )
        )
        if self.ownership.domain is not None:
            self.ownership.domain.set_workers(self._workers)

    def _reassign(self) -> None:
        """Divides workers and slots anew after a change among the VMs."""
        candidates = self.view.candidates(
            self.settings.failure_domain, self._ctx.now_ms
        )
        assigned = (tuple(candidates), self._workers)
        if assigned == self._assigned:
            return
        self._assigned = assigned
        self.lease_renewer.assign_workers(self._workers)
        members = sorted({*candidates, self.settings.vm})
        self.requests.router.set_share(
            members.index(self.settings.vm), len(members)
        )

    def _tick_lease_renewer(self) -> None:
        domain = self.ownership.domain
        if domain is not None:
            self.lease_renewer.note_owner_alive()
            self.lease_renewer.lapsing_attempts = frozenset(
                domain.lapsing_attempts()
            )
        owner = self.view.owner(self.settings.failure_domain, self._ctx.now_ms)
        rebuilding = owner == self.settings.vm and domain is None
        reachable = None if rebuilding else owner
        self.lease_renewer.tick(self.ownership.token, reachable)

    def _call_arrived(self, event: events.CallArrived) -> None:
        ticket = event.ticket
        if self.drain.refusing:
            self._reply(ticket, _draining())
            return
        self._tickets.add(ticket)
        self.calls.handle(event.body, self._replier(ticket))

    def _replier(
        self, ticket: ids.TicketId
    ) -> Callable[[peer_messages.Answer], None]:
        def reply(answer: peer_messages.Answer) -> None:
            if ticket in self._tickets:
                self._tickets.discard(ticket)
                self._reply(ticket, answer)

        return reply

    def _reply(
        self, ticket: ids.TicketId, answer: peer_messages.Answer
    ) -> None:
        self._ctx.emit(effects.Reply(ticket=ticket, body=answer))

    def _peer_message(
        self, sender: ids.VmId, message: peer_messages.PeerMessage
    ) -> None:
        match message:
            case peer_messages.Heartbeat():
                self._heartbeat(sender, message)
            case peer_messages.Forward():
                self.calls.handle_forwarded(sender, message)
            case (
                peer_messages.ForwardAnswer(call=call)
                | peer_messages.Acknowledge(call=call)
                | peer_messages.ClaimAnswer(call=call)
                | peer_messages.StateAnswer(call=call)
            ):
                self._ctx.resolve_peer(call, message)
            case peer_messages.Replicate():
                self._replicate(sender, message)
            case peer_messages.ClaimKey(call=call, claim=claim):
                vote = self.claims.vote(claim)
                self._ctx.send(sender, _with_call(vote, call))
            case peer_messages.ReleaseKey(key=key, record=record):
                self.book.free_claim(key, record)
            case _:
                self._state_message(sender, message)

    def _state_message(
        self, sender: ids.VmId, message: peer_messages.PeerMessage
    ) -> None:
        match message:
            case peer_messages.KeeperReport():
                self._keeper_report(sender, message)
            case peer_messages.LapseAttempts(token=token, attempts=attempts):
                self.ownership.learn_token(token)
                if token == self.ownership.token:
                    self.lease_renewer.lapsing_attempts = frozenset(attempts)
            case peer_messages.StateRequest():
                self._ctx.send(sender, self._state_answer(message))

    def _heartbeat(
        self, sender: ids.VmId, heartbeat: peer_messages.Heartbeat
    ) -> None:
        self._ctx.clock.merge(heartbeat.physical_ms, heartbeat.logical)
        known = self.view.peers.get(sender)
        before = None if known is None else known.heartbeat
        if not self.view.heard(sender, heartbeat, self._ctx.now_ms):
            return
        if before is None or before.incarnation != heartbeat.incarnation:
            self.heartbeats.send_to(sender)
        self.configuration.peer_is_ahead(sender, heartbeat)
        if heartbeat.failure_domain != self.settings.failure_domain:
            return
        self.ownership.learn_token(heartbeat.token)
        self.requests.router.peer_free_slots(sender, heartbeat.free_slots)
        if heartbeat.domain is not None:
            self.lease_renewer.note_owner_alive()

    def _replicate(
        self, sender: ids.VmId, message: peer_messages.Replicate
    ) -> None:
        self.outbox.hold(message.stream, message.records)
        own = records.job_stream(self.settings.failure_domain)
        if message.stream == own:
            for record in message.records:
                self.book.fold(record)
            if self.ownership.domain is not None:
                self.ownership.domain.rebuilder.restore_missing_jobs()
        self._ctx.send(sender, peer_messages.Acknowledge(call=message.call))

    def _keeper_report(
        self, sender: ids.VmId, message: peer_messages.KeeperReport
    ) -> None:
        domain = self.ownership.domain
        if domain is None:
            return
        self._ctx.send(sender, peer_messages.Acknowledge(call=message.call))
        for report in message.reports:
            domain.reports.handle_report(report)
        for worker in message.lost:
            domain.reports.handle_worker_lost(worker)

    def _worker_report(self, report: messages.Report) -> None:
        if self.ownership.domain is not None:
            self.ownership.domain.reports.handle_report(report)

    def _worker_lost(self, worker: ids.WorkerId) -> None:
        if self.ownership.domain is not None:
            self.ownership.domain.reports.handle_worker_lost(worker)

    def _state_answer(
        self, request: peer_messages.StateRequest
    ) -> peer_messages.StateAnswer:
        fold = self.configuration.fold
        jobs_wanted = request.stream != records.CONFIG_STREAM
        book = self.book if jobs_wanted else self._empty_book()
        since_ms = 0
        if request.recent_claims:
            since_ms = self._ctx.wall_ms - RECENT_CLAIMS_MS
        return peer_messages.StateAnswer(
            call=request.call,
            configuration=(
                fold.snapshot(ids.RecordId(self._ctx.unique()))
                if fold.trusted
                else None
            ),
            jobs=book.snapshot(
                ids.RecordId(self._ctx.unique()), claims_since_ms=since_ms
            ),
            unappended=self.outbox.unappended(request.stream),
            token=self.ownership.token,
            ready=self.view.ready,
        )

    def _empty_book(self) -> job_views.JobView:
        return job_views.JobView(failure_domain=self.settings.failure_domain)

    def _configuration_changed(
        self, current: configuration.Configuration
    ) -> None:
        self.requests.set_configuration(current)
        if self.ownership.domain is not None:
            self.ownership.domain.set_configuration(current)


def _draining() -> peer_messages.Failure:
    return peer_messages.Failure(
        result=jobs.JobResult(code=codes.ResultCode.DRAINING),
        retry_after_ms=0,
    )


def _with_call(
    vote: peer_messages.ClaimAnswer, call: ids.CallId
) -> peer_messages.ClaimAnswer:
    return peer_messages.ClaimAnswer(
        call=call, granted=vote.granted, holder=vote.holder, result=vote.result
    )
