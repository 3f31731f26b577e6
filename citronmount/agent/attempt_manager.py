"""Carries out the scheduler's decisions by starting and stopping attempts."""

from citronmount.agent import attempts
from citronmount.agent import claims
from citronmount.agent import domain_context
from citronmount.agent import job_completion
from citronmount.agent import job_table
from citronmount.agent import outbox
from citronmount.clients import messages
from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.leases import gang
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["AttemptManager"]

INITIAL_BACKOFF_MS = 250
MAX_BACKOFF_MS = 8_000


class AttemptManager:
    """Starts, stops and tracks attempts, and requeues or ends their jobs."""

    def __init__(
        self,
        *,
        domain: domain_context.DomainContext,
        completion: job_completion.JobCompletion,
    ) -> None:
        """Initializes the manager.

        Args:
            domain: Shared state of the owned failure domain.
            completion: Records the final results of jobs.
        """
        self._domain = domain
        self._completion = completion

    def execute(self, decision: decisions.Decision) -> None:
        """Executes one decision of the scheduler.

        Args:
            decision: The decision.
        """
        match decision:
            case decisions.PlaceJob():
                self._place(decision)
            case decisions.EvictJob():
                self._evict(decision)
            case decisions.EndJob():
                self._completion.end_queued_job(decision.job, decision.result)

    def _place(self, decision: decisions.PlaceJob) -> None:
        entry = self._domain.table.entries[decision.job]
        entry.attempts += 1
        number = entry.attempts
        attempt = self.create_attempt(
            entry,
            ids.attempt_id(decision.job, number, self._domain.token),
            number,
            decision.placement,
        )
        entry.state = states.JobState.STARTING
        entry.workers = attempt.workers
        self._domain.ctx.trace(
            timeline_events.EventKind.JOB_PLACED,
            job=decision.job,
            attempt=attempt.attempt,
            account=entry.spec.account,
            count=len(attempt.workers),
            detail=",".join(attempt.workers),
        )
        if entry.spec.idempotent:
            attempt.begin()
            self._write_intent(attempt)
        else:
            self._claim_and_begin(entry, attempt)

    def _evict(self, decision: decisions.EvictJob) -> None:
        attempt = self._domain.attempt_of(decision.job)
        if attempt is None:
            return
        if attempt.phase is gang.GangPhase.STOPPING:
            return
        limit_ms = self._domain.ctx.settings.reclaim_grace_ms
        grace_ms = min(decision.grace_ms, limit_ms)
        self._domain.ctx.trace(
            timeline_events.EventKind.JOB_EVICTING,
            job=decision.job,
            attempt=attempt.attempt,
            detail=decision.beneficiary,
        )
        self._domain.table.entries[
            decision.job
        ].state = states.JobState.STOPPING
        attempt.stop(decisions.AttemptEnd.EVICTED, grace_ms=grace_ms)

    def stop_earlier_attempt(
        self, entry: job_table.JobEntry, intent: records.AttemptIntended
    ) -> None:
        """Stops an attempt of an earlier owner to learn whether it ran.

        Args:
            entry: The job, which is not idempotent.
            intent: The earlier owner's record of the attempt.
        """
        attempt = self.create_attempt(
            entry, intent.attempt, intent.number, intent.placement
        )
        self._domain.scheduler.adopt(
            entry.spec, intent.placement, self._domain.ctx.now_ms
        )
        entry.state = states.JobState.STOPPING
        attempt.adopt_and_stop()

    def create_attempt(
        self,
        entry: job_table.JobEntry,
        attempt_id: ids.AttemptId,
        number: int,
        placement: jobs.Placement,
    ) -> attempts.Attempt:
        """Creates and registers an attempt without sending any call.

        Args:
            entry: The job.
            attempt_id: The id of the attempt.
            number: The number of the attempt within the job, from 1.
            placement: The workers and the number of tasks at each.

        Returns:
            The attempt.
        """
        attempt = attempts.Attempt(
            ctx=self._domain.ctx,
            attempt=attempt_id,
            number=number,
            token=self._domain.token,
            spec=entry.spec,
            placement=placement,
            targets=self._targets_for(placement),
            handlers=attempts.AttemptHandlers(
                on_started=self._attempt_started,
                on_ended=self._attempt_ended,
                on_answer=self._domain.on_worker_answer,
            ),
        )
        self._domain.attempts[attempt_id] = attempt
        self._domain.attempt_by_job[entry.spec.job] = attempt_id
        return attempt

    def _targets_for(
        self, placement: jobs.Placement
    ) -> dict[ids.WorkerId, messages.ListedTarget]:
        """Returns the targets of a placement.

        A worker that the platform does not list gets an empty address, at
        which no call is ever answered.
        """
        return {
            group.worker: self._domain.targets.get(group.worker)
            or messages.ListedTarget(
                name=group.worker,
                address="",
                failure_domain=self._domain.failure_domain,
            )
            for group in placement.groups
        }

    def _claim_and_begin(
        self, entry: job_table.JobEntry, attempt: attempts.Attempt
    ) -> None:
        """Claims a non-idempotent job; begins its attempt if granted."""
        job = entry.spec.job

        def handle_claim_outcome(outcome: claims.ClaimOutcome) -> None:
            if attempt.attempt not in self._domain.attempts:
                return
            if outcome.granted:
                attempt.begin()
                self._write_intent(attempt)
                return
            if outcome.holder is not None and self._all_workers_fenced():
                self._free_claim(outcome.holder)
            attempt.stop(decisions.AttemptEnd.REFUSED)

        self._domain.claims.claim(f"job/{job}", "", handle_claim_outcome)

    def _all_workers_fenced(self) -> bool:
        """Returns whether every worker refuses calls of earlier owners."""
        return all(
            worker in self._domain.fenced_workers
            for worker in self._domain.targets
        )

    def _free_claim(self, claim: records.KeyClaimed) -> None:
        """Frees the claim of an attempt that never ran and never will."""
        not_run = jobs.RequestResult(
            request=ids.RequestId(""), code=codes.ResultCode.TARGET_REFUSED
        )
        self._domain.claims.record_result(claim, not_run)

    def _write_intent(self, attempt: attempts.Attempt) -> None:
        intent = records.AttemptIntended(
            record=ids.RecordId(f"intent:{attempt.attempt}"),
            job=attempt.spec.job,
            spec=attempt.spec,
            token=self._domain.token,
            attempt=attempt.attempt,
            number=attempt.number,
            placement=attempt.placement,
        )

        def handle_intent_written(outcome: outbox.WriteOutcome) -> None:
            if attempt.phase is not gang.GangPhase.RESERVING:
                return
            if outcome.durability is None:
                attempt.stop(decisions.AttemptEnd.REFUSED)
                return
            self._domain.job_view.fold(intent)
            attempt.allow_start()

        self._domain.outbox.write(
            self._domain.stream, intent, handle_intent_written
        )

    def _attempt_started(self, attempt: attempts.Attempt) -> None:
        entry = self._domain.table.entries[attempt.spec.job]
        entry.state = states.JobState.RUNNING
        entry.ever_ran = True
        entry.refusals = 0
        self._domain.scheduler.attempt_started(
            attempt.spec.job, self._domain.ctx.now_ms
        )
        self._domain.ctx.trace(
            timeline_events.EventKind.JOB_STARTED,
            job=attempt.spec.job,
            attempt=attempt.attempt,
            account=attempt.spec.account,
            count=len(attempt.workers),
        )

    def _attempt_ended(
        self,
        attempt: attempts.Attempt,
        result: attempts.AttemptResult,
    ) -> None:
        job = attempt.spec.job
        entry = self._domain.table.entries[job]
        del self._domain.attempts[attempt.attempt]
        del self._domain.attempt_by_job[job]
        entry.workers = ()
        entry.ever_ran = entry.ever_ran or result.ran is not False
        entry.progress = max(entry.progress, result.progress)
        for worker in attempt.workers:
            self._domain.forgettable_attempts.setdefault(worker, set()).add(
                attempt.attempt
            )
        final = _final_result(entry, result)
        refused = result.how is decisions.AttemptEnd.REFUSED
        verdict = self._domain.scheduler.attempt_ended(
            job,
            result.how,
            self._domain.ctx.now_ms,
            culprits=result.culprits,
            requeue=final is None and not refused,
            progress=entry.progress,
        )
        final = final or _verdict_or_refusal(entry, verdict)
        self._domain.decision_due = True
        if final is not None:
            self._completion.end_job(job, final)
            return
        entry.state = states.JobState.QUEUED
        if refused:
            self._delay_requeue(entry)
        for claim in self._domain.job_view.claims_of(f"job/{job}"):
            self._free_claim(claim)

    def _delay_requeue(self, entry: job_table.JobEntry) -> None:
        """Delays requeueing a refused job, with exponential backoff."""
        delay_ms = min(INITIAL_BACKOFF_MS << entry.refusals, MAX_BACKOFF_MS)
        entry.refusals += 1
        self._domain.requeue_at_ms[entry.spec.job] = (
            self._domain.ctx.now_ms + delay_ms
        )

    def requeue_held_jobs(self) -> None:
        """Requeues jobs whose delay is over.

        The delay is the backoff after a refusal, or, after a rebuild, the
        time until no silent worker can still run the job.
        """
        due = [
            job
            for job, due_ms in self._domain.requeue_at_ms.items()
            if due_ms <= self._domain.ctx.now_ms
        ]
        for job in due:
            del self._domain.requeue_at_ms[job]
            entry = self._domain.table.entries[job]
            self._domain.scheduler.restore(
                entry.spec, self._domain.ctx.now_ms, progress=entry.progress
            )


def _final_result(
    entry: job_table.JobEntry, result: attempts.AttemptResult
) -> jobs.JobResult | None:
    """Returns the final result of a job, or None if it may run again."""
    match result.how:
        case decisions.AttemptEnd.DONE:
            return jobs.JobResult(
                code=codes.ResultCode.DONE, exit_code=result.exit_code
            )
        case decisions.AttemptEnd.FAILED_BY_JOB if not entry.spec.idempotent:
            return jobs.JobResult(
                code=codes.ResultCode.FAILED_BY_JOB,
                exit_code=result.exit_code,
            )
    if entry.cancelled:
        return job_completion.cancel_result(entry)
    if entry.spec.idempotent or result.ran is False:
        return None
    if result.ran is None:
        return jobs.JobResult(code=codes.ResultCode.OUTCOME_UNKNOWN)
    return jobs.JobResult(code=codes.ResultCode.INTERRUPTED)


def _verdict_or_refusal(
    entry: job_table.JobEntry, verdict: jobs.JobResult | None
) -> jobs.JobResult | None:
    """Returns the scheduler's verdict on a job after a failed attempt.

    If no task of the job ever ran, the result is `TARGET_REFUSED` instead,
    because the workers only refused or failed to start it.
    """
    if verdict is None or entry.ever_ran:
        return verdict
    return jobs.JobResult(
        code=codes.ResultCode.TARGET_REFUSED, detail=verdict.detail
    )
