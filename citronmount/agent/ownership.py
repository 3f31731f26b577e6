"""Ownership of the VM's failure domain: taking over and stepping down."""

from collections.abc import Callable
import enum

from citronmount.agent import claims as claims_lib
from citronmount.agent import configuration as configuration_lib
from citronmount.agent import context
from citronmount.agent import domain_context
from citronmount.agent import fencing
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import owned_domain
from citronmount.agent import stream_reader
from citronmount.core import ids
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.services import messages
from citronmount.state import job_views
from citronmount.state import records
from citronmount.telemetry import events as timeline

__all__ = ["Ownership", "OwnershipPhase"]

STATE_TIMEOUT_MS = 1_000
FENCE_TIMEOUT_MS = 1_000
LOG_READ_TRIES = 3
FENCED_BACKOFF_MS = 1_000
FENCED_BACKOFF_MAX_MS = 8_000
FENCED_REST_MS = 30_000
FOLLOW_PERIOD_MS = 5_000
SNAPSHOTS_PER_RETENTION = 4
SNAPSHOT_EVERY_RECORDS = 20_000


class OwnershipPhase(enum.Enum):
    """Whether the VM schedules its failure domain."""

    FOLLOWER = "follower"
    FENCING = "fencing"
    READING = "reading"
    OWNER = "owner"


class Ownership:
    """Takes over the own failure domain and steps down again.

    Taking over fences every worker first and reads the log and the peers
    afterwards, so whatever an earlier owner made durable before it was fenced
    is seen. Placing begins only then.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: view_lib.MembershipView,
        book: job_views.JobView,
        outbox: outbox_lib.Outbox,
        reader: stream_reader.StreamReader,
        claims: claims_lib.Claims,
        configuration: configuration_lib.ConfigurationKeeper,
        workers: Callable[[], tuple[messages.ListedTarget, ...]],
    ) -> None:
        """Initializes a follower.

        Args:
            ctx: The shared context.
            view: Who should own the failure domain.
            book: What must not be lost.
            outbox: Writes durably.
            reader: Reads the job stream.
            claims: Claims keys.
            configuration: The configuration in force.
            workers: Returns the workers of the failure domain.
        """
        self.phase = OwnershipPhase.FOLLOWER
        self.token = ids.FenceToken(0)
        self.domain: owned_domain.OwnedDomain | None = None
        self._ctx = ctx
        self._view = view
        self._book = book
        self._outbox = outbox
        self._reader = reader
        self._claims = claims
        self._configuration = configuration
        self._workers = workers
        self._not_before_ms = 0
        self._round = 0
        self._due_ms = 0
        self._awaited: set[str] = set()
        self._reports: dict[ids.WorkerId, messages.Report] = {}
        self._log_tries = 0
        self._follow_ms = 0
        self._snapshot_ms = 0
        self._fenced_ms = 0
        self._backoff_ms = FENCED_BACKOFF_MS
        self._fenced_by: ids.FenceToken | None = None

    def learn_token(self, token: ids.FenceToken) -> None:
        """Notes a fencing token seen anywhere in the failure domain.

        Args:
            token: The token; a higher one than the own ends ownership.
        """
        if token <= self.token:
            return
        self.token = token
        if self.phase is not OwnershipPhase.FOLLOWER:
            self._fenced_by = token

    def not_before(self, due_ms: int) -> None:
        """Forbids taking over before a time, to listen to peers first.

        Args:
            due_ms: Monotonic time.
        """
        self._not_before_ms = max(self._not_before_ms, due_ms)

    def step_down(self, why: str) -> None:
        """Forgets the failure domain; workers keep what runs.

        Args:
            why: The reason, for the time line.
        """
        if self.phase is OwnershipPhase.FOLLOWER:
            return
        self.phase = OwnershipPhase.FOLLOWER
        self._round += 1
        if self.domain is not None:
            self.domain.table.answer_all()
        self.domain = None
        self._fenced_by = None
        self._ctx.trace(
            timeline.EventKind.OWNERSHIP_LEFT,
            failure_domain=self._ctx.settings.failure_domain,
            count=self.token,
            detail=why,
        )

    def settle(self) -> None:
        """Steps down if a worker or peer has shown a higher token."""
        if self._fenced_by is not None:
            self.step_down("fenced")
            self._back_off()

    def _back_off(self) -> None:
        """Waits longer each time that two owners keep fencing each other."""
        rested_ms = self._ctx.now_ms - self._fenced_ms
        if rested_ms > FENCED_REST_MS:
            self._backoff_ms = FENCED_BACKOFF_MS
        self._fenced_ms = self._ctx.now_ms
        self.not_before(self._ctx.now_ms + self._backoff_ms)
        self._backoff_ms = min(2 * self._backoff_ms, FENCED_BACKOFF_MAX_MS)

    def tick(self) -> None:
        """Takes over, goes on with taking over, or steps down."""
        self.settle()
        owner = self._view.owner(
            self._ctx.settings.failure_domain, self._ctx.now_ms
        )
        mine = owner == self._ctx.settings.vm
        match self.phase:
            case OwnershipPhase.FOLLOWER:
                if mine and self._ctx.now_ms >= self._not_before_ms:
                    self._fence()
            case OwnershipPhase.FENCING | OwnershipPhase.READING:
                self._tick_taking_over(mine)
            case OwnershipPhase.OWNER:
                self._tick_owner(mine)

    def _tick_taking_over(self, mine: bool) -> None:
        if not mine:
            self.step_down("another owner")
        elif self._ctx.now_ms >= self._due_ms:
            if self.phase is OwnershipPhase.FENCING:
                self._read()
            else:
                self._retry_reading()

    def _tick_owner(self, mine: bool) -> None:
        domain = self.domain
        if domain is None:
            return
        domain.placement_enabled = mine or not self._view.draining
        domain.tick()
        if self._ctx.now_ms >= self._follow_ms:
            self._follow()

    def _fence(self) -> None:
        """Raises the token at every worker and takes its report."""
        self._round += 1
        self.phase = OwnershipPhase.FENCING
        self.token = fencing.next_token(self.token, self._ctx.settings)
        self._reports = {}
        self._due_ms = self._ctx.now_ms + FENCE_TIMEOUT_MS
        self._ctx.trace(
            timeline.EventKind.OWNERSHIP_TAKEN,
            failure_domain=self._ctx.settings.failure_domain,
            count=self.token,
        )
        targets = self._workers()
        self._awaited = {target.name for target in targets}
        call = messages.WorkerCall(token=self.token)
        for target in targets:
            self._ctx.call_worker(
                target,
                call,
                self._fence_handler(target.name, self._round),
                timeout_ms=FENCE_TIMEOUT_MS,
            )
        if not targets:
            self._read()

    def _fence_handler(
        self, worker: str, round_number: int
    ) -> Callable[[messages.WorkerAnswer | None], None]:
        def answered(answer: messages.WorkerAnswer | None) -> None:
            if round_number != self._round:
                return
            if answer is not None:
                self.learn_token(answer.token)
                if answer.report is not None:
                    self._reports[ids.WorkerId(worker)] = answer.report
            self._awaited.discard(worker)
            fencing = self.phase is OwnershipPhase.FENCING
            if fencing and not self._awaited and self._fenced_by is None:
                self._read()

        return answered

    def _read(self) -> None:
        """Reads the job stream and asks the peers, after fencing."""
        self.phase = OwnershipPhase.READING
        self._log_tries = 0
        self._due_ms = self._ctx.now_ms + STATE_TIMEOUT_MS
        peers = self._view.local_peers(self._ctx.now_ms)
        self._awaited = {"log", *peers}
        for peer in peers:
            self._ask(peer, self._round)
        self._read_log(self._round)

    def _ask(self, peer: ids.VmId, round_number: int) -> None:
        call = self._ctx.new_call()

        def answered(answer: peer_messages.StateAnswer | None) -> None:
            if round_number != self._round:
                return
            if answer is not None:
                self.merge(answer)
            self._awaited.discard(peer)
            self._check_read()

        self._ctx.call_peer(
            peer,
            call,
            peer_messages.StateRequest(
                call=call,
                stream=records.job_stream(self._ctx.settings.failure_domain),
                recent_claims=True,
            ),
            answered,
            timeout_ms=STATE_TIMEOUT_MS,
        )

    def merge(self, answer: peer_messages.StateAnswer) -> None:
        """Folds what a peer knows.

        Args:
            answer: The peer's answer.
        """
        self._book.merge_snapshot(answer.jobs)
        for record in answer.unappended:
            self._book.fold(record)
        self.learn_token(answer.token)

    def _read_log(self, round_number: int) -> None:
        def was_read(complete: bool) -> None:
            if round_number != self._round:
                return
            if not complete:
                self._log_failed(round_number)
                return
            self._awaited.discard("log")
            self._check_read()

        self._reader.read_to_end(was_read)

    def _log_failed(self, round_number: int) -> None:
        """Goes on without the log once peers must have what it lacks."""
        self._log_tries += 1
        if self._log_tries < LOG_READ_TRIES:
            self._read_log(round_number)
            return
        self._awaited.discard("log")
        self._check_read()

    def _retry_reading(self) -> None:
        """Waits for the log only; silent peers are passed over."""
        self._awaited &= {"log"}
        self._check_read()

    def _check_read(self) -> None:
        reading = self.phase is OwnershipPhase.READING
        if reading and not self._awaited and self._fenced_by is None:
            self._own()

    def _own(self) -> None:
        shared = domain_context.DomainContext(
            ctx=self._ctx,
            token=self.token,
            job_view=self._book,
            outbox=self._outbox,
            claims=self._claims,
            policy=self._ctx.settings.policy,
            on_fenced=self.learn_token,
        )
        domain = owned_domain.OwnedDomain(context=shared)
        self.phase = OwnershipPhase.OWNER
        self.domain = domain
        self._follow_ms = self._ctx.now_ms + FOLLOW_PERIOD_MS
        self._snapshot_ms = self._ctx.now_ms + self._snapshot_period_ms()
        targets = self._workers()
        domain.set_configuration(self._configuration.fold.current)
        domain.set_workers(targets)
        silent = tuple(
            ids.WorkerId(target.name)
            for target in targets
            if target.name not in self._reports
        )
        domain.rebuilder.rebuild(tuple(self._reports.values()), silent)
        self._reports = {}
        self._ctx.trace(
            timeline.EventKind.REBUILD_DONE,
            failure_domain=self._ctx.settings.failure_domain,
            count=self.token,
            detail=f"{len(silent)} silent workers",
        )
        domain.tick()

    def _follow(self) -> None:
        """Reads what an earlier owner may still have appended."""
        self._follow_ms = self._ctx.now_ms + FOLLOW_PERIOD_MS

        def was_read(complete: bool) -> None:
            if complete and self.domain is not None:
                self.domain.rebuilder.restore_missing_jobs()
                self._maybe_snapshot()

        self._reader.read_to_end(was_read)

    def _snapshot_period_ms(self) -> int:
        return self._ctx.settings.retention_ms // SNAPSHOTS_PER_RETENTION

    def _maybe_snapshot(self) -> None:
        """Appends what must last again before retention drops it."""
        records_since = self._book.next_offset - self._book.last_snapshot
        due = self._ctx.now_ms >= self._snapshot_ms
        owner = self.phase is OwnershipPhase.OWNER
        if not owner or not (due or records_since > SNAPSHOT_EVERY_RECORDS):
            return
        self._snapshot_ms = self._ctx.now_ms + self._snapshot_period_ms()
        lifetime_ms = self._ctx.settings.claim_lifetime_ms
        snapshot = self._book.snapshot(
            ids.RecordId(self._ctx.unique()),
            claims_since_ms=self._ctx.wall_ms - lifetime_ms,
        )
        stream = records.job_stream(self._ctx.settings.failure_domain)
        self._outbox.write(stream, snapshot)
