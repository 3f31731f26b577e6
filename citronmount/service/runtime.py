"""Drives the state machine of a VM: feeds events and carries out effects."""

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
from citronmount.clients import messages as platform_messages
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


def _executes(kind: type[_Effect]) -> Callable[[_Executor], _Executor]:
    """Registers the method that carries out one kind of effect."""

    def register(executor: _Executor) -> _Executor:
        _EXECUTORS[kind] = executor
        return executor

    return register


class Addresses(msgspec.Struct, frozen=True, kw_only=True):
    """Where the platform's services listen.

    Attributes:
        log: ``ip:port`` of the log service.
        vm_list: ``ip:port`` of the list of VMs and targets.
    """

    log: str
    vm_list: str


class Runtime:
    """The loop round one state machine.

    Events are taken in one after the other, never one inside another: an
    event that arises while an effect is carried out waits for its turn.

    Attributes:
        exited: Fires when the state machine asks to end the process.
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
        """Initializes a runtime that does not tick yet.

        Args:
            reactor: The reactor to time with.
            state_machine: The state machine.
            peers: Sends messages to other VMs.
            http: Talks to platform and targets.
            addresses: Where the platform listens.
            on_trace: Takes the events that the state machine traces.
            metrics: Gets latencies and counts.
            now_ns: The monotonic clock.
            wall_ns: The wall clock.
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
        self._calls: dict[
            ids.TicketId, defer.Deferred[peer_messages.Answer]
        ] = {}
        self._ticker = task.LoopingCall(self.dispatch, events.Tick())
        self._ticker.clock = reactor

    @property
    def open_calls(self) -> int:
        """How many callers wait for an answer."""
        return len(self._calls)

    def start(self, tick_ms: int) -> None:
        """Tells the state machine that it has started and begins to tick.

        Args:
            tick_ms: Period of the ticks.
        """
        self.dispatch(events.Started())
        self._ticker.start(tick_ms / _MS_PER_S, now=False)

    def stop(self) -> None:
        """Stops to tick and to take in events."""
        self._stopped = True
        if self._ticker.running:
            self._ticker.stop()

    def call(
        self, body: peer_messages.CallerCall
    ) -> defer.Deferred[peer_messages.Answer]:
        """Passes a caller's call to the state machine.

        Args:
            body: The call.

        Returns:
            Fires with the answer; cancelled when the caller has left.
        """
        ticket = ids.TicketId(f"t{next(self._tickets)}")
        answer = defer.Deferred(lambda _: self._drop_call(ticket))
        self._calls[ticket] = answer
        self.dispatch(events.CallArrived(ticket=ticket, body=body))
        return answer

    def dispatch(self, event: events.Event) -> None:
        """Takes in an event and carries out what follows from it.

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
        """Takes in a message of a peer.

        Args:
            sender: The VM that sent it.
            message: The message.
        """
        self.dispatch(events.PeerArrived(sender=sender, message=message))

    def _handle(self, event: events.Event) -> None:
        kind = type(event).__name__
        begin_ns = self._now_ns()
        try:
            wanted = self._state_machine.handle(
                event, begin_ns // _NS_PER_MS, self._wall_ns() // _NS_PER_MS
            )
        except Exception:
            self._metrics.increment("events_failed")
            self._logger.exception("event_failed", kind=kind)
            self._answer_internal_error(event)
            return
        duration_ms = (self._now_ns() - begin_ns) / _NS_PER_MS
        self._metrics.record_duration("event", kind, duration_ms)
        for effect in wanted:
            self._execute(effect)

    def _execute(self, effect: effects.Effect) -> None:
        try:
            _EXECUTORS[type(effect)](self, effect)
        except Exception:
            self._metrics.increment("effects_failed")
            kind = type(effect).__name__
            self._logger.exception("effect_failed", kind=kind)

    def _answer_internal_error(self, event: events.Event) -> None:
        """Answers a caller whose call the state machine could not take in."""
        if isinstance(event, events.CallArrived):
            result = jobs.JobResult(code=codes.ResultCode.INTERNAL)
            self._answer_call(
                event.ticket, peer_messages.Failure(result=result)
            )

    def _drop_call(self, ticket: ids.TicketId) -> None:
        if self._calls.pop(ticket, None) is not None:
            self.dispatch(events.CallerLeft(ticket=ticket))

    def _answer_call(
        self, ticket: ids.TicketId, answer: peer_messages.Answer
    ) -> None:
        waiting = self._calls.pop(ticket, None)
        if waiting is not None:
            waiting.callback(answer)

    def _dispatch_result(
        self,
        kind: str,
        answer: defer.Deferred[typing.Any],
        to_event: Callable[[typing.Any], events.Event],
    ) -> None:
        """Feeds one event for an exchange: its answer or its failure."""
        begin_ns = self._now_ns()

        def finish(result: typing.Any) -> None:
            duration_ms = (self._now_ns() - begin_ns) / _NS_PER_MS
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
            found = _answer_or_none(result)
            offset = None if found is None else found.offset
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

    def _update_peers(self, view: platform_messages.PlatformView) -> None:
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
    if isinstance(result, failure.Failure):
        error = result.value
        return not isinstance(error, http_client.NoAnswerError) or error.sent
    return True
