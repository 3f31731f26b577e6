"""Request and response bodies of the job calls of the HTTP interface."""

import math
import re

import msgspec

from citronmount.core import errors
from citronmount.core import ids
from citronmount.core import states
from citronmount.workflow import job_limits
from citronmount.workflow import spec

__all__ = [
    "InvalidJobError",
    "decode_job",
    "encode_pending",
    "encode_refusal",
    "encode_state",
    "is_job_id",
]

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_STATES = {
    states.JobState.QUEUED: "queued",
    states.JobState.RUNNING: "active",
    states.JobState.DONE: "complete",
    states.JobState.FAILED: "failed",
    states.JobState.CANCELLED: "canceled",
}

# The wire's names of the fields of `spec` that have another name there.
_WIRE_NAMES = {
    "accelerators": "gpu",
    "first_due_ms": "first_ms",
    "max_tasks_per_worker": "anti_affinity",
    "max_unavailable": "may_miss",
    "memory_mb": "mem_mb",
    "millicores": "cpu",
    "occurrences": "repeats",
    "payload": "spec",
    "steps": "phases",
    "tasks": "count",
}


class InvalidJobError(errors.InvalidInputError):
    """The body of a submission does not describe a valid job."""


class _Phase(msgspec.Struct):
    """A step, with the field names of the platform's interface.

    Clients may omit fields whose value is 0, false or empty. `cpu` is in
    millicores, `constraints` is one label, `affinity_to` a rack,
    `anti_affinity` the maximum number of tasks on one runner and `may_miss`
    the maximum number of tasks unavailable at a time.
    """

    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    rack_local: bool = False
    constraints: str = ""
    affinity_to: str = ""
    anti_affinity: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    goal_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct):
    """A job; `spec` is the payload that is passed to each task."""

    spec: str
    phases: list[_Phase]
    repeats: int = 0
    first_ms: int = 0
    interval_ms: int = 0


class _State(msgspec.Struct):
    state: str


class _Refusal(msgspec.Struct, omit_defaults=True):
    error: str = ""


class _Pending(msgspec.Struct):
    pending: int


def is_job_id(text: str) -> bool:
    """Returns whether a text is a job id: 16 lowercase hexadecimal digits."""
    return _JOB_ID.fullmatch(text) is not None


def decode_job(job: ids.JobId, body: bytes) -> spec.Workflow:
    """Decodes the body of a submission, JSON text in UTF-8.

    Raises:
        InvalidJobError: The body cannot be decoded, or a value is out of range.
    """
    try:
        submitted = msgspec.json.decode(body, type=_Job)
    except errors.DECODING_ERRORS as error:
        raise InvalidJobError(str(error)) from error
    workflow = spec.Workflow(
        job=job,
        payload=submitted.spec,
        steps=tuple(map(_to_step, submitted.phases)),
        occurrences=submitted.repeats,
        first_due_ms=submitted.first_ms,
        interval_ms=submitted.interval_ms,
    )
    try:
        job_limits.check(workflow)
    except job_limits.JobRangeError as error:
        phase = "" if error.step is None else f"phase {error.step}: "
        field = _WIRE_NAMES.get(error.field, error.field)
        raise InvalidJobError(f"{phase}{field}: {error.reason}") from error
    return workflow


def _to_step(phase: _Phase) -> spec.Step:
    return spec.Step(
        tasks=phase.count,
        demand=spec.Demand(
            millicores=phase.cpu,
            memory_mb=phase.mem_mb,
            accelerators=phase.gpu,
        ),
        estimate_ms=math.floor(phase.estimate_ms),
        after=phase.after,
        gang=phase.gang,
        one_rack=phase.rack_local,
        worker_label=phase.constraints,
        data_rack=phase.affinity_to,
        max_tasks_per_worker=phase.anti_affinity,
        checkpoints=phase.checkpointing,
        speculative=phase.speculative,
        lasting=phase.long_running,
        image=phase.image,
        goal_ms=math.floor(phase.goal_ms),
        fills=phase.fills,
        max_unavailable=phase.may_miss,
    )


def encode_state(state: states.JobState) -> bytes:
    """Encodes the state of a job."""
    return msgspec.json.encode(_State(state=_STATES[state]))


def encode_pending(count: int) -> bytes:
    """Encodes the number of jobs of a queue that have not started."""
    return msgspec.json.encode(_Pending(pending=count))


def encode_refusal(reason: str) -> bytes:
    """Encodes the reason why a call is refused, or no reason if empty."""
    return msgspec.json.encode(_Refusal(error=reason))
