"""Advances runs from their placement to their end."""

from collections.abc import Iterable

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import owner_state
from citronmount.fleet.runs import run_starts
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import slow_members
from citronmount.fleet.runs import straggler_restarts
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import speed_estimates
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import job_views
from citronmount.workflow import records
from citronmount.workflow import units

__all__ = ["RunDriver"]

OVERDUE_FACTOR = 4
MIN_OVERDUE_ELAPSED_MS = 20_000
MIN_STALL_MS = 2_000
STALL_ESTIMATE_SHARE = 0.25
MAX_MOVES = 2
# Time for the report of an end beyond the time that a worker needs to stop.
END_REPORT_MARGIN_MS = 100
END_POLL_PERIOD_MS = 300


class RunDriver:
    """Records runs, sends their commands and ends slow or lost ones."""

    def __init__(
        self,
        *,
        state: owner_state.OwnerState,
        usable_workers: straggler_restarts.UsableWorkers,
    ) -> None:
        """Initializes the driver.

        Args:
            state: State shared by the parts of the owner.
            usable_workers: Returns the workers that may receive tasks at a
                monotonic time in milliseconds.
        """
        self._state = state
        self._starts = run_starts.RunStarts(state=state)
        self._restarts: straggler_restarts.StragglerRestarts | None = None
        if isinstance(state.speeds, speed_estimates.SpeedEstimates):
            self._restarts = straggler_restarts.StragglerRestarts(
                state=state,
                estimates=state.speeds,
                usable_workers=usable_workers,
            )

    def restore(self, now_ms: int) -> None:
        """Restores from the job view the runs that workers may still hold.

        A run whose unit is waiting again is ended.
        """
        for job, entry in self._state.job_view.jobs.items():
            try:
                self._restore_runs_of(entry, now_ms)
            except Exception:
                self._state.job_faults.note_unrestored(job, now_ms)

    def _restore_runs_of(self, entry: job_views.JobEntry, now_ms: int) -> None:
        workflow = entry.submission.workflow
        estimate = self._state.estimates.estimate(entry.submission, now_ms)
        for change in entry.progress.unit_records.values():
            if not change.places:
                continue
            key = units.UnitKey.parse(change.unit)
            run = unit_runs.Run(
                key=key,
                step=workflow.steps[key.step],
                submission=entry.submission,
                number=change.run,
                places=change.places,
                phase=run_states.RunPhase.ACTIVE,
                failures=change.failures,
                crash_history=change.crash_history,
                saved=change.saved,
                restored=True,
                now_ms=now_ms,
                task_positions=change.task_positions,
                learned_run_time=estimate.run_time(key.step),
            )
            for member in run.members:
                member.state = run_states.MemberState.STARTING
                member.start_answered = True
            if change.status is records.UnitStatus.WAITING:
                self._state.end_run(run, run_states.EndCause.MEMBER_ENDED)
            self._state.table.add(run)

    def activate_recorded_run(self, change: records.UnitChanged) -> None:
        """Lets a run start after the record of its placement became durable."""
        run = self._state.table.get(change.unit)
        if (
            run is None
            or run.number != change.run
            or change.status is not records.UnitStatus.PLACED
            or run.phase is not run_states.RunPhase.RECORDING
        ):
            return
        run.phase = run_states.RunPhase.ACTIVE
        for member in run.members:
            member.state = run_states.MemberState.STARTING

    def advance_runs(self, now_ms: int, full_scan: bool) -> None:
        """Advances the runs and removes those that are over.

        Usually hundreds of runs are fully running while a few start or end. A
        running one needs no command and depends only on the passing of time, so
        it is checked only in a full scan.

        Args:
            now_ms: Monotonic time in milliseconds.
            full_scan: Whether to check the running ones as well.
        """
        for run in self._state.table:
            if run.is_working and not full_scan:
                continue
            try:
                self._advance(run, now_ms)
            except Exception:
                self._state.job_faults.note(run.job, now_ms)

    def _advance(self, run: unit_runs.Run, now_ms: int) -> None:
        if run.phase is run_states.RunPhase.CLEARING:
            self._starts.withdraw_if_closed(run)
            self.record_if_cleared(run)
        elif run.phase is run_states.RunPhase.ACTIVE:
            self._starts.send_due(run, now_ms)
            self._learn_if_long(run, now_ms)
            self._end_if_member_stalled(run, now_ms)
            self._end_if_slow_member(run, now_ms)
            self._end_if_overdue(run, now_ms)
            self._leave_draining_workers(run, now_ms)
        elif run.phase is run_states.RunPhase.ENDING:
            self.send_due_stops(run, now_ms)
        self._mark_expired_members_missing(run, now_ms)
        if run.is_over:
            self._remove(run, now_ms)

    def _remove(self, run: unit_runs.Run, now_ms: int) -> None:
        """Removes a run that is over, so that its unit may start again."""
        self._state.table.remove(run)
        self._state.victims_by_unit.pop(run.unit, None)
        self._state.ready_since_ms[run.unit] = now_ms
        self._state.last_runs[run.unit] = run
        self._state.needs_planning = True
        workers = self._state.workers_of(run)
        self._state.estimates.run_over(run, workers, now_ms)
        run.forget_crashes_if_sound(now_ms)

    def record_if_cleared(self, run: unit_runs.Run) -> None:
        """Records a run's placement once the runs that it preempts are over."""
        if run.phase is not run_states.RunPhase.CLEARING:
            return
        victims = self._state.victims_by_unit.get(run.unit, [])
        if all(victim.is_over for victim in victims):
            run.phase = run_states.RunPhase.RECORDING
            self._state.append_record(run.to_record(records.UnitStatus.PLACED))

    def _learn_if_long(self, run: unit_runs.Run, now_ms: int) -> None:
        """Learns from a run past its high quantile before it ends."""
        if self._state.estimates.is_news(run, now_ms):
            workers = self._state.workers_of(run)
            self._state.estimates.run_continues(run, workers, now_ms)

    def _end_if_member_stalled(self, run: unit_runs.Run, now_ms: int) -> None:
        """Ends a run with a stalled member, so that the unit moves elsewhere.

        The limit doubles with each stall of the unit, as in `_end_if_overdue`.
        """
        if run.started_ms is None or run.step.lasting:
            return
        # A learned time may extend the limit, but not shorten it.
        expected_ms = max(run.run_time.high_ms, run.step.estimate_ms)
        share_ms = expected_ms * STALL_ESTIMATE_SHARE
        backoff = 2 ** self._state.stall_counts[run.unit]
        limit_ms = max(MIN_STALL_MS, share_ms) * backoff
        stalled = [
            member.place.worker
            for member in run.live_members
            if member.progress.unchanged_ms >= limit_ms
        ]
        if stalled:
            self._state.log.warning(
                "run_stands_still",
                unit=run.unit,
                run=run.number,
                workers=stalled,
                limit_ms=int(limit_ms),
            )
            self._end_and_avoid(
                run, stalled, run_states.EndCause.STALLED, now_ms
            )

    def _end_if_slow_member(self, run: unit_runs.Run, now_ms: int) -> None:
        """Ends a gang that would finish sooner if restarted elsewhere.

        Stops doing so for a unit after `MAX_MOVES` of its runs were ended, for
        this reason or because they stalled.
        """
        if run.phase is not run_states.RunPhase.ACTIVE or run.step.lasting:
            return
        if run.started_ms is None or len(run.members) < 2:
            return
        if self._state.stall_counts[run.unit] >= MAX_MOVES:
            return
        if self._restarts is not None:
            slow = self._restarts.workers_to_leave(run, now_ms)
        else:
            slow = slow_members.slow_workers(run)
        if slow:
            self._state.log.warning(
                "run_held_up",
                unit=run.unit,
                run=run.number,
                workers=sorted(slow),
                elapsed_ms=now_ms - run.started_ms,
            )
            self._end_and_avoid(
                run, slow, run_states.EndCause.SLOW_MEMBER, now_ms
            )

    def _end_and_avoid(
        self,
        run: unit_runs.Run,
        worker_ids: Iterable[ids.WorkerId],
        cause: run_states.EndCause,
        now_ms: int,
    ) -> None:
        """Ends a run and makes its unit avoid some workers from now on."""
        self._state.stall_counts[run.unit] += 1
        for worker in worker_ids:
            self._state.avoid_worker(run.unit, worker)
            self._state.health.mark_stalled(worker, now_ms)
        self._state.end_run(run, cause)

    def _end_if_overdue(self, run: unit_runs.Run, now_ms: int) -> None:
        """Ends a run that is far overdue, so that the unit moves elsewhere.

        The limit doubles with each stall of the unit, so that a job whose run
        time is far above its estimate completes nevertheless. The workers are
        checked before the limit applies, because the check also makes those
        with an overdue run distrusted.
        """
        estimate_ms = run.step.estimate_ms
        if run.started_ms is None or run.step.lasting or not estimate_ms:
            return
        elapsed_ms = now_ms - run.started_ms
        learned = run.learned_run_time
        learned_ms = learned.high_ms if learned else 0
        if elapsed_ms < max(estimate_ms, learned_ms):
            return
        # A fast worker must not make the limit stricter than the declared time.
        slowest_speed = min(self._state.slowest_speed(run), 1.0)
        limit_estimate_ms = int(estimate_ms / slowest_speed)
        factors = [
            self._state.health.check_overdue(
                member.place.worker,
                elapsed_ms,
                limit_estimate_ms,
                now_ms,
                service=run.submission.terms.service,
                min_typical_ms=int(learned_ms / slowest_speed),
            )
            for member in run.live_members
        ]
        backoff = 2 ** self._state.stall_counts[run.unit]
        min_factor = min(factors, default=0.0)
        if elapsed_ms < MIN_OVERDUE_ELAPSED_MS * backoff:
            return
        if min_factor >= OVERDUE_FACTOR * backoff:
            self._state.stall_counts[run.unit] += 1
            self._state.log.warning(
                "run_stalled",
                unit=run.unit,
                run=run.number,
                elapsed_ms=elapsed_ms,
                estimate_ms=estimate_ms,
                learned_ms=learned_ms,
            )
            self._state.end_run(run, run_states.EndCause.STALLED)

    def _leave_draining_workers(self, run: unit_runs.Run, now_ms: int) -> None:
        """Ends a run that a draining worker would stop anyway.

        A draining worker stops its tasks when it leaves. Lasting tasks and
        tasks with checkpoints lose no work by a move, so they are moved at
        once, the latter only if they would not finish before the worker leaves.
        """
        if run.started_ms is None:
            return
        if not (run.step.lasting or run.step.checkpoints):
            return
        remaining_ms = run.started_ms + run.run_time.median_ms - now_ms
        for member in run.live_members:
            session = self._state.session_at_place(member.place)
            if session is None:
                continue
            worker = session.worker
            if worker.state is not worker_directory.WorkerState.DRAINING:
                continue
            if run.step.lasting or remaining_ms > (worker.remaining_ms or 0):
                self._state.end_run(run, run_states.EndCause.WORKER_LEAVES)
                return

    def send_due_stops(self, run: unit_runs.Run, now_ms: int) -> None:
        """Sends the `Stop` commands that are due.

        Members that cannot have started need none and are gone at once.
        """
        for member in run.live_members:
            if not member.may_have_started:
                self._state.table.mark_gone(run, member)
            elif member.stop_answered:
                self._poll_for_end(run, member, now_ms)
            elif not member.stop_open:
                self._send_stop(run, member, now_ms)

    def _poll_for_end(
        self, run: unit_runs.Run, member: unit_runs.Member, now_ms: int
    ) -> None:
        """Polls a worker that has not reported the end of a stopped task.

        The pending lease renewal that should report it may have been lost, and
        the units that wait for the capacity cannot wait for its timeout.
        """
        overdue_ms = self._state.policy.stop_ms + END_REPORT_MARGIN_MS
        if now_ms < max(member.settled_ms + overdue_ms, member.next_order_ms):
            return
        session = self._state.session_at_place(member.place)
        if session is None:
            return
        member.next_order_ms = now_ms + END_POLL_PERIOD_MS
        session.poll_soon()
        self._state.changed_workers.add(member.place.worker)
        self._state.log.info(
            "end_report_overdue",
            task=member.task,
            run=run.number,
            worker=member.place.worker,
            stopped_ms_ago=now_ms - member.settled_ms,
        )

    def _send_stop(
        self, run: unit_runs.Run, member: unit_runs.Member, now_ms: int
    ) -> None:
        session = self._state.session_at_place(member.place)
        if session is None:
            return
        if now_ms < member.next_order_ms:
            return
        member.stop_open = True
        self._state.commands.append(
            commands.Stop(
                worker=session.worker,
                task=member.task,
                run=run.number,
                token=self._state.token,
            )
        )

    def _mark_expired_members_missing(
        self, run: unit_runs.Run, now_ms: int
    ) -> None:
        """Marks members as missing whose lease is certain to have expired."""
        for member in run.live_members:
            if member.state is run_states.MemberState.RESERVED:
                continue
            session = self._state.sessions.get(member.place.worker)
            if session is None:
                if now_ms > self._state.orphan_leases_end_ms:
                    self._state.mark_member_missing(
                        run, member, run_states.MissingCause.LEASE_EXPIRED
                    )
                continue
            silent = session.silent_ms(now_ms) > self._state.policy.trust_ms
            if (silent or not session.has_answered) and session.lease_expired(
                now_ms
            ):
                self._state.mark_member_missing(
                    run, member, run_states.MissingCause.LEASE_EXPIRED
                )
