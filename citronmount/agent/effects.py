"""Effects that the agent asks its shell to carry out.

The shell answers each effect that names a call with exactly one event of the
same call id: the answer, or the lack of one after `timeout_ms`.
"""

import msgspec

from citronmount.clients import messages as platform_messages
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import messages as peer_messages
from citronmount.telemetry import events as timeline_events

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
    """Sends a message to a VM; it may be lost, late or doubled.

    Attributes:
        to: The VM.
        message: The message.
    """

    to: ids.VmId
    message: peer_messages.PeerMessage


class AppendLog(msgspec.Struct, frozen=True, kw_only=True):
    """Appends records to a stream; answered by `LogAppended`.

    Attributes:
        call: The call.
        stream: The stream.
        records: Pairs of record id and encoded record.
        timeout_ms: When to give up.
    """

    call: ids.CallId
    stream: ids.StreamName
    records: tuple[tuple[ids.RecordId, bytes], ...]
    timeout_ms: int = 2_000


class ReadLog(msgspec.Struct, frozen=True, kw_only=True):
    """Reads a stream; answered by `LogRead`.

    Attributes:
        call: The call.
        stream: The stream.
        start: The first offset wanted; older ones may be gone.
        limit: The most records to return.
        timeout_ms: When to give up.
    """

    call: ids.CallId
    stream: ids.StreamName
    start: ids.Offset
    limit: int = 1_000
    timeout_ms: int = 2_000


class ListPlatform(msgspec.Struct, frozen=True, kw_only=True):
    """Reads the platform's list; answered by `PlatformListed`.

    Attributes:
        call: The call.
        timeout_ms: When to give up.
    """

    call: ids.CallId
    timeout_ms: int = 2_000


class CallWorker(msgspec.Struct, frozen=True, kw_only=True):
    """Sends acts to a worker; answered by `WorkerAnswered`.

    Attributes:
        call: The call.
        worker: The worker.
        address: ``ip:port`` of the worker.
        body: The acts.
        timeout_ms: When to give up.
    """

    call: ids.CallId
    worker: ids.WorkerId
    address: str
    body: platform_messages.WorkerCall
    timeout_ms: int = 1_000


class CallRunner(msgspec.Struct, frozen=True, kw_only=True):
    """Sends a short request to a runner; answered by `RunnerAnswered`.

    Attributes:
        call: The call.
        runner: The runner.
        address: ``ip:port`` of the runner.
        spec: The request.
        timeout_ms: When to give up.
    """

    call: ids.CallId
    runner: ids.RunnerId
    address: str
    spec: jobs.RequestSpec
    timeout_ms: int = 1_000


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """Answers an open HTTP request.

    Attributes:
        ticket: The HTTP request.
        body: The answer.
    """

    ticket: ids.TicketId
    body: peer_messages.Answer


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """Adds an event to the VM's time line and its log.

    Attributes:
        event: The event, already stamped.
    """

    event: timeline_events.TimelineEvent


class Exit(msgspec.Struct, frozen=True, kw_only=True):
    """Ends the process with status 0; everything is handed over."""


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
