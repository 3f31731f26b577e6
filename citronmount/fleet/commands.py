"""Commands that the owner sends to workers, and their answers."""

import enum

import msgspec

from citronmount.core import ids
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import units

__all__ = [
    "AdviceAnswer",
    "EndKind",
    "EndedTask",
    "Command",
    "LeaseReport",
    "RenewLeases",
    "RequestAdvice",
    "RunningTask",
    "Start",
    "StartOutcome",
    "Stop",
    "StopOutcome",
]


class EndKind(enum.Enum):
    """How a run of a task ended, as reported by its worker.

    MEMBER_LOST: another member of the gang failed. MEMBER_MISSING: not all
    members of the gang were running.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    MEMBER_LOST = "member_lost"
    MEMBER_MISSING = "member_missing"


class StartOutcome(enum.Enum):
    """Outcome of a `Start` command.

    FENCED: the worker has seen a newer fencing token. STALE_RUN: the run is
    over or was stopped before. LEASE_EXPIRED: the command arrived after the end
    of its lease. NO_TICKET: the ticket was not accepted. NOT_STARTED: any other
    refusal. OTHER_INCARNATION: another incarnation of the worker answered.
    UNREACHABLE: the worker accepted no connection, so no byte of the command
    was sent. UNKNOWN: the command was sent but not answered, so the worker may
    still execute it.
    """

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "old_run"
    LEASE_EXPIRED = "late"
    NO_CAPACITY = "no_room"
    NO_TICKET = "no_ticket"
    NOT_STARTED = "not_started"
    OTHER_INCARNATION = "other_life"
    UNREACHABLE = "unreached"
    UNKNOWN = "unanswered"


class StopOutcome(enum.Enum):
    """Outcome of a `Stop`, or why a `RenewLeases` returned no report.

    FENCED and OTHER_INCARNATION: as for `StartOutcome`. After UNKNOWN the
    worker may still execute the command.
    """

    STOPPED = "stopped"
    FENCED = "fenced"
    OTHER_INCARNATION = "other_life"
    UNKNOWN = "unanswered"


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """Starts one task.

    Attributes:
        worker: The worker that receives the command.
        task: The task.
        run: Number of the run.
        payload: Passed to the task.
        until_ms: End of the lease on the worker's clock, in milliseconds.
        saved: Checkpoint to resume from, or empty.
        token: Fencing token of the owner.
        ticket: Ticket of the queue's policy for the step and worker, or empty.
        attempt: Number of this attempt to start the run, counted from 1.
    """

    worker: worker_directory.Worker
    task: units.TaskName
    run: int
    payload: str
    until_ms: int
    saved: str
    token: ids.FenceToken
    ticket: str = ""
    attempt: int = 1


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """Stops one run of a task, or prevents it from starting later.

    Attributes:
        worker: The worker that receives the command.
        task: The task.
        run: Number of the run.
        token: Fencing token of the owner.
    """

    worker: worker_directory.Worker
    task: units.TaskName
    run: int
    token: ids.FenceToken


class RenewLeases(msgspec.Struct, frozen=True, kw_only=True):
    """Renews the leases of all runs on a worker and requests a report.

    The worker may delay its answer until another run ends (long polling).

    Attributes:
        worker: The worker that receives the command.
        until_ms: New end of the leases on the worker's clock, in
            milliseconds, or None to request a report only.
        last_seen: The worker may delete its ends up to this sequence number.
        wait_ms: Maximum time that the worker may delay its answer.
        token: Fencing token of the owner.
        look: Whether the command is a status poll, which is sent although
            another renewal may be waiting at the worker.
        event: Number of the owner's event at which the command was sent.
    """

    worker: worker_directory.Worker
    until_ms: int | None
    last_seen: int
    wait_ms: int
    token: ids.FenceToken
    look: bool = False
    event: int = 0


class RequestAdvice(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the workers that a queue's policy allows for a step.

    Attributes:
        step: Id of the step in one occurrence, ``JOB.OCCURRENCE.STEP``.
        workers: The candidate workers.
    """

    step: str
    workers: tuple[worker_directory.Worker, ...]


class AdviceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `RequestAdvice`.

    Attributes:
        tickets: Ticket of each allowed worker; the others are refused.
        valid_ms: Validity of the tickets in milliseconds.
    """

    tickets: dict[ids.WorkerId, str]
    valid_ms: int


Command = Start | Stop | RenewLeases | RequestAdvice


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task that runs on a worker.

    Attributes:
        task: The task.
        run: Number of the run.
        saved: Newest checkpoint, or empty.
        percent: Completed share of the work in percent; 100 for a lasting
            task that is running.
        load: Tail latency in milliseconds for a serving task, otherwise the
            millicores in use; measured over the last half second.
    """

    task: units.TaskName
    run: int
    saved: str
    percent: float
    load: float


class EndedTask(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a run of a task on a worker.

    Attributes:
        number: Sequence number of the end within the worker's incarnation,
            counted from 1.
        task: The task.
        run: Number of the run.
        kind: How the run ended.
        saved: Last checkpoint, or empty.
    """

    number: int
    task: units.TaskName
    run: int
    kind: EndKind
    saved: str


class LeaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a worker to `RenewLeases`.

    Attributes:
        clock_ms: Reading of the worker's monotonic clock in milliseconds.
        life_ms: Start of the incarnation that answered, or None if the worker
            does not report it.
        running: Tasks that run on the worker.
        ended: Ends with higher numbers than the command's `last_seen`.
        complete: Whether `ended` contains all of these ends.
    """

    clock_ms: int
    life_ms: int | None
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool = True
