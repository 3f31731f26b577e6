"""Records moves of queued jobs between failure domains."""

from collections.abc import Callable

from citronmount.agent import domain_context
from citronmount.agent import job_completion
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.state import records

__all__ = ["JobMoves"]


class JobMoves:
    """Records the steps of each move durably.

    The mover decides which jobs to move and calls the other failure domains.
    """

    def __init__(
        self,
        *,
        domain: domain_context.DomainContext,
        completion: job_completion.JobCompletion,
    ) -> None:
        """Initializes for an owned failure domain.

        Args:
            domain: Shared state of the owned failure domain.
            completion: Ends and cancels jobs.
        """
        self._domain = domain
        self._completion = completion

    def moved_to(self, job: ids.JobId) -> ids.FailureDomainId | None:
        """Returns the failure domain that a job has been moved to.

        Args:
            job: A job whose home is this failure domain.

        Returns:
            The failure domain that schedules the job, or None if it was not
            moved away.
        """
        moved = self._domain.job_view.outgoing_move(job)
        if moved is None or job in self._domain.table.entries:
            return None
        return moved.to

    def movable_jobs(self) -> list[jobs.JobSpec]:
        """Returns the queued jobs that may be moved, in queue order.

        Excluded are jobs that may have run, are not idempotent, are cancelled
        or ending, or wait for evictions to free their capacity.
        """
        entries = (
            self._domain.table.entries.get(job)
            for job in self._domain.scheduler.queued_without_placement()
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
    ) -> list[tuple[jobs.JobSpec, records.JobMoved]]:
        """Returns the recorded moves that are not confirmed yet."""
        return [
            (self._domain.table.entries[job].spec, moved)
            for job, moved in self._domain.job_view.moved.items()
            if not moved.confirmed
            and moved.to != self._domain.failure_domain
            and job in self._domain.table.entries
            and self._domain.table.entries[job].ending
        ]

    def move_out(
        self,
        job: ids.JobId,
        to: ids.FailureDomainId,
        on_released: Callable[[jobs.JobSpec, records.JobMoved], None],
    ) -> None:
        """Removes a job from the queue and records its move.

        Args:
            job: A queued job.
            to: The failure domain that schedules it from then on.
            on_released: Called once the move is durable and no later owner of
                this failure domain can start the job.
        """
        entry = self._domain.table.entries[job]
        if not self._domain.scheduler.cancel(job):
            return
        entry.state = states.JobState.STOPPING
        entry.ending = True
        moved = records.JobMoved(
            record=ids.RecordId(self._domain.ctx.unique_id()),
            job=job,
            number=self._domain.job_view.next_move_number(job),
            to=to,
        )

        def handle_released() -> None:
            self._domain.job_view.fold(moved)
            on_released(entry.spec, moved)

        self._domain.outbox.write(
            self._domain.stream,
            moved,
            lambda outcome: self._domain.token_check.confirm(handle_released),
            limit_ms=None,
        )

    def settle_move(
        self, job: ids.JobId, to: ids.FailureDomainId, *, accepted: bool
    ) -> None:
        """Completes a move or returns the job to the queue.

        Args:
            job: The job.
            to: The failure domain that the job was submitted to.
            accepted: Whether that failure domain has accepted the job. False
                only if its answer proves that it never will; the job is then
                queued here again.
        """
        entry = self._domain.table.entries.get(job)
        if entry is None:
            return
        if accepted:
            self._record_confirmation(job, to)
        else:
            self.record_return(job)
        if accepted:
            self._domain.table.remove_moved(job)
            return
        entry.ending = False
        entry.state = states.JobState.QUEUED
        self._domain.scheduler.restore(
            entry.spec, self._domain.ctx.now_ms, progress=entry.progress
        )
        if entry.cancelled:
            self._completion.execute_cancel(entry)

    def revert_unsent_moves(self) -> None:
        """Reverts moves of jobs that this owner schedules.

        A fenced owner has recorded them. It has not submitted the jobs to the
        other failure domains, because its token was not confirmed.
        """
        unsent = [
            moved.job
            for moved in self._domain.job_view.moved.values()
            if moved.to != self._domain.failure_domain
            and moved.job in self._domain.table.entries
            and not self._domain.table.entries[moved.job].ending
        ]
        for job in unsent:
            self.record_return(job)

    def _record_confirmation(
        self, job: ids.JobId, to: ids.FailureDomainId
    ) -> None:
        """Records that another failure domain has accepted a job."""
        self._domain.record(
            records.JobMoved(
                record=ids.RecordId(self._domain.ctx.unique_id()),
                job=job,
                number=self._domain.job_view.next_move_number(job) - 1,
                to=to,
                confirmed=True,
            )
        )

    def record_arrival(self, job: ids.JobId, number: int) -> None:
        """Records that a move has brought a job here.

        Args:
            job: The job.
            number: The number of the move.
        """
        self._domain.record(
            records.JobMoved(
                record=ids.RecordId(self._domain.ctx.unique_id()),
                job=job,
                number=number,
                to=self._domain.failure_domain,
                confirmed=True,
            )
        )

    def record_return(self, job: ids.JobId) -> None:
        """Records that this failure domain schedules a job again.

        Args:
            job: The job.
        """
        self._domain.record(
            records.JobMoved(
                record=ids.RecordId(self._domain.ctx.unique_id()),
                job=job,
                number=self._domain.job_view.next_move_number(job),
                to=self._domain.failure_domain,
            )
        )
