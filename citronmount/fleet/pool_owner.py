"""The owner of a pool: from records and reports to orders and records."""

from collections.abc import Iterable

from citronmount.fleet import commands
from citronmount.fleet import fleet_configuration
from citronmount.fleet import job_completion
from citronmount.fleet import owner_state
from citronmount.fleet import planning
from citronmount.fleet import run_driver
from citronmount.fleet import unit_runs
from citronmount.fleet import waiting_units
from citronmount.fleet import worker_directory
from citronmount.fleet import worker_reports
from citronmount.fleet import worker_sessions
from citronmount.workflow import job_views
from citronmount.workflow import records
from citronmount.workflow import units

__all__ = ["PoolOwner"]

LOOK_PERIOD_MS = 100
KEEP_SPEEDS_PERIOD_MS = 5_000
SPEED_CHANGE = 0.05


class PoolOwner:
    """Decides for the whole pool under one fencing token.

    The caller feeds what happened and then calls `step`, which returns the
    orders to send. Records to append are taken with `take_entries`; one append
    is on its way at a time, and `appended` tells that it is durable.

    Attributes:
        token: The fencing token, the producer epoch of the job topic.
        reports: Takes in what workers answer.
    """

    def __init__(self, *, state: owner_state.OwnerState, now_ms: int) -> None:
        """Takes over what the book says is placed.

        Args:
            state: What its parts share; nothing runs in it yet.
            now_ms: Steady time in milliseconds.
        """
        self.token = state.token
        self._state = state
        self._sessions = worker_sessions.WorkerSessions(state=self._state)
        self._driver = run_driver.RunDriver(state=self._state)
        self._ends = job_completion.JobCompletion(
            state=self._state, driver=self._driver
        )
        self.reports = worker_reports.WorkerReports(
            state=self._state, sessions=self._sessions
        )
        self._accounts: tuple[fleet_configuration.Account, ...] = ()
        self._next_look_ms = 0
        self._next_keep_ms = now_ms + KEEP_SPEEDS_PERIOD_MS
        self._kept_speeds = dict(state.job_view.speeds)
        self._driver.restore(now_ms)

    @property
    def fenced(self) -> bool:
        """Whether a worker has seen a newer owner."""
        return self._state.fenced

    def set_accounts(
        self, accounts: tuple[fleet_configuration.Account, ...]
    ) -> None:
        """Takes in the client accounts of the configuration in force."""
        self._accounts = accounts
        self._state.changed = True

    def mark_changed(self) -> None:
        """Takes in that the book or the directory changed."""
        self._state.changed = True

    def take_entries(self, most: int) -> list[owner_state.LogEntry]:
        """Returns the records to append next, oldest first.

        Args:
            most: How many one append may hold.

        Returns:
            The records; those left over come with the next call.
        """
        entries = self._state.entries[:most]
        self._state.entries = self._state.entries[most:]
        return entries

    def records_appended(
        self, entries: Iterable[owner_state.LogEntry], offset: int, now_ms: int
    ) -> None:
        """Takes in that records are durable.

        Args:
            entries: The records of one append.
            offset: The offset of the first.
            now_ms: Steady time in milliseconds.
        """
        for number, entry in enumerate(entries, offset):
            if entry.record is None:
                self._state.job_view.apply_removal(number, entry.key)
                job = records.job_of_final_key(entry.key)
                self._state.finishing.discard(job)
            else:
                self._state.job_view.apply(number, entry.record)
            for place, end in entry.ends:
                self._state.resolve(place, end, now_ms)
            if isinstance(entry.record, records.UnitChanged):
                self._state.note_durable(entry.record.unit, now_ms)
                self._driver.recorded(entry.record)
            if isinstance(entry.record, records.Finished):
                self._state.finishing.discard(entry.record.job)
        self._state.changed = True

    def step(self, now_ms: int, wall_ms: int) -> list[commands.Command]:
        """Decides on all that happened and on the passing of time.

        Args:
            now_ms: Steady time in milliseconds.
            wall_ms: Unix time in milliseconds.

        Returns:
            The orders to send.
        """
        look = now_ms >= self._next_look_ms
        if look:
            self._next_look_ms = now_ms + LOOK_PERIOD_MS
        self._sessions.follow_directory(now_ms, look)
        self._driver.settle(now_ms, look)
        if self._state.changed or look:
            self._state.changed = False
            self._ends.end_jobs(now_ms, wall_ms)
            self._plan(now_ms, wall_ms)
        if now_ms >= self._next_keep_ms:
            self._next_keep_ms = now_ms + KEEP_SPEEDS_PERIOD_MS
            self._keep_speeds()
        self._sessions.due_holds(now_ms)
        out, self._state.commands = self._state.commands, []
        return out

    def _keep_speeds(self) -> None:
        """Has the speeds of machines recorded for the next owner."""
        machines = {each.speed_key for each in self._state.directory}
        speeds = self._state.speeds.kept(machines)
        before = self._kept_speeds
        changed = any(
            machine not in before or abs(log - before[machine]) >= SPEED_CHANGE
            for machine, log in speeds.items()
        )
        if changed:
            self._kept_speeds = speeds
            self._state.write(records.SpeedsLearned(logs=speeds))

    def _plan(self, now_ms: int, wall_ms: int) -> None:
        waiting = self._waiting(now_ms, wall_ms)
        if not waiting:
            return
        usable = self._sessions.usable(now_ms)
        self._ask_for_advice(waiting, usable, now_ms)
        planner = planning.Planner(
            workers=usable,
            table=self._state.table,
            accounts=self._accounts,
            bounds=self._state.bounds,
            trust=lambda worker: self._state.health.trust(worker, now_ms),
            slowdown=lambda worker: self._state.speeds.slowdown(
                worker.speed_key, now_ms
            ),
            allowed=lambda key, worker: bool(
                self._state.advice.ticket(key.step_id, worker, now_ms)
            ),
            now_ms=now_ms,
        )
        for decision in planner.decide(waiting):
            self._place(decision, now_ms)

    def _ask_for_advice(
        self,
        waiting: list[waiting_units.WaitingUnit],
        usable: list[worker_directory.Worker],
        now_ms: int,
    ) -> None:
        """Asks about workers with room for steps that need advice."""
        for unit in waiting:
            if not unit.submission.terms.needs_advice:
                continue
            room = self._state.table.room
            suited = [
                worker
                for worker in usable
                if waiting_units.has_room_for(unit, worker, room)
            ]
            advice_request = self._state.advice.next_question(
                unit.key.step_id, suited, now_ms
            )
            if advice_request is not None:
                self._state.commands.append(advice_request)
                return

    def _waiting(
        self, now_ms: int, wall_ms: int
    ) -> list[waiting_units.WaitingUnit]:
        waiting = []
        for job, entry in self._state.job_view.jobs.items():
            if (
                job_completion.final_state(entry) is not None
                or job in self._state.finishing
            ):
                continue
            waiting += [
                self._waiting_unit(entry, key, now_ms)
                for key in entry.progress.open_units(wall_ms)
                if self._state.table.get(key.unit) is None
                and not self._state.unrecorded.get(key.unit)
            ]
        return waiting

    def _waiting_unit(
        self, entry: job_views.JobEntry, key: units.UnitKey, now_ms: int
    ) -> waiting_units.WaitingUnit:
        before = entry.progress.changed.get(key.unit)
        last = self._state.last_runs.get(key.unit)
        return waiting_units.WaitingUnit(
            key=key,
            step=entry.submission.workflow.steps[key.step],
            submission=entry.submission,
            since_ms=self._state.ready_since.setdefault(key.unit, now_ms),
            run=max(before.run if before else 0, last.number if last else 0),
            avoid=frozenset(self._state.failed_at.get(key.unit, ())),
            failures=max(
                before.failures if before else 0, last.failures if last else 0
            ),
            saved=(last.saved if last else "")
            or (before.saved if before else ""),
        )

    def _place(self, decision: waiting_units.Decision, now_ms: int) -> None:
        unit = decision.waiting
        run = unit_runs.Run(
            key=unit.key,
            step=unit.step,
            submission=unit.submission,
            number=unit.run + 1,
            places=[
                records.Place(worker=worker.worker, life_ms=worker.life_ms)
                for worker in decision.workers
            ],
            phase=unit_runs.RunPhase.CLEARING,
            failures=unit.failures,
            saved=unit.saved,
            now_ms=now_ms,
        )
        self._state.table.add(run)
        for victim in decision.victims:
            self._state.end_run(victim, unit_runs.EndCause.PREEMPTED)
            self._driver.drive_to_end(victim, now_ms)
        self._state.clearing[run.unit] = list(decision.victims)
        self._driver.clear(run)
        self._state.log.info(
            "unit_placed",
            unit=run.unit,
            run=run.number,
            account=unit.submission.account,
            priority=unit.submission.terms.priority,
            within_guarantee=decision.within_guarantee,
            spread=decision.spread.value,
            workers=sorted({w.worker for w in decision.workers}),
            slowdown=round(
                max(
                    self._state.speeds.slowdown(w.speed_key, now_ms)
                    for w in decision.workers
                ),
                2,
            ),
            waited_ms=now_ms - unit.since_ms,
            victims=[victim.unit for victim in decision.victims],
            lost_core_s=round(decision.lost_core_s),
        )
