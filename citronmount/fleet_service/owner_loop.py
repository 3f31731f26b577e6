"""Takes over the pool, sends the owner's commands and appends its records."""

from collections.abc import Callable
import time

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure

from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import owner_state
from citronmount.fleet import pool_owner
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet.workers import worker_directory
from citronmount.fleet_service import command_sender
from citronmount.fleet_service import concurrent_calls
from citronmount.fleet_service import log_tail
from citronmount.fleet_service import ports
from citronmount.workflow import job_views
from citronmount.workflow import records

__all__ = ["OwnerLoop"]

STEP_INTERVAL_MS = 50
EPOCH_TIMEOUT_MS = 800
APPEND_TIMEOUT_MS = 800
APPEND_RETRY_MS = 100
MAX_APPEND_RECORDS = 1_000
TAKEOVER_RETRY_MS = 200
MAX_TAKEOVER_FAILURES = 5
FOLLOWER_READ_INTERVAL_MS = 1_000
OWNER_READ_WAIT_MS = 200

_MS_PER_S = 1_000

WallClock = Callable[[], int]


def wall_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return int(time.time() * _MS_PER_S)


class OwnerLoop:
    """Owns the pool while this VM is the candidate.

    Attributes:
        active: Whether this VM currently owns the pool.
        raising_epoch: Whether a takeover is under way, which may have fenced
            the former owner already.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        worker_commands: ports.WorkerCommands,
        job_view: job_views.JobView,
        job_tail: log_tail.LogTail,
        worker_tail: log_tail.LogTail,
        directory: worker_directory.WorkerDirectory,
        bounds: fleet_configuration.Bounds,
        policy: lease_sessions.LeasePolicy,
        on_fenced: Callable[[], None],
        on_failure: Callable[[], None],
        wall_clock: WallClock = wall_ms,
        features: frozenset[fleet_configuration.Feature] = frozenset(),
    ) -> None:
        """Initializes a VM that does not own the pool.

        Args:
            clock: The reactor.
            log: The log.
            worker_commands: Sends commands to the workers.
            job_view: The fold of the job topic.
            job_tail: The reader that feeds the job view.
            worker_tail: The reader that feeds the directory.
            directory: The workers' entries.
            bounds: Time bounds and factors of the site.
            policy: The durations of leases.
            on_fenced: Called when this VM releases the pool because a newer
                owner has fenced it.
            on_failure: Called when this VM gives up the pool or a takeover
                after an error that another VM may not have.
            wall_clock: Returns the Unix time in milliseconds.
            features: Enabled parts of scheduling.
        """
        self.active = False
        self.raising_epoch = False
        self._clock = clock
        self._log = log
        self._sender = command_sender.CommandSender(
            clock=clock,
            worker_commands=worker_commands,
            on_answer=self.schedule_step,
            on_fault=self._on_owner_fault,
        )
        self._job_view = job_view
        self._job_tail = job_tail
        self._worker_tail = worker_tail
        self._directory = directory
        self._bounds = bounds
        self._features = features
        self._policy = policy
        self._on_fenced = on_fenced
        self._on_failure = on_failure
        self._wall_clock = wall_clock
        self._configuration: fleet_configuration.FleetConfiguration | None = (
            None
        )
        self._candidate = False
        self._taking_over = False
        # Since the last takeover that succeeded or was given up.
        self._takeover_failures = 0
        self._last_epoch = 0
        self._owner: pool_owner.PoolOwner | None = None
        self._sequence = 0
        self._appending = False
        self._scheduled_step: interfaces.IDelayedCall | None = None
        self._step_loop = task.LoopingCall(self._step)
        self._step_loop.clock = clock
        self._logger = structlog.get_logger()

    @property
    def owner(self) -> pool_owner.PoolOwner | None:
        """The pool's owner if this VM owns the pool, or None."""
        return self._owner

    def set_candidate(self, candidate: bool) -> None:
        """Takes over the pool, or releases it.

        Args:
            candidate: Whether this VM should own the pool.
        """
        self._candidate = candidate
        if candidate and not self.active and not self._taking_over:
            self._taking_over = True
            defer.ensureDeferred(self._take_over()).addErrback(self._on_fault)
        elif not candidate:
            self._release_pool("no_longer_candidate")

    def set_configuration(
        self, configuration: fleet_configuration.FleetConfiguration
    ) -> None:
        """Sets the configuration in force."""
        self._configuration = configuration
        if self._owner is not None:
            try:
                self._owner.set_configuration(configuration, self._now_ms())
            except Exception:
                self._on_owner_fault(self._owner, failure.Failure())
                return
            self.schedule_step()

    def account_gauges(self) -> dict[str, float]:
        """Returns gauges of the accounts, none if another VM owns the pool."""
        return {} if self._owner is None else self._owner.account_gauges()

    def mark_changed(self) -> None:
        """Makes the owner plan again after a change of jobs or workers."""
        if self._owner is not None:
            self._owner.mark_changed()
            self.schedule_step()

    def check_epoch(self) -> None:
        """Releases the pool if another process has taken it over."""
        ownership = self._job_view.ownership
        if self.active and ownership and ownership.epoch > self._last_epoch:
            self._on_newer_owner("taken_over")

    def schedule_step(self) -> None:
        """Makes the owner act in the next reactor iteration."""
        if self._scheduled_step is None:
            self._scheduled_step = self._clock.callLater(
                0, self._run_scheduled_step
            )

    async def _take_over(self) -> None:
        """Takes over, with retries while the log does not answer.

        A takeover that fails again and again for another reason is given up,
        also if this VM stops being candidate in between.
        """
        # Left by a takeover that failed after it had read the workers.
        self._worker_tail.reset()
        try:
            while self._candidate and not self.active:
                self.raising_epoch = True
                try:
                    await self._take_over_once()
                except errors.CitronmountError as error:
                    self.raising_epoch = False
                    self._logger.warning("take_over_failed", error=str(error))
                    if not isinstance(error, errors.UnreachableError):
                        self._takeover_failures += 1
                    if self._takeover_failures >= MAX_TAKEOVER_FAILURES:
                        raise
                    await task.deferLater(
                        self._clock, TAKEOVER_RETRY_MS / _MS_PER_S
                    )
        finally:
            self._taking_over = False
            self.raising_epoch = False

    async def _take_over_once(self) -> None:
        """Raises the epoch and takes over what the log holds.

        The former owner may decide until the epoch is raised, nobody until the
        topics have been read, so the workers' topic is read meanwhile.
        """
        (ownership, offset), _ = await concurrent_calls.gather(
            self._take_epoch(), self._worker_tail.catch_up()
        )
        if not self._candidate:
            return
        now_ms = self._now_ms()
        state = owner_state.OwnerState(
            token=ids.FenceToken(ownership.epoch),
            job_view=self._job_view,
            directory=self._directory,
            bounds=self._bounds,
            features=self._features,
            policy=self._policy,
            now_ms=now_ms,
        )
        self._owner = pool_owner.PoolOwner(state=state, now_ms=now_ms)
        if self._configuration is not None:
            self._owner.set_configuration(self._configuration, now_ms)
        self._sequence = 0
        self._appending = False
        self._takeover_failures = 0
        self.active = True
        self._worker_tail.start()
        self._job_tail.read_continuously(OWNER_READ_WAIT_MS)
        self._logger.info(
            "ownership_taken",
            token=ownership.epoch,
            offset=offset,
            jobs=len(self._job_view.jobs),
        )
        self._step_loop.start(STEP_INTERVAL_MS / _MS_PER_S)

    async def _take_epoch(self) -> tuple[records.OwnershipTaken, int]:
        """Raises the epoch and reads the job topic up to that point.

        Returns:
            The record of this process and its offset.

        Raises:
            FencedError: Another process got the epoch.
        """
        ownership, offset = await self._raise_epoch()
        await self._job_tail.catch_up(offset + 1)
        if self._job_view.ownership != ownership:
            raise ports.FencedError(None)
        return ownership, offset

    async def _raise_epoch(self) -> tuple[records.OwnershipTaken, int]:
        """Appends a record that makes the log reject lower epochs.

        Another process may try the same epoch at the same time. The log takes
        the later of the two appends for a retry and returns the offset of the
        first, so the record at that offset shows which process got the epoch.

        Returns:
            The record of this process and the offset that the log returned.
        """
        known = self._job_view.ownership
        known_epoch = known.epoch if known else 0
        epoch = max(known_epoch, self._last_epoch) + 1
        while True:
            ownership = records.OwnershipTaken(
                epoch=epoch, member=self._log.member
            )
            entry = (records.key_of(ownership), records.encode(ownership))
            try:
                offset = await self._log.append_as_owner(
                    [entry], epoch, 0, EPOCH_TIMEOUT_MS
                )
            except ports.FencedError as error:
                if error.epoch is None:
                    raise
                epoch = error.epoch + 1
                continue
            self._last_epoch = epoch
            return ownership, offset

    def _release_pool(self, reason: str) -> None:
        if not self.active:
            return
        self.active = False
        self._owner = None
        if self._step_loop.running:
            self._step_loop.stop()
        self._worker_tail.stop()
        self._worker_tail.reset()
        self._job_tail.read_interval_ms = FOLLOWER_READ_INTERVAL_MS
        self._job_tail.read_wait_ms = log_tail.READ_WAIT_MS
        self._logger.info(
            "ownership_left", token=self._last_epoch, reason=reason
        )

    def _on_newer_owner(self, reason: str) -> None:
        """Releases the pool, which a newer owner has taken over."""
        self._candidate = False
        self._release_pool(reason)
        self._on_fenced()

    def _run_scheduled_step(self) -> None:
        self._scheduled_step = None
        self._step()

    def _step(self) -> None:
        """Lets the owner decide, then sends its commands and its records."""
        owner = self._owner
        if owner is None:
            return
        if owner.fenced:
            self._on_newer_owner("fenced_by_worker")
            return
        try:
            due_commands = owner.step(self._now_ms(), self._wall_clock())
        except Exception:
            self._on_owner_fault(owner, failure.Failure())
            return
        for command in due_commands:
            if owner is not self._owner:
                return
            self._sender.send(owner, command)
        self._append(owner)

    def _append(self, owner: pool_owner.PoolOwner) -> None:
        if self._appending:
            return
        entries = owner.take_entries(MAX_APPEND_RECORDS)
        if not entries:
            return
        self._appending = True
        self._sequence += 1
        append = defer.ensureDeferred(self._append_entries(owner, entries))
        append.addErrback(lambda reason: self._on_owner_fault(owner, reason))

    async def _append_entries(
        self, owner: pool_owner.PoolOwner, entries: list[owner_state.LogEntry]
    ) -> None:
        """Appends entries, with retries while the log does not answer.

        Appends are idempotent, so a retry has no second effect. Retries end
        when this VM is fenced or has released the pool.
        """
        encoded = [
            (
                entry.key,
                None if entry.record is None else records.encode(entry.record),
            )
            for entry in entries
        ]
        sequence = self._sequence
        started_ms = self._now_ms()
        failed = False
        while owner is self._owner:
            try:
                offset = await self._log.append_as_owner(
                    encoded, int(owner.token), sequence, APPEND_TIMEOUT_MS
                )
            except ports.FencedError as error:
                self._logger.warning("append_fenced", epoch=error.epoch)
                if owner is self._owner:
                    self._on_newer_owner("fenced_by_log")
                return
            except errors.UnreachableError as error:
                if not failed:
                    self._logger.warning("append_failed", error=str(error))
                failed = True
                await task.deferLater(self._clock, APPEND_RETRY_MS / _MS_PER_S)
                continue
            if failed:
                took_ms = self._now_ms() - started_ms
                self._logger.info("append_done_at_last", took_ms=took_ms)
            if owner is self._owner:
                self._appending = False
                owner.records_appended(entries, offset, self._now_ms())
                self._step()
            return

    def _now_ms(self) -> int:
        return int(self._clock.seconds() * _MS_PER_S)

    def _on_owner_fault(
        self, owner: pool_owner.PoolOwner, reason: failure.Failure
    ) -> None:
        """Releases the pool unless the failed owner was replaced already.

        An error in the midst of a decision may leave the state of the owner
        inconsistent; the next owner builds its own from the log.
        """
        if owner is self._owner:
            self._on_fault(reason)
        else:
            self._logger.error(
                "former_owner_fault", error=reason.getTraceback()
            )

    def _on_fault(self, reason: failure.Failure) -> None:
        """Logs an error and gives up the pool, or its takeover."""
        self._logger.error("owner_fault", error=reason.getTraceback())
        self._candidate = False
        self._takeover_failures = 0
        self._release_pool("fault")
        self._on_failure()
