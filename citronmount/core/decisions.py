"""Decisions that a scheduler hands to the agent to carry out."""

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
    """How an attempt came to its end, as far as scheduling is concerned."""

    DONE = "done"
    FAILED_BY_JOB = "failed_by_job"
    FAILED_TO_START = "failed_to_start"
    WORKER_LOST = "worker_lost"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class PlaceJob(msgspec.Struct, frozen=True, kw_only=True):
    """Run a queued job here now; the scheduler has set the room aside.

    Attributes:
        job: The job.
        placement: Where the whole gang runs.
    """

    job: ids.JobId
    placement: jobs.Placement


class EvictJob(msgspec.Struct, frozen=True, kw_only=True):
    """Stop a running job to reclaim its room; it goes back to the queue.

    Attributes:
        job: The job to stop.
        beneficiary: The job that needs the room.
        grace_ms: How long its tasks may take to save their work.
    """

    job: ids.JobId
    beneficiary: ids.JobId
    grace_ms: int


class EndJob(msgspec.Struct, frozen=True, kw_only=True):
    """End a queued job that cannot run any more; it was not run.

    Attributes:
        job: The job.
        result: The final result.
    """

    job: ids.JobId
    result: jobs.JobResult


Decision = PlaceJob | EvictJob | EndJob
