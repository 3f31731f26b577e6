"""Accepts, cancels and tells the state of jobs at one VM."""

from collections.abc import Callable
import enum

import msgspec
import structlog
from twisted.internet import interfaces
from twisted.internet import task

from citronmount.core import errors
from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service import contact as contact_lib
from citronmount.fleet_service import log_tail
from citronmount.fleet_service import ports
from citronmount.workflow import job_views
from citronmount.workflow import records
from citronmount.workflow import spec

__all__ = ["JobService", "RequestOutcome", "RequestResult"]

APPEND_TIMEOUT_MS = 500
APPEND_RETRY_MS = 40
UNCERTAIN_LIMIT_MS = 500
ANSWER_MARGIN_MS = 50
SHORTEST_APPEND_MS = 60
FRESH_CONTACT_MS = 100
PROBE_TIMEOUT_MS = 400
LOG_OUTAGE_RETRY_S = 1

_MS_PER_S = 1_000
_MAX_APPENDS = 50
_NOT_DONE_TRIES = 2
_ENDED = (
    states.JobState.DONE,
    states.JobState.FAILED,
    states.JobState.CANCELLED,
)


class RequestOutcome(enum.Enum):
    """What became of a call that changes a job."""

    DONE = "done"
    UNKNOWN_JOB = "unknown_job"
    NOT_DONE = "not_done"
    UNCERTAIN = "uncertain"


class RequestResult(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a call that changes a job.

    Attributes:
        verdict: What became of it.
        retry_after_s: When to come back, if nothing was done.
    """

    verdict: RequestOutcome
    retry_after_s: int = 0


class JobService:
    """Answers callers from the fold of the job topic.

    Attributes:
        configuration: The version in force, or None before the first.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        job_view: job_views.JobView,
        jobs: log_tail.LogTail,
        contact: contact_lib.LogContact,
        on_change: Callable[[], None],
        wall: Callable[[], int],
    ) -> None:
        """Initializes a front without configuration.

        Args:
            clock: The reactor.
            log: The log.
            job_view: The fold of the job topic.
            jobs: The tail that feeds the book.
            contact: Tells whether the log answers.
            on_change: Called after a change of the book.
            wall: Tells the Unix time in milliseconds.
        """
        self.configuration: fleet_configuration.FleetConfiguration | None = None
        self._clock = clock
        self._log = log
        self._job_view = job_view
        self._jobs = jobs
        self._contact = contact
        self._on_change = on_change
        self._wall = wall
        self._trace = structlog.get_logger()

    @property
    def ready(self) -> bool:
        """Whether there is a configuration and a fold to answer from."""
        return self.configuration is not None and (
            self._jobs.position is not None
        )

    async def submit(
        self,
        queue: fleet_configuration.Queue,
        account: ids.AccountId,
        workflow: spec.Workflow,
        timeout_ms: int,
    ) -> RequestResult:
        """Accepts a job once it is durable.

        Args:
            queue: The queue.
            account: The client account, or empty on a public queue.
            workflow: The job.
            timeout_ms: How long the caller waits.

        Returns:
            DONE if the job is stored, NOT_DONE if it surely is not.
        """
        if self._job_view.state_of(workflow.job) is not None:
            return RequestResult(verdict=RequestOutcome.DONE)
        submission = spec.Submission(
            workflow=workflow,
            account=account,
            terms=queue.terms,
            accepted_ms=self._wall(),
        )
        record = records.Submitted(submission=submission)
        answer = await self._append(record, timeout_ms)
        self._trace.info(
            "job_submitted",
            job=workflow.job,
            queue=queue.terms.queue,
            account=account,
            steps=len(workflow.steps),
            tasks=sum(step.tasks for step in workflow.steps),
            verdict=answer.verdict.value,
        )
        return answer

    async def cancel(
        self, queue: fleet_configuration.Queue, job: ids.JobId, timeout_ms: int
    ) -> RequestResult:
        """Cancels a job once that is durable.

        Args:
            queue: The queue.
            job: The job.
            timeout_ms: How long the caller waits.

        Returns:
            UNKNOWN_JOB if the queue has no such job.
        """
        state = await self.state(queue, job)
        if state is None:
            return RequestResult(verdict=RequestOutcome.UNKNOWN_JOB)
        if state in _ENDED:
            return RequestResult(verdict=RequestOutcome.DONE)
        answer = await self._append(records.Cancelled(job=job), timeout_ms)
        self._trace.info(
            "job_cancelled",
            job=job,
            queue=queue.terms.queue,
            state=state.value,
            verdict=answer.verdict.value,
        )
        return answer

    async def state(
        self, queue: fleet_configuration.Queue, job: ids.JobId
    ) -> states.JobState | None:
        """Returns the state of a job, or None if the queue has no such job.

        The topic is read to its end first, unless the state is final; that
        lets the tail read rarely.

        Raises:
            UnreachableError: It is not known and the log does not answer.
        """
        known = self._job_view.state_of(job)
        if known not in _ENDED:
            await self._refresh(known is not None)
        if self._job_view.queue_of(job) != queue.terms.queue:
            return None
        return self._job_view.state_of(job)

    async def _refresh(self, optional: bool) -> None:
        """Reads to the end of the topic.

        Args:
            optional: Whether an older state may be told if that fails.
        """
        if optional and self._contact.lost:
            return
        probe_ms = self._contact.patience_ms(PROBE_TIMEOUT_MS)
        timeout_ms = probe_ms if optional else log_tail.LOOK_UP_MS
        try:
            await self._jobs.catch_up(timeout_ms=timeout_ms)
        except errors.CitronmountError as error:
            self._contact.failed()
            if not optional:
                raise
            self._trace.warning("older_state_told", error=str(error))

    def pending(self, queue: fleet_configuration.Queue) -> int:
        """Returns how many jobs of a queue have not begun."""
        return self._job_view.count_queued(queue.terms.queue)

    async def _log_answers(self) -> bool:
        """Returns whether the log answers, asking it if that is not known.

        A record sent to a log that is silent may be appended much later, so
        a caller could not be told that nothing will run.
        """
        if self._contact.lost:
            return False
        if self._contact.silent_ms() < FRESH_CONTACT_MS:
            return True
        try:
            timeout_ms = self._contact.patience_ms(PROBE_TIMEOUT_MS)
            await self._jobs.catch_up(timeout_ms=timeout_ms)
        except errors.CitronmountError as error:
            self._contact.failed()
            self._trace.warning("log_does_not_answer", error=str(error))
            return False
        return True

    async def _append(
        self, record: records.Record, timeout_ms: int
    ) -> RequestResult:
        """Appends, again and again for a while.

        A second copy of a record changes nothing, so an append that got no
        answer may be repeated. A caller is not kept to its deadline for that.
        """
        entry = (records.key_of(record), records.encode(record))
        end_s = self._clock.seconds() + (
            (timeout_ms - ANSWER_MARGIN_MS) / _MS_PER_S
        )
        if not await self._log_answers():
            return RequestResult(
                verdict=RequestOutcome.NOT_DONE,
                retry_after_s=LOG_OUTAGE_RETRY_S,
            )
        verdict = RequestOutcome.NOT_DONE
        for attempt in range(_MAX_APPENDS):
            left_ms = int((end_s - self._clock.seconds()) * _MS_PER_S)
            if left_ms < SHORTEST_APPEND_MS:
                break
            limit_ms = min(APPEND_TIMEOUT_MS, left_ms)
            try:
                offset = await self._log.append([entry], limit_ms)
            except ports.CallRefusedError:
                if (
                    verdict is RequestOutcome.NOT_DONE
                    and attempt >= _NOT_DONE_TRIES
                ):
                    break
            except errors.UnreachableError:
                if verdict is not RequestOutcome.UNCERTAIN:
                    limit_s = UNCERTAIN_LIMIT_MS / _MS_PER_S
                    end_s = min(end_s, self._clock.seconds() + limit_s)
                verdict = RequestOutcome.UNCERTAIN
            else:
                self._contact.answered()
                if self._job_view.apply(offset, record):
                    self._on_change()
                return RequestResult(verdict=RequestOutcome.DONE)
            await task.deferLater(self._clock, APPEND_RETRY_MS / _MS_PER_S)
        return RequestResult(verdict=verdict, retry_after_s=LOG_OUTAGE_RETRY_S)
