"""State shared by the parts of a pool's owner."""

import collections

import msgspec
import structlog

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import fleet_configuration
from citronmount.fleet import job_faults
from citronmount.fleet.estimates import learning
from citronmount.fleet.placement import advice_cache
from citronmount.fleet.queueing import demand_history
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import run_table
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet.workers import speed_estimates
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_health
from citronmount.fleet.workers import worker_speeds
from citronmount.workflow import job_views
from citronmount.workflow import records
from citronmount.workflow import units

__all__ = ["LogEntry", "OwnerState"]

# Leases expire by the workers' clocks, which may be slower than the owner's.
CLOCK_DRIFT_FACTOR = 1.03


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A record to append to the job topic.

    Attributes:
        key: Topic key of the record.
        record: The record, or None to remove the key.
        ends: Ends that workers may delete once the record is durable, as pairs
            of worker incarnation and sequence number.
    """

    key: str
    record: records.Record | None
    ends: tuple[tuple[records.Place, int], ...] = ()


class OwnerState:
    """Runs, worker sessions and pending records of one owner.

    Attributes:
        token: Fencing token of the owner.
        fenced: Whether a worker has seen a newer owner.
        log: Logger for the owner's decisions.
        job_view: State of the jobs, folded from the job topic.
        directory: Directory entries of the workers.
        bounds: Time bounds and factors of the site.
        features: Enabled parts of scheduling.
        policy: Timing of leases and their renewal.
        table: The runs.
        sessions: Session of each worker's current incarnation.
        unknown_task_counts: Number of tasks that each worker runs although
            they are not in the table.
        changed_workers: Workers whose session may have changed since the last
            step.
        suspended_until_ms: Monotonic time until which each worker receives no
            new tasks.
        ready_since_ms: Monotonic time since which each unit is ready to start.
        victims_by_unit: Runs that must end before the unit's run is recorded.
        job_faults: Jobs at which the owner failed, which it leaves alone.
        finishing_jobs: Jobs with a pending record of their final state or of
            its removal.
        pending_unit_records: Number of each unit's records that are not
            durable yet.
        deferred_ends: Ends of each unit that can be resolved once its pending
            records are durable.
        last_runs: Newest run of each unit among the runs that are over.
        avoided_workers: Workers on which each unit failed, stalled or was slow,
            the one where it happened last at the end.
        stall_counts: Number of runs of each unit that were ended because they
            stalled, were overdue or had a slow member.
        health: Assessment of the workers.
        speeds: Speed estimates of the machines.
        estimates: Run times learned from finished runs.
        demand: Stops of units and arrivals.
        advice: Cached advice of the queues' policies.
        entries: Records to append, oldest first.
        removed_keys: Keys whose removal is not durable yet.
        commands: Commands to send.
        orphan_leases_end_ms: Monotonic time after which all leases of earlier
            owners have expired.
        last_event: Number of the last event, a command sent or an answer
            received, whose order with others matters. Several may happen within
            one millisecond.
        needs_planning: Whether anything changed that decisions depend on.
    """

    def __init__(
        self,
        *,
        token: ids.FenceToken,
        job_view: job_views.JobView,
        directory: worker_directory.WorkerDirectory,
        bounds: fleet_configuration.Bounds,
        policy: lease_sessions.LeasePolicy,
        now_ms: int,
        features: frozenset[fleet_configuration.Feature] = frozenset(),
    ) -> None:
        """Initializes without runs.

        Args:
            token: Fencing token of the owner.
            job_view: State of the jobs, folded up to the owner's takeover.
            directory: Directory entries of the workers.
            bounds: Time bounds and factors of the site.
            policy: Timing of leases and their renewal.
            now_ms: Monotonic time in milliseconds.
            features: Enabled parts of scheduling.
        """
        self.token = token
        self.fenced = False
        self.log = structlog.get_logger().bind(token=token)
        self.job_view = job_view
        self.directory = directory
        self.bounds = bounds
        self.features = features
        self.policy = policy
        self.table = run_table.RunTable()
        self.sessions: dict[ids.WorkerId, lease_sessions.LeaseSession] = {}
        self.unknown_task_counts: dict[ids.WorkerId, int] = {}
        self.changed_workers: set[ids.WorkerId] = set()
        self.suspended_until_ms: dict[ids.WorkerId, int] = {}
        self.ready_since_ms: dict[units.UnitId, int] = {}
        self.victims_by_unit: dict[units.UnitId, list[unit_runs.Run]] = {}
        self.job_faults = job_faults.JobFaults()
        self.finishing_jobs: set[ids.JobId] = set()
        self.pending_unit_records: collections.Counter[units.UnitId] = (
            collections.Counter()
        )
        self.deferred_ends: dict[
            units.UnitId, list[tuple[records.Place, int]]
        ] = collections.defaultdict(list)
        self.last_runs: dict[units.UnitId, unit_runs.Run] = {}
        self.avoided_workers: dict[units.UnitId, list[ids.WorkerId]] = {}
        self.stall_counts: collections.Counter[units.UnitId] = (
            collections.Counter()
        )
        self.health = worker_health.WorkerHealth()
        self.speeds: (
            worker_speeds.WorkerSpeeds | speed_estimates.SpeedEstimates
        ) = (
            speed_estimates.SpeedEstimates()
            if fleet_configuration.Feature.WORKER_SPEEDS in features
            else worker_speeds.WorkerSpeeds()
        )
        self.speeds.restore(job_view.speeds, now_ms)
        self.estimates = learning.RunTimeLearning(
            enabled=fleet_configuration.Feature.RUN_TIME_ESTIMATES in features,
            directory=directory,
            speeds=self.speeds,
        )
        self.demand = demand_history.DemandHistory()
        self.advice = advice_cache.AdviceCache()
        self.entries: list[LogEntry] = []
        self.removed_keys: set[str] = set()
        self.commands: list[commands.Command] = []
        self.orphan_leases_end_ms = now_ms + int(
            policy.max_lease_ms * CLOCK_DRIFT_FACTOR + policy.stop_ms
        )
        self.last_event = 0
        self.needs_planning = True

    def next_event(self) -> int:
        """Returns the number of a new event."""
        self.last_event += 1
        return self.last_event

    def avoid_worker(self, unit: units.UnitId, worker: ids.WorkerId) -> None:
        """Makes a unit avoid a worker while enough others remain."""
        avoided = self.avoided_workers.setdefault(unit, [])
        if worker in avoided:
            avoided.remove(worker)
        avoided.append(worker)

    def end_run(self, run: unit_runs.Run, cause: run_states.EndCause) -> None:
        """Starts to end a run and logs the cause of the first call."""
        if run.cause is None:
            self.log.info(
                "run_ending",
                unit=run.unit,
                run=run.number,
                cause=cause.value,
                outcome=run.outcome.value if run.outcome else None,
                tasks=len(run.members),
            )
        run.end(cause)

    def slowest_speed(self, run: unit_runs.Run) -> float:
        """Returns the learned speed of the slowest worker of a run.

        A run is as slow as its slowest member. The speed is 1 if the pool does
        not learn speeds.
        """
        if not isinstance(self.speeds, speed_estimates.SpeedEstimates):
            return 1.0
        sessions = (self.session_at_place(each.place) for each in run.members)
        return min(
            (
                self.speeds.speed_range(each.worker.speed_key).expected
                for each in sessions
                if each is not None
            ),
            default=1.0,
        )

    def append_record(
        self,
        record: records.Record,
        ends: tuple[tuple[records.Place, int], ...] = (),
    ) -> None:
        """Queues a record for the job topic.

        Args:
            record: The record.
            ends: Ends that workers may delete once the record is durable.
        """
        if isinstance(record, records.UnitChanged):
            self.pending_unit_records[record.unit] += 1
        self.entries.append(
            LogEntry(key=records.key_of(record), record=record, ends=ends)
        )

    def resolve_end(
        self, place: records.Place, number: int, now_ms: int
    ) -> None:
        """Marks an end as resolved if the worker incarnation still exists."""
        session = self.session_at_place(place)
        if session is not None:
            session.resolve_end(number, now_ms)
            self.changed_workers.add(place.worker)

    def mark_member_missing(
        self,
        run: unit_runs.Run,
        member: unit_runs.Member,
        cause: run_states.MissingCause,
    ) -> None:
        """Marks a task as gone and ends its run unless the run is done.

        Called if the task's worker no longer holds the task.
        """
        self.log.info(
            "run_missing",
            task=member.task,
            run=run.number,
            worker=member.place.worker,
            life_ms=member.place.life_ms,
            cause=cause.value,
            reported=member.reported,
            start_answered=member.start_answered,
            start_uncertain=member.start_uncertain,
        )
        self.table.mark_gone(run, member)
        self.needs_planning = True
        if run.outcome is not commands.EndKind.DONE:
            self.end_run(run, run_states.EndCause.MEMBER_ENDED)

    def session_for(
        self, worker: worker_directory.Worker
    ) -> lease_sessions.LeaseSession | None:
        """Returns the session of a worker's incarnation, if it still exists."""
        session = self.sessions.get(worker.worker)
        if session is None or session.worker.life_ms != worker.life_ms:
            return None
        return session

    def workers_of(self, run: unit_runs.Run) -> list[worker_directory.Worker]:
        """Returns the workers of a run whose incarnations still exist."""
        sessions = (self.session_at_place(each.place) for each in run.members)
        return [session.worker for session in sessions if session is not None]

    def on_record_durable(self, unit: units.UnitId, now_ms: int) -> None:
        """Resolves a unit's deferred ends once no record of it is pending."""
        self.pending_unit_records[unit] -= 1
        if self.pending_unit_records[unit] > 0:
            return
        for place, number in self.deferred_ends.pop(unit, ()):
            self.resolve_end(place, number, now_ms)

    def remove_key(self, key: str) -> None:
        """Queues the removal of a key from the job topic."""
        self.removed_keys.add(key)
        self.entries.append(LogEntry(key=key, record=None))

    def forget_unit(self, unit: units.UnitId) -> None:
        """Drops the state of a unit whose job has ended."""
        for by_unit in (
            self.ready_since_ms,
            self.last_runs,
            self.avoided_workers,
            self.stall_counts,
            self.pending_unit_records,
        ):
            by_unit.pop(unit, None)
        self.demand.forget_unit(unit)

    def session_at_place(
        self, place: records.Place
    ) -> lease_sessions.LeaseSession | None:
        """Returns the session of a place's incarnation, if it still exists."""
        session = self.sessions.get(place.worker)
        if session is None or session.worker.life_ms != place.life_ms:
            return None
        return session
