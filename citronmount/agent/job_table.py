"""The jobs of an owned failure domain and the callers that wait for them."""

from collections.abc import Callable
import hashlib

import msgspec

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.peers import messages as peer_messages
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
    """Returns the final job state that a result code stands for.

    Args:
        code: The code of a final result.

    Returns:
        The state; refusals mean that the job was not run.

    Example:
        >>> final_state(codes.ResultCode.DEADLINE_PASSED).value
        'not_run'
    """
    return _FINAL_STATES.get(code, states.JobState.NOT_RUN)


def body_digest(spec: jobs.JobSpec) -> str:
    """Returns a digest of what a job asks for, without id and time.

    Args:
        spec: The job.

    Returns:
        Hexadecimal digest; equal bodies have equal digests.
    """
    body = msgspec.structs.replace(spec, job=ids.JobId(""), submitted_ms=0)
    return hashlib.blake2b(
        msgspec.msgpack.encode(body), digest_size=8
    ).hexdigest()


class JobEntry(msgspec.Struct, kw_only=True):
    """One job without a final result.

    Attributes:
        spec: The job.
        state: Its present state.
        durability: Where its acceptance is recorded; None before that.
        attempts: How many attempts were made.
        cancelled: Whether a caller has cancelled it.
        ever_ran: Whether a task of any attempt may have run, as far as this
            owner and the intents of earlier ones tell.
        progress: Saved share of its work.
        workers: Where it runs at present.
        ending: Whether its final result is being recorded.
        refusals: How often in a row workers have refused it.
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
        """Returns what callers see."""
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
    """Open jobs by id, with those who wait for their results."""

    def __init__(self) -> None:
        """Initializes an empty table."""
        self.entries: dict[ids.JobId, JobEntry] = {}
        self._waiters: dict[ids.JobId, list[_Waiter]] = {}

    def wait(self, job: ids.JobId, responder: Responder, due_ms: int) -> None:
        """Lets a caller wait for a job's final result.

        Args:
            job: An open job.
            responder: Who waits.
            due_ms: Monotonic time at which to answer all the same.
        """
        waiter = _Waiter(responder=responder, due_ms=due_ms)
        self._waiters.setdefault(job, []).append(waiter)

    def end(self, ended: records.JobEnded) -> None:
        """Removes a job and answers those who wait for it.

        Args:
            ended: Its final result.
        """
        self.entries.pop(ended.job, None)
        answer = peer_messages.JobAnswer(status=ended_status(ended))
        for waiter in self._waiters.pop(ended.job, []):
            waiter.responder(answer)

    def forward(self, job: ids.JobId) -> None:
        """Removes a job that another failure domain schedules from now on.

        Args:
            job: The job; who waits for it is told its present state.
        """
        entry = self.entries.pop(job)
        answer = peer_messages.JobAnswer(status=entry.status())
        for waiter in self._waiters.pop(job, []):
            waiter.responder(answer)

    def answer_due(self, now_ms: int) -> None:
        """Answers those whose wait is over with the present state.

        Args:
            now_ms: Monotonic time.
        """
        for job, waiters in list(self._waiters.items()):
            due = [waiter for waiter in waiters if waiter.due_ms <= now_ms]
            if not due:
                continue
            left = [waiter for waiter in waiters if waiter.due_ms > now_ms]
            if left:
                self._waiters[job] = left
            else:
                del self._waiters[job]
            answer = peer_messages.JobAnswer(status=self.entries[job].status())
            for waiter in due:
                waiter.responder(answer)

    def answer_all(self) -> None:
        """Answers everyone who waits with the present state."""
        for job in list(self._waiters):
            answer = peer_messages.JobAnswer(status=self.entries[job].status())
            for waiter in self._waiters.pop(job):
                waiter.responder(answer)


def ended_status(ended: records.JobEnded) -> jobs.JobStatus:
    """Returns what callers see of an ended job.

    Args:
        ended: The record of its end.

    Returns:
        The status with the final result.
    """
    return jobs.JobStatus(
        job=ended.job,
        account=ended.account,
        state=final_state(ended.result.code),
        attempts=ended.attempts,
        durability=ended.durability,
        result=ended.result,
    )
