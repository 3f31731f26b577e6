"""Records that the system writes to its own streams of the log service."""

import msgspec

from citronmount.config import configuration
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = [
    "CONFIG_STREAM",
    "AttemptIntended",
    "ConfigurationChange",
    "ConfigurationSnapshot",
    "JobAccepted",
    "JobCancelled",
    "JobEnded",
    "JobMoved",
    "JobSnapshot",
    "KeyClaimed",
    "KeyResult",
    "Record",
    "decode",
    "encode",
    "job_stream",
]

CONFIG_STREAM = ids.StreamName("config")


def job_stream(failure_domain: ids.FailureDomainId) -> ids.StreamName:
    """Returns the stream that holds the jobs of a failure domain.

    Args:
        failure_domain: The home failure domain of the jobs.

    Returns:
        The name of the stream.
    """
    return ids.StreamName(f"jobs.{failure_domain}")


class ConfigurationChange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A proposal to replace the configuration.

    It is accepted if and only if `base_version` equals the folded version at
    its offset.

    Attributes:
        record: The id; a second copy in the log is ignored.
        base_version: The version that the operator saw.
        author: Who published it.
        content: The whole configuration proposed; its version is ignored.
    """

    record: ids.RecordId
    base_version: ids.Version
    author: str
    content: configuration.Configuration


class ConfigurationSnapshot(
    msgspec.Struct, frozen=True, kw_only=True, tag=True
):
    """The folded configuration, appended again before retention drops it.

    Attributes:
        record: The id.
        as_of: The offset of the last record folded into it.
        content: The configuration with its version.
        recent: Ids of the last accepted changes, so that a late copy of one
            is still ignored.
    """

    record: ids.RecordId
    as_of: ids.Offset
    content: configuration.Configuration
    recent: tuple[ids.RecordId, ...] = ()


class JobAccepted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A job was accepted and must end in a final result.

    Attributes:
        record: The id.
        spec: The job.
    """

    record: ids.RecordId
    spec: jobs.JobSpec


class AttemptIntended(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An attempt may start from now on; written before the first start.

    Attributes:
        record: The id.
        job: The job.
        spec: The job.
        token: The fencing token of the scheduler.
        attempt: The attempt.
        number: The number of the attempt.
        placement: Where the gang will run.
    """

    record: ids.RecordId
    job: ids.JobId
    spec: jobs.JobSpec
    token: ids.FenceToken
    attempt: ids.AttemptId
    number: int
    placement: jobs.Placement


class JobEnded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A job came to its final result.

    Attributes:
        record: The id.
        job: The job.
        account: Its client account.
        token: The fencing token of the scheduler.
        result: The result.
        attempts: How many attempts were started.
        body_digest: Digest of the job's body, to refuse another body.
        durability: Where its acceptance was recorded.
    """

    record: ids.RecordId
    job: ids.JobId
    account: ids.AccountId
    token: ids.FenceToken
    result: jobs.JobResult
    attempts: int
    body_digest: str = ""
    durability: states.Durability = states.Durability.LOG


class JobCancelled(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A caller has cancelled a job, which must end as cancelled.

    Attributes:
        record: The id.
        job: The job.
    """

    record: ids.RecordId
    job: ids.JobId


class JobMoved(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A queued job is handed to another failure domain.

    Attributes:
        record: The id.
        job: The job.
        number: Counts the moves of the job; the highest one counts.
        to: The failure domain that schedules it from now on; the stream's
            own one takes the job back.
        confirmed: Whether that failure domain has accepted it.
    """

    record: ids.RecordId
    job: ids.JobId
    number: int
    to: ids.FailureDomainId
    confirmed: bool = False


class KeyClaimed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A request that is not idempotent may be sent to one target.

    Attributes:
        record: The id.
        key: The idempotency key with its account.
        body_digest: Digest of the body, to refuse another body.
        vm: The VM that may send it.
        claimed_ms: Wall-clock time in ms.
    """

    record: ids.RecordId
    key: str
    body_digest: str
    vm: ids.VmId
    claimed_ms: int


class KeyResult(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The final answer of a request that is not idempotent.

    Attributes:
        record: The id.
        key: The idempotency key with its account.
        claim: The record id of the claim that is answered.
        result: The answer that every retry gets. A result that proves that
            the request was not run frees the key.
    """

    record: ids.RecordId
    key: str
    claim: ids.RecordId
    result: jobs.RequestResult


class JobSnapshot(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Unfinished and recent jobs, appended again before retention.

    Attributes:
        record: The id.
        as_of: The offset of the last record folded into it.
        accepted: Jobs without a final result.
        intents: The newest intent of each of those jobs.
        cancelled: Those of them that callers have cancelled.
        moved: Where jobs have gone that other failure domains schedule.
        ended: Recent final results.
        claims: Claims younger than the key lifetime.
        key_results: Answers younger than the key lifetime.
    """

    record: ids.RecordId
    as_of: ids.Offset
    accepted: tuple[jobs.JobSpec, ...] = ()
    intents: tuple[AttemptIntended, ...] = ()
    cancelled: tuple[ids.JobId, ...] = ()
    moved: tuple[JobMoved, ...] = ()
    ended: tuple[JobEnded, ...] = ()
    claims: tuple[KeyClaimed, ...] = ()
    key_results: tuple[KeyResult, ...] = ()


Record = (
    ConfigurationChange
    | ConfigurationSnapshot
    | JobAccepted
    | AttemptIntended
    | JobCancelled
    | JobEnded
    | JobMoved
    | KeyClaimed
    | KeyResult
    | JobSnapshot
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Encodes a record for the log service.

    Args:
        record: Any record of this module.

    Returns:
        MessagePack bytes.
    """
    return _ENCODER.encode(record)


def decode(data: bytes) -> Record | None:
    """Decodes a record read from the log service.

    Args:
        data: Bytes made by `encode`, perhaps by a newer version.

    Returns:
        The record, or None if this version cannot read it.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
