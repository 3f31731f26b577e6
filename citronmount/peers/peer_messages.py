"""Messages between the VMs of the system."""

import msgspec

from citronmount.clients import messages as platform_messages
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = [
    "Acknowledge",
    "Answer",
    "CancelJob",
    "CancelJobs",
    "ClaimAnswer",
    "ClaimKey",
    "DomainSummary",
    "Failure",
    "Forward",
    "ForwardAnswer",
    "GetJob",
    "Heartbeat",
    "JobsAnswer",
    "KeeperReport",
    "ListJobs",
    "PeerMessage",
    "PublishConfiguration",
    "PublishAnswer",
    "Replicate",
    "RunRequest",
    "StateAnswer",
    "StateRequest",
    "SubmitJob",
    "TimelineQuery",
    "TimelineAnswer",
    "decode",
    "encode",
]


class SubmitJob(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A caller submits a job.

    Attributes:
        spec: The job; its id names the home failure domain, chosen by the VM
            that the caller reached.
        eager: Whether to refuse the job, unrecorded, if it could not start
            at once here.
        move: The number of the move that brings the job from another failure
            domain; 0 for a caller's submission.
    """

    spec: jobs.JobSpec
    eager: bool = False
    move: int = 0


class GetJob(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A caller asks for the status of a job.

    Attributes:
        job: The job.
        wait_ms: How long to wait for a final result.
        hops: How many pointers of moved jobs were followed.
    """

    job: ids.JobId
    wait_ms: int = 0
    hops: int = 0


class CancelJob(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A caller cancels a job.

    Attributes:
        job: The job.
        hops: How many pointers of moved jobs were followed.
    """

    job: ids.JobId
    hops: int = 0


class CancelJobs(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A caller cancels every job of an account in one failure domain.

    Attributes:
        account: The account.
        failure_domain: The failure domain.
    """

    account: ids.AccountId
    failure_domain: ids.FailureDomainId


class ListJobs(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A caller lists the jobs of a failure domain.

    Attributes:
        failure_domain: The failure domain.
        account: Only this account's jobs, unless empty.
        limit: The most jobs to return.
    """

    failure_domain: ids.FailureDomainId
    account: ids.AccountId = ids.AccountId("")
    limit: int = 100


class RunRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A caller sends a short request.

    Attributes:
        spec: The request.
        claimed: Whether its home failure domain has claimed the key, so that
            the receiver only has to run it.
        offered: Whether the receiver must run it at once or refuse it.
    """

    spec: jobs.RequestSpec
    claimed: bool = False
    offered: bool = False


class PublishConfiguration(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An operator publishes a configuration.

    Attributes:
        change: The record to append.
    """

    change: records.ConfigurationChange


class TimelineQuery(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a VM for its part of the time line.

    Attributes:
        job: Only events of this job, unless empty.
        account: Only events of this account, unless empty.
        target: Only events of this target, unless empty.
        limit: The most events to return, newest first.
    """

    job: str = ""
    account: str = ""
    target: str = ""
    limit: int = 1_000


CallerCall = (
    SubmitJob
    | GetJob
    | CancelJob
    | CancelJobs
    | ListJobs
    | RunRequest
    | PublishConfiguration
    | TimelineQuery
)


class Failure(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A call could not be served.

    Attributes:
        result: The code and its detail.
        retry_after_ms: When to come back, for retryable refusals.
    """

    result: jobs.JobResult
    retry_after_ms: int | None = None


class JobAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The status of one job.

    Attributes:
        status: The status.
    """

    status: jobs.JobStatus


class JobsAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The statuses of several jobs.

    Attributes:
        statuses: The statuses, oldest first.
        total: How many there are without the limit.
        unanswered: Failure domains that gave no answer.
    """

    statuses: tuple[jobs.JobStatus, ...]
    total: int = 0
    unanswered: tuple[ids.FailureDomainId, ...] = ()


class RequestAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The answer to a short request.

    Attributes:
        result: The answer.
    """

    result: jobs.RequestResult


class PublishAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The answer to a published configuration.

    Attributes:
        result: Accepted, stale base, invalid or outcome unknown.
        version: The version in force after the answer.
    """

    result: jobs.JobResult
    version: ids.Version


class TimelineAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """One VM's part of the time line.

    Attributes:
        events: The events, oldest first.
        dropped: How many older events the bounded memory has let go.
    """

    events: tuple[timeline_events.TimelineEvent, ...]
    dropped: int = 0


Answer = (
    Failure
    | JobAnswer
    | JobsAnswer
    | RequestAnswer
    | PublishAnswer
    | TimelineAnswer
)


class _PeerStruct(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of what is sent often: encoded without the names of its fields.

    New fields are added at the end, with a default.
    """


class DomainSummary(_PeerStruct, frozen=True, kw_only=True):
    """What an owner tells others of its failure domain.

    Attributes:
        failure_domain: The failure domain.
        token: The owner's fencing token.
        free_accelerators: Accelerators that no job holds.
        queued_accelerators: Accelerators asked for by queued jobs.
        largest_gang: The largest gang that the failure domain could hold.
    """

    failure_domain: ids.FailureDomainId
    token: ids.FenceToken
    free_accelerators: int = 0
    queued_accelerators: int = 0
    largest_gang: int = 0


class Heartbeat(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """A VM tells that it lives.

    Attributes:
        failure_domain: Where the VM is.
        incarnation: Wall-clock start time of the process in ms.
        sequence: Counts the heartbeats of the incarnation.
        config_version: The configuration version in force at the VM.
        config_offset: The offset up to which it has folded.
        ready: Whether it has rebuilt and may own, keep and vote.
        draining: Whether it is stopping.
        domain: The owner's summary, if the VM owns its failure domain.
        token: The highest fencing token of the failure domain it knows.
        free_slots: Runner slots that it has free.
        queued_requests: Short requests that wait at it.
        physical_ms: Hybrid logical time, wall-clock part.
        logical: Hybrid logical time, logical part.
    """

    failure_domain: ids.FailureDomainId
    incarnation: int
    sequence: int
    config_version: ids.Version
    config_offset: ids.Offset
    ready: bool
    draining: bool
    domain: DomainSummary | None = None
    token: ids.FenceToken = ids.FenceToken(0)
    free_slots: int = 0
    queued_requests: int = 0
    physical_ms: int = 0
    logical: int = 0


class Forward(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Passes a caller's call to the VM that can serve it.

    Attributes:
        call: Matches the answer to the call.
        body: The call.
        timeout_ms: How long the sender waits.
    """

    call: ids.CallId
    body: CallerCall
    timeout_ms: int


class ForwardAnswer(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """The answer to a forwarded call.

    Attributes:
        call: The call that is answered.
        body: The answer.
    """

    call: ids.CallId
    body: Answer


class Replicate(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Asks a peer to keep records in memory.

    Attributes:
        call: Matches the acknowledgement.
        stream: The stream that the records belong to.
        records: The records.
    """

    call: ids.CallId
    stream: ids.StreamName
    records: tuple[records.Record, ...]


class Acknowledge(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Confirms a message that the sender repeats until then.

    Attributes:
        call: The call of the message that is confirmed.
    """

    call: ids.CallId


class ClaimKey(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Asks the VMs of the home failure domain for a key.

    Attributes:
        call: Matches the answers.
        claim: The claim.
    """

    call: ids.CallId
    claim: records.KeyClaimed


class ClaimAnswer(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """A vote on a claim.

    Attributes:
        call: The claim that is answered.
        granted: Whether the voter knows no other claim of the key.
        holder: The claim that the voter holds for the key.
        result: The key's final answer, if the voter knows it.
    """

    call: ids.CallId
    granted: bool
    holder: records.KeyClaimed | None = None
    result: records.KeyResult | None = None


class ReleaseKey(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Gives up a claim that was never used.

    Attributes:
        key: The key.
        vm: The VM whose claim is given up.
        record: The claim's record id.
    """

    key: str
    vm: ids.VmId
    record: ids.RecordId


class KeeperReport(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """A lease keeper passes changed worker reports to the owner.

    Attributes:
        call: Matches the acknowledgement; repeated until it comes.
        reports: Reports that changed.
        lost: Workers that have not answered the keeper for a lease time.
    """

    call: ids.CallId
    reports: tuple[platform_messages.Report, ...] = ()
    lost: tuple[ids.WorkerId, ...] = ()


class LapseAttempts(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """The owner tells keepers which attempts to let lapse.

    Attributes:
        token: The owner's fencing token.
        attempts: Every attempt that must not be renewed.
    """

    token: ids.FenceToken
    attempts: tuple[ids.AttemptId, ...]


class StateRequest(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """A rebuilding VM asks a peer for what it knows.

    Attributes:
        call: Matches the answer.
        stream: The stream whose records are asked for.
        recent_claims: Whether claims that the log must have by now may be
            left out.
    """

    call: ids.CallId
    stream: ids.StreamName
    recent_claims: bool = False


class StateAnswer(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """What a peer knows of a stream.

    Attributes:
        call: The request that is answered.
        configuration: Its folded configuration, if trustworthy.
        jobs: Its jobs, claims and results of the failure domain.
        unappended: Records that it keeps while the log is down.
        token: The highest fencing token of the failure domain it knows.
        ready: Whether the peer had itself rebuilt.
    """

    call: ids.CallId
    configuration: records.ConfigurationSnapshot | None
    jobs: records.JobSnapshot
    unappended: tuple[records.Record, ...] = ()
    token: ids.FenceToken = ids.FenceToken(0)
    ready: bool = True


PeerMessage = (
    Heartbeat
    | Forward
    | ForwardAnswer
    | Replicate
    | Acknowledge
    | ClaimKey
    | ClaimAnswer
    | ReleaseKey
    | KeeperReport
    | LapseAttempts
    | StateRequest
    | StateAnswer
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def encode(message: PeerMessage) -> bytes:
    """Encodes a message for the wire.

    Args:
        message: Any message of this module.

    Returns:
        MessagePack bytes.
    """
    return _ENCODER.encode(message)


def decode(data: bytes) -> PeerMessage | None:
    """Decodes a message from the wire.

    Args:
        data: Bytes from a peer.

    Returns:
        The message, or None if it is malformed.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
