"""Takes in what workers answer to orders."""

import collections
import statistics

from citronmount.fleet import commands
from citronmount.fleet import lease_sessions
from citronmount.fleet import owner_state
from citronmount.fleet import unit_runs
from citronmount.fleet import worker_directory
from citronmount.fleet import worker_sessions
from citronmount.workflow import records
from citronmount.workflow import units

__all__ = ["WorkerReports"]

ORDER_RETRY_MS = 100
SUSPENSION_MS = 1_000
TOLD_AFTER_HOLDS = 3

_LOST_ROOM = (
    commands.StartOutcome.NO_CAPACITY,
    commands.StartOutcome.NOT_STARTED,
    commands.StartOutcome.LEASE_EXPIRED,
    commands.StartOutcome.UNREACHABLE,
)


class WorkerReports:
    """Brings runs and sessions up to date with answers and reports."""

    def __init__(
        self,
        *,
        state: owner_state.OwnerState,
        sessions: worker_sessions.WorkerSessions,
    ) -> None:
        """Initializes the part.

        Args:
            state: What it shares with the other parts.
            sessions: Closes sessions whose life is over.
        """
        self._state = state
        self._sessions = sessions

    def start_answered(
        self,
        command: commands.Start,
        outcome: commands.StartOutcome,
        clock_ms: int | None,
        now_ms: int,
    ) -> None:
        """Takes in what became of an order to start."""
        self._state.heard.add(command.worker.worker)
        self._heard(command.worker, clock_ms, now_ms)
        if outcome is commands.StartOutcome.FENCED:
            self._state.fenced = True
            return
        found = self._state.table.of_task(command.task, command.run)
        if found is None:
            return
        run, member = found
        member.start_open = False
        self._state.changed = True
        if self._is_uncertain(member, outcome):
            member.start_uncertain = True
            retry_ms = member.start_sent_ms + ORDER_RETRY_MS
            member.next_order_ms = max(now_ms, retry_ms)
            return
        member.start_answered = True
        member.settled_ms = now_ms
        if outcome is commands.StartOutcome.STARTED:
            self._seen_running(run, member, now_ms)
            if run.started_ms == now_ms:
                self._begin_progress(run, now_ms)
            return
        self._state.log.warning(
            "start_refused",
            task=command.task,
            run=command.run,
            worker=command.worker.worker,
            verdict=outcome.value,
        )
        if outcome is commands.StartOutcome.NO_TICKET:
            self._state.advice.drop(run.key.step_id, member.place.worker)
        if outcome in _LOST_ROOM:
            self._state.suspended[command.worker.worker] = (
                now_ms + SUSPENSION_MS
            )
        same_life = outcome is not commands.StartOutcome.OTHER_INCARNATION
        if not (member.start_uncertain and same_life):
            self._state.table.gone(run, member)
        # Else a stop settles what an earlier, unanswered order may have done.
        self._state.end_run(run, unit_runs.EndCause.MEMBER_NOT_STARTED)

    @staticmethod
    def _is_uncertain(
        member: unit_runs.Member, outcome: commands.StartOutcome
    ) -> bool:
        """Returns whether a member may still start by what was ordered."""
        if outcome is commands.StartOutcome.UNREACHABLE:
            return member.start_uncertain
        return outcome is commands.StartOutcome.UNKNOWN

    def advice_answered(
        self,
        advice_request: commands.RequestAdvice,
        answer: commands.AdviceAnswer | None,
        now_ms: int,
    ) -> None:
        """Takes in the answer to a question, or that there was none."""
        if answer is None:
            self._state.advice.unanswered(now_ms)
            return
        self._state.advice.answered(advice_request, answer, now_ms)
        self._state.changed = True
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
        """Takes in what became of an order to stop."""
        self._state.heard.add(command.worker.worker)
        self._heard(command.worker, clock_ms, now_ms)
        if outcome is commands.StopOutcome.FENCED:
            self._state.fenced = True
            return
        session = self._state.sessions.get(command.worker.worker)
        if session is not None:
            session.hold_soon(now_ms)
        found = self._state.table.of_task(command.task, command.run)
        if found is None:
            return
        run, member = found
        member.stop_open = False
        self._state.changed = True
        if outcome is commands.StopOutcome.UNKNOWN:
            member.next_order_ms = now_ms + ORDER_RETRY_MS
            return
        if outcome is commands.StopOutcome.OTHER_INCARNATION:
            self._state.table.gone(run, member)
            return
        member.stop_answered = True
        member.settled_ms = now_ms
        never_seen = member.state is unit_runs.MemberState.ORDERED
        if never_seen and session is not None:
            session.look_soon()

    def renewal_failed(
        self, command: commands.RenewLeases, fenced: bool, now_ms: int
    ) -> None:
        """Takes in that a hold brought no report."""
        self._state.heard.add(command.worker.worker)
        if fenced:
            self._state.fenced = True
        session = self._state.session_of(command.worker)
        if session is None:
            return
        if command.look:
            return
        session.hold_failed(now_ms)
        if session.waits_unanswered == TOLD_AFTER_HOLDS:
            self._state.log.warning(
                "worker_silent",
                worker=command.worker.worker,
                answered_ms_ago=session.silent_ms(now_ms),
                runs=session.runs,
            )

    def renewal_answered(
        self,
        command: commands.RenewLeases,
        report: commands.LeaseReport,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Takes in what a worker reports.

        Args:
            command: The hold.
            report: The answer.
            sent_ms: Steady time at which the hold was sent.
            now_ms: Steady time in milliseconds.
        """
        self._state.heard.add(command.worker.worker)
        session = self._state.session_of(command.worker)
        if session is None:
            return
        if report.life_ms not in (None, session.worker.life_ms):
            self._sessions.life_over(session, now_ms)
            return
        first = not session.primed
        if session.waits_unanswered >= TOLD_AFTER_HOLDS:
            self._state.log.info("worker_answers", worker=command.worker.worker)
        if command.look:
            session.look_answered(report, now_ms)
        else:
            session.hold_answered(report, now_ms)
        self._state.changed = self._state.changed or first
        for end in report.ended:
            if session.note_end(end.number, now_ms):
                self._ended(session, end, now_ms)
        self._compare(session, report, sent_ms, now_ms)

    def _compare(
        self,
        session: lease_sessions.LeaseSession,
        report: commands.LeaseReport,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Compares what a worker runs with what it should run."""
        name = session.worker.worker
        strangers = 0
        seen = set()
        for task in report.running:
            found = self._state.table.of_task(task.task, task.run)
            if found is None or found[1].place.worker != name:
                strangers += 1
                self._stop_stranger(session, task)
                continue
            run, member = found
            seen.add(member.task)
            run.saved = task.saved or run.saved
            self._seen_running(run, member, now_ms)
            if run.started_ms is not None:
                member.progress.note(task.percent, report.clock_ms)
        if self._state.strangers.get(name, 0) != strangers:
            self._state.strangers[name] = strangers
            self._state.changed = True
        if report.complete:
            self._miss(session, seen, sent_ms)

    def _miss(
        self,
        session: lease_sessions.LeaseSession,
        seen: set[units.TaskName],
        sent_ms: int,
    ) -> None:
        for run, member in self._state.table.on_worker(session.worker.worker):
            if member.task in seen or not member.certain:
                continue
            if sent_ms >= member.settled_ms:
                self._state.member_gone(run, member)

    def _stop_stranger(
        self, session: lease_sessions.LeaseSession, task: commands.RunningTask
    ) -> None:
        self._state.log.warning(
            "unknown_run_stopped",
            worker=session.worker.worker,
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

    def _ended(
        self,
        session: lease_sessions.LeaseSession,
        end: commands.EndedTask,
        now_ms: int,
    ) -> None:
        """Takes in one end that a worker lists for the first time."""
        place = records.Place(
            worker=session.worker.worker, life_ms=session.worker.life_ms
        )
        found = self._state.table.of_task(end.task, end.run)
        if found is None or found[1].place != place:
            session.resolve_end(end.number, now_ms)
            return
        run, member = found
        self._state.changed = True
        run.saved = end.saved or run.saved
        if run.outcome is None:
            self._learn_speeds(run, now_ms)
        self._state.log.info(
            "run_ended",
            task=end.task,
            run=end.run,
            worker=place.worker,
            kind=end.kind.value,
        )
        self._state.table.gone(run, member)
        self._note_health(run, member, end.kind, now_ms)
        status = self._outcome(run, end.kind)
        if status is None and self._state.unrecorded[run.unit]:
            self._state.later_ends[run.unit].append((place, end.number))
            return
        if status is None:
            session.resolve_end(end.number, now_ms)
            return
        change = run.record(status)
        self._state.write(change, ends=((place, end.number),))

    def _learn_speeds(self, run: unit_runs.Run, now_ms: int) -> None:
        """Compares the workers of a gang by how its members got on."""
        if not run.step.gang:
            return
        rates = collections.defaultdict(list)
        for member in run.members:
            session = self._state.session_at(member.place)
            rate = member.progress.percent_per_s
            if session is not None and rate is not None:
                rates[session.worker.speed_key].append(rate)
        found = {key: statistics.mean(each) for key, each in rates.items()}
        self._state.speeds.learn(found, now_ms)

    def _note_health(
        self,
        run: unit_runs.Run,
        member: unit_runs.Member,
        kind: commands.EndKind,
        now_ms: int,
    ) -> None:
        """Learns from an end what the worker is like."""
        worker = member.place.worker
        if kind is commands.EndKind.DONE and run.started_ms is not None:
            elapsed_ms = now_ms - run.started_ms
            estimate_ms = run.step.estimate_ms
            self._state.health.done(worker, elapsed_ms, estimate_ms, now_ms)
        if kind is commands.EndKind.FAILED:
            self._state.failed_at.setdefault(run.unit, set()).add(worker)
            if self._state.health.failed(worker, run.job, now_ms):
                self._state.log.warning("worker_distrusted", worker=worker)

    def _outcome(
        self, run: unit_runs.Run, kind: commands.EndKind
    ) -> records.UnitStatus | None:
        """Returns what to record of an end, or None if nothing changes."""
        decided = (commands.EndKind.DONE, commands.EndKind.FAILED)
        if run.outcome in decided:
            return None
        run.outcome = kind
        if kind is commands.EndKind.DONE:
            if run.step.lasting:
                return records.UnitStatus.WAITING
            return records.UnitStatus.DONE
        self._state.end_run(run, unit_runs.EndCause.MEMBER_ENDED)
        if kind is commands.EndKind.FAILED:
            run.failures += 1
            spent = run.failures >= run.submission.terms.max_attempts
            if spent and not run.step.lasting:
                return records.UnitStatus.FAILED
            return records.UnitStatus.WAITING
        return records.UnitStatus.WAITING if run.saved else None

    def _seen_running(
        self, run: unit_runs.Run, member: unit_runs.Member, now_ms: int
    ) -> None:
        member.start_answered = True
        if member.state in (
            unit_runs.MemberState.RUNNING,
            unit_runs.MemberState.GONE,
        ):
            return
        member.state = unit_runs.MemberState.RUNNING
        if run.started_ms is None and run.all_running():
            run.started_ms = now_ms
            self._state.log.info(
                "run_started",
                unit=run.unit,
                run=run.number,
                took_ms=now_ms - run.placed_ms,
            )

    def _begin_progress(self, run: unit_runs.Run, now_ms: int) -> None:
        """Notes that a run which starts anew has done nothing so far."""
        if run.saved or run.restored:
            return
        for member in run.members:
            session = self._state.session_at(member.place)
            if session is not None:
                member.progress.note(0, session.clock_ms(now_ms))

    def _heard(
        self, worker: worker_directory.Worker, clock_ms: int | None, now_ms: int
    ) -> None:
        session = self._state.session_of(worker)
        if session is not None and clock_ms is not None and session.primed:
            session.heard(clock_ms, now_ms)
