"""State of a simulated process and counters of its traffic."""

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
    """Interface of an agent to the harness."""

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        """Handles an event and returns the effects to execute, in order."""


class Traffic(msgspec.Struct, kw_only=True):
    """Messages and bytes that a VM sent and received, by kind.

    Attributes:
        messages: Number of messages by class name.
        bytes: Number of bytes by class name.
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
            kind: Class name of the message, event or effect.
            size: Size in bytes.
        """
        self.messages[kind] += 1
        self.bytes[kind] += size

    def count_call(self, effect: effects.Effect) -> None:
        """Counts a call to a service or target, with HTTP headers.

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
        """Counts the answer to a call, with HTTP headers.

        Args:
            event: The answer.
        """
        body = getattr(event, _BODY_FIELDS.get(type(event), ""), None)
        size = HTTP_HEADER_BYTES + len(msgspec.json.encode(body))
        self.count_message(type(event).__name__, size)


class Process(msgspec.Struct, kw_only=True):
    """Simulated process of a VM.

    Attributes:
        vm: Entry of the VM in the platform's list.
        agent: The agent, or None while the process does not run.
        incarnation: Number of starts.
        paused: Whether the process is suspended.
        wall_skew_ms: Offset of the wall clock from virtual time.
        clock_start_ms: Value of the monotonic clock at virtual time zero.
        inbox: Events that arrived during a pause.
        calls: Outgoing calls without an answer.
        tickets: Callback for the answer of each open call from a caller.
        draining: Whether a graceful stop was requested.
        started_ms: Time of the last start.
        exited_ms: Time at which the process exited by itself, or None.
        drained_ms: Time at which a graceful stop was last requested, or None.
        cut_ms: Times at which the process exited with calls from callers open.
        traffic: Messages and bytes sent and received.
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
