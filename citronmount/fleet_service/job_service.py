"""Handles the calls of clients at one VM: submit, cancel, read job states."""

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
from citronmount.fleet.accounts import quota_limits
from citronmount.fleet_service import log_health
from citronmount.fleet_service import log_tail
from citronmount.fleet_service import ports
from citronmount.workflow import job_views
from citronmount.workflow import records
from citronmount.workflow import spec

__all__ = ["JobService", "RequestOutcome", "RequestResult"]

APPEND_TIMEOUT_MS = 500
APPEND_RETRY_MS = 40
UNKNOWN_OUTCOME_LIMIT_MS = 500
RESPONSE_MARGIN_MS = 50
MIN_APPEND_TIMEOUT_MS = 60
RECENT_ANSWER_MS = 100
PROBE_TIMEOUT_MS = 400
OUTAGE_RETRY_AFTER_S = 1

_MS_PER_S = 1_000
_MAX_APPENDS = 50
_MAX_REFUSED_RETRIES = 2
_FINAL_STATES = (
    states.JobState.DONE,
    states.JobState.FAILED,
    states.JobState.CANCELLED,
)


class RequestOutcome(enum.Enum):
    """The outcome of a call that changes a job.

    NOT_DONE means that the call certainly had no effect, UNCERTAIN that it may
    still have one. EXCEEDS_QUOTA means that a job was not accepted, because a
    gang of it can never start within the quota of its account.
    """

    DONE = "done"
    UNKNOWN_JOB = "unknown_job"
    NOT_DONE = "not_done"
    UNCERTAIN = "uncertain"
    EXCEEDS_QUOTA = "exceeds_quota"


class RequestResult(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a call that changes a job.

    Attributes:
        verdict: The outcome of the call.
        retry_after_s: Seconds after which the client should retry a call whose
            outcome is NOT_DONE or UNCERTAIN; otherwise 0.
        reason: Why a job exceeds a quota, or empty.
    """

    verdict: RequestOutcome
    retry_after_s: int = 0
    reason: str = ""


class JobService:
    """Answers clients from a view of the job topic.

    Attributes:
        configuration: The configuration in force, or None before the first.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        job_view: job_views.JobView,
        job_tail: log_tail.LogTail,
        health: log_health.LogHealth,
        on_change: Callable[[], None],
        wall_clock: Callable[[], int],
    ) -> None:
        """Initializes a service without configuration.

        Args:
            clock: The reactor.
            log: The log.
            job_view: The fold of the job topic.
            job_tail: The reader that feeds the job view.
            health: The health of the job topic.
            on_change: Called after this service has changed the job view.
            wall_clock: Returns the Unix time in milliseconds.
        """
        self.configuration: fleet_configuration.FleetConfiguration | None = None
        self._clock = clock
        self._log = log
        self._job_view = job_view
        self._job_tail = job_tail
        self._health = health
        self._on_change = on_change
        self._wall_clock = wall_clock
        self._logger = structlog.get_logger()

    @property
    def ready(self) -> bool:
        """Whether a configuration and the first snapshot of jobs were read."""
        return self.configuration is not None and (
            self._job_tail.position is not None
        )

    async def submit(
        self,
        queue: fleet_configuration.Queue,
        account: ids.AccountId,
        workflow: spec.Workflow,
        timeout_ms: int,
    ) -> RequestResult:
        """Accepts a job and answers once its record is durable.

        Submissions are idempotent: a job that is known already is not
        submitted again.

        Args:
            queue: The queue.
            account: The client account, or empty on a public queue.
            workflow: The job.
            timeout_ms: How long the client waits.

        Returns:
            DONE if the job is stored, NOT_DONE or EXCEEDS_QUOTA if it certainly
            is not, and UNCERTAIN otherwise.
        """
        if self._job_view.state_of(workflow.job) is not None:
            return RequestResult(verdict=RequestOutcome.DONE)
        limit = quota_limits.never_fitting_gang(
            self._quota_of(account), workflow
        )
        if limit is not None:
            return await self._refuse_beyond_quota(workflow, account, limit)
        submission = spec.Submission(
            workflow=workflow,
            account=account,
            terms=queue.terms,
            accepted_ms=self._wall_clock(),
        )
        record = records.Submitted(submission=submission)
        result = await self._append(record, timeout_ms)
        self._logger.info(
            "job_submitted",
            job=workflow.job,
            queue=queue.terms.queue,
            account=account,
            steps=len(workflow.steps),
            tasks=sum(step.tasks for step in workflow.steps),
            verdict=result.verdict.value,
        )
        return result

    def _quota_of(self, account: ids.AccountId) -> fleet_configuration.Quota:
        if self.configuration is None:
            return fleet_configuration.NO_QUOTA
        return self.configuration.quota_of(account)

    async def _refuse_beyond_quota(
        self,
        workflow: spec.Workflow,
        account: ids.AccountId,
        limit: quota_limits.Limit,
    ) -> RequestResult:
        """Refuses a job with a gang that is larger than its account's quota.

        The job may have been accepted under an earlier quota, at another VM as
        well, so the topic is read to its end first.
        """
        try:
            await self._catch_up(allow_stale=False)
        except errors.CitronmountError as error:
            self._logger.warning("log_does_not_answer", error=str(error))
            return RequestResult(
                verdict=RequestOutcome.NOT_DONE,
                retry_after_s=OUTAGE_RETRY_AFTER_S,
            )
        if self._job_view.state_of(workflow.job) is not None:
            return RequestResult(verdict=RequestOutcome.DONE)
        resource = limit.resource.value
        self._logger.info(
            "submission_exceeds_quota",
            job=workflow.job,
            account=account,
            resource=resource,
            needed=limit.needed,
            quota=limit.quota,
            version=self.configuration.version if self.configuration else None,
        )
        return RequestResult(
            verdict=RequestOutcome.EXCEEDS_QUOTA,
            reason=(
                f"a gang needs {limit.needed} {resource}, the quota of the "
                f"account is {limit.quota}"
            ),
        )

    async def cancel(
        self, queue: fleet_configuration.Queue, job: ids.JobId, timeout_ms: int
    ) -> RequestResult:
        """Cancels a job and answers once the cancellation is durable.

        Args:
            queue: The queue.
            job: The job.
            timeout_ms: How long the client waits.

        Returns:
            UNKNOWN_JOB if the queue has no such job; otherwise as for
            `submit`. A job that has already ended gives DONE.

        Raises:
            UnreachableError: The job is not known here and the log does not
                answer.
            LogTruncatedError: The job is not known here and the records that
                may name it have expired.
        """
        state = await self.state(queue, job)
        if state is None:
            return RequestResult(verdict=RequestOutcome.UNKNOWN_JOB)
        if state in _FINAL_STATES:
            return RequestResult(verdict=RequestOutcome.DONE)
        result = await self._append(records.Cancelled(job=job), timeout_ms)
        self._logger.info(
            "job_cancelled",
            job=job,
            queue=queue.terms.queue,
            state=state.value,
            verdict=result.verdict.value,
        )
        return result

    async def state(
        self, queue: fleet_configuration.Queue, job: ids.JobId
    ) -> states.JobState | None:
        """Returns the state of a job, or None if the queue has no such job.

        Unless the state is final, the topic is read to its end first, so that
        the background reader may poll at a low rate.

        Raises:
            UnreachableError: The job is not known here and the log does not
                answer.
            LogTruncatedError: The job is not known here and the records that
                may name it have expired.
        """
        known_state = self._job_view.state_of(job)
        if known_state not in _FINAL_STATES:
            await self._catch_up(known_state is not None)
        if self._job_view.queue_of(job) != queue.terms.queue:
            return None
        return self._job_view.state_of(job)

    async def _catch_up(self, allow_stale: bool) -> None:
        """Reads to the end of the topic.

        Args:
            allow_stale: Whether to return without an error if the log does
                not answer; the caller then uses the state known so far.
        """
        if allow_stale and self._health.last_call_failed:
            return
        probe_ms = self._health.call_timeout_ms(PROBE_TIMEOUT_MS)
        timeout_ms = probe_ms if allow_stale else log_tail.CATCH_UP_TIMEOUT_MS
        try:
            await self._job_tail.catch_up(timeout_ms=timeout_ms)
        except errors.CitronmountError as error:
            self._health.record_failure()
            if not allow_stale:
                raise
            self._logger.warning("older_state_told", error=str(error))

    def pending(self, queue: fleet_configuration.Queue) -> int:
        """Returns the number of jobs of a queue that have not started yet."""
        return self._job_view.count_queued(queue.terms.queue)

    async def _is_log_answering(self) -> bool:
        """Returns whether the log answers, probing it if its state is unknown.

        A record sent to a log that does not answer may be appended much later,
        so the client could not be told that the job will not run.
        """
        if self._health.last_call_failed:
            return False
        if self._health.since_answer_ms() < RECENT_ANSWER_MS:
            return True
        try:
            timeout_ms = self._health.call_timeout_ms(PROBE_TIMEOUT_MS)
            await self._job_tail.catch_up(timeout_ms=timeout_ms)
        except errors.CitronmountError as error:
            self._health.record_failure()
            self._logger.warning("log_does_not_answer", error=str(error))
            return False
        return True

    async def _append(
        self, record: records.Record, timeout_ms: int
    ) -> RequestResult:
        """Appends a record, with retries.

        Records are idempotent, so an append that got no answer may be retried.
        Retries stop `UNKNOWN_OUTCOME_LIMIT_MS` after the first unknown outcome:
        the client then receives UNCERTAIN, instead of waiting for an answer
        until its deadline.
        """
        entry = (records.key_of(record), records.encode(record))
        end_s = self._clock.seconds() + (
            (timeout_ms - RESPONSE_MARGIN_MS) / _MS_PER_S
        )
        if not await self._is_log_answering():
            return RequestResult(
                verdict=RequestOutcome.NOT_DONE,
                retry_after_s=OUTAGE_RETRY_AFTER_S,
            )
        outcome = RequestOutcome.NOT_DONE
        for attempt in range(_MAX_APPENDS):
            remaining_ms = int((end_s - self._clock.seconds()) * _MS_PER_S)
            if remaining_ms < MIN_APPEND_TIMEOUT_MS:
                break
            append_timeout_ms = min(APPEND_TIMEOUT_MS, remaining_ms)
            try:
                offset = await self._log.append([entry], append_timeout_ms)
            except ports.CallRefusedError:
                if (
                    outcome is RequestOutcome.NOT_DONE
                    and attempt >= _MAX_REFUSED_RETRIES
                ):
                    break
            except errors.UnreachableError:
                if outcome is not RequestOutcome.UNCERTAIN:
                    limit_s = UNKNOWN_OUTCOME_LIMIT_MS / _MS_PER_S
                    end_s = min(end_s, self._clock.seconds() + limit_s)
                outcome = RequestOutcome.UNCERTAIN
            else:
                self._health.record_answer()
                if self._job_view.apply(offset, record):
                    self._on_change()
                return RequestResult(verdict=RequestOutcome.DONE)
            await task.deferLater(self._clock, APPEND_RETRY_MS / _MS_PER_S)
        return RequestResult(
            verdict=outcome, retry_after_s=OUTAGE_RETRY_AFTER_S
        )
