"""Specifications, placements and results of jobs and short requests."""

import msgspec

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import states

__all__ = [
    "JobResult",
    "JobSpec",
    "JobStatus",
    "Placement",
    "RequestResult",
    "RequestSpec",
    "Resources",
    "TaskGroup",
]


class Resources(msgspec.Struct, frozen=True, kw_only=True):
    """Resource vector of a worker or a task.

    Attributes:
        accelerators: Number of whole accelerators.
        cores: Number of processor cores.
        memory_gb: Memory in gigabytes.
    """

    accelerators: int = 0
    cores: int = 0
    memory_gb: int = 0


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Specification of an accepted job.

    Attributes:
        job: Job id, which contains the home failure domain.
        account: Client account that submitted the job.
        tasks: Gang size; either all tasks run at the same time or none.
        per_task: Resources of each task.
        adjacency: Topology level within which all tasks must be placed.
        run_time_s: Declared run time in seconds, which is often wrong.
        deadline_ms: Unix time in ms by which the job must end, if any.
        urgent: Whether the job precedes other jobs of its account.
        idempotent: Whether the job may be run again once it has started.
        idempotency_key: Idempotency key set by the caller, or empty.
        command: Command of the tasks, opaque to the scheduler.
        submitted_ms: Unix time of acceptance in ms.
    """

    job: ids.JobId
    account: ids.AccountId
    tasks: int = 1
    per_task: Resources = Resources(accelerators=1)
    adjacency: states.Adjacency = states.Adjacency.FAILURE_DOMAIN
    run_time_s: float = 60.0
    deadline_ms: int | None = None
    urgent: bool = False
    idempotent: bool = True
    idempotency_key: str = ""
    command: str = ""
    submitted_ms: int = 0

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.tasks * self.per_task.accelerators


class TaskGroup(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks of an attempt that are placed on the same worker.

    Attributes:
        worker: Worker that runs the tasks.
        tasks: Number of tasks.
    """

    worker: ids.WorkerId
    tasks: int


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Assignment of all tasks of an attempt to workers.

    Attributes:
        groups: One group per worker; no worker occurs twice.
    """

    groups: tuple[TaskGroup, ...]


class JobResult(msgspec.Struct, frozen=True, kw_only=True):
    """Final result of a job.

    Attributes:
        code: Result code, described in `codes.CODES`.
        detail: Human-readable details.
        exit_code: Exit code of the job, if it ran until it exited.
    """

    code: codes.ResultCode
    detail: str = ""
    exit_code: int | None = None


class JobStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a job as reported to callers.

    Attributes:
        job: Job id.
        account: Client account of the job.
        state: Current state.
        attempts: Number of attempts started so far.
        durability: Where the acceptance of the job is recorded.
        result: Final result, or None while the job has not ended.
        workers: Workers on which the job runs now.
    """

    job: ids.JobId
    account: ids.AccountId
    state: states.JobState
    attempts: int = 0
    durability: states.Durability = states.Durability.LOG
    result: JobResult | None = None
    workers: tuple[ids.WorkerId, ...] = ()


class RequestSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Short request to a runner.

    Attributes:
        request: Request id, by which answers are matched to requests.
        account: Client account that sent the request.
        payload: Request body, opaque to the scheduler.
        timeout_ms: Time that the caller waits, counted from arrival.
        idempotent: Whether the request may be sent again although an earlier
            attempt may have run it.
        idempotency_key: Idempotency key set by the caller, or empty.
    """

    request: ids.RequestId
    account: ids.AccountId
    payload: str = ""
    timeout_ms: int = 5_000
    idempotent: bool = True
    idempotency_key: str = ""


class RequestResult(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a short request.

    Attributes:
        request: Id of the request.
        code: Result code, described in `codes.CODES`.
        payload: Response of the runner; complete if the code is DONE.
        detail: Human-readable details.
        retry_after_ms: Delay before a retry, for refusals that may be retried.
    """

    request: ids.RequestId
    code: codes.ResultCode
    payload: str = ""
    detail: str = ""
    retry_after_ms: int | None = None
