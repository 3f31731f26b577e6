"""What the parts of an owner share."""

import collections

import msgspec
import structlog

from citronmount.core import ids
from citronmount.fleet import advice_cache
from citronmount.fleet import commands
from citronmount.fleet import fleet_configuration
from citronmount.fleet import lease_sessions
from citronmount.fleet import run_table
from citronmount.fleet import unit_runs
from citronmount.fleet import worker_directory
from citronmount.fleet import worker_health
from citronmount.fleet import worker_speeds
from citronmount.workflow import job_views
from citronmount.workflow import records
from citronmount.workflow import units

__all__ = ["LogEntry", "OwnerState"]

CLOCK_DRIFT_FACTOR = 1.03


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
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


class OwnerState:
    """Runs, workers and records of one owner.

    Attributes:
        token: The fencing token.
        fenced: Whether a worker or the log has seen a newer owner.
        log: Where decisions are told.
        book: The fold of the job topic.
        directory: The workers' entries.
        bounds: Times that the site sets.
        policy: How leases are renewed.
        table: The runs.
        sessions: What is known of each worker's life.
        strangers: Runs at each worker that are not in the table.
        heard: Workers of which something was heard since the last step.
        suspended: Steady times until which workers get no work.
        ready_since: Steady times from which units could have started.
        clearing: The runs that each run waits for.
        finishing: Jobs whose final record is on its way.
        unrecorded: Records of each unit that are on their way.
        later_ends: Ends that wait for a record that is on its way.
        last_runs: The last run of each unit that is over.
        failed_at: Workers at which each unit failed.
        stalls: How often each unit stood still.
        health: What the workers' runs did.
        speeds: How fast the workers are.
        advice: Which workers policies allow.
        entries: Records to append.
        orders: Orders to send.
        orphans_gone_ms: Steady time from which no lease of an earlier owner
            can be left.
        changed: Whether anything happened that decisions depend on.
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
    ) -> None:
        """Initializes without runs.

        Args:
            token: The fencing token.
            job_view: The fold of the job topic, up to date.
            directory: The workers' entries.
            bounds: Times that the site sets.
            policy: How leases are renewed.
            now_ms: Steady time in milliseconds.
        """
        self.token = token
        self.fenced = False
        self.log = structlog.get_logger().bind(token=token)
        self.job_view = job_view
        self.directory = directory
        self.bounds = bounds
        self.policy = policy
        self.table = run_table.RunTable()
        self.sessions: dict[ids.WorkerId, lease_sessions.LeaseSession] = {}
        self.strangers: dict[ids.WorkerId, int] = {}
        self.heard: set[ids.WorkerId] = set()
        self.suspended: dict[ids.WorkerId, int] = {}
        self.ready_since: dict[units.UnitId, int] = {}
        self.clearing: dict[units.UnitId, list[unit_runs.Run]] = {}
        self.finishing: set[ids.JobId] = set()
        self.unrecorded: collections.Counter[units.UnitId] = (
            collections.Counter()
        )
        self.later_ends: dict[units.UnitId, list[tuple[records.Place, int]]] = (
            collections.defaultdict(list)
        )
        self.last_runs: dict[units.UnitId, unit_runs.Run] = {}
        self.failed_at: dict[units.UnitId, set[ids.WorkerId]] = {}
        self.stalls: collections.Counter[units.UnitId] = collections.Counter()
        self.health = worker_health.WorkerHealth()
        self.speeds = worker_speeds.WorkerSpeeds()
        self.speeds.restore(job_view.speeds, now_ms)
        self.advice = advice_cache.AdviceCache()
        self.entries: list[LogEntry] = []
        self.commands: list[commands.Command] = []
        self.orphans_gone_ms = now_ms + int(
            policy.max_lease_ms * CLOCK_DRIFT_FACTOR + policy.stop_ms
        )
        self.changed = True

    def end_run(self, run: unit_runs.Run, cause: unit_runs.EndCause) -> None:
        """Makes what is left of a run end, and tells why."""
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

    def write(
        self,
        record: records.Record,
        ends: tuple[tuple[records.Place, int], ...] = (),
    ) -> None:
        """Has a record appended, and ends told once it is durable."""
        if isinstance(record, records.UnitChanged):
            self.unrecorded[record.unit] += 1
        self.entries.append(
            LogEntry(key=records.key_of(record), record=record, ends=ends)
        )

    def resolve(self, place: records.Place, number: int, now_ms: int) -> None:
        """Lets a worker forget an end, if that life still lasts."""
        session = self.session_at(place)
        if session is not None:
            session.resolve_end(number, now_ms)
            self.heard.add(place.worker)

    def member_gone(self, run: unit_runs.Run, member: unit_runs.Member) -> None:
        """Notes a task that its worker no longer has."""
        self.log.info(
            "run_missing",
            task=member.task,
            run=run.number,
            worker=member.place.worker,
        )
        self.table.gone(run, member)
        self.changed = True
        if run.outcome is not commands.EndKind.DONE:
            self.end_run(run, unit_runs.EndCause.MEMBER_ENDED)

    def session_of(
        self, worker: worker_directory.Worker
    ) -> lease_sessions.LeaseSession | None:
        """Returns the session of this life of a worker, if any."""
        session = self.sessions.get(worker.worker)
        if session is None or session.worker.life_ms != worker.life_ms:
            return None
        return session

    def note_durable(self, unit: units.UnitId, now_ms: int) -> None:
        """Lets workers forget further ends of a run once it is recorded."""
        self.unrecorded[unit] -= 1
        if self.unrecorded[unit] > 0:
            return
        for place, number in self.later_ends.pop(unit, ()):
            self.resolve(place, number, now_ms)

    def drop_key(self, key: str) -> None:
        """Has a key of the job topic removed."""
        self.entries.append(LogEntry(key=key, record=None))

    def forget_unit(self, unit: units.UnitId) -> None:
        """Drops what is remembered of a unit whose job has ended."""
        for kept in (
            self.ready_since,
            self.last_runs,
            self.failed_at,
            self.stalls,
            self.unrecorded,
        ):
            kept.pop(unit, None)

    def session_at(
        self, place: records.Place
    ) -> lease_sessions.LeaseSession | None:
        """Returns the session of the life that a place names, if it lives."""
        session = self.sessions.get(place.worker)
        if session is None or session.worker.life_ms != place.life_ms:
            return None
        return session
