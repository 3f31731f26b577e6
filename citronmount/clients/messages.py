"""Messages of the log service, the VM list and the targets.

The users specified these formats; `citronmount.standins` serves them.
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
        offset: The position in the stream; it increases and is never reused.
        record: The id that the writer gave the record; a retried append has
            the same id.
        data: The encoded record.
    """

    offset: ids.Offset
    record: ids.RecordId
    data: bytes


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a request to read a stream.

    Attributes:
        records: Records from the requested offset on, in order.
        oldest: The oldest offset that is still retained.
        end: The offset of the next record to be appended.
    """

    records: tuple[LogRecord, ...]
    oldest: ids.Offset
    end: ids.Offset


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM that runs the daemon, in the platform's list.

    The list may be out of date.

    Attributes:
        vm: The VM.
        failure_domain: The failure domain of the VM.
        peer_address: ``ip:port`` of its peer socket.
        state: LIVE or LEAVING.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomainId
    peer_address: str
    state: states.VmState = states.VmState.LIVE


class ListedTarget(msgspec.Struct, frozen=True, kw_only=True):
    """A worker or runner in the platform's list.

    Attributes:
        name: The worker id or runner id.
        address: ``ip:port`` of its HTTP API.
        failure_domain: The failure domain of the target.
        rack: The rack of a worker; empty for runners.
        capacity: The resources of a worker; zero for runners.
        slots: The number of short requests that a runner runs at once; 0 for
            workers.
        connections: The number of connections that a runner accepts; 0 for
            workers.
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
    """A snapshot of the platform's list of VMs and targets.

    Attributes:
        vms: The VMs that run the daemon.
        workers: Targets with accelerators, which run jobs.
        runners: Targets with slots, which run short requests.
    """

    vms: tuple[ListedVm, ...] = ()
    workers: tuple[ListedTarget, ...] = ()
    runners: tuple[ListedTarget, ...] = ()


class Reserve(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reserves resources of a worker for one attempt.

    The worker refuses if it lacks capacity, is leaving or has already stopped
    the attempt. The reservation cannot be renewed: it expires `ttl_ms` after
    it was granted unless `Start` comes first. The act is idempotent.

    Attributes:
        attempt: The attempt.
        spec: The job. The worker reports it back, so that a new owner can
            rebuild its state.
        placement: The placement of the whole gang.
        tasks: The number of the gang's tasks on this worker.
        number: The number of the attempt, counted from 1 for each job.
        ttl_ms: Lifetime of the reservation, by the worker's clock.
    """

    attempt: ids.AttemptId
    spec: jobs.JobSpec
    placement: jobs.Placement
    tasks: int
    number: int
    ttl_ms: int


class Start(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Starts the tasks of a reserved attempt.

    The act is idempotent. It is refused without a live reservation.

    Attributes:
        attempt: The attempt.
        ttl_ms: Lifetime of the running lease, unless it is renewed.
    """

    attempt: ids.AttemptId
    ttl_ms: int


class Renew(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Renews all running leases of the worker except those in `lapse`.

    Attributes:
        ttl_ms: Lifetime of the renewed leases from now on.
        lapse: Attempts whose leases are left to expire.
    """

    ttl_ms: int
    lapse: tuple[ids.AttemptId, ...] = ()


class Checkpoint(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Makes a running attempt save a checkpoint of its work.

    Attributes:
        attempt: The attempt.
    """

    attempt: ids.AttemptId


class Throttle(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Limits a running attempt to a share of its full speed.

    Attributes:
        attempt: The attempt.
        share: The share, between 0 and 1.
    """

    attempt: ids.AttemptId
    share: float


class Stop(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stops an attempt on this worker permanently.

    The worker remembers the attempt, so that a delayed `Reserve` or `Start`
    cannot run it later. The outcome says whether the attempt ever ran.

    Attributes:
        attempt: The attempt.
        grace_ms: The time that tasks have to save their work.
    """

    attempt: ids.AttemptId
    grace_ms: int = 0


class Forget(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Lets the worker drop ended attempts from its reports.

    Attributes:
        attempts: Ended attempts whose results are in the log.
    """

    attempts: tuple[ids.AttemptId, ...]


Act = Reserve | Start | Renew | Checkpoint | Throttle | Stop | Forget


class ActOutcome(enum.Enum):
    """The outcome of one act on a worker.

    Attributes:
        DONE: The act took effect, now or before.
        STALE_TOKEN: The call's token is lower than one that the worker has
            seen; nothing was done.
        NO_CAPACITY: The worker lacks the resources for a `Reserve`.
        LEAVING: The worker is leaving and refuses a `Reserve`.
        NOT_RESERVED: There is no live reservation for a `Start`.
        NOT_RUNNING: The attempt of a `Checkpoint` or `Throttle` is not running.
        STOPPED_BEFORE: The attempt of a `Reserve` was stopped or has ended.
        NEVER_RAN: No task of the stopped attempt ever ran on the worker.
        RAN: Tasks of the stopped attempt had started on the worker.
        FAILED_TO_START: The tasks of a `Start` could not be started.
    """

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
    """The answer to one act; answers come in the order of the call's acts.

    `Stop` is answered with NEVER_RAN or RAN, other acts with DONE or a
    refusal.

    Attributes:
        outcome: The outcome of the act.
        progress: The checkpointed share of the work, between 0 and 1; only
            for `Checkpoint`.
    """

    outcome: ActOutcome
    progress: float = 0.0


class LeaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's report on one attempt.

    Attributes:
        attempt: The attempt.
        number: The number of the attempt, counted from 1 for each job.
        state: The state of the lease on this worker.
        spec: The job, from the reservation.
        placement: The placement of the whole gang.
        ran: Whether tasks of the attempt ever started on this worker.
        exit_code: The exit code of the tasks, once FINISHED or FAILED.
        running_ms: How long the tasks have run.
        progress: The checkpointed share of the work, between 0 and 1.
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
    """A worker's report on itself and its attempts.

    Attributes:
        worker: The worker.
        token: The highest fencing token it has seen.
        sequence: Increases with every change on the worker.
        state: UP or LEAVING.
        leases: All attempts that `Forget` has not yet dropped.
    """

    worker: ids.WorkerId
    token: ids.FenceToken
    sequence: int
    state: states.TargetState
    leases: tuple[LeaseReport, ...] = ()


class WorkerCall(msgspec.Struct, frozen=True, kw_only=True):
    """A batch of acts for one worker.

    A worker refuses all acts of a call whose token is lower than the highest
    one that it has seen; it remembers a higher one.

    Attributes:
        token: The fencing token of the sender.
        acts: The acts, in order. An empty call only fences lower tokens and
            reads the report.
        known_sequence: The sequence of the last report that the sender has.
            The worker omits the report from its answer if nothing has
            changed since; with -1 it always sends the report.
    """

    token: ids.FenceToken
    acts: tuple[Act, ...] = ()
    known_sequence: int = -1


class WorkerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's answer to a batch of acts.

    Attributes:
        token: The highest token that the worker has seen, including that of
            the call.
        results: One result for each act.
        report: The worker's report, or None if the sender already has it.
    """

    token: ids.FenceToken
    results: tuple[ActResult, ...]
    report: Report | None = None


class RunnerOutcome(enum.Enum):
    """The outcome of a short request on a runner."""

    DONE = "done"
    FAILED = "failed"
    BUSY = "busy"
    LEAVING = "leaving"


class RunnerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A runner's answer to a short request.

    BUSY and LEAVING prove that the request was not run.

    Attributes:
        request: The id of the answered request.
        outcome: The outcome of the request.
        payload: The complete result.
        free_slots: The number of free slots at the time of the answer.
    """

    request: ids.RequestId
    outcome: RunnerOutcome
    payload: str = ""
    free_slots: int = 0
