"""Records of a pool's job topic with their keys and encoding.

The log compacts the topic by key: a newer record of a key replaces the older
one.
"""

import enum
import typing

import msgspec

from citronmount.core import errors
from citronmount.core import ids
from citronmount.workflow import crash_history as crash_history_lib
from citronmount.workflow import job_limits
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = [
    "Cancelled",
    "Finished",
    "OWNER_KEY",
    "OwnershipTaken",
    "FinalState",
    "Place",
    "RUN_TIMES_KEY",
    "Record",
    "RunTimesLearned",
    "SpeedsLearned",
    "Submitted",
    "UnitChanged",
    "UnitStatus",
    "UnreadableRecordError",
    "cancel_key",
    "decode",
    "encode",
    "final_key",
    "job_of_final_key",
    "job_key",
    "key_of",
    "unit_key",
]


class UnreadableRecordError(errors.InvalidInputError):
    """The bytes of a record do not decode to a record of its key."""


class UnitStatus(enum.IntEnum):
    """Status of a unit."""

    WAITING = 1
    PLACED = 2
    DONE = 3
    FAILED = 4


class FinalState(enum.IntEnum):
    """How a job ended."""

    COMPLETE = 1
    FAILED = 2
    CANCELLED = 3


class Place(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The worker incarnation that a task of a run is placed on.

    Attributes:
        worker: The worker.
        life_ms: Unix time in milliseconds at which the incarnation started.
    """

    worker: ids.WorkerId
    life_ms: int


class Submitted(msgspec.Struct, frozen=True, kw_only=True, tag="s"):
    """A job was accepted.

    Attributes:
        submission: The job and the queue terms that apply to it.
    """

    submission: spec.Submission


class Cancelled(msgspec.Struct, frozen=True, kw_only=True, tag="c"):
    """A caller cancelled a job.

    Attributes:
        job: The job.
    """

    job: ids.JobId


class UnitChanged(
    msgspec.Struct, frozen=True, kw_only=True, tag="u", array_like=True
):
    """The owner changed the state of a unit.

    Attributes:
        unit: The unit.
        status: Its new status.
        run: Number of the unit's newest run, counted from 1; 0 before the
            first run.
        failures: Number of runs that failed by themselves.
        places: Worker incarnations that may hold the newest run, in the order
            of the tasks; those of a waiting unit cover only the tasks that may
            still run.
        saved: Newest checkpoint, or empty.
        task_positions: Position among the unit's tasks of each entry of
            `places`; empty if `places` covers all of them.
        crash_history: Crashes of workers that count against the unit.
    """

    unit: units.UnitId
    status: UnitStatus
    run: int
    failures: int = 0
    places: tuple[Place, ...] = ()
    saved: str = ""
    task_positions: tuple[int, ...] = ()
    crash_history: crash_history_lib.CrashHistory = crash_history_lib.NO_CRASHES


class Finished(msgspec.Struct, frozen=True, kw_only=True, tag="f"):
    """A job reached its final state.

    Attributes:
        job: The job.
        state: The final state.
        queue: The job's queue.
        account: The job's client account.
        finished_ms: Unix time of the end in milliseconds.
    """

    job: ids.JobId
    state: FinalState
    queue: spec.QueueName
    account: ids.AccountId
    finished_ms: int


class OwnershipTaken(msgspec.Struct, frozen=True, kw_only=True, tag="o"):
    """A VM became the owner of the pool.

    Attributes:
        epoch: Producer epoch of the new owner; also its fencing token.
        member: Name of the VM's process in the log's group of owner
            candidates, unique per process.
    """

    epoch: int
    member: str


class SpeedsLearned(msgspec.Struct, frozen=True, kw_only=True, tag="w"):
    """The owner's estimates of machine speeds, for the next owner.

    Attributes:
        logs: Natural logarithm of each machine's relative speed.
    """

    logs: dict[str, float]


class RunTimesLearned(msgspec.Struct, frozen=True, kw_only=True, tag="t"):
    """The owner's estimates of run times, for the next owner.

    Attributes:
        version: Version of the format of `estimates`.
        recorded_ms: Unix time of the record in milliseconds.
        estimates: For each key, weight, mean and variance of each field of
            `key_statistics.KeyStatistics`, in order and in thousandths.
    """

    version: int
    recorded_ms: int
    estimates: dict[str, tuple[int, ...]]


Record = (
    Submitted
    | Cancelled
    | UnitChanged
    | Finished
    | OwnershipTaken
    | SpeedsLearned
    | RunTimesLearned
)

OWNER_KEY = "o"
SPEEDS_KEY = "w"
RUN_TIMES_KEY = "t"
# Natural logarithm, far beyond real machines; larger ones overflow in `exp`.
MAX_LOG_SPEED = 10.0
# The next owners still have to raise the epoch within 64 bits.
MAX_EPOCH = 1 << 62

_ENCODER = msgspec.msgpack.Encoder()
_RECORD_DECODER = msgspec.msgpack.Decoder(
    Submitted
    | Cancelled
    | Finished
    | OwnershipTaken
    | SpeedsLearned
    | RunTimesLearned
)
_UNIT_DECODER = msgspec.msgpack.Decoder(UnitChanged)
_UNIT_PREFIX = "u/"
_FINAL_PREFIX = "e/"


def job_key(job: ids.JobId) -> str:
    """Returns the key of a job's submission."""
    return f"j/{job}"


def cancel_key(job: ids.JobId) -> str:
    """Returns the key of a job's cancellation."""
    return f"c/{job}"


def final_key(job: ids.JobId) -> str:
    """Returns the key of a job's final state."""
    return f"{_FINAL_PREFIX}{job}"


def job_of_final_key(key: str) -> ids.JobId | None:
    """Returns the job of a final-state key, or None for any other key."""
    if not key.startswith(_FINAL_PREFIX):
        return None
    return ids.JobId(key.removeprefix(_FINAL_PREFIX))


def unit_key(unit: units.UnitId) -> str:
    """Returns the key of a unit's record."""
    return f"{_UNIT_PREFIX}{unit}"


def key_of(record: Record) -> str:
    """Returns the topic key of a record.

    Args:
        record: Any record.

    Returns:
        The key; a newer record of the same key replaces the older one.
    """
    match record:
        case Submitted(submission=submission):
            return job_key(submission.workflow.job)
        case Cancelled(job=job):
            return cancel_key(job)
        case UnitChanged(unit=unit):
            return unit_key(unit)
        case Finished(job=job):
            return final_key(job)
        case OwnershipTaken():
            return OWNER_KEY
        case SpeedsLearned():
            return SPEEDS_KEY
        case RunTimesLearned():
            return RUN_TIMES_KEY
    typing.assert_never(record)


def encode(record: Record) -> bytes:
    """Encodes a record.

    Args:
        record: Any record.

    Returns:
        The record as MessagePack.
    """
    return _ENCODER.encode(record)


def decode(key: str, value: bytes) -> Record:
    """Decodes a record.

    Args:
        key: Topic key of the record.
        value: Bytes produced by `encode`.

    Returns:
        The record.

    Raises:
        UnreadableRecordError: The bytes are not a valid record, or the record
            belongs to another key.
    """
    decoder = _UNIT_DECODER if key.startswith(_UNIT_PREFIX) else _RECORD_DECODER
    try:
        record = decoder.decode(value)
    except errors.DECODING_ERRORS as error:
        raise UnreadableRecordError(f"record {key}: {error}") from error
    try:
        _check_values(record)
    except (ValueError, errors.InvalidInputError) as error:
        raise UnreadableRecordError(f"record {key}: {error}") from error
    if key_of(record) != key:
        raise UnreadableRecordError(
            f"record {key}: the value is a record of another key"
        )
    return record


def _check_values(record: Record) -> None:
    """Checks the values of a decoded record that an owner relies on.

    Raises:
        ValueError: A unit id or a number is invalid.
        JobRangeError: The steps of a job are invalid.
    """
    match record:
        case UnitChanged(unit=unit):
            units.UnitKey.parse(unit)
        case OwnershipTaken(epoch=epoch):
            if not 0 <= epoch <= MAX_EPOCH:
                raise ValueError(f"expected an epoch up to {MAX_EPOCH}")
        case Submitted(submission=submission):
            job_limits.check_structure(submission.workflow)
            job_limits.check_task_counts(submission.workflow)
            job_limits.check_terms(submission.terms)
        case SpeedsLearned(logs=logs):
            if not all(abs(each) <= MAX_LOG_SPEED for each in logs.values()):
                raise ValueError(
                    f"expected logarithms of speeds up to {MAX_LOG_SPEED}"
                )
