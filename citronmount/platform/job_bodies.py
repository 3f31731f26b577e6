"""Bodies of the calls that clients make about jobs."""

import re

import msgspec

from citronmount.core import errors
from citronmount.core import ids
from citronmount.core import states
from citronmount.workflow import spec

__all__ = [
    "BadJobError",
    "decode_job",
    "encode_pending",
    "encode_refusal",
    "encode_state",
    "is_job_id",
]

MAX_TASKS = 10_000
MAX_OCCURRENCES = 100_000

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_STATES = {
    states.JobState.QUEUED: "queued",
    states.JobState.RUNNING: "active",
    states.JobState.DONE: "complete",
    states.JobState.FAILED: "failed",
    states.JobState.CANCELLED: "canceled",
}


class BadJobError(errors.InvalidInputError):
    """A body that describes no job."""


class _Phase(msgspec.Struct):
    """A step; names follow the page, fields of value 0 may be missing.

    `constraints` is one label, `affinity_to` a rack, `anti_affinity` the most
    tasks on one runner, `may_miss` how many may be away at a time.
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
    """A job; `spec` is what its tasks are handed."""

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
    """Returns whether a text is an id that a client may choose."""
    return _JOB_ID.fullmatch(text) is not None


def decode_job(job: ids.JobId, body: bytes) -> spec.Workflow:
    """Decodes the body that hands a job in.

    Args:
        job: Its id.
        body: The JSON text.

    Returns:
        The job.

    Raises:
        BadJobError: The text describes no job.
    """
    try:
        said = msgspec.json.decode(body, type=_Job)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadJobError(str(error)) from error
    _check(said)
    return spec.Workflow(
        job=job,
        payload=said.spec,
        steps=tuple(map(_step, said.phases)),
        occurrences=said.repeats,
        first_due_ms=said.first_ms,
        interval_ms=said.interval_ms,
    )


def _check(said: _Job) -> None:
    if not said.phases:
        raise BadJobError("a job needs a step")
    if not 0 <= said.repeats <= MAX_OCCURRENCES:
        raise BadJobError(f"repeats {said.repeats} is out of range")
    for number, phase in enumerate(said.phases):
        if not 1 <= phase.count <= MAX_TASKS:
            raise BadJobError(f"step {number}: count {phase.count}")
        if min(phase.cpu, phase.mem_mb, phase.gpu) < 0:
            raise BadJobError(f"step {number}: negative resources")
        if not all(0 <= earlier < number for earlier in phase.after):
            raise BadJobError(f"step {number}: after {phase.after}")


def _step(phase: _Phase) -> spec.Step:
    return spec.Step(
        tasks=phase.count,
        demand=spec.Demand(
            millicores=phase.cpu,
            memory_mb=phase.mem_mb,
            accelerators=phase.gpu,
        ),
        estimate_ms=int(phase.estimate_ms),
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
        goal_ms=int(phase.goal_ms),
        fills=phase.fills,
        max_unavailable=phase.may_miss,
    )


def encode_state(state: states.JobState) -> bytes:
    """Encodes the state of a job."""
    return msgspec.json.encode(_State(state=_STATES[state]))


def encode_pending(count: int) -> bytes:
    """Encodes how many jobs of a queue have not begun."""
    return msgspec.json.encode(_Pending(pending=count))


def encode_refusal(why: str) -> bytes:
    """Encodes why a call is refused."""
    return msgspec.json.encode(_Refusal(error=why))
