"""Events of the timeline that spans all processes."""

import enum

import msgspec

__all__ = ["EventKind", "TimelineEvent"]


class EventKind(enum.Enum):
    """What happened, as recorded by the process that observed it."""

    VM_STARTED = "vm_started"
    VM_RESUMED_LATE = "vm_resumed_late"
    VM_DRAINING = "vm_draining"
    VM_STOPPED = "vm_stopped"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    CONFIGURATION_ANSWERED = "configuration_answered"
    OWNERSHIP_TAKEN = "ownership_taken"
    OWNERSHIP_LEFT = "ownership_left"
    REBUILD_DONE = "rebuild_done"
    JOB_ACCEPTED = "job_accepted"
    JOB_REFUSED = "job_refused"
    JOB_PLACED = "job_placed"
    JOB_EVICTING = "job_evicting"
    JOB_STARTED = "job_started"
    JOB_ENDED = "job_ended"
    REQUEST_SENT = "request_sent"
    REQUEST_ANSWERED = "request_answered"
    KEY_CLAIMED = "key_claimed"
    TARGET_STATE = "target_state"
    TASK_RESERVED = "task_reserved"
    TASK_STARTED = "task_started"
    TASK_ENDED = "task_ended"
    RUNNER_STARTED = "runner_started"
    RUNNER_ENDED = "runner_ended"


class TimelineEvent(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """An event with its hybrid logical time.

    The pair (`physical_ms`, `logical`) orders events across processes as in
    Kulkarni et al., "Logical Physical Clocks", OPODIS 2014. Fields that do
    not apply to an event are empty or 0.

    Attributes:
        physical_ms: Physical part of the time, as Unix time in ms.
        logical: Logical part of the time, which orders events of the same
            ms.
        process: The VM, worker or runner that observed the event.
        kind: What happened.
        job: The job.
        attempt: The attempt of the job.
        request: The short request.
        account: The client account.
        target: The worker or runner that the event concerns.
        failure_domain: The failure domain.
        version: The configuration version.
        code: The number of the result code.
        count: An amount whose meaning depends on the kind, for example a
            number of tasks.
        detail: Further information for people.
    """

    physical_ms: int
    logical: int
    process: str
    kind: EventKind
    job: str = ""
    attempt: str = ""
    request: str = ""
    account: str = ""
    target: str = ""
    failure_domain: str = ""
    version: int = 0
    code: int = 0
    count: int = 0
    detail: str = ""
