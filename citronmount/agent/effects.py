"""Effects returned by the agent, to be carried out by its shell.

For every effect with a call id, the shell delivers exactly one event with the
same id: the answer, or the absence of one after `timeout_ms`.
"""

import msgspec

from citronmount.clients import messages as platform_messages
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages
from citronmount.telemetry import timeline_events

__all__ = [
    "AppendLog",
    "CallRunner",
    "CallWorker",
    "Effect",
    "Exit",
    "ListPlatform",
    "ReadLog",
    "Reply",
    "SendPeer",
    "Trace",
]


class SendPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Sends a message to another VM; it may be lost, delayed or duplicated.

    Attributes:
        to: The receiver.
        message: The message.
    """

    to: ids.VmId
    message: peer_messages.PeerMessage


class AppendLog(msgspec.Struct, frozen=True, kw_only=True):
    """Appends records to a log stream; answered by `LogAppended`.

    Attributes:
        call: Call id that the answer carries.
        stream: The stream to append to.
        records: Pairs of record id and encoded record.
        timeout_ms: Time after which the call counts as unanswered.
    """

    call: ids.CallId
    stream: ids.StreamName
    records: tuple[tuple[ids.RecordId, bytes], ...]
    timeout_ms: int = 2_000


class ReadLog(msgspec.Struct, frozen=True, kw_only=True):
    """Reads a page of a log stream; answered by `LogRead`.

    Attributes:
        call: Call id that the answer carries.
        stream: The stream to read.
        start: The first offset to read. Records there may already have been
            removed by retention.
        limit: The maximum number of records to return.
        timeout_ms: Time after which the call counts as unanswered.
    """

    call: ids.CallId
    stream: ids.StreamName
    start: ids.Offset
    limit: int = 1_000
    timeout_ms: int = 2_000


class ListPlatform(msgspec.Struct, frozen=True, kw_only=True):
    """Reads the platform's list of VMs; answered by `PlatformListed`.

    The list also contains the workers and the runners.

    Attributes:
        call: Call id that the answer carries.
        timeout_ms: Time after which the call counts as unanswered.
    """

    call: ids.CallId
    timeout_ms: int = 2_000


class CallWorker(msgspec.Struct, frozen=True, kw_only=True):
    """Sends commands to a worker; answered by `WorkerAnswered`.

    Attributes:
        call: Call id that the answer carries.
        worker: The worker.
        address: ``ip:port`` of the worker.
        body: The fencing token and the commands.
        timeout_ms: Time after which the call counts as unanswered.
    """

    call: ids.CallId
    worker: ids.WorkerId
    address: str
    body: platform_messages.WorkerCall
    timeout_ms: int = 1_000


class CallRunner(msgspec.Struct, frozen=True, kw_only=True):
    """Sends a short request to a runner; answered by `RunnerAnswered`.

    Attributes:
        call: Call id that the answer carries.
        runner: The runner.
        address: ``ip:port`` of the runner.
        spec: The request.
        timeout_ms: Time after which the call counts as unanswered.
    """

    call: ids.CallId
    runner: ids.RunnerId
    address: str
    spec: jobs.RequestSpec
    timeout_ms: int = 1_000


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """Answers an open HTTP request.

    Attributes:
        ticket: Id of the open HTTP request.
        body: The answer.
    """

    ticket: ids.TicketId
    body: peer_messages.Answer


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """Adds an event to the VM's timeline and to its log file.

    Attributes:
        event: The event, with its hybrid logical timestamp.
    """

    event: timeline_events.TimelineEvent


class Exit(msgspec.Struct, frozen=True, kw_only=True):
    """Exits the process with status 0 after a completed drain."""


Effect = (
    SendPeer
    | AppendLog
    | ReadLog
    | ListPlatform
    | CallWorker
    | CallRunner
    | Reply
    | Trace
    | Exit
)
