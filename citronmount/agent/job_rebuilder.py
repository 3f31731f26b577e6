"""Rebuilds the jobs and attempts of a failure domain after a takeover."""

from citronmount.agent import attempt_manager
from citronmount.agent import domain_context
from citronmount.agent import job_completion
from citronmount.agent import job_moves
from citronmount.agent import job_table
from citronmount.agent import worker_reports
from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = ["JobRebuilder"]


class JobRebuilder:
    """Restores jobs from the job view and attempts from worker reports."""

    def __init__(
        self,
        *,
        domain: domain_context.DomainContext,
        completion: job_completion.JobCompletion,
        moves: job_moves.JobMoves,
        manager: attempt_manager.AttemptManager,
        reports: worker_reports.WorkerReports,
    ) -> None:
        """Initializes for an owned failure domain.

        Args:
            domain: Shared state of the owned failure domain.
            completion: Ends and cancels jobs.
            moves: Records moves of jobs between failure domains.
            manager: Starts and stops attempts.
            reports: Processes reports of workers.
        """
        self._domain = domain
        self._completion = completion
        self._moves = moves
        self._manager = manager
        self._reports = reports

    def rebuild(
        self,
        reports: tuple[messages.Report, ...],
        silent: tuple[ids.WorkerId, ...],
    ) -> None:
        """Restores the jobs of the job view and adopts reported attempts.

        If a job has several attempts, only the newest is adopted. If a worker
        is silent, jobs without a reported attempt wait for one lease TTL,
        because that worker may still run them.

        Args:
            reports: The reports of the workers that have answered.
            silent: The workers that have not.
        """
        newest: dict[ids.JobId, messages.LeaseReport] = {}
        leases = [lease for report in reports for lease in report.leases]
        for lease in leases:
            known = newest.get(lease.spec.job)
            if known is None or known.number < lease.number:
                newest[lease.spec.job] = lease
        current = {lease.attempt for lease in newest.values()}
        self._reports.obsolete_attempts = frozenset(
            lease.attempt for lease in leases if lease.attempt not in current
        )
        for report in reports:
            self._reports.handle_report(report)
        delay_ms = self._domain.ctx.settings.lease_ttl_ms if silent else 0
        self.restore_missing_jobs(delay_ms=delay_ms)

    def restore_missing_jobs(self, *, delay_ms: int = 0) -> None:
        """Restores accepted jobs that are not in the table.

        Jobs that an earlier owner has ended are removed from the table.

        Args:
            delay_ms: Time before the restored jobs may be placed.
        """
        self._completion.remove_ended_jobs()
        missing = [
            spec
            for job, spec in self._domain.job_view.accepted.items()
            if job not in self._domain.table.entries
        ]
        self._moves.revert_unsent_moves()
        for spec in missing:
            self.restore_job(spec, delay_ms=delay_ms)

    def restore_job(self, spec: jobs.JobSpec, *, delay_ms: int) -> None:
        """Restores an accepted job without a reported attempt.

        Args:
            spec: The job.
            delay_ms: Time before the job may be placed, because a worker that
                did not answer may still run it.
        """
        entry = job_table.JobEntry(spec=spec, durability=states.Durability.LOG)
        self._domain.table.entries[spec.job] = entry
        self._domain.trace_accepted(entry)
        entry.cancelled = spec.job in self._domain.job_view.cancelled
        if self._domain.job_view.outgoing_move(spec.job) is not None:
            entry.state = states.JobState.STOPPING
            entry.ending = True
            return
        intent = self._domain.job_view.intents.get(spec.job)
        if intent is not None:
            entry.ever_ran = True
            entry.attempts = intent.number
        if intent is not None and not spec.idempotent:
            self._manager.stop_earlier_attempt(entry, intent)
        elif entry.cancelled:
            self._completion.end_job(
                spec.job, job_completion.cancel_result(entry)
            )
        elif delay_ms > 0:
            self._domain.requeue_at_ms[spec.job] = (
                self._domain.ctx.now_ms + delay_ms
            )
        else:
            self._domain.scheduler.restore(spec, self._domain.ctx.now_ms)
