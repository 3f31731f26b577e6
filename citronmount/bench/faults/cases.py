"""What callers of the fault matrix asked for and were told."""

import msgspec

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages
from citronmount.state import records

__all__ = [
    "MAX_TRIES",
    "JobCase",
    "PublishCase",
    "RequestCase",
    "Told",
    "key_of",
]

MAX_TRIES = 30


def key_of(name: str) -> str:
    """Returns the idempotency key of a job that must not be repeated.

    Args:
        name: Marks the job.
    """
    return f"key-{name}"


class Told(msgspec.Struct, frozen=True, kw_only=True):
    """One answer that a caller got, or the lack of one.

    Attributes:
        at_ms: True time of the answer.
        sent_ms: True time of the call.
        vm: The VM that was called.
        request: The request id of the call, for short requests.
        body: The answer, or None.
    """

    at_ms: int
    sent_ms: int
    vm: ids.VmId
    body: peer_messages.Answer | None
    request: str = ""


class JobCase(msgspec.Struct, kw_only=True):
    """One job as its caller sees it.

    Attributes:
        name: Marks the job in its command.
        spec: The job as submitted.
        submitted_ms: True time of the first submission.
        job: The id, once accepted.
        accepted_ms: When the acceptance arrived.
        refused: A final refusal.
        final: The first final status that was told.
        told: Every answer to a submission or question.
        must_run: Whether the system owes a start within the bound.
        cancelled_ms: When the caller first asked for a cancellation.
    """

    name: str
    spec: jobs.JobSpec
    submitted_ms: int
    job: ids.JobId | None = None
    accepted_ms: int | None = None
    refused: jobs.JobResult | None = None
    final: jobs.JobStatus | None = None
    told: list[Told] = msgspec.field(default_factory=list)
    must_run: bool = False
    cancelled_ms: int | None = None
    tries: int = 0

    @property
    def settled(self) -> bool:
        """Whether the caller waits for nothing more."""
        return (
            self.final is not None
            or self.refused is not None
            or (self.tries >= MAX_TRIES and self.job is None)
        )


class RequestCase(msgspec.Struct, kw_only=True):
    """One short request as its caller sees it.

    Attributes:
        name: The idempotency key, or a name for idempotent requests.
        specs: The request of each try, by request id.
        told: Every answer.
        submitted_ms: True time of the first try.
        open: Tries that are under way or will be made.
    """

    name: str
    specs: dict[str, jobs.RequestSpec]
    submitted_ms: int
    told: list[Told] = msgspec.field(default_factory=list)
    open: int = 0

    @property
    def done(self) -> bool:
        """Whether the caller waits for nothing more."""
        return not self.open


class PublishCase(msgspec.Struct, kw_only=True):
    """One published change as its operator sees it.

    Attributes:
        change: The change.
        told: Every answer.
        submitted_ms: True time of the first try.
        done: Whether the operator waits for nothing more.
    """

    change: records.ConfigurationChange
    submitted_ms: int
    told: list[Told] = msgspec.field(default_factory=list)
    done: bool = False
