"""Ends jobs of a pool: stops remaining runs and records the final state."""

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import owner_state
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_driver
from citronmount.fleet.runs import run_states
from citronmount.workflow import job_views
from citronmount.workflow import records

__all__ = ["JobCompletion", "final_state"]

FINAL_STATE_MARGIN_S = 60

_MS_PER_S = 1_000


class JobCompletion:
    """Records the final states of jobs and removes them after their retention.

    Final states are kept `FINAL_STATE_MARGIN_S` longer than required.
    """

    def __init__(
        self, *, state: owner_state.OwnerState, driver: run_driver.RunDriver
    ) -> None:
        """Initializes the completion of jobs.

        Args:
            state: State shared by the parts of the owner.
            driver: Sends the commands that stop runs.
        """
        self._state = state
        self._driver = driver

    def finish_ended_jobs(self, now_ms: int, wall_ms: int) -> None:
        """Ends jobs that are complete, failed or cancelled.

        The final state of a job is recorded once all of its runs are over. Runs
        that are done are not stopped.

        Args:
            now_ms: Monotonic time in milliseconds.
            wall_ms: Unix time in milliseconds.
        """
        for job, entry in list(self._state.job_view.jobs.items()):
            try:
                self._finish_if_ended(job, entry, now_ms, wall_ms)
            except Exception:
                self._state.job_faults.note(job, now_ms)
        self._remove_leftover_keys()
        self._forget_expired_jobs(wall_ms)

    def _finish_if_ended(
        self,
        job: ids.JobId,
        entry: job_views.JobEntry,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        final = final_state(entry)
        if final is None or job in self._state.finishing_jobs:
            return
        cause = run_states.EndCause.JOB_FAILED
        if final is records.FinalState.CANCELLED:
            cause = run_states.EndCause.CANCELLED
        remaining_runs = self._state.table.runs_of_job(job)
        for run in remaining_runs:
            if run.outcome is not commands.EndKind.DONE:
                self._state.end_run(run, cause)
                self._driver.send_due_stops(run, now_ms)
        if not remaining_runs:
            self._record_final_state(job, entry, final, now_ms, wall_ms)

    def _record_final_state(
        self,
        job: ids.JobId,
        entry: job_views.JobEntry,
        final: records.FinalState,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        self._state.finishing_jobs.add(job)
        record = records.Finished(
            job=job,
            state=final,
            queue=entry.submission.terms.queue,
            account=entry.submission.account,
            finished_ms=wall_ms,
        )
        keys = self._state.job_view.keys_of(job)
        self._state.append_record(record)
        for key in keys:
            self._state.remove_key(key)
        self._state.advice.forget_job(job)
        for unit in entry.progress.unit_records:
            self._state.forget_unit(unit)
        estimate = self._state.estimates.estimate(entry.submission, now_ms)
        self._state.log.info(
            "job_finished",
            job=job,
            account=record.account,
            state=final.name.lower(),
            age_ms=wall_ms - entry.submission.accepted_ms,
            objective_ms=waiting_units.objective_ms(
                entry.submission, estimate.medians_ms
            ),
            slack_factor=entry.submission.terms.slack_factor,
            margin_ms=entry.submission.terms.objective_ms,
        )
        self._state.estimates.forget_job(job)
        self._state.job_faults.forget_job(job)

    def _remove_leftover_keys(self) -> None:
        """Removes what late appends or an earlier owner left of ended jobs.

        Final states are kept for longer than an append can be late, and are
        removed after the keys that are queued here.
        """
        leftover = self._state.job_view.leftover_keys
        for key in sorted(leftover - self._state.removed_keys):
            self._state.log.info("leftover_key_removed", key=key)
            self._state.remove_key(key)

    def _forget_expired_jobs(self, wall_ms: int) -> None:
        kept_s = self._state.bounds.status_s + FINAL_STATE_MARGIN_S
        for job in self._state.job_view.expired_jobs(
            wall_ms - kept_s * _MS_PER_S
        ):
            if job not in self._state.finishing_jobs:
                self._state.finishing_jobs.add(job)
                key = records.final_key(job)
                self._state.remove_key(key)


def final_state(
    entry: job_views.JobEntry,
) -> records.FinalState | None:
    """Returns the final state that a job has reached, or None."""
    if entry.progress.complete:
        return records.FinalState.COMPLETE
    if entry.cancelled:
        return records.FinalState.CANCELLED
    if entry.progress.failed:
        return records.FinalState.FAILED
    return None
