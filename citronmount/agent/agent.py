"""The state machine of one VM: takes events and returns effects."""

from collections.abc import Callable

from citronmount.agent import call_router
from citronmount.agent import capacity_tracker
from citronmount.agent import claims
from citronmount.agent import configuration_manager
from citronmount.agent import context
from citronmount.agent import drain
from citronmount.agent import effects
from citronmount.agent import events
from citronmount.agent import heartbeats
from citronmount.agent import joining
from citronmount.agent import lease_renewer
from citronmount.agent import mover
from citronmount.agent import outbox
from citronmount.agent import ownership
from citronmount.agent import request_handler
from citronmount.agent import settings as settings_lib
from citronmount.agent import stream_reader
from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.membership import membership_view
from citronmount.peers import peer_messages
from citronmount.state import job_views
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["Agent"]

# Claims older than this must be in the log by now.
RECENT_CLAIMS_MS = 600_000


class Agent:
    """Makes all decisions of one VM, without I/O and without a clock.

    The shell, which does all I/O, calls `handle` with each event and carries
    out the effects that it returns. It must answer every effect with a call
    id by exactly one event with the same id.
    """

    def __init__(self, *, settings: settings_lib.AgentSettings) -> None:
        """Initializes an agent that knows no other VM.

        Args:
            settings: Identity and time limits of the agent.
        """
        self.settings = settings
        self._ctx = context.Context(settings=settings)
        self._last_event_ms: int | None = None
        self._platform = messages.PlatformView()
        self._workers: tuple[messages.ListedTarget, ...] = ()
        self._next_list_ms = 0
        self._listing = False
        self._last_assignment: tuple[object, ...] = ()
        self._open_tickets: set[ids.TicketId] = set()
        self.view = membership_view.MembershipView(
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            suspicion_ms=settings.suspicion_ms,
            remote_suspicion_ms=settings.remote_suspicion_ms,
        )
        self.job_view = job_views.JobView(
            failure_domain=settings.failure_domain
        )
        self.outbox = outbox.Outbox(ctx=self._ctx, view=self.view)
        self.reader = stream_reader.StreamReader(
            ctx=self._ctx, job_view=self.job_view
        )
        self.claims = claims.Claims(
            ctx=self._ctx,
            view=self.view,
            job_view=self.job_view,
            outbox=self.outbox,
            reader=self.reader,
        )
        self.configuration = configuration_manager.ConfigurationManager(
            ctx=self._ctx,
            view=self.view,
            outbox=self.outbox,
            on_change=self._on_configuration_change,
        )
        self.ownership = ownership.Ownership(
            ctx=self._ctx,
            view=self.view,
            job_view=self.job_view,
            outbox=self.outbox,
            reader=self.reader,
            claims=self.claims,
            configuration=self.configuration,
            workers=lambda: self._workers,
        )
        self._create_components()

    def _create_components(self) -> None:
        self.lease_renewer = lease_renewer.LeaseRenewer(
            ctx=self._ctx,
            view=self.view,
            on_report=self._on_worker_report,
            on_worker_lost=self._on_worker_lost,
            on_token=self.ownership.learn_token,
        )
        self.requests = request_handler.RequestHandler(
            ctx=self._ctx,
            view=self.view,
            config_manager=self.configuration,
            claims=self.claims,
        )
        tracker = capacity_tracker.CapacityTracker(
            ctx=self._ctx, view=self.view, ownership=self.ownership
        )
        self.calls = call_router.CallRouter(
            ctx=self._ctx,
            view=self.view,
            configuration=self.configuration,
            ownership=self.ownership,
            tracker=tracker,
            requests=self.requests,
        )
        self.mover = mover.Mover(
            ctx=self._ctx,
            outbox=self.outbox,
            ownership=self.ownership,
            calls=self.calls,
            tracker=tracker,
            configuration=self.configuration,
        )
        self.drain = drain.Drain(
            ctx=self._ctx,
            view=self.view,
            outbox=self.outbox,
            ownership=self.ownership,
            calls=self.calls,
            requests=self.requests,
        )
        self.joining = joining.Joining(
            ctx=self._ctx,
            view=self.view,
            reader=self.reader,
            configuration=self.configuration,
            ownership=self.ownership,
            listen_ms=self.settings.heartbeat_ms * 2,
        )
        self.heartbeats = heartbeats.HeartbeatSender(
            ctx=self._ctx,
            view=self.view,
            configuration=self.configuration,
            ownership=self.ownership,
            requests=self.requests,
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new calls to this VM."""
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
            event: The event.
            now_ms: Monotonic time.
            wall_ms: Wall-clock time in ms since the epoch.

        Returns:
            The effects to carry out, in order.
        """
        self._ctx.now_ms = now_ms
        self._ctx.wall_ms = wall_ms
        self._detect_pause(now_ms)
        self._dispatch(event)
        self.ownership.step_down_if_fenced()
        if self.ownership.domain is not None:
            self.ownership.domain.decide_if_due()
        self.requests.apply_decisions()
        emitted = self._ctx.effects
        self._ctx.effects = []
        return emitted

    def _detect_pause(self, now_ms: int) -> None:
        """Steps down as owner if the process was paused.

        The pause also held back heartbeats of peers, so their suspicion
        timers restart and a takeover waits for new heartbeats.
        """
        last_event_ms = self._last_event_ms
        self._last_event_ms = now_ms
        if last_event_ms is None:
            return
        gap_ms = now_ms - last_event_ms
        if gap_ms <= self.settings.pause_limit_ms:
            return
        self._ctx.trace(timeline_events.EventKind.VM_RESUMED_LATE, count=gap_ms)
        self.view.restart_suspicion_timers(now_ms)
        self.drain.record_pause()
        self.ownership.step_down("paused")
        self.ownership.delay_takeover(now_ms + self.settings.suspicion_ms)

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case events.Tick():
                self._tick()
            case events.PeerArrived(sender=sender, message=message):
                self._handle_peer_message(sender, message)
            case events.CallArrived():
                self._handle_call(event)
            case events.CallerLeft(ticket=ticket):
                self._open_tickets.discard(ticket)
            case events.DrainRequested():
                self.drain.begin()
                self.heartbeats.send_now()
            case events.Started():
                self._on_started()
            case events.RunnerAnswered(call=call):
                self._ctx.resolve(call, event)
            case _:
                self._resolve_answer(event)

    def _resolve_answer(self, event: events.Event) -> None:
        match event:
            case events.LogAppended(call=call, offset=offset):
                self._ctx.resolve(call, offset)
            case events.LogRead(call=call, page=page):
                self._ctx.resolve(call, page)
            case events.PlatformListed(call=call, view=view):
                self._ctx.resolve(call, view)
            case events.WorkerAnswered(call=call, answer=answer):
                self._ctx.resolve(call, answer)

    def _on_started(self) -> None:
        self._ctx.trace(timeline_events.EventKind.VM_STARTED)
        self.ownership.delay_takeover(
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
        self._update_assignments()
        self.ownership.tick()
        self._tick_lease_renewal()
        self.mover.tick()
        self.calls.tick()
        self.drain.tick(len(self._open_tickets))
        self.heartbeats.tick()

    def _list_platform(self) -> None:
        if self._listing or self._ctx.now_ms < self._next_list_ms:
            return
        self._listing = True
        period_ms = self.settings.platform_poll_ms
        self._next_list_ms = self._ctx.now_ms + period_ms
        self._ctx.list_platform(self._on_platform_listed)

    def _on_platform_listed(
        self, platform_view: messages.PlatformView | None
    ) -> None:
        self._listing = False
        if platform_view is None or platform_view == self._platform:
            return
        self._platform = platform_view
        new_vms = [
            listed.vm
            for listed in platform_view.vms
            if listed.vm not in self.view.peers
        ]
        self.view.update_listing(platform_view)
        for vm in new_vms:
            if vm in self.view.peers:
                self.heartbeats.send_to(vm)
        own = self.settings.failure_domain
        self._workers = tuple(
            target
            for target in platform_view.workers
            if target.failure_domain == own
        )
        self.requests.set_runners(
            tuple(
                target
                for target in platform_view.runners
                if target.failure_domain == own
            )
        )
        if self.ownership.domain is not None:
            self.ownership.domain.set_workers(self._workers)

    def _update_assignments(self) -> None:
        """Updates the workers and runner slots that this VM uses."""
        candidates = self.view.candidates(
            self.settings.failure_domain, self._ctx.now_ms
        )
        assignment = (tuple(candidates), self._workers)
        if assignment == self._last_assignment:
            return
        self._last_assignment = assignment
        self.lease_renewer.assign_workers(self._workers)
        members = sorted({*candidates, self.settings.vm})
        self.requests.router.set_share(
            members.index(self.settings.vm), len(members)
        )

    def _tick_lease_renewal(self) -> None:
        domain = self.ownership.domain
        if domain is not None:
            self.lease_renewer.note_owner_alive()
            self.lease_renewer.lapsing_attempts = frozenset(
                domain.lapsing_attempts()
            )
        owner = self.view.owner(self.settings.failure_domain, self._ctx.now_ms)
        rebuilding = owner == self.settings.vm and domain is None
        report_receiver = None if rebuilding else owner
        self.lease_renewer.tick(self.ownership.token, report_receiver)

    def _handle_call(self, event: events.CallArrived) -> None:
        ticket = event.ticket
        if self.drain.refusing:
            self._reply(ticket, _draining_failure())
            return
        self._open_tickets.add(ticket)
        self.calls.handle(event.body, self._reply_once(ticket))

    def _reply_once(
        self, ticket: ids.TicketId
    ) -> Callable[[peer_messages.Answer], None]:
        def reply(answer: peer_messages.Answer) -> None:
            if ticket in self._open_tickets:
                self._open_tickets.discard(ticket)
                self._reply(ticket, answer)

        return reply

    def _reply(
        self, ticket: ids.TicketId, answer: peer_messages.Answer
    ) -> None:
        self._ctx.emit(effects.Reply(ticket=ticket, body=answer))

    def _handle_peer_message(
        self, sender: ids.VmId, message: peer_messages.PeerMessage
    ) -> None:
        match message:
            case peer_messages.Heartbeat():
                self._handle_heartbeat(sender, message)
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
                self._handle_replicate(sender, message)
            case peer_messages.ClaimKey(call=call, claim=claim):
                vote = self.claims.vote(claim)
                self._ctx.send(sender, _with_call(vote, call))
            case peer_messages.ReleaseKey(key=key, record=record):
                self.job_view.free_claim(key, record)
            case _:
                self._handle_state_message(sender, message)

    def _handle_state_message(
        self, sender: ids.VmId, message: peer_messages.PeerMessage
    ) -> None:
        match message:
            case peer_messages.KeeperReport():
                self._handle_lease_report(sender, message)
            case peer_messages.LapseAttempts(token=token, attempts=attempts):
                self.ownership.learn_token(token)
                if token == self.ownership.token:
                    self.lease_renewer.lapsing_attempts = frozenset(attempts)
            case peer_messages.StateRequest():
                self._ctx.send(sender, self._state_answer(message))

    def _handle_heartbeat(
        self, sender: ids.VmId, heartbeat: peer_messages.Heartbeat
    ) -> None:
        self._ctx.clock.merge(heartbeat.physical_ms, heartbeat.logical)
        peer = self.view.peers.get(sender)
        last_heartbeat = None if peer is None else peer.heartbeat
        if not self.view.record_heartbeat(sender, heartbeat, self._ctx.now_ms):
            return
        if (
            last_heartbeat is None
            or last_heartbeat.incarnation != heartbeat.incarnation
        ):
            self.heartbeats.send_to(sender)
        self.configuration.catch_up_with(sender, heartbeat)
        if heartbeat.failure_domain != self.settings.failure_domain:
            return
        self.ownership.learn_token(heartbeat.token)
        self.requests.router.set_peer_free_slots(sender, heartbeat.free_slots)
        if heartbeat.domain is not None:
            self.lease_renewer.note_owner_alive()

    def _handle_replicate(
        self, sender: ids.VmId, message: peer_messages.Replicate
    ) -> None:
        self.outbox.store_replicas(message.stream, message.records)
        own = records.job_stream(self.settings.failure_domain)
        if message.stream == own:
            for record in message.records:
                self.job_view.fold(record)
            if self.ownership.domain is not None:
                self.ownership.domain.rebuilder.restore_missing_jobs()
        self._ctx.send(sender, peer_messages.Acknowledge(call=message.call))

    def _handle_lease_report(
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

    def _on_worker_report(self, report: messages.Report) -> None:
        if self.ownership.domain is not None:
            self.ownership.domain.reports.handle_report(report)

    def _on_worker_lost(self, worker: ids.WorkerId) -> None:
        if self.ownership.domain is not None:
            self.ownership.domain.reports.handle_worker_lost(worker)

    def _state_answer(
        self, request: peer_messages.StateRequest
    ) -> peer_messages.StateAnswer:
        fold = self.configuration.fold
        jobs_wanted = request.stream != records.CONFIG_STREAM
        job_view = self.job_view if jobs_wanted else self._empty_job_view()
        since_ms = 0
        if request.recent_claims:
            since_ms = self._ctx.wall_ms - RECENT_CLAIMS_MS
        return peer_messages.StateAnswer(
            call=request.call,
            configuration=(
                fold.snapshot(ids.RecordId(self._ctx.unique_id()))
                if fold.trusted
                else None
            ),
            jobs=job_view.snapshot(
                ids.RecordId(self._ctx.unique_id()), claims_since_ms=since_ms
            ),
            unappended=self.outbox.unappended(request.stream),
            token=self.ownership.token,
            ready=self.view.ready,
        )

    def _empty_job_view(self) -> job_views.JobView:
        return job_views.JobView(failure_domain=self.settings.failure_domain)

    def _on_configuration_change(
        self, current: configuration.Configuration
    ) -> None:
        self.requests.set_configuration(current)
        if self.ownership.domain is not None:
            self.ownership.domain.set_configuration(current)


def _draining_failure() -> peer_messages.Failure:
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
