"""Jobs of an owned failure domain and the callers that wait for results."""

from collections.abc import Callable
import hashlib

import msgspec

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.state import records

__all__ = ["JobEntry", "JobTable", "Responder", "body_digest", "final_state"]

Responder = Callable[[peer_messages.Answer], None]

_FINAL_STATES = {
    codes.ResultCode.DONE: states.JobState.DONE,
    codes.ResultCode.FAILED_BY_JOB: states.JobState.FAILED,
    codes.ResultCode.FAILED_EVERYWHERE: states.JobState.FAILED,
    codes.ResultCode.INTERRUPTED: states.JobState.FAILED,
    codes.ResultCode.CANCELLED_NOT_RUN: states.JobState.CANCELLED,
    codes.ResultCode.CANCELLED_AFTER_START: states.JobState.CANCELLED,
    codes.ResultCode.OUTCOME_UNKNOWN: states.JobState.UNKNOWN,
}


def final_state(code: codes.ResultCode) -> states.JobState:
    """Returns the final job state for a result code.

    Args:
        code: The code of a final result.

    Returns:
        The state; `NOT_RUN` for refusals.

    Example:
        >>> final_state(codes.ResultCode.DEADLINE_PASSED).value
        'not_run'
    """
    return _FINAL_STATES.get(code, states.JobState.NOT_RUN)


def body_digest(spec: jobs.JobSpec) -> str:
    """Returns a digest of a job's content, without its id and submission time.

    Args:
        spec: The job.

    Returns:
        A hexadecimal digest; equal bodies have equal digests.
    """
    body = msgspec.structs.replace(spec, job=ids.JobId(""), submitted_ms=0)
    return hashlib.blake2b(
        msgspec.msgpack.encode(body), digest_size=8
    ).hexdigest()


class JobEntry(msgspec.Struct, kw_only=True):
    """A job without a final result.

    Attributes:
        spec: The job.
        state: The current state.
        durability: Where the acceptance is recorded; None before that.
        attempts: The number of attempts made.
        cancelled: Whether a caller has cancelled the job.
        ever_ran: Whether a task of any attempt may have run, judged by this
            owner's attempts and the recorded intents of earlier owners.
        progress: Checkpointed share of the work, between 0 and 1.
        workers: The workers of the current attempt.
        ending: Whether the final result or a move to another failure domain
            is being recorded.
        refusals: The number of consecutive refusals by workers.
        accept_responders: Callers that wait for the acceptance.
    """

    spec: jobs.JobSpec
    state: states.JobState = states.JobState.QUEUED
    durability: states.Durability | None = None
    attempts: int = 0
    cancelled: bool = False
    ever_ran: bool = False
    progress: float = 0.0
    workers: tuple[ids.WorkerId, ...] = ()
    ending: bool = False
    refusals: int = 0
    accept_responders: list[Responder] = msgspec.field(default_factory=list)

    def status(self) -> jobs.JobStatus:
        """Returns the status shown to callers."""
        return jobs.JobStatus(
            job=self.spec.job,
            account=self.spec.account,
            state=self.state,
            attempts=self.attempts,
            durability=self.durability or states.Durability.LOG,
            workers=self.workers,
        )


class _Waiter(msgspec.Struct, kw_only=True):
    """A caller that waits for a final result."""

    responder: Responder
    due_ms: int


class JobTable:
    """Jobs without a final result, by id, and the callers that wait for one.

    Attributes:
        entries: The jobs.
    """

    def __init__(self) -> None:
        """Initializes an empty table."""
        self.entries: dict[ids.JobId, JobEntry] = {}
        self._waiters: dict[ids.JobId, list[_Waiter]] = {}

    def add_waiter(
        self, job: ids.JobId, responder: Responder, due_ms: int
    ) -> None:
        """Registers a caller that waits for a job's final result.

        Args:
            job: A job in the table.
            responder: Called with the final status.
            due_ms: Monotonic time at which the caller gets the current status
                instead.
        """
        waiter = _Waiter(responder=responder, due_ms=due_ms)
        self._waiters.setdefault(job, []).append(waiter)

    def remove_ended(self, ended: records.JobEnded) -> None:
        """Removes a job and answers its waiters with the final status.

        Args:
            ended: The record of the job's final result.
        """
        self.entries.pop(ended.job, None)
        answer = peer_messages.JobAnswer(status=ended_status(ended))
        for waiter in self._waiters.pop(ended.job, []):
            waiter.responder(answer)

    def remove_moved(self, job: ids.JobId) -> None:
        """Removes a job that another failure domain schedules from now on.

        Its waiters are answered with the current status.

        Args:
            job: The job.
        """
        entry = self.entries.pop(job)
        answer = peer_messages.JobAnswer(status=entry.status())
        for waiter in self._waiters.pop(job, []):
            waiter.responder(answer)

    def answer_due_waiters(self, now_ms: int) -> None:
        """Answers waiters whose time is up with the current status.

        Args:
            now_ms: Monotonic time.
        """
        for job, waiters in list(self._waiters.items()):
            due = [waiter for waiter in waiters if waiter.due_ms <= now_ms]
            if not due:
                continue
            remaining = [waiter for waiter in waiters if waiter.due_ms > now_ms]
            if remaining:
                self._waiters[job] = remaining
            else:
                del self._waiters[job]
            answer = peer_messages.JobAnswer(status=self.entries[job].status())
            for waiter in due:
                waiter.responder(answer)

    def answer_all_waiters(self) -> None:
        """Answers all waiters with the current status of their jobs."""
        for job in list(self._waiters):
            answer = peer_messages.JobAnswer(status=self.entries[job].status())
            for waiter in self._waiters.pop(job):
                waiter.responder(answer)


def ended_status(ended: records.JobEnded) -> jobs.JobStatus:
    """Returns the status of an ended job, with its final result.

    Args:
        ended: The record of the job's final result.

    Returns:
        The status shown to callers.
    """
    return jobs.JobStatus(
        job=ended.job,
        account=ended.account,
        state=final_state(ended.result.code),
        attempts=ended.attempts,
        durability=ended.durability,
        result=ended.result,
    )
