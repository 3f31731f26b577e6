"""Identifier types shared by every subpackage."""

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
    """Returns a job id that names the home failure domain of the job.

    Args:
        failure_domain: The failure domain that schedules the job.
        unique: A part that no other job of the failure domain uses.

    Returns:
        The id, for example ``kr-a/7f3c``.
    """
    return JobId(f"{failure_domain}/{unique}")


def home_of_job(job: JobId) -> FailureDomainId:
    """Returns the home failure domain named by a job id.

    Args:
        job: An id made by `job_id`.

    Returns:
        The failure domain part of the id.
    """
    return FailureDomainId(job.partition("/")[0])


def attempt_id(job: JobId, number: int, token: FenceToken) -> AttemptId:
    """Returns the id of one attempt to run a job.

    The fencing token is part of the id, so that two schedulers can never make
    the same attempt id for different placements.

    Args:
        job: The job that the attempt runs.
        number: Counts the attempts of the job from 1.
        token: The fencing token of the scheduler that made the attempt.

    Returns:
        The id, for example ``kr-a/7f3c#1.5``.
    """
    return AttemptId(f"{job}#{number}.{token}")
