"""JSON bodies of the HTTP API, as callers send and get them."""

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
Key = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]


class ResourcesBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Resources of one task, as `jobs.Resources`."""

    accelerators: Amount = 0
    cores: Amount = 0
    memory_gb: Amount = 0

    def resources(self) -> jobs.Resources:
        """Returns the amounts as the core has them."""
        return jobs.Resources(
            accelerators=self.accelerators,
            cores=self.cores,
            memory_gb=self.memory_gb,
        )


class JobBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A job as a caller describes it; the fields are those of `JobSpec`."""

    account: Name
    tasks: Annotated[int, msgspec.Meta(ge=1, le=_MAX_TASKS)] = 1
    per_task: ResourcesBody = ResourcesBody(accelerators=1)
    adjacency: states.Adjacency = states.Adjacency.FAILURE_DOMAIN
    run_time_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_RUN_TIME_S)] = 60.0
    deadline_ms: int | None = None
    urgent: bool = False
    idempotent: bool = True
    idempotency_key: Key = ""
    command: str = ""

    def spec(self, submitted_ms: int) -> jobs.JobSpec:
        """Returns the job without an id.

        Args:
            submitted_ms: Wall-clock time of arrival.

        Returns:
            The job.
        """
        return jobs.JobSpec(
            job=ids.JobId(""),
            account=ids.AccountId(self.account),
            tasks=self.tasks,
            per_task=self.per_task.resources(),
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
    """A short request; the fields are those of `RequestSpec`."""

    account: Name
    request: Key = ""
    payload: str = ""
    timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=_MAX_TIMEOUT_MS)] = 5_000
    idempotent: bool = True
    idempotency_key: Key = ""

    def spec(self, made_id: str) -> jobs.RequestSpec:
        """Returns the request with an id.

        Args:
            made_id: The id to give it if the caller gave none.

        Returns:
            The request.
        """
        return jobs.RequestSpec(
            request=ids.RequestId(self.request or made_id),
            account=ids.AccountId(self.account),
            payload=self.payload,
            timeout_ms=self.timeout_ms,
            idempotent=self.idempotent,
            idempotency_key=self.idempotency_key,
        )


class ResultBody(msgspec.Struct, frozen=True, kw_only=True):
    """Why a call was not served.

    Attributes:
        code: The number of the result code.
        name: Its name.
        detail: More for a person.
        proves_not_run: Whether the work was certainly not run.
        retry_after_ms: When to come back, if that may help.
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
    """Returns the body that tells of a result code.

    Args:
        code: The code.
        detail: More for a person; the code's meaning if empty.
        retry_after_ms: When to come back.

    Returns:
        The body.
    """
    row = codes.info(code)
    return ResultBody(
        code=int(code),
        name=code.name,
        detail=detail or row.meaning,
        proves_not_run=row.proves_not_run,
        retry_after_ms=retry_after_ms,
    )


class JobsBody(msgspec.Struct, frozen=True, kw_only=True):
    """A list of jobs.

    Attributes:
        jobs: Their statuses, oldest first.
        total: How many there are without the limit.
        unanswered: Failure domains that could not be asked.
    """

    jobs: tuple[jobs.JobStatus, ...]
    total: int
    unanswered: tuple[ids.FailureDomainId, ...] = ()


class ConfigurationBody(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration in force at the VM.

    Attributes:
        version: Its version.
        content: The configuration.
    """

    version: ids.Version
    content: configuration_lib.Configuration


class PublishBody(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a published sheet.

    Attributes:
        code: The number of the result code.
        name: Its name.
        detail: More for a person.
        version: The version in force after the answer.
        faults: Every fault of the sheet.
    """

    code: int
    name: str
    detail: str
    version: ids.Version
    faults: tuple[str, ...] = ()


class TimelineBody(msgspec.Struct, frozen=True, kw_only=True):
    """One VM's part of the time line.

    Attributes:
        vm: The VM.
        events: The events, oldest first.
        dropped: How many older events the bounded memory has let go.
    """

    vm: ids.VmId
    events: tuple[timeline_events.TimelineEvent, ...]
    dropped: int


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """What a VM knows of another one, or of itself.

    Attributes:
        vm: The VM.
        failure_domain: Where it is.
        listed: Whether the platform lists it as live.
        alive: Whether its heartbeats arrive.
        ready: Whether it says that it takes work.
        draining: Whether it says that it is stopping.
        owner: Whether it schedules its failure domain, in this view.
        config_version: The configuration version in force there.
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
    """The VMs as one VM sees them.

    Attributes:
        vm: The VM whose view it is.
        members: All VMs that it knows, itself included.
    """

    vm: ids.VmId
    members: tuple[Member, ...]
