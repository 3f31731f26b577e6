"""Handles callers' calls for the jobs of an owned failure domain."""

import itertools

from citronmount.agent import domain_context
from citronmount.agent import job_completion
from citronmount.agent import job_moves
from citronmount.agent import job_table
from citronmount.agent import outbox
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["JobCallHandler"]

RETRY_AFTER_MS = 2_000


class JobCallHandler:
    """Submits, lists and cancels jobs on behalf of callers."""

    def __init__(
        self,
        *,
        domain: domain_context.DomainContext,
        completion: job_completion.JobCompletion,
        moves: job_moves.JobMoves,
    ) -> None:
        """Initializes the handler.

        Args:
            domain: Shared state of the owned failure domain.
            completion: Ends and cancels jobs.
            moves: Records moves of jobs between failure domains.
        """
        self._domain = domain
        self._completion = completion
        self._moves = moves

    def submit(
        self,
        spec: jobs.JobSpec,
        respond: job_table.Responder,
        *,
        eager: bool = False,
        move: int = 0,
    ) -> None:
        """Accepts a job durably or refuses it.

        Args:
            spec: The job. Submission is idempotent: a job with a known id and
                the same body is answered with its status.
            respond: Called with the status or the refusal.
            eager: Whether to refuse a job that could not start at once.
            move: The number of the move that brings the job here, 0 for a
                caller's submission.
        """
        digest = job_table.body_digest(spec)
        ended = self._domain.job_view.ended.get(spec.job)
        if ended is not None:
            self._answer_resubmission(spec, digest, ended.body_digest, respond)
            return
        entry = self._domain.table.entries.get(spec.job)
        if entry is not None:
            recorded_digest = job_table.body_digest(entry.spec)
            if recorded_digest == digest and entry.durability is None:
                entry.accept_responders.append(respond)
                return
            self._answer_resubmission(spec, digest, recorded_digest, respond)
            return
        if self._moved_away(spec.job, move):
            respond(peer_messages.JobAnswer(status=_status_after_move(spec)))
            return
        refusal = self._admission_refusal(spec)
        if refusal is None and eager and not self._would_start(spec):
            refusal = jobs.JobResult(code=codes.ResultCode.TARGET_REFUSED)
        if refusal is not None:
            self._refuse(spec, refusal, respond)
            return
        self._accept(spec, respond, move)

    def status(
        self, job: ids.JobId, wait_ms: int, respond: job_table.Responder
    ) -> None:
        """Answers with a job's status once it has ended or the wait is over.

        Args:
            job: The job.
            wait_ms: The longest wait for a final result; 0 answers at once.
            respond: Called with the status.
        """
        entry = self._domain.table.entries.get(job)
        if entry is not None and wait_ms > 0:
            self._domain.table.add_waiter(
                job, respond, self._domain.ctx.now_ms + wait_ms
            )
        else:
            respond(self._status_answer(job))

    def statuses(
        self, account: ids.AccountId, limit: int
    ) -> peer_messages.JobsAnswer:
        """Returns the statuses of open and recently ended jobs.

        Args:
            account: The account whose jobs to list, or empty for all.
            limit: The largest number of statuses to return.

        Returns:
            The newest statuses, oldest first, and the number of all matching
            jobs.
        """
        ended = map(
            job_table.ended_status, self._domain.job_view.ended.values()
        )
        open_jobs = (
            entry.status() for entry in self._domain.table.entries.values()
        )
        matching = [
            status
            for status in itertools.chain(ended, open_jobs)
            if not account or status.account == account
        ]
        return peer_messages.JobsAnswer(
            statuses=tuple(matching[-limit:]), total=len(matching)
        )

    def cancel(self, job: ids.JobId, respond: job_table.Responder) -> None:
        """Cancels a job and answers with its status.

        Args:
            job: The job.
            respond: Called with the final status, or with the current one if
                the tasks have not stopped within the call timeout.
        """
        entry = self._domain.table.entries.get(job)
        if entry is None:
            respond(self._status_answer(job))
            return
        timeout_ms = self._domain.ctx.settings.call_timeout_ms
        self._domain.table.add_waiter(
            job, respond, self._domain.ctx.now_ms + timeout_ms
        )
        self._completion.cancel(entry)

    def cancel_account(
        self, account: ids.AccountId
    ) -> peer_messages.JobsAnswer:
        """Cancels every open job of an account.

        Args:
            account: The account.

        Returns:
            The number of open jobs found, without their statuses.
        """
        entries = [
            entry
            for entry in self._domain.table.entries.values()
            if entry.spec.account == account
        ]
        for entry in entries:
            self._completion.cancel(entry)
        return peer_messages.JobsAnswer(statuses=(), total=len(entries))

    def _answer_resubmission(
        self,
        spec: jobs.JobSpec,
        digest: str,
        recorded_digest: str,
        respond: job_table.Responder,
    ) -> None:
        if digest == recorded_digest:
            respond(self._status_answer(spec.job))
            return
        result = jobs.JobResult(code=codes.ResultCode.KEY_REUSED)
        respond(peer_messages.Failure(result=result))

    def _moved_away(self, job: ids.JobId, move: int) -> bool:
        """Returns whether a job was moved away and this move is not newer."""
        outgoing = self._domain.job_view.outgoing_move(job)
        return outgoing is not None and move <= outgoing.number

    def _would_start(self, spec: jobs.JobSpec) -> bool:
        """Returns whether a job could start now.

        It could not if another job of its account is still being accepted:
        that one is queued first.
        """
        pending = any(
            entry.durability is None and entry.spec.account == spec.account
            for entry in self._domain.table.entries.values()
        )
        return not pending and self._domain.scheduler.would_start(
            spec, self._domain.ctx.now_ms
        )

    def _admission_refusal(self, spec: jobs.JobSpec) -> jobs.JobResult | None:
        """Returns why the scheduler refuses a job, or None.

        The scheduler queues the job if it admits it. The job is then removed
        again, because it may be queued only once its acceptance is durable.
        """
        refusal = self._domain.scheduler.submit(spec, self._domain.ctx.now_ms)
        if refusal is None:
            self._domain.scheduler.cancel(spec.job)
        return refusal

    def _refuse(
        self,
        spec: jobs.JobSpec,
        result: jobs.JobResult,
        respond: job_table.Responder,
    ) -> None:
        self._domain.ctx.trace(
            timeline_events.EventKind.JOB_REFUSED,
            job=spec.job,
            account=spec.account,
            code=int(result.code),
        )
        retry = codes.info(result.code).retry
        respond(
            peer_messages.Failure(
                result=result,
                retry_after_ms=RETRY_AFTER_MS if retry else None,
            )
        )

    def _accept(
        self, spec: jobs.JobSpec, respond: job_table.Responder, move: int
    ) -> None:
        if move:
            self._moves.record_arrival(spec.job, move)
        entry = job_table.JobEntry(spec=spec, accept_responders=[respond])
        self._domain.table.entries[spec.job] = entry
        record = records.JobAccepted(
            record=ids.RecordId(f"accept:{spec.job}"), spec=spec
        )
        self._domain.outbox.write(
            self._domain.stream,
            record,
            lambda outcome: self._handle_accept_written(entry, record, outcome),
        )

    def _handle_accept_written(
        self,
        entry: job_table.JobEntry,
        record: records.JobAccepted,
        outcome: outbox.WriteOutcome,
    ) -> None:
        spec = entry.spec
        if outcome is outbox.WriteOutcome.NEVER_SENT:
            self._refuse_unwritten(entry, codes.ResultCode.NOT_DURABLE)
            return
        self._domain.job_view.fold(record)
        entry.durability = outcome.durability or states.Durability.PEERS
        self._domain.trace_accepted(entry)
        if outcome is outbox.WriteOutcome.UNKNOWN:
            answer: peer_messages.Answer = peer_messages.Failure(
                result=jobs.JobResult(
                    code=codes.ResultCode.TIMED_OUT,
                    detail=f"job {spec.job} may have been accepted",
                )
            )
        else:
            answer = peer_messages.JobAnswer(status=entry.status())
        self._domain.scheduler.restore(spec, self._domain.ctx.now_ms)
        for respond in entry.accept_responders:
            respond(answer)
        entry.accept_responders.clear()
        if entry.cancelled:
            self._completion.execute_cancel(entry)
        self._domain.decision_due = True

    def _refuse_unwritten(
        self, entry: job_table.JobEntry, code: codes.ResultCode
    ) -> None:
        self._domain.table.entries.pop(entry.spec.job, None)
        for respond in entry.accept_responders:
            self._refuse(entry.spec, jobs.JobResult(code=code), respond)
        entry.accept_responders.clear()

    def _status_answer(self, job: ids.JobId) -> peer_messages.Answer:
        entry = self._domain.table.entries.get(job)
        if entry is not None:
            return peer_messages.JobAnswer(status=entry.status())
        ended = self._domain.job_view.ended.get(job)
        if ended is not None:
            status = job_table.ended_status(ended)
            return peer_messages.JobAnswer(status=status)
        return peer_messages.Failure(
            result=jobs.JobResult(code=codes.ResultCode.UNKNOWN_JOB)
        )


def _status_after_move(spec: jobs.JobSpec) -> jobs.JobStatus:
    """Returns the status of a job that another failure domain schedules."""
    return jobs.JobStatus(
        job=spec.job, account=spec.account, state=states.JobState.QUEUED
    )
