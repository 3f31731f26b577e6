"""Takes what workers report to the owner of a failure domain."""

from citronmount.agent import domain_core
from citronmount.agent import job_runs
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
        core: domain_core.DomainCore,
        runs: job_runs.JobRuns,
    ) -> None:
        """Initializes the part.

        Args:
            core: What the parts of the failure domain share.
            runs: Runs attempts.
        """
        self._core = core
        self._runs = runs
        self.obsolete: frozenset[ids.AttemptId] = frozenset()
        self.lost: set[ids.WorkerId] = set()
        self._sequences: dict[ids.WorkerId, int] = {}
        self._quarantined: frozenset[ids.WorkerId] = frozenset()
        self._states: dict[ids.WorkerId, states.TargetState] = {}

    def worker_report(self, report: messages.Report) -> None:
        """Takes over a worker's report.

        Args:
            report: The report; one older than the last is dropped.
        """
        if report.token > self._core.token:
            self._core.on_fenced(report.token)
            return
        worker = report.worker
        if report.sequence < self._sequences.get(worker, -1):
            return
        self._sequences[worker] = report.sequence
        if report.token == self._core.token:
            self._core.fenced.add(worker)
        self._worker_answers(worker, report.state)
        named = set()
        for lease in report.leases:
            named.add(lease.attempt)
            self._lease_report(worker, lease)
        for attempt in list(self._core.attempts.values()):
            if worker in attempt.workers and attempt.attempt not in named:
                attempt.absent(worker, report.sequence)

    def worker_lost(self, worker: ids.WorkerId) -> None:
        """Notes that a worker has been silent for more than a lease time.

        Args:
            worker: The worker.
        """
        if worker not in self.lost:
            self.lost.add(worker)
            self.set_state(worker, states.TargetState.LOST)
        for attempt in list(self._core.attempts.values()):
            attempt.worker_lost(worker)

    def answered(
        self, worker: ids.WorkerId, answer: messages.WorkerAnswer
    ) -> None:
        """Takes over what comes with a worker's answer to any call.

        Args:
            worker: The worker.
            answer: Its answer.
        """
        if answer.token > self._core.token:
            self._core.on_fenced(answer.token)
        elif answer.report is not None:
            self.worker_report(answer.report)

    def _worker_answers(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> None:
        self.lost.discard(worker)
        self.set_state(worker, state)

    def set_state(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> None:
        """Notes whether a worker may get new tasks.

        Args:
            worker: The worker.
            state: Its state.
        """
        core = self._core
        if self._states.get(worker, states.TargetState.UP) is not state:
            self._trace_state(worker, state)
        self._states[worker] = state
        core.scheduler.set_worker_state(worker, state, core.ctx.now_ms)

    def _lease_report(
        self, worker: ids.WorkerId, lease: messages.LeaseReport
    ) -> None:
        attempt = self._core.attempts.get(lease.attempt)
        if attempt is not None:
            attempt.report(worker, lease)
            return
        job = lease.spec.job
        holds = lease.state.holds_resources
        wanted = lease.state is states.LeaseState.FINISHED or holds
        unplaced = (
            job not in self._core.by_job
            and job not in self._core.job_view.ended
        )
        if wanted and unplaced and self._adoptable(lease):
            self._adopt(worker, lease)
        elif holds:
            self._stop_orphan(worker, lease)
        else:
            self._core.forget.setdefault(worker, set()).add(lease.attempt)

    def _adoptable(self, lease: messages.LeaseReport) -> bool:
        """Returns whether an unknown lease may be taken over as it is."""
        if lease.attempt in self.obsolete:
            return False
        job = lease.spec.job
        if job in self._core.table.entries:
            return job in self._core.held_until_ms
        return True

    def _adopt(self, worker: ids.WorkerId, lease: messages.LeaseReport) -> None:
        """Takes over an attempt that an earlier owner has started."""
        spec = lease.spec
        self._core.held_until_ms.pop(spec.job, None)
        entry = self._core.table.entries.get(spec.job)
        if entry is None:
            entry = job_table.JobEntry(
                spec=spec, durability=states.Durability.LOG
            )
            self._core.table.entries[spec.job] = entry
            self._core.trace_accepted(entry)
        entry.attempts = lease.number
        entry.ever_ran = entry.ever_ran or lease.ran
        attempt = self._runs.new_attempt(
            entry, lease.attempt, lease.number, lease.placement
        )
        entry.state = states.JobState.STARTING
        entry.workers = attempt.workers
        self._core.scheduler.adopt(
            spec,
            lease.placement,
            self._core.ctx.now_ms,
            running_ms=lease.running_ms,
        )
        attempt.adopt()
        attempt.report(worker, lease)
        if spec.job in self._core.job_view.cancelled:
            entry.cancelled = True
            attempt.stop(decisions.AttemptEnd.CANCELLED)

    def _stop_orphan(
        self, worker: ids.WorkerId, lease: messages.LeaseReport
    ) -> None:
        """Stops an attempt that no job wants any more."""
        target = self._core.targets.get(worker)
        if target is None:
            return
        call = messages.WorkerCall(
            token=self._core.token, acts=(messages.Stop(attempt=lease.attempt),)
        )
        self._core.ctx.call_worker(
            target,
            call,
            lambda answer: answer is not None and self.answered(worker, answer),
        )

    def note_quarantine(self) -> None:
        """Notes in the time line which workers fail what is placed there."""
        quarantined = frozenset(self._core.scheduler.quarantined())
        for worker in sorted(quarantined - self._quarantined):
            self._trace_state(worker, states.TargetState.QUARANTINED)
        for worker in sorted(self._quarantined - quarantined):
            self._trace_state(worker, states.TargetState.UP)
        self._quarantined = quarantined

    def _trace_state(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> None:
        self._core.ctx.trace(
            timeline.EventKind.TARGET_STATE,
            target=worker,
            failure_domain=self._core.failure_domain,
            detail=state.value,
        )

    def send_forget(self) -> None:
        """Lets workers drop ended attempts whose results are in the log."""
        if not self._core.forget or not self._core.outbox.empty():
            return
        for worker, attempts in self._core.forget.items():
            target = self._core.targets.get(worker)
            if target is None:
                continue
            act = messages.Forget(attempts=tuple(sorted(attempts)))
            call = messages.WorkerCall(token=self._core.token, acts=(act,))
            self._core.ctx.call_worker(target, call, lambda answer: None)
        self._core.forget = {}
