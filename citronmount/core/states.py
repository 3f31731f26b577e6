"""Enumerations of the states that messages and decisions carry."""

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
    """Whether a client account pays or tries."""

    PAYING = "paying"
    TRIAL = "trial"


class Adjacency(enum.Enum):
    """The smallest enclosure that must hold all tasks of a gang."""

    WORKER = "worker"
    RACK = "rack"
    FAILURE_DOMAIN = "failure_domain"


class Durability(enum.Enum):
    """Where an accepted record was kept before the caller was answered."""

    LOG = "log"
    PEERS = "peers"


class FailureDomainState(enum.Enum):
    """Whether operators let tasks start in a failure domain."""

    IN = "in"
    OUT = "out"


class JobState(enum.Enum):
    """The states of a job as callers see them."""

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
        """Whether no later state can follow."""
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
    """The states of one attempt at one worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"

    @property
    def holds_resources(self) -> bool:
        """Whether the worker keeps accelerators for the attempt."""
        return self in (LeaseState.RESERVED, LeaseState.RUNNING)


class TargetState(enum.Enum):
    """What a scheduler knows of a worker or runner."""

    UP = "up"
    LEAVING = "leaving"
    LOST = "lost"
    QUARANTINED = "quarantined"


class VmState(enum.Enum):
    """The state of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"
