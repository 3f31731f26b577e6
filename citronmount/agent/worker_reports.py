"""Takes what workers report to the owner of a failure domain."""

from citronmount.agent import attempt_manager
from citronmount.agent import domain_context
from citronmount.agent import job_table
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import states
from citronmount.services import messages
from citronmount.telemetry import events as timeline

__all__ = ["WorkerReports"]


class WorkerReports:
    """Follows workers and the attempts that they report."""

    def __init__(
        self,
        *,
        domain: domain_context.DomainContext,
        manager: attempt_manager.AttemptManager,
    ) -> None:
        """Initializes the part.

        Args:
            domain: What the parts of the failure domain share.
            manager: Runs attempts.
        """
        self._domain = domain
        self._manager = manager
        self.obsolete_attempts: frozenset[ids.AttemptId] = frozenset()
        self.lost_workers: set[ids.WorkerId] = set()
        self._sequences: dict[ids.WorkerId, int] = {}
        self._traced_quarantined: frozenset[ids.WorkerId] = frozenset()
        self._worker_states: dict[ids.WorkerId, states.TargetState] = {}

    def handle_report(self, report: messages.Report) -> None:
        """Takes over a worker's report.

        Args:
            report: The report; one older than the last is dropped.
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
        """Notes that a worker has been silent for more than a lease time.

        Args:
            worker: The worker.
        """
        if worker not in self.lost_workers:
            self.lost_workers.add(worker)
            self.set_worker_state(worker, states.TargetState.LOST)
        for attempt in list(self._domain.attempts.values()):
            attempt.worker_lost(worker)

    def handle_answer(
        self, worker: ids.WorkerId, answer: messages.WorkerAnswer
    ) -> None:
        """Takes over what comes with a worker's answer to any call.

        Args:
            worker: The worker.
            answer: Its answer.
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
        """Notes whether a worker may get new tasks.

        Args:
            worker: The worker.
            state: Its state.
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
        holds = lease.state.holds_resources
        wanted = lease.state is states.LeaseState.FINISHED or holds
        unplaced = (
            job not in self._domain.attempt_by_job
            and job not in self._domain.job_view.ended
        )
        if wanted and unplaced and self._adoptable(lease):
            self._adopt(worker, lease)
        elif holds:
            self._stop_unknown_attempt(worker, lease)
        else:
            self._domain.forgettable_attempts.setdefault(worker, set()).add(
                lease.attempt
            )

    def _adoptable(self, lease: messages.LeaseReport) -> bool:
        """Returns whether an unknown lease may be taken over as it is."""
        if lease.attempt in self.obsolete_attempts:
            return False
        job = lease.spec.job
        if job in self._domain.table.entries:
            return job in self._domain.requeue_at_ms
        return True

    def _adopt(self, worker: ids.WorkerId, lease: messages.LeaseReport) -> None:
        """Takes over an attempt that an earlier owner has started."""
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
        """Stops an attempt that no job wants any more."""
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
        """Notes in the time line which workers fail what is placed there."""
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
            timeline.EventKind.TARGET_STATE,
            target=worker,
            failure_domain=self._domain.failure_domain,
            detail=state.value,
        )

    def send_forget_calls(self) -> None:
        """Lets workers drop ended attempts whose results are in the log."""
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
