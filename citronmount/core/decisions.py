"""Scheduling decisions that the agent carries out."""

import enum

import msgspec

from citronmount.core import ids
from citronmount.core import jobs

__all__ = [
    "AttemptEnd",
    "Decision",
    "EndJob",
    "EvictJob",
    "PlaceJob",
]


class AttemptEnd(enum.Enum):
    """Outcome of an attempt, as far as the scheduler distinguishes it."""

    DONE = "done"
    FAILED_BY_JOB = "failed_by_job"
    FAILED_TO_START = "failed_to_start"
    WORKER_LOST = "worker_lost"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class PlaceJob(msgspec.Struct, frozen=True, kw_only=True):
    """Starts a queued job for which the scheduler has allocated capacity.

    Attributes:
        job: Job to start.
        placement: Workers that run the gang.
    """

    job: ids.JobId
    placement: jobs.Placement


class EvictJob(msgspec.Struct, frozen=True, kw_only=True):
    """Stops a running job to reclaim its capacity; the job is requeued.

    Attributes:
        job: Job to stop.
        beneficiary: Job that needs the capacity.
        grace_ms: Time that the tasks have to save a checkpoint.
    """

    job: ids.JobId
    beneficiary: ids.JobId
    grace_ms: int


class EndJob(msgspec.Struct, frozen=True, kw_only=True):
    """Ends a queued job that will not be started again.

    Attributes:
        job: Job to end.
        result: Final result of the job.
    """

    job: ids.JobId
    result: jobs.JobResult


Decision = PlaceJob | EvictJob | EndJob
