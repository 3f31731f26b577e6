"""Handles the ends of tasks that workers report."""

from citronmount.fleet import commands
from citronmount.fleet import owner_state
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import speed_observations
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import lease_sessions
from citronmount.workflow import records

__all__ = ["RunEnds"]


class RunEnds:
    """Updates runs, their records and the assessment of workers from ends."""

    def __init__(self, *, state: owner_state.OwnerState) -> None:
        """Initializes the handler.

        Args:
            state: State shared by the parts of the owner.
        """
        self._state = state

    def handle_end(
        self,
        session: lease_sessions.LeaseSession,
        end: commands.EndedTask,
        now_ms: int,
    ) -> None:
        """Handles an end that a worker reports for the first time.

        The worker may delete the end once its record is durable. An end that
        needs no record of its own waits for the unit's pending records.
        """
        place = records.Place(
            worker=session.worker.worker, life_ms=session.worker.life_ms
        )
        found = self._state.table.find_task(end.task, end.run)
        if found is None or found[1].place != place:
            session.resolve_end(end.number, now_ms)
            return
        run, member = found
        self._state.needs_planning = True
        run.saved = end.saved or run.saved
        try:
            self._learn(run, member, end.kind, now_ms)
        except Exception:
            # The end is in the worker's report, so it would fail each owner.
            self._state.job_faults.note(run.job, now_ms)
        self._state.log.info(
            "run_ended",
            task=end.task,
            run=end.run,
            worker=place.worker,
            kind=end.kind.value,
        )
        self._state.table.mark_gone(run, member)
        status = self._update_outcome(run, end.kind)
        if status is None and self._state.pending_unit_records[run.unit]:
            self._state.deferred_ends[run.unit].append((place, end.number))
            return
        if status is None:
            session.resolve_end(end.number, now_ms)
            return
        change = run.to_record(status)
        self._state.append_record(change, ends=((place, end.number),))

    def _learn(
        self,
        run: unit_runs.Run,
        member: unit_runs.Member,
        kind: commands.EndKind,
        now_ms: int,
    ) -> None:
        """Updates what is known of workers and run times after an end."""
        if run.outcome is None:
            speed_observations.observe_gang(self._state, run, now_ms)
        if kind is commands.EndKind.DONE:
            workers = self._state.workers_of(run)
            self._state.estimates.run_done(run, workers, now_ms)
        self._record_health(run, member, kind, now_ms)

    def _record_health(
        self,
        run: unit_runs.Run,
        member: unit_runs.Member,
        kind: commands.EndKind,
        now_ms: int,
    ) -> None:
        """Updates the assessment of a worker after the end of a task."""
        worker = member.place.worker
        if kind is commands.EndKind.DONE and run.started_ms is not None:
            elapsed_ms = now_ms - run.started_ms
            self._state.health.record_success(
                worker,
                elapsed_ms,
                run.step.estimate_ms,
                now_ms,
                service=run.submission.terms.service,
                expected_ms=int(
                    run.run_time.high_ms / self._state.slowest_speed(run)
                ),
            )
        if kind is commands.EndKind.FAILED:
            self._state.avoid_worker(run.unit, worker)
            if self._state.health.record_failure(worker, run.job, now_ms):
                self._state.log.warning("worker_distrusted", worker=worker)

    def _update_outcome(
        self, run: unit_runs.Run, kind: commands.EndKind
    ) -> records.UnitStatus | None:
        """Updates the outcome of a run after the end of a member.

        The first success or failure of a member decides the outcome. Before it
        is decided, any end but a success ends the whole run.

        Returns:
            The unit's status to record, or None if no record is needed.
        """
        decisive = (commands.EndKind.DONE, commands.EndKind.FAILED)
        if run.outcome in decisive:
            return None
        run.outcome = kind
        if kind is commands.EndKind.DONE:
            if run.step.lasting:
                return records.UnitStatus.WAITING
            return records.UnitStatus.DONE
        self._state.end_run(run, run_states.EndCause.MEMBER_ENDED)
        if kind is commands.EndKind.FAILED:
            run.failures += 1
            exhausted = run.failures >= run.submission.terms.max_attempts
            if exhausted and not run.step.lasting:
                return records.UnitStatus.FAILED
            return records.UnitStatus.WAITING
        return records.UnitStatus.WAITING if run.saved else None
