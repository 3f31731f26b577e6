"""Events of the time line over all processes."""

import enum

import msgspec

__all__ = ["EventKind", "TimelineEvent"]


class EventKind(enum.Enum):
    """What happened, as told by the process that saw it."""

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
    """One event with its hybrid logical time.

    The pair (`physical_ms`, `logical`) orders events over all processes as in
    Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.

    Attributes:
        physical_ms: Wall-clock part in ms since the epoch.
        logical: Logical part, to order events of the same ms.
        process: The VM, worker or runner that saw it.
        kind: What happened.
        job: The job, if any.
        attempt: The attempt, if any.
        request: The short request, if any.
        account: The client account, if any.
        target: The worker or runner, if any.
        failure_domain: The failure domain, if any.
        version: Configuration version, if any.
        code: The number of a result code, if any.
        count: Tasks, targets or other amount, as the kind says.
        detail: More for a person.
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
