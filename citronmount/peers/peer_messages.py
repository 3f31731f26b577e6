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
    """Submits a job.

    Attributes:
        spec: The job. Its id contains the home failure domain, which the VM
            that received the caller's request has chosen.
        eager: Whether the receiver must refuse the job, without writing a
            record, if it cannot start the job at once.
        move: The number of the move that brings the job from another failure
            domain; 0 for a caller's submission.
    """

    spec: jobs.JobSpec
    eager: bool = False
    move: int = 0


class GetJob(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests the status of a job.

    Attributes:
        job: The job.
        wait_ms: How long to wait for a final result before answering.
        hops: How often the call has followed a moved job so far.
    """

    job: ids.JobId
    wait_ms: int = 0
    hops: int = 0


class CancelJob(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Cancels a job.

    Attributes:
        job: The job.
        hops: How often the call has followed a moved job so far.
    """

    job: ids.JobId
    hops: int = 0


class CancelJobs(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Cancels all jobs of an account in one failure domain.

    Attributes:
        account: The client account.
        failure_domain: The failure domain.
    """

    account: ids.AccountId
    failure_domain: ids.FailureDomainId


class ListJobs(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Lists the jobs of a failure domain.

    Attributes:
        failure_domain: The failure domain.
        account: If not empty, only jobs of this client account.
        limit: Maximum number of jobs to return.
    """

    failure_domain: ids.FailureDomainId
    account: ids.AccountId = ids.AccountId("")
    limit: int = 100


class RunRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Runs a short request.

    Attributes:
        spec: The request.
        claimed: Whether the home failure domain has claimed the idempotency
            key, so that the receiver only has to run the request.
        offered: Whether the receiver must refuse the request if it cannot
            run it at once, instead of queueing it.
    """

    spec: jobs.RequestSpec
    claimed: bool = False
    offered: bool = False


class PublishConfiguration(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Publishes a configuration on behalf of an operator.

    Attributes:
        change: The record to append to the log.
    """

    change: records.ConfigurationChange


class TimelineQuery(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests a VM's part of the timeline.

    Attributes:
        job: If not empty, only events of this job.
        account: If not empty, only events of this client account.
        target: If not empty, only events of this target.
        limit: Maximum number of events to return; the newest are chosen.
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
    """The answer to a call that failed or was refused.

    Attributes:
        result: The result code and its detail.
        retry_after_ms: Delay before a retry, for refusals worth a retry.
    """

    result: jobs.JobResult
    retry_after_ms: int | None = None


class JobAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The answer to a call about a single job.

    Attributes:
        status: The status of the job.
    """

    status: jobs.JobStatus


class JobsAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The answer to a call about several jobs.

    Attributes:
        statuses: By failure domain, ended jobs first; none for `CancelJobs`.
        total: Number of matching or cancelled jobs, also beyond the limit.
        unanswered: Failure domains without an answer, whose jobs are missing.
    """

    statuses: tuple[jobs.JobStatus, ...]
    total: int = 0
    unanswered: tuple[ids.FailureDomainId, ...] = ()


class RequestAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The answer to a short request.

    Attributes:
        result: The result of the request.
    """

    result: jobs.RequestResult


class PublishAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The answer to a configuration that was published.

    Attributes:
        result: Accepted, stale base version, invalid or unknown outcome.
        version: The configuration version in force after the answer.
    """

    result: jobs.JobResult
    version: ids.Version


class TimelineAnswer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """One VM's part of the timeline.

    Attributes:
        events: The events, oldest first.
        dropped: Number of older events that the VM no longer stores.
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
    """Base class of messages that are sent often.

    They are encoded as arrays, without field names. New fields must be added
    at the end, with a default.
    """


class DomainSummary(_PeerStruct, frozen=True, kw_only=True):
    """Load of a failure domain, published by its owner.

    Attributes:
        failure_domain: The failure domain.
        token: The owner's fencing token.
        free_accelerators: Unallocated accelerators of usable workers.
        queued_accelerators: Accelerators that the queued jobs request.
        largest_gang: All accelerators of usable workers, free or not.
    """

    failure_domain: ids.FailureDomainId
    token: ids.FenceToken
    free_accelerators: int = 0
    queued_accelerators: int = 0
    largest_gang: int = 0


class Heartbeat(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Tells the peers periodically that a VM is alive, and its state.

    Attributes:
        failure_domain: The failure domain that the VM is in.
        incarnation: Start time of the process, as Unix time in ms.
        sequence: Number of the heartbeat within the incarnation.
        config_version: The configuration version in force at the VM.
        config_offset: Log offset of the next configuration record to fold.
        ready: Whether the VM has rebuilt its state, so that it may own a
            failure domain, renew leases and vote on claims.
        draining: Whether the VM is shutting down.
        domain: Summary of the VM's failure domain, if the VM owns it.
        token: The highest known fencing token of the failure domain.
        free_slots: Number of free runner slots of the VM.
        queued_requests: Number of short requests queued at the VM.
        physical_ms: Physical part of the hybrid logical time, in ms.
        logical: Logical part of the hybrid logical time.
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
    """Forwards a caller's call to the VM that can serve it.

    Attributes:
        call: Id that the answer refers to.
        body: The call.
        timeout_ms: How long the sender waits for the answer.
    """

    call: ids.CallId
    body: CallerCall
    timeout_ms: int


class ForwardAnswer(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """The answer to a forwarded call.

    Attributes:
        call: Id of the call that is answered.
        body: The answer.
    """

    call: ids.CallId
    body: Answer


class Replicate(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Asks a peer to store replicas of records in memory.

    Attributes:
        call: Id that the acknowledgement refers to.
        stream: The stream that the records belong to.
        records: The records.
    """

    call: ids.CallId
    stream: ids.StreamName
    records: tuple[records.Record, ...]


class Acknowledge(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Acknowledges a message that its sender retries until it is acknowledged.

    Attributes:
        call: Id of the acknowledged message.
    """

    call: ids.CallId


class ClaimKey(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Asks the VMs of the home failure domain to vote on a claim.

    Attributes:
        call: Id that the votes refer to.
        claim: The claim on an idempotency key.
    """

    call: ids.CallId
    claim: records.KeyClaimed


class ClaimAnswer(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """A vote on a claim.

    Attributes:
        call: Id of the `ClaimKey` message that is answered.
        granted: Whether the voter is ready and knows neither another claim on
            the key nor a release of this one.
        holder: The other claim on the key, if the voter knows one.
        result: The final result for the key, if the voter knows it.
    """

    call: ids.CallId
    granted: bool
    holder: records.KeyClaimed | None = None
    result: records.KeyResult | None = None


class ReleaseKey(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Releases a claim whose work was refused without being run.

    Attributes:
        key: The idempotency key.
        vm: The VM that holds the claim.
        record: Record id of the claim.
    """

    key: str
    vm: ids.VmId
    record: ids.RecordId


class KeeperReport(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Changed worker reports, sent by a lease renewer to the owner.

    Attributes:
        call: Id of the message, which is retried until it is acknowledged.
        reports: The reports that changed.
        lost: Workers that have not answered the sender for longer than a lease.
    """

    call: ids.CallId
    reports: tuple[platform_messages.Report, ...] = ()
    lost: tuple[ids.WorkerId, ...] = ()


class LapseAttempts(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Tells lease renewers which attempts' leases must be left to expire.

    Attributes:
        token: The fencing token of the owner that sends the message.
        attempts: All attempts whose leases must not be renewed.
    """

    token: ids.FenceToken
    attempts: tuple[ids.AttemptId, ...]


class StateRequest(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """Requests a peer's state, to rebuild the state of the sender.

    Attributes:
        call: Id that the answer refers to.
        stream: The stream whose records are requested.
        recent_claims: Whether to leave out claims that are old enough to be
            in the log by now.
    """

    call: ids.CallId
    stream: ids.StreamName
    recent_claims: bool = False


class StateAnswer(_PeerStruct, frozen=True, kw_only=True, tag=True):
    """The answer to a `StateRequest`.

    Attributes:
        call: Id of the request that is answered.
        configuration: The peer's folded configuration; None unless trusted.
        jobs: The domain's jobs, claims, results; none for the config stream.
        unappended: Records that the peer stores because the log is
            unavailable and may not contain them.
        token: The highest known fencing token of the failure domain.
        ready: Whether the peer had finished its own rebuild.
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
    """Encodes a message between VMs as MessagePack."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> PeerMessage | None:
    """Decodes a MessagePack message from a peer.

    Args:
        data: The encoded message.

    Returns:
        The message, or None if it is malformed.

    Raises:
        RecursionError: The message is nested too deeply.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
