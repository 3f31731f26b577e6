"""Input events of the agent, the state machine of one VM.

Events carry no time: the shell passes the monotonic time and the wall-clock
time along with each event.
"""

import msgspec

from citronmount.clients import messages as platform_messages
from citronmount.core import ids
from citronmount.peers import peer_messages

__all__ = [
    "CallArrived",
    "CallerLeft",
    "DrainRequested",
    "Event",
    "LogAppended",
    "LogRead",
    "PeerArrived",
    "PlatformListed",
    "RunnerAnswered",
    "Started",
    "Tick",
    "WorkerAnswered",
]


class Started(msgspec.Struct, frozen=True, kw_only=True):
    """The process has started and its sockets are open."""


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """The fixed timer period has elapsed."""


class CallArrived(msgspec.Struct, frozen=True, kw_only=True):
    """A caller or operator sent a call over HTTP.

    Attributes:
        ticket: Id of the open HTTP request.
        body: The call.
    """

    ticket: ids.TicketId
    body: peer_messages.CallerCall


class CallerLeft(msgspec.Struct, frozen=True, kw_only=True):
    """The caller closed its connection before it was answered.

    Attributes:
        ticket: Id of the HTTP request that was closed.
    """

    ticket: ids.TicketId


class PeerArrived(msgspec.Struct, frozen=True, kw_only=True):
    """A message from another VM was received.

    Attributes:
        sender: The VM that sent it.
        message: The message.
    """

    sender: ids.VmId
    message: peer_messages.PeerMessage


class LogAppended(msgspec.Struct, frozen=True, kw_only=True):
    """An append to the log was answered or timed out.

    Attributes:
        call: Call id of the `AppendLog` effect.
        offset: The offset of the first record, or None without an answer, in
            which case the records may or may not be in the log.
    """

    call: ids.CallId
    offset: ids.Offset | None


class LogRead(msgspec.Struct, frozen=True, kw_only=True):
    """A read of the log was answered or timed out.

    Attributes:
        call: Call id of the `ReadLog` effect.
        page: The records, or None without an answer.
    """

    call: ids.CallId
    page: platform_messages.LogPage | None


class PlatformListed(msgspec.Struct, frozen=True, kw_only=True):
    """A read of the platform's list was answered or timed out.

    Attributes:
        call: Call id of the `ListPlatform` effect.
        view: The list, or None without an answer.
    """

    call: ids.CallId
    view: platform_messages.PlatformView | None


class WorkerAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """A call to a worker was answered or timed out.

    Attributes:
        call: Call id of the `CallWorker` effect.
        worker: The worker.
        answer: The answer, or None without one, in which case the commands
            may or may not have taken effect.
    """

    call: ids.CallId
    worker: ids.WorkerId
    answer: platform_messages.WorkerAnswer | None


class RunnerAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """A request to a runner was answered or timed out.

    Attributes:
        call: Call id of the `CallRunner` effect.
        runner: The runner.
        answer: The answer, or None without one, in which case the request
            may or may not have run.
        sent: Whether any byte of the request may have reached the runner.
    """

    call: ids.CallId
    runner: ids.RunnerId
    answer: platform_messages.RunnerAnswer | None
    sent: bool = True


class DrainRequested(msgspec.Struct, frozen=True, kw_only=True):
    """An operator or the platform asked the VM to stop."""


Event = (
    Started
    | Tick
    | CallArrived
    | CallerLeft
    | PeerArrived
    | LogAppended
    | LogRead
    | PlatformListed
    | WorkerAnswered
    | RunnerAnswered
    | DrainRequested
)
