"""Rebuilds the jobs of a failure domain that was taken over."""

from citronmount.agent import domain_core
from citronmount.agent import job_ends
from citronmount.agent import job_moves
from citronmount.agent import job_runs
from citronmount.agent import job_table
from citronmount.agent import worker_reports
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.services import messages

__all__ = ["JobRebuilding"]


class JobRebuilding:
    """Takes over jobs from the book and attempts from workers."""

    def __init__(
        self,
        *,
        core: domain_core.DomainCore,
        ends: job_ends.JobEnds,
        moves: job_moves.JobMoves,
        runs: job_runs.JobRuns,
        reports: worker_reports.WorkerReports,
    ) -> None:
        """Initializes the part.

        Args:
            core: What the parts of the failure domain share.
            ends: Ends jobs.
            moves: Moves jobs to other failure domains.
            runs: Runs attempts.
            reports: Takes reports of workers.
        """
        self._core = core
        self._ends = ends
        self._moves = moves
        self._runs = runs
        self._reports = reports

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
        self._reports.obsolete = frozenset(
            lease.attempt for lease in leases if lease.attempt not in current
        )
        for report in reports:
            self._reports.worker_report(report)
        hold_ms = self._core.ctx.settings.lease_ttl_ms if silent else 0
        self.restore_missing(hold_ms=hold_ms)

    def restore_missing(self, *, hold_ms: int = 0) -> None:
        """Takes over accepted jobs that the table does not have.

        Jobs that an earlier owner has ended leave the table.

        Args:
            hold_ms: How long they must wait before they may be placed.
        """
        self._ends.drop_ended()
        missing = [
            spec
            for job, spec in self._core.job_view.accepted.items()
            if job not in self._core.table.entries
        ]
        self._moves.take_back()
        for spec in missing:
            self.restore(spec, hold_ms=hold_ms)

    def restore(self, spec: jobs.JobSpec, *, hold_ms: int) -> None:
        """Takes over an accepted job of which no attempt was found.

        Args:
            spec: The job.
            hold_ms: How long it must wait because a worker that did not
                answer may still run it.
        """
        entry = job_table.JobEntry(spec=spec, durability=states.Durability.LOG)
        self._core.table.entries[spec.job] = entry
        self._core.trace_accepted(entry)
        entry.cancelled = spec.job in self._core.job_view.cancelled
        if self._core.job_view.outgoing_move(spec.job) is not None:
            entry.state = states.JobState.STOPPING
            entry.ending = True
            return
        intent = self._core.job_view.intents.get(spec.job)
        if intent is not None:
            entry.ever_ran = True
            entry.attempts = intent.number
        if intent is not None and not spec.idempotent:
            self._runs.conclude(entry, intent)
        elif entry.cancelled:
            self._ends.finish(spec.job, job_ends.cancel_result(entry))
        elif hold_ms > 0:
            self._core.held_until_ms[spec.job] = self._core.ctx.now_ms + hold_ms
        else:
            self._core.scheduler.restore(spec, self._core.ctx.now_ms)
