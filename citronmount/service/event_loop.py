"""The event loop of a VM: dispatches events and executes effects."""

import collections
from collections.abc import Callable
import itertools
import time
import typing

import msgspec
import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.clients import http_client
from citronmount.clients import messages
from citronmount.clients import platform_api
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages
from citronmount.peers import peer_transport
from citronmount.service import vm_state_machine
from citronmount.telemetry import metrics_registry
from citronmount.telemetry import timeline_events

__all__ = ["Addresses", "Runtime"]

_MS_PER_S = 1_000
_NS_PER_MS = 1_000_000

_EXECUTORS: dict[type, Callable[..., None]] = {}
_Effect = typing.TypeVar("_Effect")
_Executor = Callable[["Runtime", _Effect], None]


def _executes(effect_type: type[_Effect]) -> Callable[[_Executor], _Executor]:
    """Registers the method that executes one type of effect."""

    def register(executor: _Executor) -> _Executor:
        _EXECUTORS[effect_type] = executor
        return executor

    return register


class Addresses(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of the platform's services.

    Attributes:
        log: ``ip:port`` of the log service.
        vm_list: ``ip:port`` of the list of VMs and targets.
    """

    log: str
    vm_list: str


class Runtime:
    """The event loop of one state machine.

    Events are handled one at a time: an event that is dispatched while
    another one is being handled, or its effects executed, is queued.

    Attributes:
        exited: A Deferred that fires when the state machine requests the end
            of the process.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        state_machine: vm_state_machine.VmStateMachine,
        peers: peer_transport.PeerTransport,
        http: http_client.HttpClient,
        addresses: Addresses,
        on_trace: Callable[[timeline_events.TimelineEvent], None],
        metrics: metrics_registry.MetricsRegistry,
        now_ns: Callable[[], int] = time.monotonic_ns,
        wall_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        """Initializes the runtime without starting its ticks.

        Args:
            reactor: The reactor that schedules the ticks.
            state_machine: Handles the events.
            peers: Sends messages to other VMs.
            http: Calls the platform's services and the targets.
            addresses: The addresses of the platform's services.
            on_trace: Called with each timeline event of the state machine.
            metrics: Receives durations and counters.
            now_ns: Returns the monotonic time in nanoseconds.
            wall_ns: Returns the Unix time in nanoseconds.
        """
        self.exited: defer.Deferred[None] = defer.Deferred()
        self._state_machine = state_machine
        self._peers = peers
        self._http = http
        self._addresses = addresses
        self._on_trace = on_trace
        self._metrics = metrics
        self._now_ns = now_ns
        self._wall_ns = wall_ns
        self._logger = structlog.get_logger()
        self._events: collections.deque[events.Event] = collections.deque()
        self._handling = False
        self._stopped = False
        self._tickets = itertools.count(1)
        self._pending_calls: dict[
            ids.TicketId, defer.Deferred[peer_messages.Answer]
        ] = {}
        self._tick_loop = task.LoopingCall(self.dispatch, events.Tick())
        self._tick_loop.clock = reactor

    @property
    def open_calls(self) -> int:
        """The number of callers that wait for an answer."""
        return len(self._pending_calls)

    def start(self, tick_ms: int) -> None:
        """Dispatches `events.Started` and starts the periodic ticks.

        Args:
            tick_ms: The period of the ticks.
        """
        self.dispatch(events.Started())
        self._tick_loop.start(tick_ms / _MS_PER_S, now=False)

    def stop(self) -> None:
        """Stops the ticks and the handling of events."""
        self._stopped = True
        if self._tick_loop.running:
            self._tick_loop.stop()

    def call(
        self, body: peer_messages.CallerCall
    ) -> defer.Deferred[peer_messages.Answer]:
        """Passes a caller's call to the state machine.

        Args:
            body: The call.

        Returns:
            A Deferred that fires with the answer. Cancel it when the caller
            has disconnected; this dispatches `events.CallerLeft`.
        """
        ticket = ids.TicketId(f"t{next(self._tickets)}")
        answer = defer.Deferred(lambda _: self._drop_call(ticket))
        self._pending_calls[ticket] = answer
        self.dispatch(events.CallArrived(ticket=ticket, body=body))
        return answer

    def dispatch(self, event: events.Event) -> None:
        """Handles an event and executes its effects, or queues the event.

        Args:
            event: The event.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events and not self._stopped:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def receive_peer_message(
        self, sender: ids.VmId, message: peer_messages.PeerMessage
    ) -> None:
        """Dispatches a message from a peer.

        Args:
            sender: The VM that sent it.
            message: The message.
        """
        self.dispatch(events.PeerArrived(sender=sender, message=message))

    def _handle(self, event: events.Event) -> None:
        kind = type(event).__name__
        start_ns = self._now_ns()
        try:
            requested_effects = self._state_machine.handle(
                event, start_ns // _NS_PER_MS, self._wall_ns() // _NS_PER_MS
            )
        except Exception:
            self._metrics.increment("events_failed")
            self._logger.exception("event_failed", kind=kind)
            self._answer_internal_error(event)
            return
        duration_ms = (self._now_ns() - start_ns) / _NS_PER_MS
        self._metrics.record_duration("event", kind, duration_ms)
        for effect in requested_effects:
            self._execute(effect)

    def _execute(self, effect: effects.Effect) -> None:
        try:
            _EXECUTORS[type(effect)](self, effect)
        except Exception:
            self._metrics.increment("effects_failed")
            kind = type(effect).__name__
            self._logger.exception("effect_failed", kind=kind)

    def _answer_internal_error(self, event: events.Event) -> None:
        """Answers a call that made the state machine raise an exception."""
        if isinstance(event, events.CallArrived):
            result = jobs.JobResult(code=codes.ResultCode.INTERNAL)
            self._answer_call(
                event.ticket, peer_messages.Failure(result=result)
            )

    def _drop_call(self, ticket: ids.TicketId) -> None:
        if self._pending_calls.pop(ticket, None) is not None:
            self.dispatch(events.CallerLeft(ticket=ticket))

    def _answer_call(
        self, ticket: ids.TicketId, answer: peer_messages.Answer
    ) -> None:
        pending = self._pending_calls.pop(ticket, None)
        if pending is not None:
            pending.callback(answer)

    def _dispatch_result(
        self,
        kind: str,
        answer: defer.Deferred[typing.Any],
        to_event: Callable[[typing.Any], events.Event],
    ) -> None:
        """Dispatches exactly one event once a call has succeeded or failed."""
        start_ns = self._now_ns()

        def finish(result: typing.Any) -> None:
            duration_ms = (self._now_ns() - start_ns) / _NS_PER_MS
            self._metrics.record_duration("exchange", kind, duration_ms)
            if isinstance(result, failure.Failure):
                self._record_no_answer(kind, result)
            self.dispatch(to_event(result))

        answer.addBoth(finish)

    def _record_no_answer(self, kind: str, reason: failure.Failure) -> None:
        self._metrics.increment(f"exchange_failed.{kind}")
        self._logger.debug(
            "no_answer", kind=kind, reason=reason.getErrorMessage()
        )

    @_executes(effects.SendPeer)
    def _send_peer(self, effect: effects.SendPeer) -> None:
        self._peers.send(effect.to, effect.message)

    @_executes(effects.AppendLog)
    def _append_log(self, effect: effects.AppendLog) -> None:
        answer = platform_api.append_log(
            self._http,
            self._addresses.log,
            effect.stream,
            effect.records,
            effect.timeout_ms,
        )

        def to_event(result: typing.Any) -> events.Event:
            append_answer = _answer_or_none(result)
            offset = None if append_answer is None else append_answer.offset
            return events.LogAppended(call=effect.call, offset=offset)

        self._dispatch_result("append_log", answer, to_event)

    @_executes(effects.ReadLog)
    def _read_log(self, effect: effects.ReadLog) -> None:
        answer = platform_api.read_log(
            self._http,
            self._addresses.log,
            effect.stream,
            effect.start,
            effect.limit,
            effect.timeout_ms,
        )
        self._dispatch_result(
            "read_log",
            answer,
            lambda result: events.LogRead(
                call=effect.call, page=_answer_or_none(result)
            ),
        )

    @_executes(effects.ListPlatform)
    def _list_platform(self, effect: effects.ListPlatform) -> None:
        answer = platform_api.list_platform(
            self._http, self._addresses.vm_list, effect.timeout_ms
        )

        def to_event(result: typing.Any) -> events.Event:
            view = _answer_or_none(result)
            if view is not None:
                self._update_peers(view)
            return events.PlatformListed(call=effect.call, view=view)

        self._dispatch_result("list_platform", answer, to_event)

    def _update_peers(self, view: messages.PlatformView) -> None:
        self._peers.set_peers({vm.vm: vm.peer_address for vm in view.vms})

    @_executes(effects.CallWorker)
    def _call_worker(self, effect: effects.CallWorker) -> None:
        answer = platform_api.call_worker(
            self._http, effect.address, effect.body, effect.timeout_ms
        )
        self._dispatch_result(
            "call_worker",
            answer,
            lambda result: events.WorkerAnswered(
                call=effect.call,
                worker=effect.worker,
                answer=_answer_or_none(result),
            ),
        )

    @_executes(effects.CallRunner)
    def _call_runner(self, effect: effects.CallRunner) -> None:
        answer = platform_api.call_runner(
            self._http, effect.address, effect.spec, effect.timeout_ms
        )
        self._dispatch_result(
            "call_runner",
            answer,
            lambda result: events.RunnerAnswered(
                call=effect.call,
                runner=effect.runner,
                answer=_answer_or_none(result),
                sent=_may_have_been_sent(result),
            ),
        )

    @_executes(effects.Reply)
    def _reply(self, effect: effects.Reply) -> None:
        self._answer_call(effect.ticket, effect.body)

    @_executes(effects.Trace)
    def _trace(self, effect: effects.Trace) -> None:
        self._on_trace(effect.event)

    @_executes(effects.Exit)
    def _exit(self, effect: effects.Exit) -> None:
        if not self.exited.called:
            self.exited.callback(None)


def _answer_or_none(result: typing.Any) -> typing.Any:
    return None if isinstance(result, failure.Failure) else result


def _may_have_been_sent(result: typing.Any) -> bool:
    """Returns False only if the call provably never left this VM."""
    if isinstance(result, failure.Failure):
        error = result.value
        return not isinstance(error, http_client.NoAnswerError) or error.sent
    return True
