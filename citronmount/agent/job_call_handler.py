"""Takes callers' calls for the jobs of an owned failure domain."""

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
from citronmount.peers import messages as peer_messages
from citronmount.state import records
from citronmount.telemetry import events as timeline

__all__ = ["JobCallHandler"]

RETRY_AFTER_MS = 2_000


class JobCallHandler:
    """Accepts, refuses, shows and cancels jobs."""

    def __init__(
        self,
        *,
        domain: domain_context.DomainContext,
        completion: job_completion.JobCompletion,
        moves: job_moves.JobMoves,
    ) -> None:
        """Initializes the part.

        Args:
            domain: What the parts of the failure domain share.
            completion: Ends jobs.
            moves: Moves jobs to other failure domains.
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
            spec: The job; submitting the same id again answers with the
                status of the first.
            respond: Told the status or the refusal.
            eager: Whether to refuse a job that could not start at once.
            move: The number of the move that brings the job here, 0 for a
                caller's submission.
        """
        digest = job_table.body_digest(spec)
        ended = self._domain.job_view.ended.get(spec.job)
        if ended is not None:
            self._answer_again(spec, digest, ended.body_digest, respond)
            return
        entry = self._domain.table.entries.get(spec.job)
        if entry is not None:
            known = job_table.body_digest(entry.spec)
            if known == digest and entry.durability is None:
                entry.accept_responders.append(respond)
                return
            self._answer_again(spec, digest, known, respond)
            return
        if self._moved_on(spec.job, move):
            respond(peer_messages.JobAnswer(status=_status_elsewhere(spec)))
            return
        refusal = self._check(spec)
        if refusal is None and eager and not self._would_start(spec):
            refusal = jobs.JobResult(code=codes.ResultCode.TARGET_REFUSED)
        if refusal is not None:
            self._refuse(spec, refusal, respond)
            return
        self._accept(spec, respond, move)

    def status(
        self, job: ids.JobId, wait_ms: int, respond: job_table.Responder
    ) -> None:
        """Answers with a job's status, after its end or the wait.

        Args:
            job: The job.
            wait_ms: How long to wait for a final result.
            respond: Told the status.
        """
        entry = self._domain.table.entries.get(job)
        if entry is not None and wait_ms > 0:
            self._domain.table.wait(
                job, respond, self._domain.ctx.now_ms + wait_ms
            )
        else:
            respond(self._status_answer(job))

    def statuses(
        self, account: ids.AccountId, limit: int
    ) -> peer_messages.JobsAnswer:
        """Returns the open and recent jobs.

        Args:
            account: Only this account's, unless empty.
            limit: The most to return.

        Returns:
            The newest ones, oldest first.
        """
        ended = map(
            job_table.ended_status, self._domain.job_view.ended.values()
        )
        opened = (
            entry.status() for entry in self._domain.table.entries.values()
        )
        matching = [
            status
            for status in itertools.chain(ended, opened)
            if not account or status.account == account
        ]
        return peer_messages.JobsAnswer(
            statuses=tuple(matching[-limit:]), total=len(matching)
        )

    def cancel(self, job: ids.JobId, respond: job_table.Responder) -> None:
        """Cancels a job and answers with its status.

        Args:
            job: The job.
            respond: Told the final status, or the present one if tasks still
                have to stop.
        """
        entry = self._domain.table.entries.get(job)
        if entry is None:
            respond(self._status_answer(job))
            return
        limit_ms = self._domain.ctx.settings.call_timeout_ms
        self._domain.table.wait(
            job, respond, self._domain.ctx.now_ms + limit_ms
        )
        self._completion.cancel(entry)

    def cancel_account(
        self, account: ids.AccountId
    ) -> peer_messages.JobsAnswer:
        """Cancels every open job of an account.

        Args:
            account: The account.

        Returns:
            How many jobs were open, without their statuses.
        """
        entries = [
            entry
            for entry in self._domain.table.entries.values()
            if entry.spec.account == account
        ]
        for entry in entries:
            self._completion.cancel(entry)
        return peer_messages.JobsAnswer(statuses=(), total=len(entries))

    def _answer_again(
        self,
        spec: jobs.JobSpec,
        digest: str,
        known: str,
        respond: job_table.Responder,
    ) -> None:
        if digest == known:
            respond(self._status_answer(spec.job))
            return
        result = jobs.JobResult(code=codes.ResultCode.KEY_REUSED)
        respond(peer_messages.Failure(result=result))

    def _moved_on(self, job: ids.JobId, move: int) -> bool:
        """Returns whether a submission is a late copy of one moved on."""
        away = self._domain.job_view.outgoing_move(job)
        return away is not None and move <= away.number

    def _would_start(self, spec: jobs.JobSpec) -> bool:
        """Returns whether a job could start now, after those being accepted."""
        pending = any(
            entry.durability is None and entry.spec.account == spec.account
            for entry in self._domain.table.entries.values()
        )
        return not pending and self._domain.scheduler.would_start(
            spec, self._domain.ctx.now_ms
        )

    def _check(self, spec: jobs.JobSpec) -> jobs.JobResult | None:
        """Returns why a job is refused, without keeping it queued."""
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
            timeline.EventKind.JOB_REFUSED,
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
            self._moves.record_move_here(spec.job, move)
        entry = job_table.JobEntry(spec=spec, accept_responders=[respond])
        self._domain.table.entries[spec.job] = entry
        record = records.JobAccepted(
            record=ids.RecordId(f"accept:{spec.job}"), spec=spec
        )
        self._domain.outbox.write(
            self._domain.stream,
            record,
            lambda outcome: self._accept_written(entry, record, outcome),
        )

    def _accept_written(
        self,
        entry: job_table.JobEntry,
        record: records.JobAccepted,
        outcome: outbox.WriteOutcome,
    ) -> None:
        spec = entry.spec
        if outcome is outbox.WriteOutcome.NEVER_SENT:
            self._not_accepted(entry, codes.ResultCode.NOT_DURABLE)
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

    def _not_accepted(
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


def _status_elsewhere(spec: jobs.JobSpec) -> jobs.JobStatus:
    """Returns what is known of a job that another failure domain has."""
    return jobs.JobStatus(
        job=spec.job, account=spec.account, state=states.JobState.QUEUED
    )
