"""Handles the answers of workers to the commands of a pool's owner."""

import msgspec

from citronmount.fleet import commands
from citronmount.fleet import owner_state
from citronmount.fleet.runs import run_ends
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_sessions
from citronmount.workflow import units

__all__ = ["WorkerReports"]

COMMAND_RETRY_MS = 100
SUSPENSION_MS = 1_000
LOG_SILENCE_AFTER_RENEWALS = 3

_SUSPENDING_OUTCOMES = (
    commands.StartOutcome.NO_CAPACITY,
    commands.StartOutcome.NOT_STARTED,
    commands.StartOutcome.LEASE_EXPIRED,
    commands.StartOutcome.UNREACHABLE,
)


class WorkerReports:
    """Updates runs and sessions from the answers and reports of workers."""

    def __init__(
        self,
        *,
        state: owner_state.OwnerState,
        sessions: worker_sessions.WorkerSessions,
    ) -> None:
        """Initializes the handler.

        Args:
            state: State shared by the parts of the owner.
            sessions: Ends the sessions of incarnations that are over.
        """
        self._state = state
        self._sessions = sessions
        self._run_ends = run_ends.RunEnds(state=state)

    def start_answered(
        self,
        command: commands.Start,
        outcome: commands.StartOutcome,
        clock_ms: int | None,
        now_ms: int,
    ) -> None:
        """Handles the outcome of a `Start` command.

        If an earlier `Start` of the member has an unknown outcome, a refusal
        by the same incarnation does not prove that the task will not run. The
        member is then kept until a `Stop` has settled it.
        """
        self._state.changed_workers.add(command.worker.worker)
        self._update_clock(command.worker, clock_ms, now_ms)
        if outcome is commands.StartOutcome.FENCED:
            self._state.fenced = True
            return
        found = self._state.table.find_task(command.task, command.run)
        if found is None:
            return
        run, member = found
        member.start_open = False
        self._state.needs_planning = True
        if self._may_still_start(member, outcome):
            member.start_uncertain = True
            next_start_ms = member.start_sent_ms + COMMAND_RETRY_MS
            member.next_order_ms = max(now_ms, next_start_ms)
            return
        member.start_answered = True
        member.settled_ms = now_ms
        member.settled_event = self._state.next_event()
        if outcome is commands.StartOutcome.STARTED:
            self._mark_running(run, member, now_ms)
            member.seen_running(now_ms)
            if run.started_ms == now_ms:
                self._start_progress(run, now_ms)
            return
        self._state.log.warning(
            "start_refused",
            task=command.task,
            run=command.run,
            worker=command.worker.worker,
            verdict=outcome.value,
        )
        if outcome is commands.StartOutcome.NO_TICKET:
            self._state.advice.drop_ticket(run.key.step_id, member.place.worker)
        if outcome in _SUSPENDING_OUTCOMES:
            self._state.suspended_until_ms[command.worker.worker] = (
                now_ms + SUSPENSION_MS
            )
        if not member.start_uncertain:
            self._state.table.mark_gone(run, member)
        elif outcome is commands.StartOutcome.OTHER_INCARNATION:
            self._sessions.lose_tasks([(run, member)], command.worker, now_ms)
        # Otherwise a `Stop` settles the earlier `Start` with unknown outcome.
        self._state.end_run(run, run_states.EndCause.MEMBER_NOT_STARTED)

    @staticmethod
    def _may_still_start(
        member: unit_runs.Member, outcome: commands.StartOutcome
    ) -> bool:
        """Returns whether a command may still start a member.

        After UNREACHABLE only an earlier `Start` with unknown outcome may.
        """
        if outcome is commands.StartOutcome.UNREACHABLE:
            return member.start_uncertain
        return outcome is commands.StartOutcome.UNKNOWN

    def advice_answered(
        self,
        advice_request: commands.RequestAdvice,
        answer: commands.AdviceAnswer | None,
        now_ms: int,
    ) -> None:
        """Handles the answer to an advice request, or None for no answer."""
        if answer is None:
            self._state.advice.request_failed(now_ms)
            return
        self._state.advice.store_answer(advice_request, answer, now_ms)
        self._state.needs_planning = True
        self._state.log.info(
            "advice_taken",
            step=advice_request.step,
            asked=len(advice_request.workers),
            granted=len(answer.tickets),
        )

    def stop_answered(
        self,
        command: commands.Stop,
        outcome: commands.StopOutcome,
        clock_ms: int | None,
        now_ms: int,
    ) -> None:
        """Handles the outcome of a `Stop` command.

        If the task was never seen running, its worker may have no end to
        report, so a status poll is requested.
        """
        self._state.changed_workers.add(command.worker.worker)
        self._update_clock(command.worker, clock_ms, now_ms)
        if outcome is commands.StopOutcome.FENCED:
            self._state.fenced = True
            return
        session = self._state.sessions.get(command.worker.worker)
        if session is not None:
            session.renew_soon(now_ms)
        found = self._state.table.find_task(command.task, command.run)
        if found is None:
            return
        run, member = found
        member.stop_open = False
        self._state.needs_planning = True
        if outcome is commands.StopOutcome.UNKNOWN:
            member.next_order_ms = now_ms + COMMAND_RETRY_MS
            return
        if outcome is commands.StopOutcome.OTHER_INCARNATION:
            self._sessions.lose_tasks([(run, member)], command.worker, now_ms)
            return
        member.stop_answered = True
        member.settled_ms = now_ms
        member.settled_event = self._state.next_event()
        never_running = member.state is run_states.MemberState.STARTING
        if never_running and session is not None:
            session.poll_soon()

    def renewal_failed(
        self, command: commands.RenewLeases, fenced: bool, now_ms: int
    ) -> None:
        """Handles a lease renewal or status poll without a report."""
        self._state.changed_workers.add(command.worker.worker)
        if fenced:
            self._state.fenced = True
        session = self._state.session_for(command.worker)
        if session is None:
            return
        if command.look:
            return
        session.renewal_failed(now_ms)
        if session.unanswered_renewals == LOG_SILENCE_AFTER_RENEWALS:
            self._state.log.warning(
                "worker_silent",
                worker=command.worker.worker,
                answered_ms_ago=session.silent_ms(now_ms),
                runs=session.task_count,
            )

    def renewal_answered(
        self,
        command: commands.RenewLeases,
        report: commands.LeaseReport,
        now_ms: int,
    ) -> None:
        """Handles the report of a worker.

        Args:
            command: The lease renewal or status poll.
            report: The worker's report.
            now_ms: Monotonic time in milliseconds.
        """
        self._state.changed_workers.add(command.worker.worker)
        session = self._state.session_for(command.worker)
        if session is None:
            return
        if report.life_ms not in (None, session.worker.life_ms):
            self._handle_other_incarnation(session, command, report, now_ms)
            return
        first = not session.has_answered
        if session.unanswered_renewals >= LOG_SILENCE_AFTER_RENEWALS:
            self._state.log.info("worker_answers", worker=command.worker.worker)
        if command.look:
            session.poll_answered(report, now_ms)
        else:
            session.renewal_answered(report, now_ms)
        self._state.needs_planning = self._state.needs_planning or first
        for end in report.ended:
            if session.register_end(end.number, now_ms):
                self._run_ends.handle_end(session, end, now_ms)
        self._reconcile(session, command, report, now_ms)

    def _handle_other_incarnation(
        self,
        session: lease_sessions.LeaseSession,
        command: commands.RenewLeases,
        report: commands.LeaseReport,
        now_ms: int,
    ) -> None:
        """Handles a report of another incarnation under a worker's id.

        A new one is asked again in a session of its own: ends with numbers up
        to those acknowledged to the former one are missing in this report. A
        late report of a former one counts as no answer.
        """
        if report.life_ms < session.worker.life_ms:
            self.renewal_failed(command, fenced=False, now_ms=now_ms)
            return
        worker = msgspec.structs.replace(session.worker, life_ms=report.life_ms)
        self._sessions.replace_incarnation(session, worker, now_ms)

    def _reconcile(
        self,
        session: lease_sessions.LeaseSession,
        command: commands.RenewLeases,
        report: commands.LeaseReport,
        now_ms: int,
    ) -> None:
        """Reconciles the tasks that a worker runs with the run table.

        Stops tasks that are not in the table and marks members as missing that
        the worker does not report.
        """
        worker_id = session.worker.worker
        unknown_count = 0
        seen = set()
        for task in report.running:
            found = self._state.table.find_task(task.task, task.run)
            if found is None or found[1].place.worker != worker_id:
                unknown_count += 1
                self._stop_unknown_task(session, task)
                continue
            run, member = found
            seen.add(member.task)
            run.saved = task.saved or run.saved
            self._mark_running(run, member, now_ms)
            member.seen_running(now_ms)
            member.reported = True
            if run.started_ms is not None:
                member.progress.add_report(task.percent, report.clock_ms)
        if self._state.unknown_task_counts.get(worker_id, 0) != unknown_count:
            self._state.unknown_task_counts[worker_id] = unknown_count
            self._state.needs_planning = True
        if report.complete:
            self._mark_missing(session, seen, command, now_ms)

    def _mark_missing(
        self,
        session: lease_sessions.LeaseSession,
        seen: set[units.TaskName],
        command: commands.RenewLeases,
        now_ms: int,
    ) -> None:
        """Marks members as missing that a complete report does not contain.

        A report requested before the member's last command was answered may be
        older than the effect of that command, so it proves nothing.
        """
        worker = session.worker
        for run, member in self._state.table.tasks_on_worker(worker.worker):
            if member.task in seen or not member.start_settled:
                continue
            if command.event < member.settled_event:
                continue
            if member.handed_over and not member.reported:
                self._sessions.lose_tasks([(run, member)], worker, now_ms)
                continue
            self._state.mark_member_missing(
                run, member, run_states.MissingCause.NOT_REPORTED
            )

    def _stop_unknown_task(
        self, session: lease_sessions.LeaseSession, task: commands.RunningTask
    ) -> None:
        self._state.log.warning(
            "unknown_run_stopped",
            worker=session.worker.worker,
            life_ms=session.worker.life_ms,
            task=task.task,
            run=task.run,
        )
        self._state.commands.append(
            commands.Stop(
                worker=session.worker,
                task=task.task,
                run=task.run,
                token=self._state.token,
            )
        )

    def _mark_running(
        self, run: unit_runs.Run, member: unit_runs.Member, now_ms: int
    ) -> None:
        member.start_answered = True
        if member.state in (
            run_states.MemberState.RUNNING,
            run_states.MemberState.GONE,
        ):
            return
        member.state = run_states.MemberState.RUNNING
        if run.started_ms is None and run.all_running():
            run.started_ms = now_ms
            self._state.log.info(
                "run_started",
                unit=run.unit,
                run=run.number,
                took_ms=now_ms - run.placed_ms,
            )

    def _start_progress(self, run: unit_runs.Run, now_ms: int) -> None:
        """Adds a report of 0 percent for a run that starts from scratch."""
        if run.saved or run.restored:
            return
        for member in run.members:
            session = self._state.session_at_place(member.place)
            if session is not None:
                member.progress.add_report(0, session.clock_ms(now_ms))

    def _update_clock(
        self, worker: worker_directory.Worker, clock_ms: int | None, now_ms: int
    ) -> None:
        session = self._state.session_for(worker)
        if (
            session is not None
            and clock_ms is not None
            and session.has_answered
        ):
            session.update_clock(clock_ms, now_ms)
