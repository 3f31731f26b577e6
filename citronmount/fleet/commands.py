"""Orders to workers and what they answer."""

import enum

import msgspec

from citronmount.core import ids
from citronmount.fleet import worker_directory
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
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    MEMBER_LOST = "member_lost"
    MEMBER_MISSING = "member_missing"


class StartOutcome(enum.Enum):
    """What became of an order to start.

    UNREACHABLE tells that no byte of the order left, as the worker takes no
    connection; after UNKNOWN it may still be carried out.
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
    """What became of an order to stop."""

    STOPPED = "stopped"
    FENCED = "fenced"
    OTHER_INCARNATION = "other_life"
    UNKNOWN = "unanswered"


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """Starts one task.

    Attributes:
        worker: Where.
        task: The task.
        run: The number of the run.
        payload: Handed to the task.
        until_ms: End of the lease on the worker's clock.
        saved: The checkpoint to resume from, or empty.
        token: The fencing token.
        ticket: What the queue's policy gave for the step and worker, or empty.
        attempt: Counts the orders to start this run of the task from 1.
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
    """Stops one run of a task, or keeps it from starting.

    Attributes:
        worker: Where.
        task: The task.
        run: The number of the run.
        token: The fencing token.
    """

    worker: worker_directory.Worker
    task: units.TaskName
    run: int
    token: ids.FenceToken


class RenewLeases(msgspec.Struct, frozen=True, kw_only=True):
    """Renews the lease of all that runs on a worker and asks what runs.

    Attributes:
        worker: Where.
        until_ms: New end of the lease on the worker's clock, or None.
        last_seen: The newest end that the worker may forget.
        wait_ms: How long the answer may wait for a further end.
        token: The fencing token.
        look: Whether it only asks, beside a hold that may be waiting.
    """

    worker: worker_directory.Worker
    until_ms: int | None
    last_seen: int
    wait_ms: int
    token: ids.FenceToken
    look: bool = False


class RequestAdvice(msgspec.Struct, frozen=True, kw_only=True):
    """Asks which workers a queue's policy allows for a step.

    Attributes:
        step: The step of one occurrence, ``JOB.OCCURRENCE.STEP``.
        workers: The workers asked about.
    """

    step: str
    workers: tuple[worker_directory.Worker, ...]


class AdviceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to `Ask`.

    Attributes:
        tickets: A ticket for each worker that is allowed.
        valid_ms: How long the tickets are valid.
    """

    tickets: dict[ids.WorkerId, str]
    valid_ms: int


Command = Start | Stop | RenewLeases | RequestAdvice


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task at a worker.

    Attributes:
        task: The task.
        run: The number of the run.
        saved: Its newest checkpoint, or empty.
        percent: The share of its work that is done; 100 for a lasting task
            that is at work.
        load: Tail of the response times in ms for a serving task, else the
            millicores in use, as of the last half second.
    """

    task: units.TaskName
    run: int
    saved: str
    percent: float
    load: float


class EndedTask(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a run.

    Attributes:
        number: Counts the ends of this life of the worker from 1.
        task: The task.
        run: The number of the run.
        kind: How it ended.
        saved: Its last checkpoint, or empty.
    """

    number: int
    task: units.TaskName
    run: int
    kind: EndKind
    saved: str


class LeaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker answers to a hold.

    Attributes:
        clock_ms: The worker's steady clock.
        life_ms: The life that answered, or None if it does not say.
        running: What runs.
        ended: Ends after the last one that it was told it may forget.
        complete: Whether `ended` holds all of them.
    """

    clock_ms: int
    life_ms: int | None
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool = True
