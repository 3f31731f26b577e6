"""Records of the stand-alone daemons: job streams and configuration stream."""

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
        record: The record id; a second copy in the log is ignored.
        base_version: The version that the operator's change is based on.
        author: The name of the operator that has published it.
        content: The whole proposed configuration; its version is ignored.
    """

    record: ids.RecordId
    base_version: ids.Version
    author: str
    content: configuration.Configuration


class ConfigurationSnapshot(
    msgspec.Struct, frozen=True, kw_only=True, tag=True
):
    """The folded configuration.

    It is appended before the retention of the log drops the records that it
    was folded from.

    Attributes:
        record: The record id.
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
        record: The record id.
        spec: The job.
    """

    record: ids.RecordId
    spec: jobs.JobSpec


class AttemptIntended(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An attempt may start from now on.

    It is durable before the first start call is sent.

    Attributes:
        record: The record id.
        job: The id of the job.
        spec: The job.
        token: The fencing token of the owner.
        attempt: The id of the attempt.
        number: The number of the attempt within the job.
        placement: The workers and the number of tasks at each.
    """

    record: ids.RecordId
    job: ids.JobId
    spec: jobs.JobSpec
    token: ids.FenceToken
    attempt: ids.AttemptId
    number: int
    placement: jobs.Placement


class JobEnded(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The final result of a job.

    Attributes:
        record: The record id.
        job: The id of the job.
        account: The client account of the job.
        token: The fencing token of the owner.
        result: The result.
        attempts: The number of attempts made.
        body_digest: Digest of the job's content, so that a submission with
            the same id but other content is refused.
        durability: Where the acceptance of the job was recorded.
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
    """A caller has cancelled a job, which gets no further attempt.

    Attributes:
        record: The record id.
        job: The id of the job.
    """

    record: ids.RecordId
    job: ids.JobId


class JobMoved(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A queued job is moved to another failure domain.

    Attributes:
        record: The record id.
        job: The id of the job.
        number: The number of the move within the job; the highest is in force.
        to: The failure domain that schedules the job from now on. If it is the
            stream's own one, the job has returned.
        confirmed: Whether that failure domain has accepted the job.
    """

    record: ids.RecordId
    job: ids.JobId
    number: int
    to: ids.FailureDomainId
    confirmed: bool = False


class KeyClaimed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A VM claims the exclusive right to run the work of a key.

    Once the claim is granted, the work may be sent to one target.

    Attributes:
        record: The record id.
        key: The key, qualified by its account or job.
        body_digest: Digest of the body, so that another body under the same
            key is refused.
        vm: The VM that holds the claim.
        claimed_ms: Unix time of the claim, in ms.
    """

    record: ids.RecordId
    key: str
    body_digest: str
    vm: ids.VmId
    claimed_ms: int


class KeyResult(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The final answer of claimed work.

    Attributes:
        record: The record id.
        key: The key, qualified by its account or job.
        claim: The record id of the claim under which the work was sent.
        result: The answer that every retry gets. A result that proves that
            the work was not run frees the claim.
    """

    record: ids.RecordId
    key: str
    claim: ids.RecordId
    result: jobs.RequestResult


class JobSnapshot(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Unfinished and recent jobs of a failure domain.

    It is appended before the retention of the log drops the records that it
    was folded from.

    Attributes:
        record: The record id.
        as_of: The offset of the last record folded into it.
        accepted: Jobs without a final result.
        intents: The newest intent of each of those jobs.
        cancelled: Those of the accepted jobs that callers have cancelled.
        moved: The last move of each moved job.
        ended: Recent final results.
        claims: Claims younger than the claim lifetime.
        key_results: Answers to requests under those claims.
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
        data: Bytes written by `encode`, perhaps of a newer version.

    Returns:
        The record, or None if this version cannot read it.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
