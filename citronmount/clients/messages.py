"""Messages of the platform's services as the system uses them.

Sources are the users' brief and the stand-ins in `citronmount.standins`.
"""

import enum

import msgspec

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = [
    "Act",
    "ActOutcome",
    "ActResult",
    "Checkpoint",
    "Forget",
    "LeaseReport",
    "ListedTarget",
    "ListedVm",
    "LogPage",
    "LogRecord",
    "PlatformView",
    "Renew",
    "Report",
    "Reserve",
    "RunnerAnswer",
    "RunnerOutcome",
    "Start",
    "Stop",
    "Throttle",
    "WorkerAnswer",
    "WorkerCall",
]


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One record of a stream of the log service.

    Attributes:
        offset: Position in the stream, rising, never used twice.
        record: The writer's id; a retried append has the same one.
        data: The encoded record.
    """

    offset: ids.Offset
    record: ids.RecordId
    data: bytes


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a read of a stream.

    Attributes:
        records: Records from the asked offset on, in order.
        oldest: The oldest offset still retained.
        end: The offset that the next appended record will get.
    """

    records: tuple[LogRecord, ...]
    oldest: ids.Offset
    end: ids.Offset


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """One VM of the system in the platform's list, which lags.

    Attributes:
        vm: The VM.
        failure_domain: Where it is.
        peer_address: ``ip:port`` of its peer socket.
        state: Live or leaving.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomainId
    peer_address: str
    state: states.VmState = states.VmState.LIVE


class ListedTarget(msgspec.Struct, frozen=True, kw_only=True):
    """One worker or runner in the platform's list.

    Attributes:
        name: The worker id or runner id.
        address: ``ip:port`` of its HTTP interface.
        failure_domain: Where it is.
        rack: The rack, for workers.
        capacity: Resources of a worker; zero for runners.
        slots: Concurrent short requests of a runner; 0 for workers.
        connections: Connections that a runner takes; 0 for workers.
        state: UP or LEAVING.
    """

    name: str
    address: str
    failure_domain: ids.FailureDomainId
    rack: ids.RackId = ids.RackId("")
    capacity: jobs.Resources = jobs.Resources()
    slots: int = 0
    connections: int = 0
    state: states.TargetState = states.TargetState.UP


class PlatformView(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of VMs and targets at one moment.

    Attributes:
        vms: The system's own VMs.
        workers: Targets with accelerators, for jobs.
        runners: Targets with slots, for short requests.
    """

    vms: tuple[ListedVm, ...] = ()
    workers: tuple[ListedTarget, ...] = ()
    runners: tuple[ListedTarget, ...] = ()


class Reserve(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a worker to hold resources for one attempt.

    The worker grants it, or refuses when it lacks capacity, is leaving or has
    stopped the attempt before. The reservation cannot be renewed: it lapses
    `ttl_ms` after the grant unless `Start` comes first. Repeating it has no
    further effect.

    Attributes:
        attempt: The attempt.
        spec: The job, kept as label so that a scheduler can rebuild.
        placement: Where the whole gang runs.
        tasks: Tasks of the gang on this worker.
        number: The number of the attempt.
        ttl_ms: Lifetime of the reservation on the worker's own clock.
    """

    attempt: ids.AttemptId
    spec: jobs.JobSpec
    placement: jobs.Placement
    tasks: int
    number: int
    ttl_ms: int


class Start(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Starts the tasks of a reserved attempt.

    Repeating it has no further effect; without a live reservation it is
    refused.

    Attributes:
        attempt: The attempt.
        ttl_ms: Lifetime of the running lease until renewed.
    """

    attempt: ids.AttemptId
    ttl_ms: int


class Renew(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Renews every running lease of the worker but those named.

    Attributes:
        ttl_ms: New lifetime of the leases.
        lapse: Attempts that are not renewed.
    """

    ttl_ms: int
    lapse: tuple[ids.AttemptId, ...] = ()


class Checkpoint(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a running attempt to save its work.

    Attributes:
        attempt: The attempt.
    """

    attempt: ids.AttemptId


class Throttle(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Limits a running attempt to a share of its speed.

    Attributes:
        attempt: The attempt.
        share: Speed between 0 and 1.
    """

    attempt: ids.AttemptId
    share: float


class Stop(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ends an attempt at this worker for good.

    The worker remembers the attempt, so that no delayed reserve or start can
    run it afterwards. The outcome tells whether it ever ran.

    Attributes:
        attempt: The attempt.
        grace_ms: How long tasks may take to save their work.
    """

    attempt: ids.AttemptId
    grace_ms: int = 0


class Forget(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Lets the worker drop ended attempts from its reports.

    Attributes:
        attempts: Ended attempts whose results are recorded.
    """

    attempts: tuple[ids.AttemptId, ...]


Act = Reserve | Start | Renew | Checkpoint | Throttle | Stop | Forget


class ActOutcome(enum.Enum):
    """How a worker answers one act."""

    DONE = "done"
    STALE_TOKEN = "stale_token"
    NO_CAPACITY = "no_capacity"
    LEAVING = "leaving"
    NOT_RESERVED = "not_reserved"
    NOT_RUNNING = "not_running"
    STOPPED_BEFORE = "stopped_before"
    NEVER_RAN = "never_ran"
    RAN = "ran"
    FAILED_TO_START = "failed_to_start"


class ActResult(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to one act, in the order of the call.

    `Stop` is answered NEVER_RAN or RAN; the others DONE or a refusal.

    Attributes:
        outcome: What the worker did.
        progress: Saved share of the work between 0 and 1, by `Checkpoint`.
    """

    outcome: ActOutcome
    progress: float = 0.0


class LeaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker reports of one attempt.

    Attributes:
        attempt: The attempt.
        number: The number of the attempt.
        state: Its state at this worker.
        spec: The job, from the reservation.
        placement: Where the whole gang runs.
        ran: Whether its tasks ever started at this worker.
        exit_code: The tasks' exit code, once FINISHED or FAILED.
        running_ms: How long its tasks have run.
        progress: Saved share of the work between 0 and 1.
    """

    attempt: ids.AttemptId
    number: int
    state: states.LeaseState
    spec: jobs.JobSpec
    placement: jobs.Placement
    ran: bool
    exit_code: int | None = None
    running_ms: int = 0
    progress: float = 0.0


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker reports of itself.

    Attributes:
        worker: The worker.
        token: The highest fencing token it has seen.
        sequence: Rises with every change at the worker.
        state: UP or LEAVING.
        leases: All attempts not yet forgotten.
    """

    worker: ids.WorkerId
    token: ids.FenceToken
    sequence: int
    state: states.TargetState
    leases: tuple[LeaseReport, ...] = ()


class WorkerCall(msgspec.Struct, frozen=True, kw_only=True):
    """A batch of acts for one worker.

    A worker refuses every act of a call whose token is lower than one it has
    seen; a higher token becomes the one it has seen.

    Attributes:
        token: The fencing token of the sender.
        acts: What to do, in order; may be empty to fence and read.
        known_sequence: The report that the sender has; the worker leaves the
            report out of its answer when nothing has changed since. Minus one
            asks for it always.
    """

    token: ids.FenceToken
    acts: tuple[Act, ...] = ()
    known_sequence: int = -1


class WorkerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's answer to a batch of acts.

    Attributes:
        token: The highest token seen, the call's own included.
        results: One result for each act.
        report: The worker's report, or None if the sender has it.
    """

    token: ids.FenceToken
    results: tuple[ActResult, ...]
    report: Report | None = None


class RunnerOutcome(enum.Enum):
    """How a runner answers a short request."""

    DONE = "done"
    FAILED = "failed"
    BUSY = "busy"
    LEAVING = "leaving"


class RunnerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A runner's answer to a short request.

    BUSY and LEAVING prove that the request was not run.

    Attributes:
        request: The id of the request that is answered.
        outcome: What the runner did.
        payload: The answer, whole.
        free_slots: Slots free at the time of the answer.
    """

    request: ids.RequestId
    outcome: RunnerOutcome
    payload: str = ""
    free_slots: int = 0
