"""Calls of the simulated clients and operators, and their outcomes."""

import msgspec

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages
from citronmount.state import records

__all__ = [
    "MAX_TRIES",
    "CallOutcome",
    "JobObservation",
    "PublicationObservation",
    "RequestObservation",
    "job_idempotency_key",
]

MAX_TRIES = 30


def job_idempotency_key(name: str) -> str:
    """Returns the idempotency key of a job that must run at most once.

    Args:
        name: The client's name of the job.
    """
    return f"key-{name}"


class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to one call of a client, or the absence of an answer.

    Attributes:
        at_ms: Virtual time at which the call ended.
        sent_ms: Virtual time at which the call was sent.
        vm: The VM that was called.
        body: The answer, or None if there was none.
        request: The request id of the call, for short requests.
    """

    at_ms: int
    sent_ms: int
    vm: ids.VmId
    body: peer_messages.Answer | None
    request: str = ""


class JobObservation(msgspec.Struct, kw_only=True):
    """One job as its client sees it.

    Attributes:
        name: The client's name of the job, part of the job's command.
        spec: The job as submitted.
        submitted_ms: Virtual time of the first submission.
        job: The job id, once accepted.
        accepted_ms: Virtual time at which the acceptance arrived.
        refused: The result of a refusal that is not retried.
        final: The first final status that the client received.
        told: Outcomes of all calls about the job.
        must_run: Whether the job is within the account's guarantee, so that
            it must start within the reclaim bound.
        cancelled_ms: Virtual time at which the client first requested a
            cancellation.
        tries: Number of submissions so far.
    """

    name: str
    spec: jobs.JobSpec
    submitted_ms: int
    job: ids.JobId | None = None
    accepted_ms: int | None = None
    refused: jobs.JobResult | None = None
    final: jobs.JobStatus | None = None
    told: list[CallOutcome] = msgspec.field(default_factory=list)
    must_run: bool = False
    cancelled_ms: int | None = None
    tries: int = 0

    @property
    def settled(self) -> bool:
        """Whether the client expects no further answer."""
        return (
            self.final is not None
            or self.refused is not None
            or (self.tries >= MAX_TRIES and self.job is None)
        )


class RequestObservation(msgspec.Struct, kw_only=True):
    """One short request as its client sees it.

    Attributes:
        name: The idempotency key, or just a name for idempotent requests.
        specs: The request of each try, by request id.
        submitted_ms: Virtual time of the first try.
        told: Outcomes of all tries.
        open: Number of tries that are in progress or scheduled.
    """

    name: str
    specs: dict[str, jobs.RequestSpec]
    submitted_ms: int
    told: list[CallOutcome] = msgspec.field(default_factory=list)
    open: int = 0

    @property
    def done(self) -> bool:
        """Whether the client expects no further answer."""
        return not self.open


class PublicationObservation(msgspec.Struct, kw_only=True):
    """One published configuration change as its operator sees it.

    Attributes:
        change: The change.
        submitted_ms: Virtual time of the first try.
        told: Outcomes of all tries.
        done: Whether the operator expects no further answer.
    """

    change: records.ConfigurationChange
    submitted_ms: int
    told: list[CallOutcome] = msgspec.field(default_factory=list)
    done: bool = False
