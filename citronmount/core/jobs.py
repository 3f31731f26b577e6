"""Typed descriptions of jobs, short requests and their results."""

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
    """An amount of worker resources.

    Attributes:
        accelerators: Whole accelerators.
        cores: Processor cores.
        memory_gb: Memory in gigabytes.
    """

    accelerators: int = 0
    cores: int = 0
    memory_gb: int = 0


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One job as accepted by the system.

    Attributes:
        job: The id, which names the home failure domain.
        account: The client account that is served.
        tasks: Gang size; all tasks run together or none does.
        per_task: Resources of each task.
        adjacency: The smallest enclosure that must hold the gang.
        run_time_s: Declared run time in seconds; often wrong.
        deadline_ms: Wall-clock end limit in ms since the epoch, if any.
        urgent: Whether the job goes before others of its account.
        idempotent: Whether the job may be run again after a start.
        idempotency_key: The caller's key, or empty.
        command: What the tasks run, opaque to the scheduler.
        submitted_ms: Wall-clock time of acceptance in ms.
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
    """The tasks of one attempt that one worker runs.

    Attributes:
        worker: The worker.
        tasks: How many tasks of the gang it runs.
    """

    worker: ids.WorkerId
    tasks: int


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Where the whole gang of one attempt runs.

    Attributes:
        groups: One group for each worker, each worker once.
    """

    groups: tuple[TaskGroup, ...]


class JobResult(msgspec.Struct, frozen=True, kw_only=True):
    """The final result of a job.

    Attributes:
        code: What happened; see the table of result codes.
        detail: More for a person.
        exit_code: The job's own exit code, if it ran to an end.
    """

    code: codes.ResultCode
    detail: str = ""
    exit_code: int | None = None


class JobStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What callers see of a job.

    Attributes:
        job: The job.
        account: Its client account.
        state: Its present state.
        attempts: How many attempts were started.
        durability: Where its acceptance is recorded.
        result: The final result once there is one.
        workers: Where it runs at present.
    """

    job: ids.JobId
    account: ids.AccountId
    state: states.JobState
    attempts: int = 0
    durability: states.Durability = states.Durability.LOG
    result: JobResult | None = None
    workers: tuple[ids.WorkerId, ...] = ()


class RequestSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One short request to a runner.

    Attributes:
        request: The id; answers are matched by it.
        account: The client account that is served.
        payload: The body, opaque to the scheduler.
        timeout_ms: How long the caller waits, from arrival.
        idempotent: Whether it may be sent to a second runner.
        idempotency_key: The caller's key, or empty.
    """

    request: ids.RequestId
    account: ids.AccountId
    payload: str = ""
    timeout_ms: int = 5_000
    idempotent: bool = True
    idempotency_key: str = ""


class RequestResult(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a short request.

    Attributes:
        request: The id of the request that is answered.
        code: What happened; see the table of result codes.
        payload: The runner's answer, whole, when the code is DONE.
        detail: More for a person.
        retry_after_ms: When to come back, for retryable refusals.
    """

    request: ids.RequestId
    code: codes.ResultCode
    payload: str = ""
    detail: str = ""
    retry_after_ms: int | None = None
