"""One VM of a pool: connects log readers, job service, election and owner."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import functools
import typing

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure

from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.estimates import run_times
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet.workers import worker_directory
from citronmount.fleet_service import job_service
from citronmount.fleet_service import log_health
from citronmount.fleet_service import log_tail
from citronmount.fleet_service import owner_election
from citronmount.fleet_service import owner_loop
from citronmount.fleet_service import ports
from citronmount.workflow import job_views
from citronmount.workflow import records

__all__ = ["PoolVm"]

LOG_SILENCE_LIMIT_MS = 1_000
WORKERS_READ_INTERVAL_MS = 400

_MS_PER_S = 1_000

_Result = typing.TypeVar("_Result")
Decoder = Callable[[ports.Topic, ports.LogRecord], ports.LogEvent | None]


class PoolVm:
    """One VM of a pool, with all its parts.

    Attributes:
        job_service: Handles the calls of clients.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        worker_commands: ports.WorkerCommands,
        decode: Decoder,
        bounds: fleet_configuration.Bounds,
        policy: lease_sessions.LeasePolicy,
        sized_for_ownership: bool = True,
        wall_clock: Callable[[], int] = owner_loop.wall_ms,
        features: frozenset[fleet_configuration.Feature] = frozenset(),
    ) -> None:
        """Connects the parts without starting them.

        Args:
            clock: The reactor.
            log: The log.
            worker_commands: Sends commands to the workers.
            decode: Decodes a record in the site's format; returns None for a
                record without an event for the pool.
            bounds: Time bounds and factors of the site.
            policy: The durations of leases.
            sized_for_ownership: Whether the VM has enough processor time to
                own the pool.
            wall_clock: Returns the Unix time in milliseconds.
            features: Enabled parts of scheduling.
        """
        self._clock = clock
        self._decode = decode
        self._logger = structlog.get_logger()
        self._job_view = job_views.JobView()
        self._directory = worker_directory.WorkerDirectory()
        self._draining = False
        self._job_log_health = log_health.LogHealth(clock=clock)
        other_log_health = log_health.LogHealth(clock=clock)
        self._job_tail = log_tail.LogTail(
            clock=clock,
            log=log,
            health=self._job_log_health,
            topic=ports.Topic.JOBS,
            on_snapshot=self._fold_snapshot,
            on_records=self._fold,
            read_interval_ms=owner_loop.FOLLOWER_READ_INTERVAL_MS,
        )
        self._configuration_tail = log_tail.LogTail(
            clock=clock,
            log=log,
            health=other_log_health,
            topic=ports.Topic.CONFIGURATION,
            on_snapshot=self._replace_configuration,
            on_records=self._apply_configuration,
            skips_superseded=True,
        )
        self._worker_tail = log_tail.LogTail(
            clock=clock,
            log=log,
            health=other_log_health,
            topic=ports.Topic.WORKERS,
            on_snapshot=self._replace_workers,
            on_records=self._apply_worker_changes,
            read_interval_ms=WORKERS_READ_INTERVAL_MS,
        )
        self.job_service = job_service.JobService(
            clock=clock,
            log=log,
            job_view=self._job_view,
            job_tail=self._job_tail,
            health=self._job_log_health,
            on_change=self._on_job_change,
            wall_clock=wall_clock,
        )
        self._owner = owner_loop.OwnerLoop(
            clock=clock,
            log=log,
            worker_commands=worker_commands,
            job_view=self._job_view,
            job_tail=self._job_tail,
            worker_tail=self._worker_tail,
            directory=self._directory,
            bounds=bounds,
            features=features,
            policy=policy,
            on_fenced=self._on_fenced,
            on_failure=self._on_owner_failure,
            wall_clock=wall_clock,
        )
        self._election = owner_election.OwnerElection(
            clock=clock,
            log=log,
            health=other_log_health,
            owns_pool=lambda: self._owner.active,
            raises_epoch=lambda: self._owner.raising_epoch,
            owner_member=self._owner_member,
            refresh_owner=self._job_tail.catch_up,
            on_change=self._owner.set_candidate,
            sized_for_ownership=sized_for_ownership,
        )

    def _owner_member(self) -> str | None:
        ownership = self._job_view.ownership
        return ownership.member if ownership else None

    @property
    def ready(self) -> bool:
        """Whether the VM should get new connections."""
        since_answer_ms = self._job_log_health.since_answer_ms()
        log_reachable = (
            since_answer_ms < LOG_SILENCE_LIMIT_MS
            or not self._job_log_health.last_call_failed
        )
        return self.job_service.ready and log_reachable and not self._draining

    @property
    def owns_pool(self) -> bool:
        """Whether this VM currently decides for the whole pool."""
        return self._owner.active

    def account_gauges(self) -> dict[str, float]:
        """Returns gauges of the accounts, none if another VM owns the pool."""
        return self._owner.account_gauges()

    @property
    def run_times(self) -> run_times.RunTimes | None:
        """Learned run times if this VM owns the pool, or None."""
        return self._owner.owner.run_times if self._owner.owner else None

    @property
    def recorded_speed_count(self) -> int:
        """Number of machines with a recorded relative speed."""
        return len(self._job_view.speeds)

    def start(self) -> None:
        """Starts to read the log and to take part in the election.

        The topic of the workers is read only while this VM owns the pool.
        """
        self._configuration_tail.start()
        self._job_tail.start()
        self._election.start()

    def start_draining(self) -> None:
        """Makes the VM not ready, so that it gets no new connections."""
        self._draining = True

    async def release_ownership(self, overlap_s: float = 0.0) -> None:
        """Leaves the owners' group, so that another VM takes over the pool.

        Args:
            overlap_s: How long this VM continues to decide as owner from now
                on, unless it is fenced before. The next owner fences it by
                raising the epoch, so the pool is without owner only while that
                one reads the log.
        """
        if overlap_s:
            self._clock.callLater(overlap_s, self._owner.set_candidate, False)
        else:
            self._owner.set_candidate(False)
        await self._election.stop()

    async def drain(self, serving_s: float) -> None:
        """Serves open calls for a time while another VM takes the pool over.

        A log that does not answer delays the call that leaves the owners'
        group, but not the end of this time: the process is killed after it.

        Args:
            serving_s: The time, from now on.
        """
        self.start_draining()
        leaving = defer.ensureDeferred(
            self.release_ownership(overlap_s=serving_s)
        )
        leaving.addErrback(self._on_release_failure)
        await task.deferLater(self._clock, serving_s)

    def _on_release_failure(self, reason: failure.Failure) -> None:
        self._logger.error(
            "release_ownership_failed", error=reason.getTraceback()
        )

    def stop(self) -> None:
        """Stops reading the jobs and the configuration."""
        self._job_tail.stop()
        self._configuration_tail.stop()

    def _on_fenced(self) -> None:
        self._election.yield_ownership()

    def _on_owner_failure(self) -> None:
        self._election.give_way()

    def _on_job_change(self) -> None:
        self._owner.mark_changed()

    def _fold_snapshot(self, log_records: Sequence[ports.LogRecord]) -> None:
        """Folds a snapshot into the job view, which is not cleared first.

        The job view ignores records of a key that are not newer than the last
        one it folded.
        """
        self._fold(log_records)

    def _fold(self, log_records: Sequence[ports.LogRecord]) -> None:
        if any(self._handle_each(log_records, self._fold_one)):
            self._owner.mark_changed()
        self._owner.check_epoch()

    def _fold_one(self, log_record: ports.LogRecord) -> bool:
        """Returns whether the record changed a job or the ownership."""
        if log_record.value is None:
            self._job_view.apply_removal(log_record.offset, log_record.key)
            return False
        try:
            record = records.decode(log_record.key, log_record.value)
        except errors.InvalidInputError as error:
            self._logger.warning(
                "record_ignored", offset=log_record.offset, error=str(error)
            )
            return False
        return self._job_view.apply(log_record.offset, record)

    def _decode_events(
        self, topic: ports.Topic, log_records: Iterable[ports.LogRecord]
    ) -> list[ports.LogEvent]:
        events = self._handle_each(
            log_records, functools.partial(self._decode, topic)
        )
        return [event for event in events if event is not None]

    def _handle_each(
        self,
        log_records: Iterable[ports.LogRecord],
        handle: Callable[[ports.LogRecord], _Result],
    ) -> list[_Result]:
        """Handles records in order; one that raises an error is skipped."""
        results = []
        for log_record in log_records:
            try:
                results.append(handle(log_record))
            except Exception:
                self._logger.exception(
                    "record_skipped",
                    key=log_record.key,
                    offset=log_record.offset,
                )
        return results

    def _replace_configuration(
        self, log_records: Sequence[ports.LogRecord]
    ) -> None:
        self._directory.clear_domains_out_of_service()
        self._apply_configuration(log_records)

    def _apply_configuration(
        self, log_records: Sequence[ports.LogRecord]
    ) -> None:
        started_s = self._clock.seconds()

        def apply_one(log_record: ports.LogRecord) -> None:
            match self._decode(ports.Topic.CONFIGURATION, log_record):
                case ports.ConfigurationChanged(configuration=configuration):
                    self._activate_configuration(configuration, started_s)
                case ports.DomainServiceChanged(domain=domain, out=out):
                    self._directory.set_domain_out_of_service(domain, out)
                    self._logger.info("domain_switched", domain=domain, out=out)

        self._handle_each(log_records, apply_one)
        self._owner.mark_changed()

    def _activate_configuration(
        self,
        configuration: fleet_configuration.FleetConfiguration,
        received_s: float,
    ) -> None:
        previous = self.job_service.configuration
        if previous is not None and previous.version > configuration.version:
            self._logger.warning(
                "older_configuration_ignored",
                version=configuration.version,
                in_force=previous.version,
            )
            return
        self.job_service.configuration = configuration
        self._owner.set_configuration(configuration)
        elapsed_s = self._clock.seconds() - received_s
        self._logger.info(
            "configuration_in_force",
            version=configuration.version,
            queues=len(configuration.queues),
            took_ms=int(elapsed_s * _MS_PER_S),
        )

    def _replace_workers(self, log_records: Sequence[ports.LogRecord]) -> None:
        entries = [
            event.entry
            for event in self._decode_events(ports.Topic.WORKERS, log_records)
            if isinstance(event, ports.WorkerChanged)
            and event.entry is not None
        ]
        self._directory.replace(tuple(entries))
        self._owner.mark_changed()

    def _apply_worker_changes(
        self, log_records: Sequence[ports.LogRecord]
    ) -> None:
        def apply_one(log_record: ports.LogRecord) -> None:
            event = self._decode(ports.Topic.WORKERS, log_record)
            if isinstance(event, ports.WorkerChanged):
                self._apply_worker_change(event.worker, event.entry)

        self._handle_each(log_records, apply_one)

    def _apply_worker_change(
        self, worker: ids.WorkerId, entry: worker_directory.Worker | None
    ) -> None:
        previous = self._directory.get(worker)
        if entry is None:
            self._directory.remove(worker)
        else:
            self._directory.put(entry)
        if previous != entry:
            self._logger.info(
                "worker_changed",
                worker=worker,
                state=entry.state.value if entry else "gone",
                life_ms=entry.life_ms if entry else None,
                failure_domain=entry.failure_domain if entry else None,
                rack=entry.rack if entry else None,
                accelerators=entry.capacity.accelerators if entry else None,
            )
            self._owner.mark_changed()
