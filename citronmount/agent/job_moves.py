"""Hands queued jobs to other failure domains and takes them back."""

from collections.abc import Callable

from citronmount.agent import domain_context
from citronmount.agent import job_completion
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.state import records

__all__ = ["JobMoves"]


class JobMoves:
    """The durable side of moving jobs; the mover decides which."""

    def __init__(
        self,
        *,
        domain: domain_context.DomainContext,
        completion: job_completion.JobCompletion,
    ) -> None:
        """Initializes the part.

        Args:
            domain: What the parts of the failure domain share.
            completion: Ends jobs.
        """
        self._domain = domain
        self._completion = completion

    def moved_to(self, job: ids.JobId) -> ids.FailureDomainId | None:
        """Returns which failure domain schedules a job that was moved.

        Args:
            job: A job that has its home here.

        Returns:
            The failure domain, or None if the job was not moved.
        """
        moved = self._domain.job_view.outgoing_move(job)
        if moved is None or job in self._domain.table.entries:
            return None
        return moved.to

    def movable_jobs(self) -> list[jobs.JobSpec]:
        """Returns queued jobs that may go elsewhere, first in line first.

        Jobs that ran before, or for which room is being cleared, stay.
        """
        entries = (
            self._domain.table.entries.get(job)
            for job in self._domain.scheduler.unclaimed()
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
        """Returns the moves whose receiver has not answered yet."""
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
        """Takes a job out of the queue to hand it to another scheduler.

        Args:
            job: A queued job.
            to: The failure domain that is to schedule it.
            on_released: Told once the move is durable and no later owner of
                this failure domain can start the job.
        """
        entry = self._domain.table.entries[job]
        if not self._domain.scheduler.cancel(job):
            return
        entry.state = states.JobState.STOPPING
        entry.ending = True
        moved = records.JobMoved(
            record=ids.RecordId(self._domain.ctx.unique()),
            job=job,
            number=self._domain.job_view.next_move_number(job),
            to=to,
        )

        def released() -> None:
            self._domain.job_view.fold(moved)
            on_released(entry.spec, moved)

        self._domain.outbox.write(
            self._domain.stream,
            moved,
            lambda outcome: self._domain.token_check.confirm(released),
            limit_ms=None,
        )

    def settle_move(
        self, job: ids.JobId, to: ids.FailureDomainId, *, accepted: bool
    ) -> None:
        """Notes what became of a job that was to be moved.

        Args:
            job: The job.
            to: The failure domain that was asked.
            accepted: Whether it schedules the job now; if not, it is proved
                that it never will, and the job is queued here again.
        """
        entry = self._domain.table.entries.get(job)
        if entry is None:
            return
        if accepted:
            self._confirm_move(job, to)
        else:
            self.record_move_home(job)
        if accepted:
            self._domain.table.forward(job)
            return
        entry.ending = False
        entry.state = states.JobState.QUEUED
        self._domain.scheduler.restore(
            entry.spec, self._domain.ctx.now_ms, progress=entry.progress
        )
        if entry.cancelled:
            self._completion.execute_cancel(entry)

    def void_unsent_moves(self) -> None:
        """Voids moves that a fenced owner has recorded but not made."""
        void = [
            moved.job
            for moved in self._domain.job_view.moved.values()
            if moved.to != self._domain.failure_domain
            and moved.job in self._domain.table.entries
            and not self._domain.table.entries[moved.job].ending
        ]
        for job in void:
            self.record_move_home(job)

    def _confirm_move(self, job: ids.JobId, to: ids.FailureDomainId) -> None:
        """Records that another failure domain schedules a job now."""
        self._domain.record(
            records.JobMoved(
                record=ids.RecordId(self._domain.ctx.unique()),
                job=job,
                number=self._domain.job_view.next_move_number(job) - 1,
                to=to,
                confirmed=True,
            )
        )

    def record_move_here(self, job: ids.JobId, number: int) -> None:
        """Records that a move has brought a job here.

        Args:
            job: The job.
            number: The number of the move.
        """
        self._domain.record(
            records.JobMoved(
                record=ids.RecordId(self._domain.ctx.unique()),
                job=job,
                number=number,
                to=self._domain.failure_domain,
                confirmed=True,
            )
        )

    def record_move_home(self, job: ids.JobId) -> None:
        """Records that this failure domain schedules a job again."""
        self._domain.record(
            records.JobMoved(
                record=ids.RecordId(self._domain.ctx.unique()),
                job=job,
                number=self._domain.job_view.next_move_number(job),
                to=self._domain.failure_domain,
            )
        )
