"""One process of the system as the harness runs it, and its traffic."""

import collections
from collections.abc import Callable
from typing import Protocol

import msgspec

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.clients import messages
from citronmount.core import ids

__all__ = ["AgentLike", "HTTP_HEADER_BYTES", "Process", "Traffic"]

HTTP_HEADER_BYTES = 200

_BODY_FIELDS = {
    events.LogRead: "page",
    events.PlatformListed: "view",
    events.WorkerAnswered: "answer",
    events.RunnerAnswered: "answer",
}


class AgentLike(Protocol):
    """What the harness needs of an agent."""

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        """Handles one event and returns what to do."""


class Traffic(msgspec.Struct, kw_only=True):
    """Messages and bytes of one VM by kind, both directions.

    Attributes:
        messages: Messages by kind.
        bytes: Bytes by kind.
    """

    messages: collections.Counter = msgspec.field(
        default_factory=collections.Counter
    )
    bytes: collections.Counter = msgspec.field(
        default_factory=collections.Counter
    )

    def count_message(self, kind: str, size: int) -> None:
        """Counts one message.

        Args:
            kind: Its kind.
            size: Its bytes.
        """
        self.messages[kind] += 1
        self.bytes[kind] += size

    def count_call(self, effect: effects.Effect) -> None:
        """Counts a call at a service.

        Args:
            effect: The call.
        """
        size = HTTP_HEADER_BYTES
        if isinstance(effect, effects.CallWorker):
            size += len(msgspec.json.encode(effect.body))
        elif isinstance(effect, effects.CallRunner):
            size += len(msgspec.json.encode(effect.spec))
        elif isinstance(effect, effects.AppendLog):
            size += len(msgspec.json.encode(effect.records))
        self.count_message(type(effect).__name__, size)

    def count_answer(self, event: events.Event) -> None:
        """Counts the answer to a call.

        Args:
            event: The answer.
        """
        body = getattr(event, _BODY_FIELDS.get(type(event), ""), None)
        size = HTTP_HEADER_BYTES + len(msgspec.json.encode(body))
        self.count_message(type(event).__name__, size)


class Process(msgspec.Struct, kw_only=True):
    """One process of the system.

    Attributes:
        vm: Its entry in the VM list.
        agent: Its agent, or None while the process does not run.
        incarnation: Counts its starts.
        paused: Whether the process is stopped by its VM.
        wall_skew_ms: How far its wall clock is off.
        clock_start_ms: What its monotonic clock showed at time zero.
        inbox: Events that wait for the end of a pause.
        calls: Calls that are not answered yet.
        tickets: Open requests of callers, with what to tell the caller.
        draining: Whether it was asked to stop.
        started_ms: When it was started last.
        exited_ms: When it ended itself, if it did.
        drained_ms: When it was asked to stop.
        cut_ms: When it ended itself with requests of callers open.
        traffic: Its messages and bytes.
    """

    vm: messages.ListedVm
    agent: AgentLike | None = None
    incarnation: int = 0
    paused: bool = False
    wall_skew_ms: int = 0
    clock_start_ms: int = 0
    inbox: list[events.Event] = msgspec.field(default_factory=list)
    calls: set[ids.CallId] = msgspec.field(default_factory=set)
    tickets: dict[ids.TicketId, Callable[..., None]] = msgspec.field(
        default_factory=dict
    )
    draining: bool = False
    started_ms: int = 0
    exited_ms: int | None = None
    drained_ms: int | None = None
    cut_ms: list[int] = msgspec.field(default_factory=list)
    traffic: Traffic = msgspec.field(default_factory=Traffic)
