"""Identifier types shared by all subpackages."""

import typing

__all__ = [
    "AccountId",
    "AttemptId",
    "CallId",
    "FailureDomainId",
    "FenceToken",
    "JobId",
    "Offset",
    "RackId",
    "RecordId",
    "RequestId",
    "RunnerId",
    "StreamName",
    "TicketId",
    "Version",
    "VmId",
    "WorkerId",
    "attempt_id",
    "home_of_job",
    "job_id",
]

AccountId = typing.NewType("AccountId", str)
AttemptId = typing.NewType("AttemptId", str)
CallId = typing.NewType("CallId", str)
FailureDomainId = typing.NewType("FailureDomainId", str)
FenceToken = typing.NewType("FenceToken", int)
JobId = typing.NewType("JobId", str)
Offset = typing.NewType("Offset", int)
RackId = typing.NewType("RackId", str)
RecordId = typing.NewType("RecordId", str)
RequestId = typing.NewType("RequestId", str)
RunnerId = typing.NewType("RunnerId", str)
StreamName = typing.NewType("StreamName", str)
TicketId = typing.NewType("TicketId", str)
Version = typing.NewType("Version", int)
VmId = typing.NewType("VmId", str)
WorkerId = typing.NewType("WorkerId", str)


def job_id(failure_domain: FailureDomainId, unique: str) -> JobId:
    """Builds a job id, which contains the home failure domain of the job.

    Args:
        failure_domain: Failure domain that schedules the job.
        unique: Text that is unique among the jobs of the failure domain.

    Returns:
        The id, for example ``kr-a/7f3c``.
    """
    return JobId(f"{failure_domain}/{unique}")


def home_of_job(job: JobId) -> FailureDomainId:
    """Extracts the home failure domain from a job id.

    Args:
        job: Id made by `job_id`.

    Returns:
        The failure domain that schedules the job.
    """
    return FailureDomainId(job.partition("/")[0])


def attempt_id(job: JobId, number: int, token: FenceToken) -> AttemptId:
    """Builds the id of an attempt to run a job.

    The id contains the fencing token, so that two owners can never use the
    same attempt id for different placements.

    Args:
        job: Job that the attempt runs.
        number: Number of the attempt, counted from 1 for each job.
        token: Fencing token of the owner that created the attempt.

    Returns:
        The id, for example ``kr-a/7f3c#1.5``.
    """
    return AttemptId(f"{job}#{number}.{token}")
