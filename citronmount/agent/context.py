"""State shared by the parts of an agent: time, effects and open calls."""

from collections.abc import Callable
from typing import Any

import msgspec

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.agent import settings as settings_lib
from citronmount.clients import messages
from citronmount.core import ids
from citronmount.peers import peer_messages
from citronmount.state import records
from citronmount.telemetry import hybrid_logical_clock
from citronmount.telemetry import timeline_events

__all__ = ["Context"]


class _PendingPeerCall(msgspec.Struct, kw_only=True):
    """A call to another VM that has not been answered yet."""

    due_ms: int
    on_answer: Callable[[Any], None]


class Context:
    """Time, outgoing effects and the handlers of open calls.

    The handler of every call is invoked exactly once: with the answer, or
    with None if the call timed out. Handlers of runner calls always get the
    event instead.
    """

    def __init__(self, *, settings: settings_lib.AgentSettings) -> None:
        """Initializes a context without open calls.

        Args:
            settings: Identity and time limits of the agent.
        """
        self.settings = settings
        self.now_ms = 0
        self.wall_ms = 0
        self.effects: list[effects.Effect] = []
        self.clock = hybrid_logical_clock.HybridLogicalClock()
        self._counter = 0
        self._shell_handlers: dict[ids.CallId, Callable[[Any], None]] = {}
        self._peer_calls: dict[ids.CallId, _PendingPeerCall] = {}

    def unique_id(self) -> str:
        """Returns an id that is unique across VMs and incarnations."""
        self._counter += 1
        incarnation = self.settings.incarnation
        return f"{self.settings.vm}-{incarnation:x}-{self._counter:x}"

    def emit(self, effect: effects.Effect) -> None:
        """Adds an effect to those that the shell will carry out.

        Args:
            effect: The effect.
        """
        self.effects.append(effect)

    def send(self, to: ids.VmId, message: peer_messages.PeerMessage) -> None:
        """Sends a message to another VM.

        Args:
            to: The receiver.
            message: The message.
        """
        self.emit(effects.SendPeer(to=to, message=message))

    def trace(self, kind: timeline_events.EventKind, **fields: Any) -> None:
        """Adds an event to the VM's timeline.

        Args:
            kind: The kind of the event.
            **fields: Further fields of `TimelineEvent`.
        """
        physical_ms, logical = self.clock.tick(self.wall_ms)
        event = timeline_events.TimelineEvent(
            physical_ms=physical_ms,
            logical=logical,
            process=self.settings.vm,
            kind=kind,
            **fields,
        )
        self.emit(effects.Trace(event=event))

    def append_log(
        self,
        stream: ids.StreamName,
        entries: tuple[records.Record, ...],
        on_answer: Callable[[ids.Offset | None], None],
    ) -> None:
        """Appends records to a log stream.

        Args:
            stream: The stream.
            entries: The records.
            on_answer: Called with the offset of the first record, or with
                None without an answer.
        """
        call = self._register_handler(on_answer)
        encoded = tuple(
            (record.record, records.encode(record)) for record in entries
        )
        self.emit(effects.AppendLog(call=call, stream=stream, records=encoded))

    def read_log(
        self,
        stream: ids.StreamName,
        start: ids.Offset,
        on_answer: Callable[[messages.LogPage | None], None],
    ) -> None:
        """Reads a page of a log stream.

        Args:
            stream: The stream.
            start: The first offset to read.
            on_answer: Called with the page, or with None without an answer.
        """
        call = self._register_handler(on_answer)
        self.emit(effects.ReadLog(call=call, stream=stream, start=start))

    def list_platform(
        self, on_answer: Callable[[messages.PlatformView | None], None]
    ) -> None:
        """Reads the platform's list.

        Args:
            on_answer: Called with the list, or with None without an answer.
        """
        call = self._register_handler(on_answer)
        self.emit(effects.ListPlatform(call=call))

    def call_worker(
        self,
        target: messages.ListedTarget,
        body: messages.WorkerCall,
        on_answer: Callable[[messages.WorkerAnswer | None], None],
        *,
        timeout_ms: int = 1_000,
    ) -> None:
        """Sends commands to a worker.

        Args:
            target: The worker.
            body: The fencing token and the commands.
            on_answer: Called with the answer, or with None without one.
            timeout_ms: Time after which the call counts as unanswered.
        """
        call = self._register_handler(on_answer)
        self.emit(
            effects.CallWorker(
                call=call,
                worker=ids.WorkerId(target.name),
                address=target.address,
                body=body,
                timeout_ms=timeout_ms,
            )
        )

    def call_runner(
        self,
        effect: effects.CallRunner,
        on_answer: Callable[[events.RunnerAnswered], None],
    ) -> None:
        """Sends a short request to a runner.

        Args:
            effect: The call, with a call id from `new_call`.
            on_answer: Called with the event that carries the answer, if there
                is one.
        """
        self._shell_handlers[effect.call] = on_answer
        self.emit(effect)

    def call_peer(
        self,
        to: ids.VmId,
        call: ids.CallId,
        message: peer_messages.PeerMessage,
        on_answer: Callable[[Any], None],
        *,
        timeout_ms: int,
    ) -> None:
        """Sends a message to another VM and expects an answer to it.

        Args:
            to: The receiver.
            call: The call id that the message carries.
            message: The message.
            on_answer: Called with the answering message, or with None without
                one.
            timeout_ms: Time after which the call counts as unanswered.
        """
        self._peer_calls[call] = _PendingPeerCall(
            due_ms=self.now_ms + timeout_ms, on_answer=on_answer
        )
        self.send(to, message)

    def new_call(self) -> ids.CallId:
        """Returns a call id that is unique across VMs and incarnations."""
        return ids.CallId(self.unique_id())

    def resolve(self, call: ids.CallId, answer: Any) -> None:
        """Passes an answer from the shell to the handler of its call.

        Args:
            call: The call id.
            answer: The argument for the handler.
        """
        handler = self._shell_handlers.pop(call, None)
        if handler is not None:
            handler(answer)

    def resolve_peer(self, call: ids.CallId, answer: Any) -> None:
        """Passes the answer of another VM to the handler of its call.

        Args:
            call: The call id. Late and duplicate answers are ignored.
            answer: The argument for the handler.
        """
        pending = self._peer_calls.pop(call, None)
        if pending is not None:
            pending.on_answer(answer)

    def expire_peer_calls(self) -> None:
        """Calls the handlers of timed-out calls to other VMs with None."""
        expired = [
            call
            for call, pending in self._peer_calls.items()
            if pending.due_ms <= self.now_ms
        ]
        for call in expired:
            self.resolve_peer(call, None)

    def _register_handler(self, on_answer: Callable[[Any], None]) -> ids.CallId:
        call = self.new_call()
        self._shell_handlers[call] = on_answer
        return call
