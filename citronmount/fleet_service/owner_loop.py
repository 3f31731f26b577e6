"""Runs the owner: takes over, carries out its orders, appends its records."""

from collections.abc import Callable
import time

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure

from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import fleet_configuration
from citronmount.fleet import lease_sessions
from citronmount.fleet import owner_state
from citronmount.fleet import pool_owner
from citronmount.fleet import worker_directory
from citronmount.fleet_service import log_tail
from citronmount.fleet_service import ports
from citronmount.workflow import job_views
from citronmount.workflow import records

__all__ = ["OwnerLoop"]

TICK_MS = 50
EPOCH_TIMEOUT_MS = 800
APPEND_TIMEOUT_MS = 800
APPEND_RETRY_MS = 100
MAX_APPEND_RECORDS = 1_000
START_TIMEOUTS_MS = (200, 400)
STOP_TIMEOUT_MS = 600
HOLD_MARGIN_MS = 600
ADVICE_TIMEOUT_MS = 3_000
TAKE_OVER_RETRY_MS = 200
FOLLOWER_PACE_MS = 1_000
OWNER_READ_WAIT_MS = 200

_MS_PER_S = 1_000

Wall = Callable[[], int]


def wall_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return int(time.time() * _MS_PER_S)


class OwnerLoop:
    """One VM's part as owner, while it is the candidate.

    Attributes:
        active: Whether this VM owns the pool at present.
    """

    def __init__(
        self,
        *,
        clock: interfaces.IReactorTime,
        log: ports.Log,
        worker_commands: ports.WorkerCommands,
        job_view: job_views.JobView,
        jobs: log_tail.LogTail,
        workers: log_tail.LogTail,
        directory: worker_directory.WorkerDirectory,
        bounds: fleet_configuration.Bounds,
        policy: lease_sessions.LeasePolicy,
        on_fenced: Callable[[], None],
        wall: Wall = wall_ms,
    ) -> None:
        """Initializes a VM that does not own the pool.

        Args:
            clock: The reactor.
            log: The log.
            worker_commands: The workers.
            job_view: The fold of the job topic.
            jobs: The tail that feeds the book.
            workers: The tail that feeds the directory.
            directory: The workers' entries.
            bounds: Times that the site sets.
            policy: How leases are renewed.
            on_fenced: Called when the pool is left to a newer owner.
            wall: Tells the Unix time in milliseconds.
        """
        self.active = False
        self._clock = clock
        self._log = log
        self._worker_commands = worker_commands
        self._job_view = job_view
        self._jobs = jobs
        self._workers = workers
        self._directory = directory
        self._bounds = bounds
        self._policy = policy
        self._on_fenced = on_fenced
        self._wall = wall
        self._accounts: tuple[fleet_configuration.Account, ...] = ()
        self._candidate = False
        self._taking_over = False
        self._last_epoch = 0
        self._owner: pool_owner.PoolOwner | None = None
        self._sequence = 0
        self._appending = False
        self._kick: interfaces.IDelayedCall | None = None
        self._ticker = task.LoopingCall(self._step)
        self._ticker.clock = clock
        self._trace = structlog.get_logger()

    def set_candidate(self, candidate: bool) -> None:
        """Takes over the pool, or gives it up.

        Args:
            candidate: Whether the group names this VM.
        """
        self._candidate = candidate
        if candidate and not self.active and not self._taking_over:
            self._taking_over = True
            defer.ensureDeferred(self._take_over()).addErrback(self._broken)
        elif not candidate:
            self._resign("no_longer_candidate")

    def configure(
        self, accounts: tuple[fleet_configuration.Account, ...]
    ) -> None:
        """Takes in the client accounts of the configuration in force."""
        self._accounts = accounts
        if self._owner is not None:
            self._owner.set_accounts(accounts)
            self.kick()

    def notice(self) -> None:
        """Takes in that the book or the directory changed."""
        if self._owner is not None:
            self._owner.mark_changed()
            self.kick()

    def check_epoch(self) -> None:
        """Gives the pool up if another process took it over."""
        owned = self._job_view.ownership
        if self.active and owned and owned.epoch > self._last_epoch:
            self._yield("taken_over")

    def kick(self) -> None:
        """Lets the owner decide in the next turn of the reactor."""
        if self._kick is None:
            self._kick = self._clock.callLater(0, self._kicked)

    async def _take_over(self) -> None:
        try:
            while self._candidate and not self.active:
                try:
                    await self._take_over_once()
                except errors.CitronmountError as error:
                    self._trace.warning("take_over_failed", error=str(error))
                    await task.deferLater(
                        self._clock, TAKE_OVER_RETRY_MS / _MS_PER_S
                    )
        finally:
            self._taking_over = False

    async def _take_over_once(self) -> None:
        epoch, offset = await self._raise_epoch()
        await self._jobs.catch_up(offset + 1)
        if self._job_view.ownership != epoch:
            raise ports.FencedError(None)
        await self._workers.catch_up()
        if not self._candidate:
            return
        now_ms = self._now_ms()
        state = owner_state.OwnerState(
            token=ids.FenceToken(epoch.epoch),
            job_view=self._job_view,
            directory=self._directory,
            bounds=self._bounds,
            policy=self._policy,
            now_ms=now_ms,
        )
        self._owner = pool_owner.PoolOwner(state=state, now_ms=now_ms)
        self._owner.set_accounts(self._accounts)
        self._sequence = 0
        self._appending = False
        self.active = True
        self._workers.start()
        self._jobs.hurry(OWNER_READ_WAIT_MS)
        self._trace.info(
            "ownership_taken",
            token=epoch.epoch,
            offset=offset,
            jobs=len(self._job_view.jobs),
        )
        self._ticker.start(TICK_MS / _MS_PER_S)

    async def _raise_epoch(self) -> tuple[records.OwnershipTaken, int]:
        """Appends a record that makes lower epochs be refused.

        Another process may have tried the same epoch; whose record lies at
        the offset tells which of them has it.
        """
        last = self._job_view.ownership.epoch if self._job_view.ownership else 0
        wanted = max(last, self._last_epoch) + 1
        while True:
            owned = records.OwnershipTaken(
                epoch=wanted, member=self._log.member
            )
            entry = (records.key_of(owned), records.encode(owned))
            try:
                offset = await self._log.append_as_owner(
                    [entry], wanted, 0, EPOCH_TIMEOUT_MS
                )
            except ports.FencedError as error:
                if error.epoch is None:
                    raise
                wanted = error.epoch + 1
                continue
            self._last_epoch = wanted
            return owned, offset

    def _resign(self, reason: str) -> None:
        if not self.active:
            return
        self.active = False
        self._owner = None
        if self._ticker.running:
            self._ticker.stop()
        self._workers.stop()
        self._workers.position = None
        self._jobs.pace_ms = FOLLOWER_PACE_MS
        self._jobs.wait_ms = log_tail.READ_WAIT_MS
        self._trace.info(
            "ownership_left", token=self._last_epoch, reason=reason
        )

    def _yield(self, reason: str) -> None:
        """Leaves the pool to the newer owner that a fence tells of."""
        self._candidate = False
        self._resign(reason)
        self._on_fenced()

    def _kicked(self) -> None:
        self._kick = None
        self._step()

    def _step(self) -> None:
        owner = self._owner
        if owner is None:
            return
        if owner.fenced:
            self._yield("fenced_by_worker")
            return
        for command in owner.step(self._now_ms(), self._wall()):
            self._send(owner, command)
        self._append(owner)

    def _append(self, owner: pool_owner.PoolOwner) -> None:
        if self._appending:
            return
        entries = owner.take_entries(MAX_APPEND_RECORDS)
        if not entries:
            return
        self._appending = True
        self._sequence += 1
        sent = defer.ensureDeferred(self._append_entries(owner, entries))
        sent.addErrback(self._broken)

    async def _append_entries(
        self, owner: pool_owner.PoolOwner, entries: list[owner_state.LogEntry]
    ) -> None:
        """Appends until the log answers; a repeat has no second effect."""
        encoded = [
            (
                entry.key,
                None if entry.record is None else records.encode(entry.record),
            )
            for entry in entries
        ]
        sequence = self._sequence
        began_ms = self._now_ms()
        failed = False
        while owner is self._owner:
            try:
                offset = await self._log.append_as_owner(
                    encoded, int(owner.token), sequence, APPEND_TIMEOUT_MS
                )
            except ports.FencedError as error:
                self._trace.warning("append_fenced", epoch=error.epoch)
                if owner is self._owner:
                    self._yield("fenced_by_log")
                return
            except errors.UnreachableError as error:
                if not failed:
                    self._trace.warning("append_failed", error=str(error))
                failed = True
                await task.deferLater(self._clock, APPEND_RETRY_MS / _MS_PER_S)
                continue
            if failed:
                took_ms = self._now_ms() - began_ms
                self._trace.info("append_done_at_last", took_ms=took_ms)
            if owner is self._owner:
                self._appending = False
                owner.records_appended(entries, offset, self._now_ms())
                self._step()
            return

    def _send(
        self, owner: pool_owner.PoolOwner, command: commands.Command
    ) -> None:
        match command:
            case commands.Start():
                sent = self._start(owner, command)
            case commands.Stop():
                sent = self._stop(owner, command)
            case commands.RenewLeases():
                sent = self._hold(owner, command)
            case commands.RequestAdvice():
                sent = self._ask(owner, command)
        defer.ensureDeferred(sent).addErrback(self._broken)

    async def _start(
        self, owner: pool_owner.PoolOwner, command: commands.Start
    ) -> None:
        number = min(command.attempt, len(START_TIMEOUTS_MS))
        outcome, clock_ms = await self._worker_commands.start(
            command, START_TIMEOUTS_MS[number - 1]
        )
        owner.reports.start_answered(command, outcome, clock_ms, self._now_ms())
        self.kick()

    async def _stop(
        self, owner: pool_owner.PoolOwner, command: commands.Stop
    ) -> None:
        outcome, clock_ms = await self._worker_commands.stop(
            command, STOP_TIMEOUT_MS
        )
        owner.reports.stop_answered(command, outcome, clock_ms, self._now_ms())
        self.kick()

    async def _ask(
        self, owner: pool_owner.PoolOwner, command: commands.RequestAdvice
    ) -> None:
        answer = await self._worker_commands.request_advice(
            command, ADVICE_TIMEOUT_MS
        )
        owner.reports.advice_answered(command, answer, self._now_ms())
        self.kick()

    async def _hold(
        self, owner: pool_owner.PoolOwner, command: commands.RenewLeases
    ) -> None:
        sent_ms = self._now_ms()
        answer = await self._worker_commands.renew_leases(
            command, command.wait_ms + HOLD_MARGIN_MS
        )
        if isinstance(answer, commands.LeaseReport):
            owner.reports.renewal_answered(
                command, answer, sent_ms, self._now_ms()
            )
        else:
            fenced = answer is commands.StopOutcome.FENCED
            owner.reports.renewal_failed(command, fenced, self._now_ms())
        self.kick()

    def _now_ms(self) -> int:
        return int(self._clock.seconds() * _MS_PER_S)

    def _broken(self, reason: failure.Failure) -> None:
        """Logs a fault of the program and gives up what it was about."""
        self._trace.error("owner_fault", error=reason.getTraceback())
        self._yield("fault")
