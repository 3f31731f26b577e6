"""The owner of a pool: from records and reports to orders and records."""

import collections
from collections.abc import Iterable

import msgspec
import structlog

from citronmount.core import ids
from citronmount.fleet import configuration as configuration_lib
from citronmount.fleet import orders
from citronmount.fleet import planning
from citronmount.fleet import run_table
from citronmount.fleet import runs as runs_lib
from citronmount.fleet import sessions as sessions_lib
from citronmount.fleet import worker_health
from citronmount.fleet import workers as workers_lib
from citronmount.workflow import book as book_lib
from citronmount.workflow import records
from citronmount.workflow import units

__all__ = ["Entry", "Owner"]

START_TRIES = 3
ORDER_RETRY_MS = 100
SILENCE_MARGIN_MS = 1_500
SUSPENSION_MS = 1_000
SILENT_HOLDS = 3
STALL_FACTOR = 4
STALL_FLOOR_MS = 20_000
FINAL_STATE_MARGIN_S = 60

_MS_PER_S = 1_000
_LOST_ROOM = (
    orders.StartVerdict.NO_ROOM,
    orders.StartVerdict.NOT_STARTED,
    orders.StartVerdict.LATE,
)


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One record that the owner wants appended.

    Attributes:
        key: Its key.
        record: The record, or None to remove the key.
        ends: Ends that workers may forget once it is durable, as pairs of
            worker and number.
    """

    key: str
    record: records.Record | None
    ends: tuple[tuple[records.Place, int], ...] = ()


class Owner:
    """Decides for the whole pool under one fencing token.

    The caller feeds what happened and then calls `step`, which returns the
    orders to send. Records to append are taken with `take_entries`; one append
    is on its way at a time, and `appended` tells that it is durable.

    Attributes:
        token: The fencing token, the producer epoch of the job topic.
        fenced: Whether a worker or the log has seen a newer owner.
    """

    def __init__(
        self,
        *,
        token: ids.FenceToken,
        book: book_lib.Book,
        directory: workers_lib.WorkerDirectory,
        bounds: configuration_lib.Bounds,
        policy: sessions_lib.LeasePolicy,
        now_ms: int,
    ) -> None:
        """Takes over what the book says is placed.

        Args:
            token: The fencing token.
            book: The fold of the job topic, up to date.
            directory: The workers' entries.
            bounds: Times that the site sets.
            policy: How leases are renewed.
            now_ms: Steady time in milliseconds.
        """
        self.token = token
        self.fenced = False
        self._log = structlog.get_logger().bind(token=token)
        self._book = book
        self._directory = directory
        self._bounds = bounds
        self._policy = policy
        self._accounts: tuple[configuration_lib.Account, ...] = ()
        self._table = run_table.RunTable()
        self._sessions: dict[ids.WorkerId, sessions_lib.Session] = {}
        self._strangers: dict[ids.WorkerId, int] = {}
        self._suspended: dict[ids.WorkerId, int] = {}
        self._ready_since: dict[units.UnitId, int] = {}
        self._clearing: dict[units.UnitId, list[runs_lib.Run]] = {}
        self._finishing: set[ids.JobId] = set()
        self._unrecorded: collections.Counter[units.UnitId] = (
            collections.Counter()
        )
        self._later_ends: dict[
            units.UnitId, list[tuple[records.Place, int]]
        ] = collections.defaultdict(list)
        self._last_runs: dict[units.UnitId, runs_lib.Run] = {}
        self._failed_at: dict[units.UnitId, set[ids.WorkerId]] = {}
        self._stalls: collections.Counter[units.UnitId] = collections.Counter()
        self._health = worker_health.WorkerHealth()
        self._entries: list[Entry] = []
        self._orders: list[orders.Order] = []
        self._orphans_gone_ms = now_ms + int(
            policy.max_lease_ms * 1.03 + policy.stop_ms
        )
        self._changed = True
        self._next_look_ms = 0
        self._restore(now_ms)

    def configure(
        self, accounts: tuple[configuration_lib.Account, ...]
    ) -> None:
        """Takes in the client accounts of the configuration in force."""
        self._accounts = accounts
        self._changed = True

    def notice(self) -> None:
        """Takes in that the book or the directory changed."""
        self._changed = True

    def take_entries(self) -> list[Entry]:
        """Returns the records to append next, oldest first."""
        entries, self._entries = self._entries, []
        return entries

    def appended(
        self, entries: Iterable[Entry], offset: int, now_ms: int
    ) -> None:
        """Takes in that records are durable.

        Args:
            entries: The records of one append.
            offset: The offset of the first.
            now_ms: Steady time in milliseconds.
        """
        for number, entry in enumerate(entries, offset):
            if entry.record is None:
                self._book.drop(number, entry.key)
            else:
                self._book.apply(number, entry.record)
            for place, end in entry.ends:
                self._resolve(place, end, now_ms)
            if isinstance(entry.record, records.UnitChanged):
                self._note_durable(entry.record.unit, now_ms)
                self._recorded(entry.record)
            if isinstance(entry.record, records.Finished):
                self._finishing.discard(entry.record.job)
        self._changed = True

    def _note_durable(self, unit: units.UnitId, now_ms: int) -> None:
        """Lets workers forget further ends of a run once it is recorded."""
        self._unrecorded[unit] -= 1
        if self._unrecorded[unit] > 0:
            return
        for place, number in self._later_ends.pop(unit, ()):
            self._resolve(place, number, now_ms)

    def step(self, now_ms: int, wall_ms: int) -> list[orders.Order]:
        """Decides on all that happened and on the passing of time.

        Args:
            now_ms: Steady time in milliseconds.
            wall_ms: Unix time in milliseconds.

        Returns:
            The orders to send.
        """
        self._follow_directory(now_ms)
        self._settle(now_ms, wall_ms)
        if self._changed or now_ms >= self._next_look_ms:
            self._changed = False
            self._next_look_ms = now_ms + ORDER_RETRY_MS
            self._end_jobs(now_ms, wall_ms)
            self._plan(now_ms, wall_ms)
        self._hold(now_ms)
        out, self._orders = self._orders, []
        return out

    # Answers of workers.

    def start_answered(
        self,
        order: orders.Start,
        verdict: orders.StartVerdict,
        clock_ms: int | None,
        now_ms: int,
    ) -> None:
        """Takes in what became of an order to start."""
        self._heard(order.worker, clock_ms, now_ms)
        if verdict is orders.StartVerdict.FENCED:
            self.fenced = True
            return
        found = self._table.of_task(order.task, order.run)
        if found is None:
            return
        run, member = found
        member.start_open = False
        self._changed = True
        if verdict is orders.StartVerdict.UNANSWERED:
            member.next_order_ms = now_ms + ORDER_RETRY_MS
            return
        member.start_answered = True
        member.settled_ms = now_ms
        if verdict is orders.StartVerdict.STARTED:
            self._seen_running(run, member, now_ms)
            return
        self._log.warning(
            "start_refused",
            task=order.task,
            run=order.run,
            worker=order.worker.worker,
            verdict=verdict.value,
        )
        if verdict in _LOST_ROOM:
            self._suspended[order.worker.worker] = now_ms + SUSPENSION_MS
        self._table.gone(run, member)
        self._end(run, runs_lib.EndCause.MEMBER_NOT_STARTED)

    def stop_answered(
        self,
        order: orders.Stop,
        verdict: orders.StopVerdict,
        clock_ms: int | None,
        now_ms: int,
    ) -> None:
        """Takes in what became of an order to stop."""
        self._heard(order.worker, clock_ms, now_ms)
        if verdict is orders.StopVerdict.FENCED:
            self.fenced = True
            return
        session = self._sessions.get(order.worker.worker)
        if session is not None:
            session.hold_soon(now_ms)
        found = self._table.of_task(order.task, order.run)
        if found is None:
            return
        run, member = found
        member.stop_open = False
        self._changed = True
        if verdict is orders.StopVerdict.UNANSWERED:
            member.next_order_ms = now_ms + ORDER_RETRY_MS
            return
        if verdict is orders.StopVerdict.OTHER_LIFE:
            self._table.gone(run, member)
            return
        member.stop_answered = True
        member.settled_ms = now_ms

    def hold_failed(
        self, order: orders.Hold, fenced: bool, now_ms: int
    ) -> None:
        """Takes in that a hold brought no report."""
        if fenced:
            self.fenced = True
        session = self._session_of(order.worker)
        if session is None:
            return
        session.hold_failed(now_ms)
        if session.waits_unanswered == SILENT_HOLDS:
            self._log.warning(
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
        session = self._session_of(order.worker)
        if session is None:
            return
        if report.life_ms not in (None, session.worker.life_ms):
            self._life_over(session)
            return
        first = not session.primed
        if session.waits_unanswered >= SILENT_HOLDS:
            self._log.info("worker_answers", worker=order.worker.worker)
        session.hold_answered(report, now_ms)
        self._changed = self._changed or first
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
            found = self._table.of_task(task.task, task.run)
            if found is None or found[1].place.worker != name:
                strangers += 1
                self._stop_stranger(session, task)
                continue
            run, member = found
            seen.add(member.task)
            run.saved = task.saved or run.saved
            self._seen_running(run, member, now_ms)
        if self._strangers.get(name, 0) != strangers:
            self._strangers[name] = strangers
            self._changed = True
        if report.complete:
            self._miss(session, seen, sent_ms)

    def _miss(
        self,
        session: sessions_lib.Session,
        seen: set[units.TaskName],
        sent_ms: int,
    ) -> None:
        for run, member in self._table.on_worker(session.worker.worker):
            if member.task in seen or not member.certain:
                continue
            if sent_ms >= member.settled_ms:
                self._member_gone(run, member)

    def _stop_stranger(
        self, session: sessions_lib.Session, task: orders.RunningTask
    ) -> None:
        self._log.warning(
            "unknown_run_stopped",
            worker=session.worker.worker,
            task=task.task,
            run=task.run,
        )
        self._orders.append(
            orders.Stop(
                worker=session.worker,
                task=task.task,
                run=task.run,
                token=self.token,
            )
        )

    def _ended(
        self, session: sessions_lib.Session, end: orders.EndedTask, now_ms: int
    ) -> None:
        """Takes in one end that a worker lists for the first time."""
        place = records.Place(
            worker=session.worker.worker, life_ms=session.worker.life_ms
        )
        found = self._table.of_task(end.task, end.run)
        if found is None or found[1].place != place:
            session.resolve_end(end.number, now_ms)
            return
        run, member = found
        self._changed = True
        run.saved = end.saved or run.saved
        self._log.info(
            "run_ended",
            task=end.task,
            run=end.run,
            worker=place.worker,
            kind=end.kind.value,
        )
        self._table.gone(run, member)
        self._note_health(run, member, end.kind, now_ms)
        status = self._outcome(run, end.kind)
        if status is None and self._unrecorded[run.unit]:
            self._later_ends[run.unit].append((place, end.number))
            return
        if status is None:
            session.resolve_end(end.number, now_ms)
            return
        change = run.record(status)
        self._write(change, ends=((place, end.number),))

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
            self._health.done(worker, elapsed_ms, estimate_ms, now_ms)
        if kind is orders.EndKind.FAILED:
            self._failed_at.setdefault(run.unit, set()).add(worker)
            if self._health.failed(worker, run.job, now_ms):
                self._log.warning("worker_distrusted", worker=worker)

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
        self._end(run, runs_lib.EndCause.MEMBER_ENDED)
        if kind is orders.EndKind.FAILED:
            run.failures += 1
            spent = run.failures >= run.submission.terms.max_attempts
            if spent and not run.step.lasting:
                return records.UnitStatus.FAILED
            return records.UnitStatus.WAITING
        return records.UnitStatus.WAITING if run.saved else None

    def _end(self, run: runs_lib.Run, cause: runs_lib.EndCause) -> None:
        """Makes what is left of a run end, and tells why."""
        if run.cause is None:
            self._log.info(
                "run_ending", unit=run.unit, run=run.number, cause=cause.value
            )
        run.end(cause)

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
            self._log.info(
                "run_started",
                unit=run.unit,
                run=run.number,
                took_ms=now_ms - run.placed_ms,
            )

    def _member_gone(self, run: runs_lib.Run, member: runs_lib.Member) -> None:
        self._log.info(
            "run_missing",
            task=member.task,
            run=run.number,
            worker=member.place.worker,
        )
        self._table.gone(run, member)
        self._changed = True
        if run.outcome is not orders.EndKind.DONE:
            self._end(run, runs_lib.EndCause.MEMBER_ENDED)

    # Workers and their lives.

    def _follow_directory(self, now_ms: int) -> None:
        for worker in self._directory:
            session = self._sessions.get(worker.worker)
            if session is None:
                self._open_session(worker, now_ms)
            elif session.worker.life_ms != worker.life_ms:
                self._life_over(session)
                self._open_session(worker, now_ms)
            else:
                session.worker = worker
        for name in list(self._sessions):
            listed = self._directory.get(name) is not None
            if not listed and not self._table.count_on(name):
                del self._sessions[name]

    def _open_session(self, worker: workers_lib.Worker, now_ms: int) -> None:
        session = sessions_lib.Session(
            worker=worker, policy=self._policy, token=self.token, now_ms=now_ms
        )
        self._sessions[worker.worker] = session
        for run, member in self._table.on_worker(worker.worker):
            if member.place.life_ms != worker.life_ms:
                self._member_gone(run, member)
        for other in list(self._sessions.values()):
            same = other.worker.machine == worker.machine
            if same and other is not session and worker.machine:
                self._life_over(other)

    def _life_over(self, session: sessions_lib.Session) -> None:
        """Takes in that a life of a worker is over, with all it ran."""
        name = session.worker.worker
        self._log.info(
            "worker_life_over", worker=name, life_ms=session.worker.life_ms
        )
        if self._sessions.get(name) is session:
            del self._sessions[name]
        self._strangers.pop(name, None)
        self._health.forget(name)
        for run, member in self._table.on_worker(name):
            if member.place.life_ms == session.worker.life_ms:
                self._member_gone(run, member)
        self._changed = True

    def _session_of(
        self, worker: workers_lib.Worker
    ) -> sessions_lib.Session | None:
        session = self._sessions.get(worker.worker)
        if session is None or session.worker.life_ms != worker.life_ms:
            return None
        return session

    def _heard(
        self, worker: workers_lib.Worker, clock_ms: int | None, now_ms: int
    ) -> None:
        session = self._session_of(worker)
        if session is not None and clock_ms is not None and session.primed:
            session.heard(clock_ms, now_ms)

    def _resolve(self, place: records.Place, number: int, now_ms: int) -> None:
        session = self._sessions.get(place.worker)
        if session is not None and session.worker.life_ms == place.life_ms:
            session.resolve_end(number, now_ms)

    def _hold(self, now_ms: int) -> None:
        for session in self._sessions.values():
            session.runs = self._table.count_on(session.worker.worker)
            order = session.next_hold(now_ms)
            if order is not None:
                self._orders.append(order)

    # Runs.

    def _restore(self, now_ms: int) -> None:
        """Makes runs of all that workers may still hold."""
        for entry in self._book.jobs.values():
            workflow = entry.submission.workflow
            for change in entry.progress.changed.values():
                if not change.places:
                    continue
                key = units.UnitKey.parse(change.unit)
                run = runs_lib.Run(
                    key=key,
                    step=workflow.steps[key.step],
                    submission=entry.submission,
                    number=change.run,
                    places=change.places,
                    phase=runs_lib.RunPhase.ACTIVE,
                    failures=change.failures,
                    saved=change.saved,
                    now_ms=now_ms,
                )
                for member in run.members:
                    member.state = runs_lib.MemberState.ORDERED
                    member.start_answered = True
                if change.status is records.UnitStatus.WAITING:
                    self._end(run, runs_lib.EndCause.MEMBER_ENDED)
                self._table.add(run)

    def _recorded(self, change: records.UnitChanged) -> None:
        run = self._table.get(change.unit)
        if (
            run is None
            or run.number != change.run
            or change.status is not records.UnitStatus.PLACED
            or run.phase is not runs_lib.RunPhase.RECORDING
        ):
            return
        run.phase = runs_lib.RunPhase.ACTIVE
        for member in run.members:
            member.state = runs_lib.MemberState.ORDERED

    def _settle(self, now_ms: int, wall_ms: int) -> None:
        for run in self._table:
            if run.phase is runs_lib.RunPhase.CLEARING:
                self._clear(run)
            elif run.phase is runs_lib.RunPhase.ACTIVE:
                self._drive(run, now_ms)
                self._end_if_hanging(run, now_ms)
            elif run.phase is runs_lib.RunPhase.ENDING:
                self._drive_to_end(run, now_ms)
            self._note_lapsed(run, now_ms)
            if run.over:
                self._table.remove(run)
                self._clearing.pop(run.unit, None)
                self._ready_since[run.unit] = now_ms
                self._last_runs[run.unit] = run
                self._changed = True

    def _clear(self, run: runs_lib.Run) -> None:
        """Records a run once what it waits for has ended."""
        victims = self._clearing.get(run.unit, [])
        if all(victim.over for victim in victims):
            run.phase = runs_lib.RunPhase.RECORDING
            self._write(run.record(records.UnitStatus.PLACED))

    def _drive(self, run: runs_lib.Run, now_ms: int) -> None:
        """Sends the orders to start that are due."""
        for member in run.live_members:
            if member.state is not runs_lib.MemberState.ORDERED:
                continue
            if member.start_answered or member.start_open:
                continue
            if now_ms < member.next_order_ms:
                continue
            if member.start_tries >= START_TRIES:
                self._end(run, runs_lib.EndCause.MEMBER_NOT_STARTED)
                return
            self._send_start(run, member, now_ms)

    def _end_if_hanging(self, run: runs_lib.Run, now_ms: int) -> None:
        """Ends a run that stands still, so that it goes on elsewhere.

        Each time the limit doubles: a job that is far longer than it said
        ends all the same.
        """
        estimate_ms = run.step.estimate_ms
        if run.started_ms is None or run.step.lasting or not estimate_ms:
            return
        elapsed_ms = now_ms - run.started_ms
        if elapsed_ms < estimate_ms:
            return
        factors = [
            self._health.overdue(
                member.place.worker, elapsed_ms, estimate_ms, now_ms
            )
            for member in run.live_members
        ]
        patience = 2 ** self._stalls[run.unit]
        least = min(factors, default=0.0)
        if elapsed_ms < STALL_FLOOR_MS * patience:
            return
        if least >= STALL_FACTOR * patience:
            self._stalls[run.unit] += 1
            self._log.warning(
                "run_stalled",
                unit=run.unit,
                run=run.number,
                elapsed_ms=elapsed_ms,
                estimate_ms=estimate_ms,
            )
            self._end(run, runs_lib.EndCause.STALLED)

    def _send_start(
        self, run: runs_lib.Run, member: runs_lib.Member, now_ms: int
    ) -> None:
        session = self._sessions.get(member.place.worker)
        if session is None or session.worker.life_ms != member.place.life_ms:
            self._table.gone(run, member)
            self._end(run, runs_lib.EndCause.MEMBER_NOT_STARTED)
            return
        member.start_open = True
        member.start_tries += 1
        self._orders.append(
            orders.Start(
                worker=session.worker,
                task=member.task,
                run=run.number,
                payload=run.submission.workflow.payload,
                until_ms=session.lease_until_ms(now_ms),
                saved=run.saved,
                token=self.token,
            )
        )

    def _drive_to_end(self, run: runs_lib.Run, now_ms: int) -> None:
        """Sends the orders to stop that are due."""
        for member in run.live_members:
            if not member.ordered:
                self._table.gone(run, member)
            elif not member.stop_open and not member.stop_answered:
                self._send_stop(run, member, now_ms)

    def _send_stop(
        self, run: runs_lib.Run, member: runs_lib.Member, now_ms: int
    ) -> None:
        session = self._sessions.get(member.place.worker)
        if session is None or session.worker.life_ms != member.place.life_ms:
            return
        if now_ms < member.next_order_ms:
            return
        member.stop_open = True
        self._orders.append(
            orders.Stop(
                worker=session.worker,
                task=member.task,
                run=run.number,
                token=self.token,
            )
        )

    def _note_lapsed(self, run: runs_lib.Run, now_ms: int) -> None:
        """Gives up members whose lease has surely run out."""
        for member in run.live_members:
            if member.state is runs_lib.MemberState.HELD:
                continue
            session = self._sessions.get(member.place.worker)
            if session is None:
                if now_ms > self._orphans_gone_ms:
                    self._member_gone(run, member)
                continue
            silent = session.silent_ms(now_ms) > self._policy.trust_ms
            if (silent or not session.primed) and session.lapsed(now_ms):
                self._member_gone(run, member)

    # Jobs.

    def _end_jobs(self, now_ms: int, wall_ms: int) -> None:
        for job, entry in list(self._book.jobs.items()):
            final = self._final_state(entry)
            if final is None or job in self._finishing:
                continue
            cause = runs_lib.EndCause.JOB_FAILED
            if final is records.FinalState.CANCELLED:
                cause = runs_lib.EndCause.CANCELLED
            left = self._table.of_job(job)
            for run in left:
                if run.outcome is not orders.EndKind.DONE:
                    self._end(run, cause)
                    self._drive_to_end(run, now_ms)
            if not left:
                self._finish(job, entry, final, wall_ms)
        self._forget_old(wall_ms)

    @staticmethod
    def _final_state(
        entry: book_lib.JobEntry,
    ) -> records.FinalState | None:
        if entry.progress.complete:
            return records.FinalState.COMPLETE
        if entry.cancelled:
            return records.FinalState.CANCELLED
        if entry.progress.failed:
            return records.FinalState.FAILED
        return None

    def _finish(
        self,
        job: ids.JobId,
        entry: book_lib.JobEntry,
        final: records.FinalState,
        wall_ms: int,
    ) -> None:
        self._finishing.add(job)
        record = records.Finished(
            job=job,
            state=final,
            queue=entry.submission.terms.queue,
            account=entry.submission.account,
            finished_ms=wall_ms,
        )
        keys = self._book.keys_of(job)
        self._write(record)
        self._entries += [Entry(key=key, record=None) for key in keys]
        for change in entry.progress.changed:
            self._ready_since.pop(change, None)
            self._last_runs.pop(change, None)
            self._failed_at.pop(change, None)
            self._stalls.pop(change, None)
            self._unrecorded.pop(change, None)
        self._log.info(
            "job_finished",
            job=job,
            account=record.account,
            state=final.name.lower(),
            age_ms=wall_ms - entry.submission.accepted_ms,
            objective_ms=planning.objective_end_ms(entry.submission)
            - entry.submission.accepted_ms,
        )

    def _forget_old(self, wall_ms: int) -> None:
        kept_s = self._bounds.status_s + FINAL_STATE_MARGIN_S
        for job in self._book.expired(wall_ms - kept_s * _MS_PER_S):
            if job not in self._finishing:
                self._finishing.add(job)
                key = records.final_key(job)
                self._entries.append(Entry(key=key, record=None))

    def _write(
        self,
        record: records.Record,
        ends: tuple[tuple[records.Place, int], ...] = (),
    ) -> None:
        if isinstance(record, records.UnitChanged):
            self._unrecorded[record.unit] += 1
        self._entries.append(
            Entry(key=records.key_of(record), record=record, ends=ends)
        )

    # Decisions.

    def _plan(self, now_ms: int, wall_ms: int) -> None:
        waiting = self._waiting(now_ms, wall_ms)
        if not waiting:
            return
        planner = planning.Planner(
            workers=self._usable(now_ms),
            table=self._table,
            accounts=self._accounts,
            bounds=self._bounds,
            trust=lambda name: self._health.trust(name, now_ms),
            now_ms=now_ms,
        )
        for decision in planner.decide(waiting):
            self._place(decision, now_ms)

    def _waiting(self, now_ms: int, wall_ms: int) -> list[planning.Waiting]:
        waiting = []
        for job, entry in self._book.jobs.items():
            if self._final_state(entry) is not None or job in self._finishing:
                continue
            waiting += [
                self._waiting_unit(entry, key, now_ms)
                for key in entry.progress.open_units(wall_ms)
                if self._table.get(key.unit) is None
                and not self._unrecorded.get(key.unit)
            ]
        return waiting

    def _waiting_unit(
        self, entry: book_lib.JobEntry, key: units.UnitKey, now_ms: int
    ) -> planning.Waiting:
        before = entry.progress.changed.get(key.unit)
        last = self._last_runs.get(key.unit)
        return planning.Waiting(
            key=key,
            step=entry.submission.workflow.steps[key.step],
            submission=entry.submission,
            since_ms=self._ready_since.setdefault(key.unit, now_ms),
            run=max(before.run if before else 0, last.number if last else 0),
            avoid=frozenset(self._failed_at.get(key.unit, ())),
            failures=max(
                before.failures if before else 0, last.failures if last else 0
            ),
            saved=(last.saved if last else "")
            or (before.saved if before else ""),
        )

    def _usable(self, now_ms: int) -> list[workers_lib.Worker]:
        return [
            session.worker
            for name, session in self._sessions.items()
            if session.primed
            and session.silent_ms(now_ms) < self._silence_limit_ms(session)
            and not self._strangers.get(name)
            and self._suspended.get(name, 0) <= now_ms
            and self._directory.usable(session.worker)
        ]

    def _silence_limit_ms(self, session: sessions_lib.Session) -> float:
        """Returns how long a worker may be silent and still get work."""
        if not session.runs:
            return float("inf")
        return self._policy.wait_ms + self._policy.retry_ms + SILENCE_MARGIN_MS

    def _place(self, decision: planning.Decision, now_ms: int) -> None:
        unit = decision.waiting
        run = runs_lib.Run(
            key=unit.key,
            step=unit.step,
            submission=unit.submission,
            number=unit.run + 1,
            places=[
                records.Place(worker=worker.worker, life_ms=worker.life_ms)
                for worker in decision.workers
            ],
            phase=runs_lib.RunPhase.CLEARING,
            failures=unit.failures,
            saved=unit.saved,
            now_ms=now_ms,
        )
        self._table.add(run)
        for victim in decision.victims:
            self._end(victim, runs_lib.EndCause.PREEMPTED)
            self._drive_to_end(victim, now_ms)
        self._clearing[run.unit] = list(decision.victims)
        self._clear(run)
        self._log.info(
            "unit_placed",
            unit=run.unit,
            run=run.number,
            account=unit.submission.account,
            priority=unit.submission.terms.priority,
            within_guarantee=decision.within_guarantee,
            spread=decision.spread.value,
            workers=sorted({w.worker for w in decision.workers}),
            waited_ms=now_ms - unit.since_ms,
            victims=[victim.unit for victim in decision.victims],
        )
