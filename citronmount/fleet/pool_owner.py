"""The owner of a pool: schedules its jobs on its workers."""

from collections.abc import Callable
from collections.abc import Iterable
import math

from citronmount.fleet import commands
from citronmount.fleet import fleet_configuration
from citronmount.fleet import owner_state
from citronmount.fleet import planning
from citronmount.fleet.accounts import fair_shares
from citronmount.fleet.accounts import quota_monitor
from citronmount.fleet.accounts import quotas
from citronmount.fleet.accounts import share_monitor
from citronmount.fleet.estimates import run_time_recorder
from citronmount.fleet.estimates import run_times
from citronmount.fleet.placement import advice_requests
from citronmount.fleet.queueing import open_units
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import job_completion
from citronmount.fleet.runs import run_driver
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import speed_observations
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import speed_estimates
from citronmount.fleet.workers import worker_reports
from citronmount.fleet.workers import worker_sessions
from citronmount.workflow import records

__all__ = ["PoolOwner"]

FULL_SCAN_PERIOD_MS = 100
SPEEDS_RECORD_PERIOD_MS = 5_000
MIN_LOG_SPEED_CHANGE = 0.05
# A new owner then plans from the log alone, in case this one's state is wrong.
MAX_PLANNING_FAULT_MS = 10_000


class PoolOwner:
    """Schedules all jobs of a pool under one fencing token.

    The caller passes in events and then calls `step`, which returns the
    commands to send. It takes the records to append with `take_entries` and
    calls `records_appended` once they are durable; at most one append may be
    pending.

    Attributes:
        token: Fencing token, equal to the producer epoch of the job topic.
        reports: Handles the answers of workers.
    """

    def __init__(self, *, state: owner_state.OwnerState, now_ms: int) -> None:
        """Takes over the pool and restores the runs that the job view lists.

        Args:
            state: State shared by the parts of the owner, without runs.
            now_ms: Monotonic time in milliseconds.
        """
        self.token = state.token
        self._state = state
        self._sessions = worker_sessions.WorkerSessions(state=self._state)
        self._driver = run_driver.RunDriver(
            state=self._state, usable_workers=self._sessions.usable_workers
        )
        self._speed_observer: speed_observations.SpeedObserver | None = None
        if isinstance(state.speeds, speed_estimates.SpeedEstimates):
            self._speed_observer = speed_observations.SpeedObserver(
                state=state, estimates=state.speeds
            )
        self._completion = job_completion.JobCompletion(
            state=self._state, driver=self._driver
        )
        self.reports = worker_reports.WorkerReports(
            state=self._state, sessions=self._sessions
        )
        self._configuration: fleet_configuration.FleetConfiguration | None = (
            None
        )
        self._quota_monitor = quota_monitor.QuotaMonitor(state=self._state)
        fair = fleet_configuration.Feature.FAIR_SHARING in state.features
        self._shares = fair_shares.FairShares() if fair else None
        self._share_monitor = share_monitor.ShareMonitor(state=self._state)
        self._next_full_scan_ms = 0
        self._planning_fails_since_ms: int | None = None
        self._learning_faults = 0
        self._next_speeds_record_ms = now_ms + SPEEDS_RECORD_PERIOD_MS
        self._recorded_speeds = dict(state.job_view.speeds)
        self._run_time_recorder = run_time_recorder.RunTimeRecorder(
            state=state, now_ms=now_ms
        )
        self._driver.restore(now_ms)

    @property
    def fenced(self) -> bool:
        """Whether a worker has seen a newer owner."""
        return self._state.fenced

    @property
    def run_times(self) -> run_times.RunTimes:
        """Run times learned from finished runs."""
        return self._state.estimates.run_times

    def set_configuration(
        self, configuration: fleet_configuration.FleetConfiguration, now_ms: int
    ) -> None:
        """Sets the configuration in force.

        Placed runs that a lowered quota no longer allows are withdrawn unless
        their `Start` commands may have been sent. Without a configuration,
        nothing starts, because the accounts' quotas are unknown.

        Args:
            configuration: The configuration.
            now_ms: Monotonic time in milliseconds.
        """
        self._configuration = configuration
        self._state.needs_planning = True
        for run in quotas.runs_beyond_quota(
            configuration.accounts,
            self._state.table,
            self._state.victims_by_unit,
        ):
            self._state.end_run(run, run_states.EndCause.QUOTA_LOWERED)
            self._driver.send_due_stops(run, now_ms)

    def account_gauges(self) -> dict[str, float]:
        """Returns what the accounts use, their quotas and their shares."""
        if self._configuration is None:
            return {}
        return quota_monitor.gauges(
            self._configuration.accounts, self._state.table
        ) | share_monitor.gauges(self._shares)

    def mark_changed(self) -> None:
        """Requests planning after a change of the job view or directory."""
        self._state.needs_planning = True

    def take_entries(self, limit: int) -> list[owner_state.LogEntry]:
        """Removes and returns the records to append next, oldest first.

        Args:
            limit: Maximum number of records.

        Returns:
            The records; the remaining ones are returned by later calls.
        """
        entries = self._state.entries[:limit]
        self._state.entries = self._state.entries[limit:]
        return entries

    def records_appended(
        self, entries: Iterable[owner_state.LogEntry], offset: int, now_ms: int
    ) -> None:
        """Handles an append that became durable.

        Args:
            entries: The records of the append.
            offset: Log offset of the first record.
            now_ms: Monotonic time in milliseconds.
        """
        for record_offset, entry in enumerate(entries, offset):
            if entry.record is None:
                self._state.job_view.apply_removal(record_offset, entry.key)
                self._state.removed_keys.discard(entry.key)
                job = records.job_of_final_key(entry.key)
                self._state.finishing_jobs.discard(job)
            else:
                self._state.job_view.apply(record_offset, entry.record)
            for place, end in entry.ends:
                self._state.resolve_end(place, end, now_ms)
            if isinstance(entry.record, records.UnitChanged):
                self._state.on_record_durable(entry.record.unit, now_ms)
                self._driver.activate_recorded_run(entry.record)
            if isinstance(entry.record, records.Finished):
                self._state.finishing_jobs.discard(entry.record.job)
        self._state.needs_planning = True

    def step(self, now_ms: int, wall_ms: int) -> list[commands.Command]:
        """Processes the events since the last step and the passing of time.

        Args:
            now_ms: Monotonic time in milliseconds.
            wall_ms: Unix time in milliseconds.

        Returns:
            The commands to send.
        """
        full_scan = now_ms >= self._next_full_scan_ms
        if full_scan:
            self._next_full_scan_ms = now_ms + FULL_SCAN_PERIOD_MS
        self._sessions.sync_with_directory(now_ms, full_scan)
        if full_scan and self._speed_observer is not None:
            self._learn(self._speed_observer.observe, now_ms)
        self._driver.advance_runs(now_ms, full_scan)
        if self._state.needs_planning or full_scan:
            self._state.needs_planning = False
            self._completion.finish_ended_jobs(now_ms, wall_ms)
            self._plan_or_wait(now_ms, wall_ms)
        if now_ms >= self._next_speeds_record_ms:
            self._next_speeds_record_ms = now_ms + SPEEDS_RECORD_PERIOD_MS
            self._learn(self._record_speeds)
        self._learn(self._run_time_recorder.step, now_ms, wall_ms)
        self._sessions.send_due_renewals(now_ms)
        due_commands, self._state.commands = self._state.commands, []
        return due_commands

    def _learn(self, update: Callable[..., None], *args: int) -> None:
        """Updates what is learned, without which the owner goes on.

        The errors 1, 2, 4, 8 and so on are logged.
        """
        try:
            update(*args)
        except Exception:
            self._learning_faults += 1
            if self._learning_faults.bit_count() == 1:
                self._state.log.exception(
                    "learning_failed", faults=self._learning_faults
                )

    def _record_speeds(self) -> None:
        """Records the speed estimates for the next owner if they changed."""
        machines = {each.speed_key for each in self._state.directory}
        speeds = self._state.speeds.snapshot(machines)
        previous = self._recorded_speeds
        changed = any(
            machine not in previous
            or abs(log_speed - previous[machine]) >= MIN_LOG_SPEED_CHANGE
            for machine, log_speed in speeds.items()
        )
        if changed:
            self._recorded_speeds = speeds
            self._state.append_record(records.SpeedsLearned(logs=speeds))
            self._state.log.info(
                "speeds_recorded",
                machines=len(speeds),
                slowest=round(math.exp(min(speeds.values())), 2),
                fastest=round(math.exp(max(speeds.values())), 2),
            )

    def _plan_or_wait(self, now_ms: int, wall_ms: int) -> None:
        """Plans; goes on without new starts if that fails.

        An error that no waiting job accounts for may be due to one that runs,
        and then ends with it. Until then, what runs keeps its leases and its
        results are recorded.
        """
        try:
            self._plan(now_ms, wall_ms)
        except Exception:
            if self._planning_fails_since_ms is None:
                self._planning_fails_since_ms = now_ms
                self._state.log.exception("planning_failed")
            elif now_ms - self._planning_fails_since_ms > MAX_PLANNING_FAULT_MS:
                raise
        else:
            self._planning_fails_since_ms = None

    def _plan(self, now_ms: int, wall_ms: int) -> None:
        if self._configuration is None:
            return
        accounts = self._configuration.accounts
        version = self._configuration.version
        if self._shares is not None:
            self._shares.observe(accounts, self._state.table, now_ms)
        waiting = open_units.open_units(self._state, now_ms, wall_ms)
        if not waiting:
            self._quota_monitor.update(None, version, now_ms)
            self._share_monitor.update(self._shares, version, now_ms)
            return
        self._state.demand.observe(waiting, now_ms)
        usable_workers = self._sessions.usable_workers(now_ms)
        advice_request = advice_requests.next_advice_request(
            self._state, waiting, usable_workers, now_ms
        )
        if advice_request is not None:
            self._state.commands.append(advice_request)
        planner = planning.Planner(
            workers=usable_workers,
            table=self._state.table,
            accounts=accounts,
            bounds=self._state.bounds,
            assess=lambda worker: self._state.health.assess(worker, now_ms),
            **self._speed_options(now_ms),
            allowed=lambda key, worker: bool(
                self._state.advice.ticket(key.step_id, worker, now_ms)
            ),
            now_ms=now_ms,
            wall_ms=wall_ms,
            shares=self._shares,
            demand=self._state.demand,
            holds_back=fleet_configuration.Feature.PREEMPTION_WORTH
            in self._state.features,
            faults=self._state.job_faults,
            listed=self._state.directory.newest_incarnations(),
        )
        for decision in planner.decide(waiting):
            try:
                self._apply_decision(decision, now_ms)
            except Exception:
                self._state.job_faults.note(decision.waiting.key.job, now_ms)
        self._log_held_units(planner)
        self._quota_monitor.update(planner.quotas, version, now_ms)
        self._share_monitor.update(self._shares, version, now_ms)

    def _log_held_units(self, planner: planning.Planner) -> None:
        """Logs the units that are held back since this round."""
        for hold in self._state.demand.newly_held(planner.held):
            self._state.log.info(
                "unit_held_back",
                unit=hold.unit,
                priority=hold.priority,
                reason=hold.reason.value,
                free_accelerators=hold.free_accelerators,
                headroom_accelerators=hold.headroom_accelerators,
            )

    def _speed_options(self, now_ms: int) -> dict[str, object]:
        """Returns the planner's source of the workers' speeds."""
        speeds = self._state.speeds
        if isinstance(speeds, speed_estimates.SpeedEstimates):
            return {"speed": lambda each: speeds.speed_range(each.speed_key)}
        return {"slowdown": lambda e: speeds.slowdown(e.speed_key, now_ms)}

    def _speed_fields(
        self, decision: waiting_units.Decision
    ) -> dict[str, float]:
        """Returns the speeds that a placement relied on, for its log line."""
        speeds = self._state.speeds
        if not isinstance(speeds, speed_estimates.SpeedEstimates):
            return {}
        keys = {worker.speed_key for worker in decision.workers}
        expected = [speeds.speed_range(each).expected for each in keys]
        return {
            "slowest_speed": round(min(expected), 2),
            "fastest_speed": round(max(expected), 2),
            "speed_deviation": round(max(map(speeds.deviation, keys)), 2),
        }

    def _apply_decision(
        self, decision: waiting_units.Decision, now_ms: int
    ) -> None:
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
            phase=run_states.RunPhase.CLEARING,
            failures=unit.failures,
            crash_history=unit.crash_history,
            saved=unit.saved,
            now_ms=now_ms,
            learned_run_time=unit.learned_run_time,
        )
        # Set first: the run must not start before its victims are over.
        self._state.victims_by_unit[run.unit] = list(decision.victims)
        self._state.table.add(run)
        for victim in decision.victims:
            if victim.cause is None:
                self._state.demand.note_stop(victim.unit)
            self._state.end_run(victim, run_states.EndCause.PREEMPTED)
            self._driver.send_due_stops(victim, now_ms)
        self._driver.record_if_cleared(run)
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
            **self._speed_fields(decision),
            waited_ms=now_ms - unit.since_ms,
            victims=[victim.unit for victim in decision.victims],
            lost_core_s=round(decision.lost_core_s),
            worth_core_s=round(decision.worth_core_s),
        )
