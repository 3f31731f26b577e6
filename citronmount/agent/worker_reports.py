"""Processes worker reports for the owner of a failure domain."""

from citronmount.agent import attempt_manager
from citronmount.agent import domain_context
from citronmount.agent import job_table
from citronmount.clients import messages
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import states
from citronmount.telemetry import timeline_events

__all__ = ["WorkerReports"]


class WorkerReports:
    """Tracks the state of workers and updates the attempts that they report.

    Attributes:
        obsolete_attempts: Attempts reported during a rebuild for which a newer
            attempt of the same job was reported too; they are not adopted.
        lost_workers: Workers that have been silent for longer than the lease
            TTL.
    """

    def __init__(
        self,
        *,
        domain: domain_context.DomainContext,
        manager: attempt_manager.AttemptManager,
    ) -> None:
        """Initializes for an owned failure domain.

        Args:
            domain: Shared state of the owned failure domain.
            manager: Starts and stops attempts.
        """
        self._domain = domain
        self._manager = manager
        self.obsolete_attempts: frozenset[ids.AttemptId] = frozenset()
        self.lost_workers: set[ids.WorkerId] = set()
        self._sequences: dict[ids.WorkerId, int] = {}
        self._traced_quarantined: frozenset[ids.WorkerId] = frozenset()
        self._worker_states: dict[ids.WorkerId, states.TargetState] = {}

    def handle_report(self, report: messages.Report) -> None:
        """Processes a worker's report.

        A report with a higher fencing token than the owner's means that the
        owner is fenced. A report older than the last one is dropped.

        Args:
            report: The report.
        """
        if report.token > self._domain.token:
            self._domain.on_fenced(report.token)
            return
        worker = report.worker
        if report.sequence < self._sequences.get(worker, -1):
            return
        self._sequences[worker] = report.sequence
        if report.token == self._domain.token:
            self._domain.fenced_workers.add(worker)
        self._note_worker_alive(worker, report.state)
        listed = set()
        for lease in report.leases:
            listed.add(lease.attempt)
            self._handle_lease(worker, lease)
        for attempt in list(self._domain.attempts.values()):
            if worker in attempt.workers and attempt.attempt not in listed:
                attempt.absent(worker, report.sequence)

    def handle_worker_lost(self, worker: ids.WorkerId) -> None:
        """Marks a worker lost and updates its attempts.

        Args:
            worker: The worker, silent for longer than the lease TTL.
        """
        if worker not in self.lost_workers:
            self.lost_workers.add(worker)
            self.set_worker_state(worker, states.TargetState.LOST)
        for attempt in list(self._domain.attempts.values()):
            attempt.worker_lost(worker)

    def handle_answer(
        self, worker: ids.WorkerId, answer: messages.WorkerAnswer
    ) -> None:
        """Processes the token and the report in a worker's answer.

        Args:
            worker: The worker.
            answer: The answer to any call.
        """
        if answer.token > self._domain.token:
            self._domain.on_fenced(answer.token)
        elif answer.report is not None:
            self.handle_report(answer.report)

    def _note_worker_alive(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> None:
        self.lost_workers.discard(worker)
        self.set_worker_state(worker, state)

    def set_worker_state(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> None:
        """Sets a worker's state, which decides whether it gets new tasks.

        Args:
            worker: The worker.
            state: The state.
        """
        domain = self._domain
        if self._worker_states.get(worker, states.TargetState.UP) is not state:
            self._trace_state(worker, state)
        self._worker_states[worker] = state
        domain.scheduler.set_worker_state(worker, state, domain.ctx.now_ms)

    def _handle_lease(
        self, worker: ids.WorkerId, lease: messages.LeaseReport
    ) -> None:
        attempt = self._domain.attempts.get(lease.attempt)
        if attempt is not None:
            attempt.report(worker, lease)
            return
        job = lease.spec.job
        holding = lease.state.holds_resources
        live_or_finished = lease.state is states.LeaseState.FINISHED or holding
        needs_attempt = (
            job not in self._domain.attempt_by_job
            and job not in self._domain.job_view.ended
        )
        if live_or_finished and needs_attempt and self._adoptable(lease):
            self._adopt(worker, lease)
        elif holding:
            self._stop_unknown_attempt(worker, lease)
        else:
            self._domain.forgettable_attempts.setdefault(worker, set()).add(
                lease.attempt
            )

    def _adoptable(self, lease: messages.LeaseReport) -> bool:
        """Returns whether the attempt of an unknown lease may be adopted.

        Its job must be unknown as well or be held back from the queue.
        """
        if lease.attempt in self.obsolete_attempts:
            return False
        job = lease.spec.job
        if job in self._domain.table.entries:
            return job in self._domain.requeue_at_ms
        return True

    def _adopt(self, worker: ids.WorkerId, lease: messages.LeaseReport) -> None:
        """Adopts an attempt that an earlier owner created."""
        spec = lease.spec
        self._domain.requeue_at_ms.pop(spec.job, None)
        entry = self._domain.table.entries.get(spec.job)
        if entry is None:
            entry = job_table.JobEntry(
                spec=spec, durability=states.Durability.LOG
            )
            self._domain.table.entries[spec.job] = entry
            self._domain.trace_accepted(entry)
        entry.attempts = lease.number
        entry.ever_ran = entry.ever_ran or lease.ran
        attempt = self._manager.create_attempt(
            entry, lease.attempt, lease.number, lease.placement
        )
        entry.state = states.JobState.STARTING
        entry.workers = attempt.workers
        self._domain.scheduler.adopt(
            spec,
            lease.placement,
            self._domain.ctx.now_ms,
            running_ms=lease.running_ms,
        )
        attempt.adopt()
        attempt.report(worker, lease)
        if spec.job in self._domain.job_view.cancelled:
            entry.cancelled = True
            attempt.stop(decisions.AttemptEnd.CANCELLED)

    def _stop_unknown_attempt(
        self, worker: ids.WorkerId, lease: messages.LeaseReport
    ) -> None:
        """Stops an attempt that the owner does not track."""
        target = self._domain.targets.get(worker)
        if target is None:
            return
        call = messages.WorkerCall(
            token=self._domain.token,
            acts=(messages.Stop(attempt=lease.attempt),),
        )
        self._domain.ctx.call_worker(
            target,
            call,
            lambda answer: (
                answer is not None and self.handle_answer(worker, answer)
            ),
        )

    def trace_quarantine(self) -> None:
        """Adds changes of quarantine to the timeline.

        Quarantined workers fail the jobs that are placed on them.
        """
        quarantined = frozenset(self._domain.scheduler.quarantined())
        for worker in sorted(quarantined - self._traced_quarantined):
            self._trace_state(worker, states.TargetState.QUARANTINED)
        for worker in sorted(self._traced_quarantined - quarantined):
            self._trace_state(worker, states.TargetState.UP)
        self._traced_quarantined = quarantined

    def _trace_state(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> None:
        self._domain.ctx.trace(
            timeline_events.EventKind.TARGET_STATE,
            target=worker,
            failure_domain=self._domain.failure_domain,
            detail=state.value,
        )

    def send_forget_calls(self) -> None:
        """Tells workers to drop ended attempts from their reports.

        Nothing is sent until the outbox is empty, so that the results are
        durable in the log before workers forget them.
        """
        if (
            not self._domain.forgettable_attempts
            or not self._domain.outbox.empty()
        ):
            return
        for worker, attempts in self._domain.forgettable_attempts.items():
            target = self._domain.targets.get(worker)
            if target is None:
                continue
            act = messages.Forget(attempts=tuple(sorted(attempts)))
            call = messages.WorkerCall(token=self._domain.token, acts=(act,))
            self._domain.ctx.call_worker(target, call, lambda answer: None)
        self._domain.forgettable_attempts = {}
