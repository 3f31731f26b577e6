"""Events that drive the agent, the state machine of one VM.

Times are not part of events: the shell passes the monotonic time and the wall
clock beside each event.
"""

import msgspec

from citronmount.clients import messages as platform_messages
from citronmount.core import ids
from citronmount.peers import messages as peer_messages

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
    """A fixed period has passed."""


class CallArrived(msgspec.Struct, frozen=True, kw_only=True):
    """A caller or operator sent a call over HTTP.

    Attributes:
        ticket: Names the open HTTP request.
        body: The call.
    """

    ticket: ids.TicketId
    body: peer_messages.CallerCall


class CallerLeft(msgspec.Struct, frozen=True, kw_only=True):
    """The caller closed its connection before the answer.

    Attributes:
        ticket: The HTTP request that is gone.
    """

    ticket: ids.TicketId


class PeerArrived(msgspec.Struct, frozen=True, kw_only=True):
    """A peer's message came in.

    Attributes:
        sender: The VM that sent it.
        message: The message.
    """

    sender: ids.VmId
    message: peer_messages.PeerMessage


class LogAppended(msgspec.Struct, frozen=True, kw_only=True):
    """The log service answered an append, or did not.

    Attributes:
        call: The call that is answered.
        offset: The offset of the first record; None if there was no answer,
            in which case the records may or may not be in the log.
    """

    call: ids.CallId
    offset: ids.Offset | None


class LogRead(msgspec.Struct, frozen=True, kw_only=True):
    """The log service answered a read, or did not.

    Attributes:
        call: The call that is answered.
        page: The records; None if there was no answer.
    """

    call: ids.CallId
    page: platform_messages.LogPage | None


class PlatformListed(msgspec.Struct, frozen=True, kw_only=True):
    """The platform answered with its list, or did not.

    Attributes:
        call: The call that is answered.
        view: The list; None if there was no answer.
    """

    call: ids.CallId
    view: platform_messages.PlatformView | None


class WorkerAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """A worker answered a call, or did not.

    Attributes:
        call: The call that is answered.
        worker: The worker.
        answer: The answer; None if there was none, in which case the acts
            may or may not have taken effect.
    """

    call: ids.CallId
    worker: ids.WorkerId
    answer: platform_messages.WorkerAnswer | None


class RunnerAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """A runner answered a request, or did not.

    Attributes:
        call: The call that is answered.
        runner: The runner.
        answer: The answer; None if there was none, in which case the request
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
