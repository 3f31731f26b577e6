"""Takes in what workers answer to orders."""

import collections
import statistics

from citronmount.fleet import orders
from citronmount.fleet import owner_state
from citronmount.fleet import runs as runs_lib
from citronmount.fleet import sessions as sessions_lib
from citronmount.fleet import worker_sessions
from citronmount.fleet import workers as workers_lib
from citronmount.workflow import records
from citronmount.workflow import units

__all__ = ["WorkerReports"]

ORDER_RETRY_MS = 100
SUSPENSION_MS = 1_000
TOLD_AFTER_HOLDS = 3

_LOST_ROOM = (
    orders.StartVerdict.NO_ROOM,
    orders.StartVerdict.NOT_STARTED,
    orders.StartVerdict.LATE,
    orders.StartVerdict.UNREACHED,
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
        order: orders.Start,
        verdict: orders.StartVerdict,
        clock_ms: int | None,
        now_ms: int,
    ) -> None:
        """Takes in what became of an order to start."""
        self._state.heard.add(order.worker.worker)
        self._heard(order.worker, clock_ms, now_ms)
        if verdict is orders.StartVerdict.FENCED:
            self._state.fenced = True
            return
        found = self._state.table.of_task(order.task, order.run)
        if found is None:
            return
        run, member = found
        member.start_open = False
        self._state.changed = True
        if self._is_uncertain(member, verdict):
            member.start_uncertain = True
            retry_ms = member.start_sent_ms + ORDER_RETRY_MS
            member.next_order_ms = max(now_ms, retry_ms)
            return
        member.start_answered = True
        member.settled_ms = now_ms
        if verdict is orders.StartVerdict.STARTED:
            self._seen_running(run, member, now_ms)
            if run.started_ms == now_ms:
                self._begin_progress(run, now_ms)
            return
        self._state.log.warning(
            "start_refused",
            task=order.task,
            run=order.run,
            worker=order.worker.worker,
            verdict=verdict.value,
        )
        if verdict is orders.StartVerdict.NO_TICKET:
            self._state.advice.drop(run.key.step_id, member.place.worker)
        if verdict in _LOST_ROOM:
            self._state.suspended[order.worker.worker] = now_ms + SUSPENSION_MS
        same_life = verdict is not orders.StartVerdict.OTHER_LIFE
        if not (member.start_uncertain and same_life):
            self._state.table.gone(run, member)
        # Else a stop settles what an earlier, unanswered order may have done.
        self._state.end_run(run, runs_lib.EndCause.MEMBER_NOT_STARTED)

    @staticmethod
    def _is_uncertain(
        member: runs_lib.Member, verdict: orders.StartVerdict
    ) -> bool:
        """Returns whether a member may still start by what was ordered."""
        if verdict is orders.StartVerdict.UNREACHED:
            return member.start_uncertain
        return verdict is orders.StartVerdict.UNANSWERED

    def advised(
        self, question: orders.Ask, grants: orders.Grants | None, now_ms: int
    ) -> None:
        """Takes in the answer to a question, or that there was none."""
        if grants is None:
            self._state.advice.unanswered(now_ms)
            return
        self._state.advice.answered(question, grants, now_ms)
        self._state.changed = True
        self._state.log.info(
            "advice_taken",
            step=question.step,
            asked=len(question.workers),
            granted=len(grants.tickets),
        )

    def stop_answered(
        self,
        order: orders.Stop,
        verdict: orders.StopVerdict,
        clock_ms: int | None,
        now_ms: int,
    ) -> None:
        """Takes in what became of an order to stop."""
        self._state.heard.add(order.worker.worker)
        self._heard(order.worker, clock_ms, now_ms)
        if verdict is orders.StopVerdict.FENCED:
            self._state.fenced = True
            return
        session = self._state.sessions.get(order.worker.worker)
        if session is not None:
            session.hold_soon(now_ms)
        found = self._state.table.of_task(order.task, order.run)
        if found is None:
            return
        run, member = found
        member.stop_open = False
        self._state.changed = True
        if verdict is orders.StopVerdict.UNANSWERED:
            member.next_order_ms = now_ms + ORDER_RETRY_MS
            return
        if verdict is orders.StopVerdict.OTHER_LIFE:
            self._state.table.gone(run, member)
            return
        member.stop_answered = True
        member.settled_ms = now_ms
        never_seen = member.state is runs_lib.MemberState.ORDERED
        if never_seen and session is not None:
            session.look_soon()

    def hold_failed(
        self, order: orders.Hold, fenced: bool, now_ms: int
    ) -> None:
        """Takes in that a hold brought no report."""
        self._state.heard.add(order.worker.worker)
        if fenced:
            self._state.fenced = True
        session = self._state.session_of(order.worker)
        if session is None:
            return
        if order.look:
            return
        session.hold_failed(now_ms)
        if session.waits_unanswered == TOLD_AFTER_HOLDS:
            self._state.log.warning(
                "worker_silent",
                worker=order.worker.worker,
                answered_ms_ago=session.silent_ms(now_ms),
                runs=session.runs,
            )

    def hold_answered(
        self,
        order: orders.Hold,
        report: orders.HoldReport,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Takes in what a worker reports.

        Args:
            order: The hold.
            report: The answer.
            sent_ms: Steady time at which the hold was sent.
            now_ms: Steady time in milliseconds.
        """
        self._state.heard.add(order.worker.worker)
        session = self._state.session_of(order.worker)
        if session is None:
            return
        if report.life_ms not in (None, session.worker.life_ms):
            self._sessions.life_over(session, now_ms)
            return
        first = not session.primed
        if session.waits_unanswered >= TOLD_AFTER_HOLDS:
            self._state.log.info("worker_answers", worker=order.worker.worker)
        if order.look:
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
        session: sessions_lib.Session,
        report: orders.HoldReport,
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
        session: sessions_lib.Session,
        seen: set[units.TaskName],
        sent_ms: int,
    ) -> None:
        for run, member in self._state.table.on_worker(session.worker.worker):
            if member.task in seen or not member.certain:
                continue
            if sent_ms >= member.settled_ms:
                self._state.member_gone(run, member)

    def _stop_stranger(
        self, session: sessions_lib.Session, task: orders.RunningTask
    ) -> None:
        self._state.log.warning(
            "unknown_run_stopped",
            worker=session.worker.worker,
            task=task.task,
            run=task.run,
        )
        self._state.orders.append(
            orders.Stop(
                worker=session.worker,
                task=task.task,
                run=task.run,
                token=self._state.token,
            )
        )

    def _ended(
        self, session: sessions_lib.Session, end: orders.EndedTask, now_ms: int
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

    def _learn_speeds(self, run: runs_lib.Run, now_ms: int) -> None:
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
        run: runs_lib.Run,
        member: runs_lib.Member,
        kind: orders.EndKind,
        now_ms: int,
    ) -> None:
        """Learns from an end what the worker is like."""
        worker = member.place.worker
        if kind is orders.EndKind.DONE and run.started_ms is not None:
            elapsed_ms = now_ms - run.started_ms
            estimate_ms = run.step.estimate_ms
            self._state.health.done(worker, elapsed_ms, estimate_ms, now_ms)
        if kind is orders.EndKind.FAILED:
            self._state.failed_at.setdefault(run.unit, set()).add(worker)
            if self._state.health.failed(worker, run.job, now_ms):
                self._state.log.warning("worker_distrusted", worker=worker)

    def _outcome(
        self, run: runs_lib.Run, kind: orders.EndKind
    ) -> records.UnitStatus | None:
        """Returns what to record of an end, or None if nothing changes."""
        decided = (orders.EndKind.DONE, orders.EndKind.FAILED)
        if run.outcome in decided:
            return None
        run.outcome = kind
        if kind is orders.EndKind.DONE:
            if run.step.lasting:
                return records.UnitStatus.WAITING
            return records.UnitStatus.DONE
        self._state.end_run(run, runs_lib.EndCause.MEMBER_ENDED)
        if kind is orders.EndKind.FAILED:
            run.failures += 1
            spent = run.failures >= run.submission.terms.max_attempts
            if spent and not run.step.lasting:
                return records.UnitStatus.FAILED
            return records.UnitStatus.WAITING
        return records.UnitStatus.WAITING if run.saved else None

    def _seen_running(
        self, run: runs_lib.Run, member: runs_lib.Member, now_ms: int
    ) -> None:
        member.start_answered = True
        if member.state in (
            runs_lib.MemberState.RUNNING,
            runs_lib.MemberState.GONE,
        ):
            return
        member.state = runs_lib.MemberState.RUNNING
        if run.started_ms is None and run.all_running():
            run.started_ms = now_ms
            self._state.log.info(
                "run_started",
                unit=run.unit,
                run=run.number,
                took_ms=now_ms - run.placed_ms,
            )

    def _begin_progress(self, run: runs_lib.Run, now_ms: int) -> None:
        """Notes that a run which starts anew has done nothing so far."""
        if run.saved or run.restored:
            return
        for member in run.members:
            session = self._state.session_at(member.place)
            if session is not None:
                member.progress.note(0, session.clock_ms(now_ms))

    def _heard(
        self, worker: workers_lib.Worker, clock_ms: int | None, now_ms: int
    ) -> None:
        session = self._state.session_of(worker)
        if session is not None and clock_ms is not None and session.primed:
            session.heard(clock_ms, now_ms)
