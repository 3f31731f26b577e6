"""What the parts of an agent share: time, effects and open calls."""

from collections.abc import Callable
from typing import Any

import msgspec

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.agent import settings as settings_lib
from citronmount.core import ids
from citronmount.peers import messages as peer_messages
from citronmount.services import messages
from citronmount.state import records
from citronmount.telemetry import events as timeline
from citronmount.telemetry import hlc

__all__ = ["Context"]


class _PeerCall(msgspec.Struct, kw_only=True):
    """A message to a peer that waits for its answer."""

    due_ms: int
    on_answer: Callable[[Any], None]


class Context:
    """Time, outgoing effects and the handlers of open calls.

    Every call gets its handler invoked exactly once: with the answer, or with
    None when there is none.
    """

    def __init__(self, *, settings: settings_lib.AgentSettings) -> None:
        """Initializes a context without open calls.

        Args:
            settings: Identity and timing.
        """
        self.settings = settings
        self.now_ms = 0
        self.wall_ms = 0
        self.effects: list[effects.Effect] = []
        self.clock = hlc.HybridClock()
        self._counter = 0
        self._calls: dict[ids.CallId, Callable[[Any], None]] = {}
        self._peer_calls: dict[ids.CallId, _PeerCall] = {}

    def unique_id(self) -> str:
        """Returns a string that no other process or incarnation makes."""
        self._counter += 1
        incarnation = self.settings.incarnation
        return f"{self.settings.vm}-{incarnation:x}-{self._counter:x}"

    def emit(self, effect: effects.Effect) -> None:
        """Adds an effect for the shell.

        Args:
            effect: The effect.
        """
        self.effects.append(effect)

    def send(self, to: ids.VmId, message: peer_messages.PeerMessage) -> None:
        """Sends a message to a peer.

        Args:
            to: The peer.
            message: The message.
        """
        self.emit(effects.SendPeer(to=to, message=message))

    def trace(self, kind: timeline.EventKind, **fields: Any) -> None:
        """Adds an event to the time line.

        Args:
            kind: What happened.
            **fields: Further fields of `TimelineEvent`.
        """
        physical_ms, logical = self.clock.tick(self.wall_ms)
        event = timeline.TimelineEvent(
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
        """Appends records to the log.

        Args:
            stream: The stream.
            entries: The records.
            on_answer: Gets the first offset, or None without an answer.
        """
        call = self._register(on_answer)
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
        """Reads the log.

        Args:
            stream: The stream.
            start: The first offset wanted.
            on_answer: Gets the page, or None without an answer.
        """
        call = self._register(on_answer)
        self.emit(effects.ReadLog(call=call, stream=stream, start=start))

    def list_platform(
        self, on_answer: Callable[[messages.PlatformView | None], None]
    ) -> None:
        """Reads the platform's list.

        Args:
            on_answer: Gets the list, or None without an answer.
        """
        call = self._register(on_answer)
        self.emit(effects.ListPlatform(call=call))

    def call_worker(
        self,
        target: messages.ListedTarget,
        body: messages.WorkerCall,
        on_answer: Callable[[messages.WorkerAnswer | None], None],
        *,
        timeout_ms: int = 1_000,
    ) -> None:
        """Sends acts to a worker.

        Args:
            target: The worker.
            body: The acts.
            on_answer: Gets the answer, or None without one.
            timeout_ms: When to give up.
        """
        call = self._register(on_answer)
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
            effect: The call, with an id from `unique`.
            on_answer: Gets the event with the answer or the lack of one.
        """
        self._calls[effect.call] = on_answer
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
        """Sends a message to a peer and waits for its answer.

        Args:
            to: The peer.
            call: The call id that the message carries.
            message: The message.
            on_answer: Gets the answer message, or None without one.
            timeout_ms: When to give up.
        """
        self._peer_calls[call] = _PeerCall(
            due_ms=self.now_ms + timeout_ms, on_answer=on_answer
        )
        self.send(to, message)

    def new_call(self) -> ids.CallId:
        """Returns a call id that was never used."""
        return ids.CallId(self.unique_id())

    def resolve(self, call: ids.CallId, answer: Any) -> None:
        """Hands an answer of the shell to the handler of its call.

        Args:
            call: The call.
            answer: What the handler gets.
        """
        handler = self._calls.pop(call, None)
        if handler is not None:
            handler(answer)

    def resolve_peer(self, call: ids.CallId, answer: Any) -> None:
        """Hands a peer's answer to the handler of its call.

        Args:
            call: The call; late and doubled answers are dropped.
            answer: What the handler gets.
        """
        pending = self._peer_calls.pop(call, None)
        if pending is not None:
            pending.on_answer(answer)

    def expire_peer_calls(self) -> None:
        """Answers every call to a peer whose time is up with None."""
        due = [
            call
            for call, pending in self._peer_calls.items()
            if pending.due_ms <= self.now_ms
        ]
        for call in due:
            self.resolve_peer(call, None)

    def _register(self, on_answer: Callable[[Any], None]) -> ids.CallId:
        call = self.new_call()
        self._calls[call] = on_answer
        return call
