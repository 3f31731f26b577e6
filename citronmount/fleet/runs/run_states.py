"""States of the runs of units and of their tasks, and why runs end."""

import enum

__all__ = ["EndCause", "MemberState", "MissingCause", "RunPhase"]


class MemberState(enum.Enum):
    """State of one task of a run.

    RESERVED: placed, but no `Start` command may be sent yet. STARTING: `Start`
    commands may be sent. RUNNING: seen running. GONE: not running and unable
    to start any more.
    """

    RESERVED = "held"
    STARTING = "ordered"
    RUNNING = "running"
    GONE = "gone"


class RunPhase(enum.Enum):
    """Phase of a run.

    CLEARING: waits until the runs that it preempts have ended. RECORDING: waits
    until the record of its placement is durable. ACTIVE: its tasks may start
    and run. ENDING: its tasks are being stopped.
    """

    CLEARING = "clearing"
    RECORDING = "recording"
    ACTIVE = "active"
    ENDING = "ending"


class EndCause(enum.Enum):
    """Why the owner ends a run."""

    CANCELLED = "cancelled"
    JOB_FAILED = "job_failed"
    PREEMPTED = "preempted"
    MEMBER_NOT_STARTED = "member_not_started"
    MEMBER_ENDED = "member_ended"
    WORKER_LEAVES = "worker_leaves"
    STALLED = "stalled"
    SLOW_MEMBER = "slow_member"
    QUOTA_LOWERED = "quota_lowered"
    CAPACITY_SHRANK = "capacity_shrank"
    WORKER_CLOSED = "worker_closed"


class MissingCause(enum.Enum):
    """Why a worker no longer holds a task whose end it did not report.

    INCARNATION_ENDED: another incarnation of the worker has started.
    NOT_REPORTED: a complete report of the worker does not contain the task.
    LEASE_EXPIRED: the task's lease is certain to have expired.
    """

    INCARNATION_ENDED = "incarnation_ended"
    NOT_REPORTED = "not_reported"
    LEASE_EXPIRED = "lease_expired"
