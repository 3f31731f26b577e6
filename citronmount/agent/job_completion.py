"""Records the final results of the jobs of an owned failure domain."""

from citronmount.agent import domain_context
from citronmount.agent import job_table
from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["JobCompletion", "cancel_result"]


class JobCompletion:
    """Ends and cancels jobs.

    A final result is reported to callers only after its record is durable. A
    result other than `DONE` also waits until a worker confirms that the
    owner's fencing token is still the highest: any later owner then reads the
    record and does not run the job again.
    """

    def __init__(
        self,
        *,
        domain: domain_context.DomainContext,
    ) -> None:
        """Initializes for an owned failure domain.

        Args:
            domain: Shared state of the owned failure domain.
        """
        self._domain = domain

    def end_job(self, job: ids.JobId, result: jobs.JobResult) -> None:
        """Records a job's final result and then reports it to callers.

        Args:
            job: A job without a final result and without an attempt.
            result: The final result.
        """
        entry = self._domain.table.entries[job]
        if entry.ending:
            return
        entry.ending = True
        entry.state = states.JobState.STOPPING
        ended = records.JobEnded(
            record=ids.RecordId(f"end:{job}"),
            job=job,
            account=entry.spec.account,
            token=self._domain.token,
            result=result,
            attempts=entry.attempts,
            body_digest=job_table.body_digest(entry.spec),
            durability=entry.durability or states.Durability.LOG,
        )
        self._domain.outbox.write(
            self._domain.stream,
            ended,
            lambda outcome: self._handle_end_written(ended),
            limit_ms=None,
        )

    def end_queued_job(self, job: ids.JobId, result: jobs.JobResult) -> None:
        """Ends a queued job on the scheduler's decision.

        Args:
            job: The job.
            result: The final result. If it says that the job was not run but
                an attempt may have run, it becomes `INTERRUPTED`.
        """
        entry = self._domain.table.entries[job]
        if entry.ever_ran and codes.info(result.code).proves_not_run:
            result = jobs.JobResult(
                code=codes.ResultCode.INTERRUPTED, detail=result.detail
            )
        self.end_job(job, result)

    def _handle_end_written(self, ended: records.JobEnded) -> None:
        if ended.result.code is codes.ResultCode.DONE:
            self._report_end(ended)
        else:
            self._domain.token_check.confirm(lambda: self._report_end(ended))

    def _report_end(self, ended: records.JobEnded) -> None:
        if ended.job not in self._domain.table.entries:
            return
        self._domain.job_view.fold(ended)
        ended = self._domain.job_view.ended[ended.job]
        self._domain.ctx.trace(
            timeline_events.EventKind.JOB_ENDED,
            job=ended.job,
            account=ended.account,
            code=int(ended.result.code),
        )
        self._domain.table.remove_ended(ended)

    def remove_ended_jobs(self) -> None:
        """Removes jobs that already have a final result in the job view.

        An earlier owner may have recorded it after this VM took over. A job
        with an attempt is removed once the attempt has stopped.
        """
        finished = [
            job
            for job, entry in self._domain.table.entries.items()
            if job in self._domain.job_view.ended and not entry.ending
        ]
        for job in finished:
            entry = self._domain.table.entries[job]
            entry.cancelled = True
            attempt = self._domain.attempt_of(job)
            if attempt is not None:
                attempt.stop(decisions.AttemptEnd.CANCELLED)
                continue
            self._domain.scheduler.cancel(job)
            self._domain.requeue_at_ms.pop(job, None)
            self._domain.table.remove_ended(self._domain.job_view.ended[job])

    def cancel(self, entry: job_table.JobEntry) -> None:
        """Cancels a job, or marks it for cancellation until it is accepted.

        Args:
            entry: The job.
        """
        if entry.cancelled or entry.ending:
            return
        entry.cancelled = True
        if entry.durability is not None:
            self.execute_cancel(entry)

    def execute_cancel(self, entry: job_table.JobEntry) -> None:
        """Stops the attempt of a cancelled job, or ends a job without one.

        Args:
            entry: A cancelled job whose acceptance is recorded.
        """
        job = entry.spec.job
        attempt = self._domain.attempt_of(job)
        if attempt is None:
            self._domain.scheduler.cancel(job)
            self._domain.requeue_at_ms.pop(job, None)
            self.end_job(job, cancel_result(entry))
            return
        record = records.JobCancelled(
            record=ids.RecordId(f"cancel:{job}"), job=job
        )
        self._domain.job_view.fold(record)
        self._domain.outbox.write(self._domain.stream, record)
        entry.state = states.JobState.STOPPING
        attempt.stop(decisions.AttemptEnd.CANCELLED)


def cancel_result(entry: job_table.JobEntry) -> jobs.JobResult:
    """Returns the final result of a cancelled job.

    Args:
        entry: The job.

    Returns:
        `CANCELLED_NOT_RUN` only if no attempt can have run.
    """
    code = (
        codes.ResultCode.CANCELLED_AFTER_START
        if entry.ever_ran
        else codes.ResultCode.CANCELLED_NOT_RUN
    )
    return jobs.JobResult(code=code)
