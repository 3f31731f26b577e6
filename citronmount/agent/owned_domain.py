"""The failure domain that a VM owns: carries out the scheduler's decisions."""

from collections.abc import Callable
import itertools

from citronmount.agent import attempts as attempts_lib
from citronmount.agent import claims as claims_lib
from citronmount.agent import context
from citronmount.agent import job_table
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import token_check
from citronmount.config import configuration as configuration_lib
from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import scheduler as scheduler_lib
from citronmount.core import states
from citronmount.leases import gang as gang_lib
from citronmount.peers import messages as peer_messages
from citronmount.platform import messages
from citronmount.state import job_book
from citronmount.state import records
from citronmount.telemetry import events as timeline

__all__ = ["OwnedDomain"]

RETRY_AFTER_MS = 2_000
BACKOFF_MS = 250
BACKOFF_MAX_MS = 8_000


class OwnedDomain:
    """Scheduler, jobs and attempts of the owned failure domain.

    It exists from the end of a rebuild until the VM steps down or is fenced
    off. Everything that must last is in the job book and the outbox.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        token: ids.FenceToken,
        book: job_book.JobBook,
        outbox: outbox_lib.Outbox,
        claims: claims_lib.Claims,
        policy: str,
        on_fenced: Callable[[ids.FenceToken], None],
    ) -> None:
        """Initializes an owned failure domain without workers.

        Args:
            ctx: The shared context.
            token: The fencing token that the workers have seen.
            book: What must not be lost.
            outbox: Writes durably.
            claims: Claims the attempts of jobs that are not idempotent.
            policy: The scheduling policy.
            on_fenced: Told when a worker has seen a higher token.
        """
        self.token = token
        self.table = job_table.JobTable()
        self.attempts: dict[ids.AttemptId, attempts_lib.Attempt] = {}
        self.placing = True
        self._decision_due = True
        self._ctx = ctx
        self._book = book
        self._outbox = outbox
        self._claims = claims
        self._on_fenced = on_fenced
        self._domain = ctx.settings.failure_domain
        self._stream = records.job_stream(self._domain)
        self._scheduler = scheduler_lib.DomainScheduler(
            failure_domain=self._domain, policy=policy
        )
        self._configuration = configuration_lib.Configuration()
        self._targets: dict[ids.WorkerId, messages.ListedTarget] = {}
        self._sequences: dict[ids.WorkerId, int] = {}
        self._lost: set[ids.WorkerId] = set()
        self._fenced: set[ids.WorkerId] = set()
        self._obsolete: frozenset[ids.AttemptId] = frozenset()
        self._token_check = token_check.TokenCheck(
            ctx=ctx, token=token, on_fenced=on_fenced
        )
        self._by_job: dict[ids.JobId, ids.AttemptId] = {}
        self._held_until_ms: dict[ids.JobId, int] = {}
        self._forget: dict[ids.WorkerId, set[ids.AttemptId]] = {}

    def summary(self) -> peer_messages.DomainSummary:
        """Returns what other VMs are told of the failure domain."""
        return peer_messages.DomainSummary(
            failure_domain=self._domain,
            token=self.token,
            free_accelerators=self._scheduler.free_accelerators(),
            queued_accelerators=self._scheduler.queued_accelerators(),
            largest_gang=self._scheduler.largest_gang(),
        )

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued work can't use."""
        return self._scheduler.fragmentation()

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Takes over a new version; what has not started is called back.

        Args:
            configuration: The version in force.
        """
        self._configuration = configuration
        self._scheduler.set_configuration(configuration)
        if self._in_service():
            return
        for attempt in list(self.attempts.values()):
            if attempt.phase is gang_lib.GangPhase.RESERVING:
                attempt.stop(decisions.AttemptEnd.REFUSED)

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Takes over the platform's list of workers.

        Args:
            workers: The workers of the failure domain.
        """
        self._targets.update(
            {ids.WorkerId(worker.name): worker for worker in workers}
        )
        self._scheduler.set_workers(workers)
        self._token_check.set_workers(tuple(self._targets.values()))
        for worker in self._lost:
            self._scheduler.set_worker_state(
                worker, states.TargetState.LOST, self._ctx.now_ms
            )

    def idle(self) -> bool:
        """Returns whether no attempt is between two phases."""
        return all(
            attempt.phase is gang_lib.GangPhase.RUNNING
            for attempt in self.attempts.values()
        )

    def lapsing(self) -> tuple[ids.AttemptId, ...]:
        """Returns the attempts that keepers must not renew."""
        return tuple(
            attempt.attempt
            for attempt in self.attempts.values()
            if attempt.must_lapse
        )

    def submit(
        self,
        spec: jobs.JobSpec,
        respond: job_table.Responder,
        *,
        eager: bool = False,
    ) -> None:
        """Accepts a job durably or refuses it.

        Args:
            spec: The job; submitting the same id again answers with the
                status of the first.
            respond: Told the status or the refusal.
            eager: Whether to refuse a job that could not start at once.
        """
        digest = job_table.body_digest(spec)
        ended = self._book.ended.get(spec.job)
        if ended is not None:
            self._answer_again(spec, digest, ended.body_digest, respond)
            return
        entry = self.table.entries.get(spec.job)
        if entry is not None:
            known = job_table.body_digest(entry.spec)
            if known == digest and entry.durability is None:
                entry.accept_responders.append(respond)
                return
            self._answer_again(spec, digest, known, respond)
            return
        refusal = self._check(spec)
        if refusal is None and eager and not self._would_start(spec):
            refusal = jobs.JobResult(code=codes.ResultCode.TARGET_REFUSED)
        if refusal is not None:
            self._refuse(spec, refusal, respond)
            return
        self._accept(spec, respond)

    def status(
        self, job: ids.JobId, wait_ms: int, respond: job_table.Responder
    ) -> None:
        """Answers with a job's status, after its end or the wait.

        Args:
            job: The job.
            wait_ms: How long to wait for a final result.
            respond: Told the status.
        """
        entry = self.table.entries.get(job)
        if entry is not None and wait_ms > 0:
            self.table.wait(job, respond, self._ctx.now_ms + wait_ms)
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
        ended = map(job_table.ended_status, self._book.ended.values())
        opened = (entry.status() for entry in self.table.entries.values())
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
        entry = self.table.entries.get(job)
        if entry is None:
            respond(self._status_answer(job))
            return
        limit_ms = self._ctx.settings.call_timeout_ms
        self.table.wait(job, respond, self._ctx.now_ms + limit_ms)
        self._cancel_entry(entry)

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
            for entry in self.table.entries.values()
            if entry.spec.account == account
        ]
        for entry in entries:
            self._cancel_entry(entry)
        return peer_messages.JobsAnswer(statuses=(), total=len(entries))

    def restore(self, spec: jobs.JobSpec, *, hold_ms: int) -> None:
        """Takes over an accepted job of which no attempt was found.

        Args:
            spec: The job.
            hold_ms: How long it must wait because a worker that did not
                answer may still run it.
        """
        entry = job_table.JobEntry(spec=spec, durability=states.Durability.LOG)
        self.table.entries[spec.job] = entry
        self._trace_accepted(entry)
        entry.cancelled = spec.job in self._book.cancelled
        if self._book.moved_away(spec.job) is not None:
            entry.state = states.JobState.STOPPING
            entry.ending = True
            return
        intent = self._book.intents.get(spec.job)
        if intent is not None:
            entry.ever_ran = True
            entry.attempts = intent.number
        if intent is not None and not spec.idempotent:
            self._conclude_intent(entry, intent)
        elif entry.cancelled:
            self._finish_job(spec.job, _cancel_result(entry))
        elif hold_ms > 0:
            self._held_until_ms[spec.job] = self._ctx.now_ms + hold_ms
        else:
            self._scheduler.restore(spec, self._ctx.now_ms)

    def rebuild(
        self,
        reports: tuple[messages.Report, ...],
        silent: tuple[ids.WorkerId, ...],
    ) -> None:
        """Takes over every job of the book and every attempt reported.

        Args:
            reports: The reports of the workers that answered.
            silent: The workers that did not.
        """
        newest: dict[ids.JobId, messages.LeaseReport] = {}
        leases = [lease for report in reports for lease in report.leases]
        for lease in leases:
            known = newest.get(lease.spec.job)
            if known is None or known.number < lease.number:
                newest[lease.spec.job] = lease
        current = {lease.attempt for lease in newest.values()}
        self._obsolete = frozenset(
            lease.attempt for lease in leases if lease.attempt not in current
        )
        for report in reports:
            self.worker_report(report)
        hold_ms = self._ctx.settings.lease_ttl_ms if silent else 0
        self.restore_missing(hold_ms=hold_ms)

    def restore_missing(self, *, hold_ms: int = 0) -> None:
        """Takes over accepted jobs that the table does not have.

        Jobs that an earlier owner has ended leave the table.

        Args:
            hold_ms: How long they must wait before they may be placed.
        """
        self._drop_ended()
        missing = [
            spec
            for job, spec in self._book.accepted.items()
            if job not in self.table.entries
        ]
        self._take_back_moved()
        for spec in missing:
            self.restore(spec, hold_ms=hold_ms)

    def moved_to(self, job: ids.JobId) -> ids.FailureDomainId | None:
        """Returns which failure domain schedules a job that was moved.

        Args:
            job: A job that has its home here.

        Returns:
            The failure domain, or None if the job was not moved.
        """
        moved = self._book.moved_away(job)
        if moved is None or job in self.table.entries:
            return None
        return moved.to

    def queued_specs(self) -> list[jobs.JobSpec]:
        """Returns the queued jobs that never ran, first in line first."""
        entries = (
            self.table.entries.get(job) for job in self._scheduler.queued()
        )
        return [
            entry.spec
            for entry in entries
            if entry is not None
            and entry.spec.idempotent
            and not entry.ever_ran
            and not entry.cancelled
            and not entry.ending
        ]

    def unconfirmed_moves(
        self,
    ) -> list[tuple[jobs.JobSpec, ids.FailureDomainId]]:
        """Returns the moves whose receiver has not answered yet."""
        return [
            (self.table.entries[job].spec, moved.to)
            for job, moved in self._book.moved.items()
            if not moved.confirmed
            and moved.to != self._domain
            and job in self.table.entries
            and self.table.entries[job].ending
        ]

    def in_service(self) -> bool:
        """Returns whether tasks may start in the failure domain."""
        return self._in_service()

    def move_out(
        self,
        job: ids.JobId,
        to: ids.FailureDomainId,
        on_released: Callable[[jobs.JobSpec], None],
    ) -> None:
        """Takes a job out of the queue to hand it to another scheduler.

        Args:
            job: A queued job.
            to: The failure domain that is to schedule it.
            on_released: Told once the move is durable and no later owner of
                this failure domain can start the job.
        """
        entry = self.table.entries[job]
        if not self._scheduler.cancel(job):
            return
        entry.state = states.JobState.STOPPING
        entry.ending = True
        moved = records.JobMoved(
            record=ids.RecordId(self._ctx.unique()),
            job=job,
            number=self._book.next_move(job),
            to=to,
        )

        def released() -> None:
            self._book.fold(moved)
            on_released(entry.spec)

        self._outbox.write(
            self._stream,
            moved,
            lambda outcome: self._token_check.confirm(released),
            limit_ms=None,
        )

    def moved(
        self, job: ids.JobId, to: ids.FailureDomainId, *, accepted: bool
    ) -> None:
        """Notes what became of a job that was to be moved.

        Args:
            job: The job.
            to: The failure domain that was asked.
            accepted: Whether it schedules the job now; if not, it is proved
                that it never will, and the job is queued here again.
        """
        entry = self.table.entries.get(job)
        if entry is None:
            return
        if accepted:
            self._confirm_move(job, to)
        else:
            self._move_home(job)
        if accepted:
            self.table.forward(job)
            return
        entry.ending = False
        entry.state = states.JobState.QUEUED
        self._scheduler.restore(
            entry.spec, self._ctx.now_ms, progress=entry.progress
        )
        if entry.cancelled:
            self._carry_out_cancel(entry)

    def _take_back_moved(self) -> None:
        """Voids moves that a fenced owner has recorded but not made."""
        void = [
            moved.job
            for moved in self._book.moved.values()
            if moved.to != self._domain
            and moved.job in self.table.entries
            and not self.table.entries[moved.job].ending
        ]
        for job in void:
            self._move_home(job)

    def _confirm_move(self, job: ids.JobId, to: ids.FailureDomainId) -> None:
        """Records that another failure domain schedules a job now."""
        self._record(
            records.JobMoved(
                record=ids.RecordId(self._ctx.unique()),
                job=job,
                number=max(self._book.next_move(job) - 1, 1),
                to=to,
                confirmed=True,
            )
        )

    def _move_home(self, job: ids.JobId) -> None:
        """Records that this failure domain schedules a job again."""
        self._record(
            records.JobMoved(
                record=ids.RecordId(self._ctx.unique()),
                job=job,
                number=self._book.next_move(job),
                to=self._domain,
            )
        )

    def _record(self, record: records.Record) -> None:
        self._book.fold(record)
        self._outbox.write(self._stream, record)

    def _drop_ended(self) -> None:
        """Gives up open jobs whose final result the book already has."""
        over = [
            job
            for job, entry in self.table.entries.items()
            if job in self._book.ended and not entry.ending
        ]
        for job in over:
            entry = self.table.entries[job]
            entry.cancelled = True
            attempt = self.attempts.get(
                self._by_job.get(job, ids.AttemptId(""))
            )
            if attempt is not None:
                attempt.stop(decisions.AttemptEnd.CANCELLED)
                continue
            self._scheduler.cancel(job)
            self._held_until_ms.pop(job, None)
            self.table.end(self._book.ended[job])

    def worker_report(self, report: messages.Report) -> None:
        """Takes over a worker's report.

        Args:
            report: The report; one older than the last is dropped.
        """
        if report.token > self.token:
            self._on_fenced(report.token)
            return
        worker = report.worker
        if report.sequence < self._sequences.get(worker, -1):
            return
        self._sequences[worker] = report.sequence
        if report.token == self.token:
            self._fenced.add(worker)
        self._worker_answers(worker, report.state)
        named = set()
        for lease in report.leases:
            named.add(lease.attempt)
            self._lease_report(worker, lease)
        for attempt in list(self.attempts.values()):
            if worker in attempt.workers and attempt.attempt not in named:
                attempt.absent(worker, report.sequence)

    def worker_lost(self, worker: ids.WorkerId) -> None:
        """Notes that a worker has been silent for more than a lease time.

        Args:
            worker: The worker.
        """
        if worker not in self._lost:
            self._lost.add(worker)
            self._set_state(worker, states.TargetState.LOST)
        for attempt in list(self.attempts.values()):
            attempt.worker_lost(worker)

    def tick(self) -> None:
        """Decides, retries and answers whatever is due."""
        for attempt in list(self.attempts.values()):
            attempt.tick()
        self._release_held()
        if self.placing:
            self.decide()
        self.table.answer_due(self._ctx.now_ms)
        self._send_forget()
        self._token_check.tick()

    def decide_if_due(self) -> None:
        """Decides after an event that may have made room."""
        if self._decision_due and self.placing:
            self.decide()

    def decide(self) -> None:
        """Carries out what the scheduler decides now."""
        self._decision_due = False
        for decision in self._scheduler.decide(self._ctx.now_ms):
            match decision:
                case decisions.PlaceJob():
                    self._place(decision)
                case decisions.EvictJob():
                    self._evict(decision)
                case decisions.EndJob():
                    self._finish_job(decision.job, decision.result)

    def _in_service(self) -> bool:
        return any(
            domain.name == self._domain
            and domain.state is states.FailureDomainState.IN
            for domain in self._configuration.failure_domains
        )

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

    def _would_start(self, spec: jobs.JobSpec) -> bool:
        """Returns whether a job could start now, after those being accepted."""
        pending = any(
            entry.durability is None and entry.spec.account == spec.account
            for entry in self.table.entries.values()
        )
        return not pending and self._scheduler.would_start(
            spec, self._ctx.now_ms
        )

    def _check(self, spec: jobs.JobSpec) -> jobs.JobResult | None:
        """Returns why a job is refused, without keeping it queued."""
        refusal = self._scheduler.submit(spec, self._ctx.now_ms)
        if refusal is None:
            self._scheduler.cancel(spec.job)
        return refusal

    def _refuse(
        self,
        spec: jobs.JobSpec,
        result: jobs.JobResult,
        respond: job_table.Responder,
    ) -> None:
        self._ctx.trace(
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

    def _accept(self, spec: jobs.JobSpec, respond: job_table.Responder) -> None:
        if self._book.moved_away(spec.job) is not None:
            self._move_home(spec.job)
        entry = job_table.JobEntry(spec=spec, accept_responders=[respond])
        self.table.entries[spec.job] = entry
        record = records.JobAccepted(
            record=ids.RecordId(f"accept:{spec.job}"), spec=spec
        )
        self._outbox.write(
            self._stream,
            record,
            lambda outcome: self._accept_written(entry, record, outcome),
        )

    def _accept_written(
        self,
        entry: job_table.JobEntry,
        record: records.JobAccepted,
        outcome: outbox_lib.WriteOutcome,
    ) -> None:
        spec = entry.spec
        if outcome is outbox_lib.WriteOutcome.NEVER_SENT:
            self._not_accepted(entry, codes.ResultCode.NOT_DURABLE)
            return
        self._book.fold(record)
        entry.durability = outcome.durability or states.Durability.PEERS
        self._trace_accepted(entry)
        if outcome is outbox_lib.WriteOutcome.UNKNOWN:
            answer: peer_messages.Answer = peer_messages.Failure(
                result=jobs.JobResult(
                    code=codes.ResultCode.TIMED_OUT,
                    detail=f"job {spec.job} may have been accepted",
                )
            )
        else:
            answer = peer_messages.JobAnswer(status=entry.status())
        self._scheduler.restore(spec, self._ctx.now_ms)
        for respond in entry.accept_responders:
            respond(answer)
        entry.accept_responders.clear()
        if entry.cancelled:
            self._carry_out_cancel(entry)
        self._decision_due = True

    def _trace_accepted(self, entry: job_table.JobEntry) -> None:
        spec = entry.spec
        durability = entry.durability or states.Durability.LOG
        self._ctx.trace(
            timeline.EventKind.JOB_ACCEPTED,
            job=spec.job,
            account=spec.account,
            count=spec.tasks,
            detail=durability.value,
        )

    def _not_accepted(
        self, entry: job_table.JobEntry, code: codes.ResultCode
    ) -> None:
        self.table.entries.pop(entry.spec.job, None)
        for respond in entry.accept_responders:
            self._refuse(entry.spec, jobs.JobResult(code=code), respond)
        entry.accept_responders.clear()

    def _status_answer(self, job: ids.JobId) -> peer_messages.Answer:
        entry = self.table.entries.get(job)
        if entry is not None:
            return peer_messages.JobAnswer(status=entry.status())
        ended = self._book.ended.get(job)
        if ended is not None:
            status = job_table.ended_status(ended)
            return peer_messages.JobAnswer(status=status)
        return peer_messages.Failure(
            result=jobs.JobResult(code=codes.ResultCode.UNKNOWN_JOB)
        )

    def _cancel_entry(self, entry: job_table.JobEntry) -> None:
        if entry.cancelled or entry.ending:
            return
        entry.cancelled = True
        if entry.durability is not None:
            self._carry_out_cancel(entry)

    def _carry_out_cancel(self, entry: job_table.JobEntry) -> None:
        job = entry.spec.job
        attempt = self.attempts.get(self._by_job.get(job, ids.AttemptId("")))
        if attempt is None:
            self._scheduler.cancel(job)
            self._held_until_ms.pop(job, None)
            self._finish_job(job, _cancel_result(entry))
            return
        record = records.JobCancelled(
            record=ids.RecordId(f"cancel:{job}"), job=job
        )
        self._book.fold(record)
        self._outbox.write(self._stream, record)
        entry.state = states.JobState.STOPPING
        attempt.stop(decisions.AttemptEnd.CANCELLED)

    def _place(self, decision: decisions.PlaceJob) -> None:
        entry = self.table.entries[decision.job]
        entry.attempts += 1
        number = entry.attempts
        attempt = self._new_attempt(
            entry,
            ids.attempt_id(decision.job, number, self.token),
            number,
            decision.placement,
        )
        entry.state = states.JobState.STARTING
        entry.workers = attempt.workers
        self._ctx.trace(
            timeline.EventKind.JOB_PLACED,
            job=decision.job,
            attempt=attempt.attempt,
            account=entry.spec.account,
            count=len(attempt.workers),
        )
        if entry.spec.idempotent:
            attempt.begin()
            self._write_intent(attempt)
        else:
            self._claim_attempt(entry, attempt)

    def _new_attempt(
        self,
        entry: job_table.JobEntry,
        attempt_id: ids.AttemptId,
        number: int,
        placement: jobs.Placement,
    ) -> attempts_lib.Attempt:
        attempt = attempts_lib.Attempt(
            ctx=self._ctx,
            attempt=attempt_id,
            number=number,
            token=self.token,
            spec=entry.spec,
            placement=placement,
            targets=self._targets_of(placement),
            handlers=attempts_lib.AttemptHandlers(
                on_started=self._attempt_started,
                on_ended=self._attempt_ended,
                on_answer=self._worker_answered,
            ),
        )
        self.attempts[attempt_id] = attempt
        self._by_job[entry.spec.job] = attempt_id
        return attempt

    def _targets_of(
        self, placement: jobs.Placement
    ) -> dict[ids.WorkerId, messages.ListedTarget]:
        """Returns the placement's targets; unlisted ones never answer."""
        return {
            group.worker: self._targets.get(group.worker)
            or messages.ListedTarget(
                name=group.worker, address="", failure_domain=self._domain
            )
            for group in placement.groups
        }

    def _claim_attempt(
        self, entry: job_table.JobEntry, attempt: attempts_lib.Attempt
    ) -> None:
        """Starts a job that is not idempotent only under a durable claim."""
        job = entry.spec.job

        def claimed(outcome: claims_lib.ClaimOutcome) -> None:
            if attempt.attempt not in self.attempts:
                return
            if outcome.granted:
                attempt.begin()
                self._write_intent(attempt)
                return
            if outcome.holder is not None and self._all_fenced():
                self._free_claim(outcome.holder)
            attempt.stop(decisions.AttemptEnd.REFUSED)

        self._claims.claim(f"job/{job}", "", claimed)

    def _all_fenced(self) -> bool:
        """Returns whether no worker takes calls of an earlier owner."""
        return all(worker in self._fenced for worker in self._targets)

    def _free_claim(self, claim: records.KeyClaimed) -> None:
        """Frees the claim of an attempt that never ran and never will."""
        not_run = jobs.RequestResult(
            request=ids.RequestId(""), code=codes.ResultCode.TARGET_REFUSED
        )
        self._claims.finish(claim, not_run)

    def _write_intent(self, attempt: attempts_lib.Attempt) -> None:
        intent = records.AttemptIntended(
            record=ids.RecordId(f"intent:{attempt.attempt}"),
            job=attempt.spec.job,
            spec=attempt.spec,
            token=self.token,
            attempt=attempt.attempt,
            number=attempt.number,
            placement=attempt.placement,
        )

        def written(outcome: outbox_lib.WriteOutcome) -> None:
            if attempt.phase is not gang_lib.GangPhase.RESERVING:
                return
            if outcome.durability is None:
                attempt.stop(decisions.AttemptEnd.REFUSED)
                return
            self._book.fold(intent)
            attempt.permit()

        self._outbox.write(self._stream, intent, written)

    def _conclude_intent(
        self, entry: job_table.JobEntry, intent: records.AttemptIntended
    ) -> None:
        """Finds out whether an attempt of an earlier owner ever ran."""
        attempt = self._new_attempt(
            entry, intent.attempt, intent.number, intent.placement
        )
        self._scheduler.adopt(entry.spec, intent.placement, self._ctx.now_ms)
        entry.state = states.JobState.STOPPING
        attempt.conclude()

    def _evict(self, decision: decisions.EvictJob) -> None:
        attempt = self.attempts.get(
            self._by_job.get(decision.job, ids.AttemptId(""))
        )
        if attempt is None:
            return
        if attempt.phase is gang_lib.GangPhase.STOPPING:
            return
        limit_ms = self._ctx.settings.reclaim_grace_ms
        grace_ms = min(decision.grace_ms, limit_ms)
        self._ctx.trace(
            timeline.EventKind.JOB_EVICTING,
            job=decision.job,
            attempt=attempt.attempt,
            detail=decision.beneficiary,
        )
        self.table.entries[decision.job].state = states.JobState.STOPPING
        attempt.stop(decisions.AttemptEnd.EVICTED, grace_ms=grace_ms)

    def _attempt_started(self, attempt: attempts_lib.Attempt) -> None:
        entry = self.table.entries[attempt.spec.job]
        entry.state = states.JobState.RUNNING
        entry.ever_ran = True
        entry.refusals = 0
        self._scheduler.started(attempt.spec.job, self._ctx.now_ms)
        self._ctx.trace(
            timeline.EventKind.JOB_STARTED,
            job=attempt.spec.job,
            attempt=attempt.attempt,
            account=attempt.spec.account,
            count=len(attempt.workers),
        )

    def _attempt_ended(
        self,
        attempt: attempts_lib.Attempt,
        result: attempts_lib.AttemptResult,
    ) -> None:
        job = attempt.spec.job
        entry = self.table.entries[job]
        del self.attempts[attempt.attempt]
        del self._by_job[job]
        entry.workers = ()
        entry.ever_ran = entry.ever_ran or result.ran is not False
        entry.progress = max(entry.progress, result.progress)
        for worker in attempt.workers:
            self._forget.setdefault(worker, set()).add(attempt.attempt)
        final = _final_result(entry, result)
        refused = result.how is decisions.AttemptEnd.REFUSED
        verdict = self._scheduler.ended(
            job,
            result.how,
            self._ctx.now_ms,
            culprits=result.culprits,
            requeue=final is None and not refused,
            progress=entry.progress,
        )
        final = final or _truthful_verdict(entry, verdict)
        self._decision_due = True
        if final is not None:
            self._finish_job(job, final)
            return
        entry.state = states.JobState.QUEUED
        if refused:
            self._back_off(entry)
        for claim in self._book.claims_of(f"job/{job}"):
            self._free_claim(claim)

    def _back_off(self, entry: job_table.JobEntry) -> None:
        """Keeps a job that was refused out of the queue for a while."""
        hold_ms = min(BACKOFF_MS << entry.refusals, BACKOFF_MAX_MS)
        entry.refusals += 1
        self._held_until_ms[entry.spec.job] = self._ctx.now_ms + hold_ms

    def _finish_job(self, job: ids.JobId, result: jobs.JobResult) -> None:
        """Records a final result and tells it once it is safe to do so."""
        entry = self.table.entries[job]
        if entry.ending:
            return
        entry.ending = True
        entry.state = states.JobState.STOPPING
        ended = records.JobEnded(
            record=ids.RecordId(f"end:{job}"),
            job=job,
            account=entry.spec.account,
            token=self.token,
            result=result,
            attempts=entry.attempts,
            body_digest=job_table.body_digest(entry.spec),
        )
        self._outbox.write(
            self._stream,
            ended,
            lambda outcome: self._end_written(ended),
            limit_ms=None,
        )

    def _end_written(self, ended: records.JobEnded) -> None:
        if ended.result.code is codes.ResultCode.DONE:
            self._tell_end(ended)
        else:
            self._token_check.confirm(lambda: self._tell_end(ended))

    def _tell_end(self, ended: records.JobEnded) -> None:
        if ended.job not in self.table.entries:
            return
        self._book.fold(ended)
        ended = self._book.ended[ended.job]
        self._ctx.trace(
            timeline.EventKind.JOB_ENDED,
            job=ended.job,
            account=ended.account,
            code=int(ended.result.code),
        )
        self.table.end(ended)

    def _worker_answered(
        self, worker: ids.WorkerId, answer: messages.WorkerAnswer
    ) -> None:
        if answer.token > self.token:
            self._on_fenced(answer.token)
        elif answer.report is not None:
            self.worker_report(answer.report)

    def _worker_answers(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> None:
        self._lost.discard(worker)
        self._set_state(worker, state)

    def _set_state(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> None:
        self._scheduler.set_worker_state(worker, state, self._ctx.now_ms)

    def _lease_report(
        self, worker: ids.WorkerId, lease: messages.LeaseReport
    ) -> None:
        attempt = self.attempts.get(lease.attempt)
        if attempt is not None:
            attempt.report(worker, lease)
            return
        job = lease.spec.job
        holds = lease.state.holds_resources
        wanted = lease.state is states.LeaseState.FINISHED or holds
        unplaced = job not in self._by_job and job not in self._book.ended
        if wanted and unplaced and self._adoptable(lease):
            self._adopt(worker, lease)
        elif holds:
            self._stop_orphan(worker, lease)
        else:
            self._forget.setdefault(worker, set()).add(lease.attempt)

    def _adoptable(self, lease: messages.LeaseReport) -> bool:
        """Returns whether an unknown lease may be taken over as it is."""
        if lease.attempt in self._obsolete:
            return False
        job = lease.spec.job
        if job in self.table.entries:
            return job in self._held_until_ms
        return True

    def _adopt(self, worker: ids.WorkerId, lease: messages.LeaseReport) -> None:
        """Takes over an attempt that an earlier owner has started."""
        spec = lease.spec
        self._held_until_ms.pop(spec.job, None)
        entry = self.table.entries.get(spec.job)
        if entry is None:
            entry = job_table.JobEntry(
                spec=spec, durability=states.Durability.LOG
            )
            self.table.entries[spec.job] = entry
            self._trace_accepted(entry)
        entry.attempts = lease.number
        entry.ever_ran = entry.ever_ran or lease.ran
        attempt = self._new_attempt(
            entry, lease.attempt, lease.number, lease.placement
        )
        entry.state = states.JobState.STARTING
        entry.workers = attempt.workers
        self._scheduler.adopt(
            spec,
            lease.placement,
            self._ctx.now_ms,
            running_ms=lease.running_ms,
        )
        attempt.adopt()
        attempt.report(worker, lease)
        if spec.job in self._book.cancelled:
            entry.cancelled = True
            attempt.stop(decisions.AttemptEnd.CANCELLED)

    def _stop_orphan(
        self, worker: ids.WorkerId, lease: messages.LeaseReport
    ) -> None:
        """Stops an attempt that no job wants any more."""
        target = self._targets.get(worker)
        if target is None:
            return
        call = messages.WorkerCall(
            token=self.token, acts=(messages.Stop(attempt=lease.attempt),)
        )
        self._ctx.call_worker(
            target,
            call,
            lambda answer: (
                answer is not None and self._worker_answered(worker, answer)
            ),
        )

    def _release_held(self) -> None:
        """Queues held jobs once no silent worker can run them any more."""
        due = [
            job
            for job, until_ms in self._held_until_ms.items()
            if until_ms <= self._ctx.now_ms
        ]
        for job in due:
            del self._held_until_ms[job]
            entry = self.table.entries[job]
            self._scheduler.restore(
                entry.spec, self._ctx.now_ms, progress=entry.progress
            )

    def _send_forget(self) -> None:
        """Lets workers drop ended attempts whose results are in the log."""
        if not self._forget or not self._outbox.empty():
            return
        for worker, attempts in self._forget.items():
            target = self._targets.get(worker)
            if target is None:
                continue
            act = messages.Forget(attempts=tuple(sorted(attempts)))
            call = messages.WorkerCall(token=self.token, acts=(act,))
            self._ctx.call_worker(target, call, lambda answer: None)
        self._forget = {}


def _cancel_result(entry: job_table.JobEntry) -> jobs.JobResult:
    code = (
        codes.ResultCode.CANCELLED_AFTER_START
        if entry.ever_ran
        else codes.ResultCode.CANCELLED_NOT_RUN
    )
    return jobs.JobResult(code=code)


def _final_result(
    entry: job_table.JobEntry, result: attempts_lib.AttemptResult
) -> jobs.JobResult | None:
    """Returns the job's final result, or None if it may run again."""
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
        return _cancel_result(entry)
    if entry.spec.idempotent or result.ran is False:
        return None
    if result.ran is None:
        return jobs.JobResult(code=codes.ResultCode.OUTCOME_UNKNOWN)
    return jobs.JobResult(code=codes.ResultCode.INTERRUPTED)


def _truthful_verdict(
    entry: job_table.JobEntry, verdict: jobs.JobResult | None
) -> jobs.JobResult | None:
    """Returns the scheduler's verdict, or that no worker would start it."""
    if verdict is None or entry.ever_ran:
        return verdict
    return jobs.JobResult(
        code=codes.ResultCode.TARGET_REFUSED, detail=verdict.detail
    )
