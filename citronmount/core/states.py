"""Enumerations used in messages and decisions."""

import enum

__all__ = [
    "AccountClass",
    "Adjacency",
    "Durability",
    "FailureDomainState",
    "JobState",
    "LeaseState",
    "TargetState",
    "VmState",
]


class AccountClass(enum.Enum):
    """Class of a client account."""

    PAYING = "paying"
    TRIAL = "trial"


class Adjacency(enum.Enum):
    """Topology level within which all tasks of a gang must be placed."""

    WORKER = "worker"
    RACK = "rack"
    FAILURE_DOMAIN = "failure_domain"


class Durability(enum.Enum):
    """Where an accepted record was stored before the caller got its answer."""

    LOG = "log"
    PEERS = "peers"


class FailureDomainState(enum.Enum):
    """Whether operators allow tasks to start in a failure domain."""

    IN = "in"
    OUT = "out"


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"

    @property
    def final(self) -> bool:
        """Whether the job cannot change its state any more."""
        return self in _FINAL_JOB_STATES


_FINAL_JOB_STATES = frozenset(
    {
        JobState.DONE,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.NOT_RUN,
        JobState.UNKNOWN,
    }
)


class LeaseState(enum.Enum):
    """State of an attempt at a worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"

    @property
    def holds_resources(self) -> bool:
        """Whether accelerators of the worker are allocated to the attempt."""
        return self in (LeaseState.RESERVED, LeaseState.RUNNING)


class TargetState(enum.Enum):
    """State of a worker or runner as known to a scheduler."""

    UP = "up"
    LEAVING = "leaving"
    LOST = "lost"
    QUARANTINED = "quarantined"


class VmState(enum.Enum):
    """State of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"
