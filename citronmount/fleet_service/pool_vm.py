"""One VM of a pool: tails, front and owner, connected with each other."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import structlog
from twisted.internet import interfaces

from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import lease_sessions
from citronmount.fleet import worker_directory
from citronmount.fleet_service import candidacy
from citronmount.fleet_service import contact as contact_lib
from citronmount.fleet_service import job_service
from citronmount.fleet_service import log_tail
from citronmount.fleet_service import owner_loop
from citronmount.fleet_service import ports
from citronmount.workflow import job_views
from citronmount.workflow import records

__all__ = ["PoolVm"]

LOG_SILENCE_LIMIT_MS = 1_000
WORKERS_PACE_MS = 400

Decode = Callable[[ports.Topic, ports.LogRecord], ports.LogEvent | None]


class PoolVm:
    """The parts of one VM.

    Attributes:
        job_service: Handles the calls about jobs.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        worker_commands: ports.WorkerCommands,
        decode: Decode,
        bounds: fleet_configuration.Bounds,
        policy: lease_sessions.LeasePolicy,
        capable: bool = True,
        wall: Callable[[], int] = owner_loop.wall_ms,
    ) -> None:
        """Connects the parts; nothing runs yet.

        Args:
            clock: The reactor.
            log: The log.
            worker_commands: The workers.
            decode: Makes an event of a record of the site.
            bounds: Times that the site sets.
            policy: How leases are renewed.
            capable: Whether the VM has the processor time to own the pool.
            wall: Tells the Unix time in milliseconds.
        """
        self._decode = decode
        self._trace = structlog.get_logger()
        self._job_view = job_views.JobView()
        self._directory = worker_directory.WorkerDirectory()
        self._draining = False
        self._contact = contact_lib.LogContact(clock=clock)
        elsewhere = contact_lib.LogContact(clock=clock)
        self._jobs = log_tail.LogTail(
            clock=clock,
            log=log,
            contact=self._contact,
            topic=ports.Topic.JOBS,
            on_snapshot=self._fold_snapshot,
            on_records=self._fold,
            pace_ms=owner_loop.FOLLOWER_PACE_MS,
        )
        self._configuration = log_tail.LogTail(
            clock=clock,
            log=log,
            contact=elsewhere,
            topic=ports.Topic.CONFIGURATION,
            on_snapshot=self._reconfigure,
            on_records=self._configure,
        )
        self._workers = log_tail.LogTail(
            clock=clock,
            log=log,
            contact=elsewhere,
            topic=ports.Topic.WORKERS,
            on_snapshot=self._replace_workers,
            on_records=self._change_workers,
            pace_ms=WORKERS_PACE_MS,
        )
        self.job_service = job_service.JobService(
            clock=clock,
            log=log,
            job_view=self._job_view,
            jobs=self._jobs,
            contact=self._contact,
            on_change=self._notice,
            wall=wall,
        )
        self._owner = owner_loop.OwnerLoop(
            clock=clock,
            log=log,
            worker_commands=worker_commands,
            job_view=self._job_view,
            jobs=self._jobs,
            workers=self._workers,
            directory=self._directory,
            bounds=bounds,
            policy=policy,
            on_fenced=self._yield_pool,
            wall=wall,
        )
        self._candidacy = candidacy.Candidacy(
            clock=clock,
            log=log,
            contact=elsewhere,
            owns=lambda: self._owner.active,
            owner_member=self._owner_member,
            refresh=self._jobs.catch_up,
            on_change=self._owner.set_candidate,
            capable=capable,
        )

    def _owner_member(self) -> str | None:
        owned = self._job_view.ownership
        return owned.member if owned else None

    @property
    def ready(self) -> bool:
        """Whether the VM should get new connections."""
        silent_ms = self._contact.silent_ms()
        in_touch = silent_ms < LOG_SILENCE_LIMIT_MS or not self._contact.lost
        return self.job_service.ready and in_touch and not self._draining

    @property
    def owns_pool(self) -> bool:
        """Whether this VM decides for the whole pool at present."""
        return self._owner.active

    def start(self) -> None:
        """Starts the tails and joins the group."""
        self._configuration.start()
        self._jobs.start()
        self._candidacy.start()

    def start_draining(self) -> None:
        """Asks for no new connections."""
        self._draining = True

    async def give_up(self) -> None:
        """Lets another VM become the owner."""
        self._owner.set_candidate(False)
        await self._candidacy.stop()

    def stop(self) -> None:
        """Stops the tails."""
        self._jobs.stop()
        self._configuration.stop()

    def _yield_pool(self) -> None:
        self._candidacy.yield_pool()

    def _notice(self) -> None:
        self._owner.notice()

    def _fold_snapshot(self, taken: Sequence[ports.LogRecord]) -> None:
        self._fold(taken)

    def _fold(self, taken: Sequence[ports.LogRecord]) -> None:
        changed = [self._fold_one(record) for record in taken]
        if any(changed):
            self._owner.notice()
        self._owner.check_epoch()

    def _fold_one(self, taken: ports.LogRecord) -> bool:
        if taken.value is None:
            self._job_view.apply_removal(taken.offset, taken.key)
            return False
        try:
            record = records.decode(taken.key, taken.value)
        except errors.InvalidInputError as error:
            self._trace.warning(
                "record_ignored", offset=taken.offset, error=str(error)
            )
            return False
        return self._job_view.apply(taken.offset, record)

    def _events(
        self, topic: ports.Topic, taken: Iterable[ports.LogRecord]
    ) -> Iterable[ports.LogEvent]:
        events = (self._decode(topic, record) for record in taken)
        return [event for event in events if event is not None]

    def _reconfigure(self, taken: Sequence[ports.LogRecord]) -> None:
        self._directory.clear_domains_out_of_service()
        self._configure(taken)

    def _configure(self, taken: Sequence[ports.LogRecord]) -> None:
        for event in self._events(ports.Topic.CONFIGURATION, taken):
            match event:
                case ports.ConfigurationChanged(configuration=fresh):
                    self._put_in_force(fresh)
                case ports.DomainServiceChanged(domain=domain, out=out):
                    self._directory.set_domain_out_of_service(domain, out)
                    self._trace.info("domain_switched", domain=domain, out=out)
        self._owner.notice()

    def _put_in_force(
        self, fresh: fleet_configuration.FleetConfiguration
    ) -> None:
        before = self.job_service.configuration
        if before is not None and before.version > fresh.version:
            self._trace.warning(
                "older_configuration_ignored",
                version=fresh.version,
                in_force=before.version,
            )
            return
        self.job_service.configuration = fresh
        self._owner.configure(fresh.accounts)
        self._trace.info("configuration_in_force", version=fresh.version)

    def _replace_workers(self, taken: Sequence[ports.LogRecord]) -> None:
        entries = [
            event.entry
            for event in self._events(ports.Topic.WORKERS, taken)
            if isinstance(event, ports.WorkerChanged)
            and event.entry is not None
        ]
        self._directory.replace(tuple(entries))
        self._owner.notice()

    def _change_workers(self, taken: Sequence[ports.LogRecord]) -> None:
        for event in self._events(ports.Topic.WORKERS, taken):
            if isinstance(event, ports.WorkerChanged):
                self._change_worker(event.worker, event.entry)

    def _change_worker(
        self, name: ids.WorkerId, entry: worker_directory.Worker | None
    ) -> None:
        before = self._directory.get(name)
        if entry is None:
            self._directory.remove(name)
        else:
            self._directory.put(entry)
        if entry is None or before is None or before.state != entry.state:
            self._trace.info(
                "worker_changed",
                worker=name,
                state=entry.state.value if entry else "gone",
                failure_domain=entry.failure_domain if entry else None,
                rack=entry.rack if entry else None,
            )
            self._owner.notice()
