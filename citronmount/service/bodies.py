"""JSON bodies of the requests and responses of the HTTP API."""

from typing import Annotated

import msgspec

from citronmount.config import configuration as configuration_lib
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.telemetry import timeline_events

__all__ = [
    "ConfigurationBody",
    "JobBody",
    "JobsBody",
    "Member",
    "MembersBody",
    "PublishBody",
    "ResultBody",
    "RequestBody",
    "TimelineBody",
    "make_result_body",
]

_MAX_TASKS = 100_000
_MAX_AMOUNT = 1_000_000
_MAX_RUN_TIME_S = 100 * 24 * 3_600
_MAX_TIMEOUT_MS = 600_000
_MAX_NAME_LENGTH = 256

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)]
OptionalName = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]


class ResourcesBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Resources of one task; the fields are those of `jobs.Resources`."""

    accelerators: Amount = 0
    cores: Amount = 0
    memory_gb: Amount = 0

    def to_resources(self) -> jobs.Resources:
        """Returns the amounts as the type that the scheduler uses."""
        return jobs.Resources(
            accelerators=self.accelerators,
            cores=self.cores,
            memory_gb=self.memory_gb,
        )


class JobBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A submitted job; its fields mean the same as in `jobs.JobSpec`."""

    account: Name
    tasks: Annotated[int, msgspec.Meta(ge=1, le=_MAX_TASKS)] = 1
    per_task: ResourcesBody = ResourcesBody(accelerators=1)
    adjacency: states.Adjacency = states.Adjacency.FAILURE_DOMAIN
    run_time_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_RUN_TIME_S)] = 60.0
    deadline_ms: int | None = None
    urgent: bool = False
    idempotent: bool = True
    idempotency_key: OptionalName = ""
    command: str = ""

    def to_spec(self, submitted_ms: int) -> jobs.JobSpec:
        """Returns the specification of the job.

        Its id is empty; the agent assigns it with the home failure domain.

        Args:
            submitted_ms: Unix time at which the job was submitted.

        Returns:
            The specification.
        """
        return jobs.JobSpec(
            job=ids.JobId(""),
            account=ids.AccountId(self.account),
            tasks=self.tasks,
            per_task=self.per_task.to_resources(),
            adjacency=self.adjacency,
            run_time_s=self.run_time_s,
            deadline_ms=self.deadline_ms,
            urgent=self.urgent,
            idempotent=self.idempotent,
            idempotency_key=self.idempotency_key,
            command=self.command,
            submitted_ms=submitted_ms,
        )


class RequestBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A short request; its fields mean the same as in `jobs.RequestSpec`."""

    account: Name
    request: OptionalName = ""
    payload: str = ""
    timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=_MAX_TIMEOUT_MS)] = 5_000
    idempotent: bool = True
    idempotency_key: OptionalName = ""

    def to_spec(self, generated_id: str) -> jobs.RequestSpec:
        """Returns the specification of the request.

        Args:
            generated_id: The request id if the caller gave none.

        Returns:
            The specification.
        """
        return jobs.RequestSpec(
            request=ids.RequestId(self.request or generated_id),
            account=ids.AccountId(self.account),
            payload=self.payload,
            timeout_ms=self.timeout_ms,
            idempotent=self.idempotent,
            idempotency_key=self.idempotency_key,
        )


class ResultBody(msgspec.Struct, frozen=True, kw_only=True):
    """A response that carries only a result code and its details.

    Attributes:
        code: The number of the result code.
        name: The name of the result code.
        detail: Human-readable details.
        proves_not_run: Whether the code proves that the work was not run.
        retry_after_ms: How long to wait before a retry, if a retry may help.
    """

    code: int
    name: str
    detail: str
    proves_not_run: bool
    retry_after_ms: int | None = None


def make_result_body(
    code: codes.ResultCode,
    detail: str = "",
    retry_after_ms: int | None = None,
) -> ResultBody:
    """Returns the response body for a result code.

    Args:
        code: The result code.
        detail: Human-readable details; if empty, the meaning of the code.
        retry_after_ms: How long to wait before a retry.

    Returns:
        The body.
    """
    info = codes.info(code)
    return ResultBody(
        code=int(code),
        name=code.name,
        detail=detail or info.meaning,
        proves_not_run=info.proves_not_run,
        retry_after_ms=retry_after_ms,
    )


class JobsBody(msgspec.Struct, frozen=True, kw_only=True):
    """A list of jobs.

    Attributes:
        jobs: The statuses of the jobs, oldest first.
        total: The number of matching jobs, without the limit.
        unanswered: Failure domains that did not answer.
    """

    jobs: tuple[jobs.JobStatus, ...]
    total: int
    unanswered: tuple[ids.FailureDomainId, ...] = ()


class ConfigurationBody(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration in force on the VM.

    Attributes:
        version: The version of the configuration.
        content: The configuration.
    """

    version: ids.Version
    content: configuration_lib.Configuration


class PublishBody(msgspec.Struct, frozen=True, kw_only=True):
    """The response to the publication of a configuration sheet.

    Attributes:
        code: The number of the result code.
        name: The name of the result code.
        detail: Human-readable details.
        version: The version in force after the call.
        faults: Faults of the sheet, at most `sheet_faults.MAX_FAULTS`; `detail`
            says how many there are.
    """

    code: int
    name: str
    detail: str
    version: ids.Version
    faults: tuple[str, ...] = ()


class TimelineBody(msgspec.Struct, frozen=True, kw_only=True):
    """The timeline events recorded on one VM.

    Attributes:
        vm: The VM.
        events: The events, oldest first.
        dropped: The number of older events that the bounded store has dropped.
    """

    vm: ids.VmId
    events: tuple[timeline_events.TimelineEvent, ...]
    dropped: int


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One VM in the membership view of a VM.

    A VM's own entry shows its present state.

    Attributes:
        vm: The VM.
        failure_domain: The failure domain of the VM.
        listed: Whether the platform lists the VM as live.
        alive: Whether a heartbeat arrived within the suspicion time.
        ready: Whether its last heartbeat says that it accepts new work.
        draining: Whether its last heartbeat says that it is draining.
        owner: Whether, in this view, it owns its failure domain and so
            schedules the jobs there.
        config_version: The configuration version in force on the VM; 0 if no
            heartbeat has arrived.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomainId
    listed: bool
    alive: bool
    ready: bool
    draining: bool
    owner: bool
    config_version: ids.Version


class MembersBody(msgspec.Struct, frozen=True, kw_only=True):
    """The membership view of one VM.

    Attributes:
        vm: The VM that holds the view.
        members: All VMs that it knows, including itself.
    """

    vm: ids.VmId
    members: tuple[Member, ...]
