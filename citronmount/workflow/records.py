"""Records of the job topic, their keys and their encoding."""

import enum
import typing

import msgspec

from citronmount.core import errors
from citronmount.core import ids
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = [
    "Cancelled",
    "Finished",
    "OWNER_KEY",
    "OwnershipTaken",
    "FinalState",
    "Place",
    "Record",
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
    """A record that this version did not write."""


class UnitStatus(enum.IntEnum):
    """Where a unit stands."""

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
    """A worker that may hold a run.

    Attributes:
        worker: The worker.
        life_ms: Unix time at which this life of the worker began.
    """

    worker: ids.WorkerId
    life_ms: int


class Submitted(msgspec.Struct, frozen=True, kw_only=True, tag="s"):
    """A job was accepted.

    Attributes:
        submission: The job and its terms.
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
    """The owner changed a unit.

    Attributes:
        unit: The unit.
        status: Where it stands.
        run: The number of its newest run, from 1, or 0 before the first.
        failures: How many runs ended by a failure of their own.
        places: Workers that may hold the newest run, in order of the tasks.
        saved: The newest checkpoint, or empty.
    """

    unit: units.UnitId
    status: UnitStatus
    run: int
    failures: int = 0
    places: tuple[Place, ...] = ()
    saved: str = ""


class Finished(msgspec.Struct, frozen=True, kw_only=True, tag="f"):
    """A job has its final state.

    Attributes:
        job: The job.
        state: How it ended.
        queue: Its queue.
        account: Its client account.
        finished_ms: Unix time of the end in milliseconds.
    """

    job: ids.JobId
    state: FinalState
    queue: spec.QueueName
    account: ids.AccountId
    finished_ms: int


class OwnershipTaken(msgspec.Struct, frozen=True, kw_only=True, tag="o"):
    """A process took the pool over.

    Attributes:
        epoch: The producer epoch that it raised.
        member: Its name in the owners' group, unique to the process.
    """

    epoch: int
    member: str


class SpeedsLearned(msgspec.Struct, frozen=True, kw_only=True, tag="w"):
    """What the owner has learned of the speeds of machines.

    Attributes:
        logs: Logarithm of the relative speed of each machine.
    """

    logs: dict[str, float]


Record = (
    Submitted
    | Cancelled
    | UnitChanged
    | Finished
    | OwnershipTaken
    | SpeedsLearned
)

OWNER_KEY = "o"
SPEEDS_KEY = "w"

_ENCODER = msgspec.msgpack.Encoder()
_OBJECTS = msgspec.msgpack.Decoder(
    Submitted | Cancelled | Finished | OwnershipTaken | SpeedsLearned
)
_UNITS = msgspec.msgpack.Decoder(UnitChanged)
_UNIT_PREFIX = "u/"
_FINAL_PREFIX = "e/"


def job_key(job: ids.JobId) -> str:
    """Returns the key of a job's submission."""
    return f"j/{job}"


def cancel_key(job: ids.JobId) -> str:
    """Returns the key of a job's cancel."""
    return f"c/{job}"


def final_key(job: ids.JobId) -> str:
    """Returns the key of a job's final state."""
    return f"{_FINAL_PREFIX}{job}"


def job_of_final_key(key: str) -> ids.JobId | None:
    """Returns the job whose final state is kept under a key, if any."""
    if not key.startswith(_FINAL_PREFIX):
        return None
    return ids.JobId(key.removeprefix(_FINAL_PREFIX))


def unit_key(unit: units.UnitId) -> str:
    """Returns the key of a unit."""
    return f"{_UNIT_PREFIX}{unit}"


def key_of(record: Record) -> str:
    """Returns the key under which a record is kept.

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
    typing.assert_never(record)


def encode(record: Record) -> bytes:
    """Encodes a record.

    Args:
        record: Any record.

    Returns:
        MessagePack bytes.
    """
    return _ENCODER.encode(record)


def decode(key: str, value: bytes) -> Record:
    """Decodes a record.

    Args:
        key: The key of the record.
        value: Bytes made by `encode`.

    Returns:
        The record.

    Raises:
        UnreadableRecordError: The bytes are no record, or one of another key.
    """
    decoder = _UNITS if key.startswith(_UNIT_PREFIX) else _OBJECTS
    try:
        record = decoder.decode(value)
    except msgspec.DecodeError as error:
        raise UnreadableRecordError(f"record {key}: {error}") from error
    if isinstance(record, UnitChanged):
        try:
            units.UnitKey.parse(record.unit)
        except ValueError as error:
            raise UnreadableRecordError(f"record {key}: {error}") from error
    if key_of(record) != key:
        raise UnreadableRecordError(f"record {key} holds another key")
    return record
