"""Ownership of the local failure domain: taking over and stepping down."""

from collections.abc import Callable
import enum

from citronmount.agent import claims as claims_lib
from citronmount.agent import configuration_manager
from citronmount.agent import context
from citronmount.agent import domain_context
from citronmount.agent import fencing
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import owned_domain
from citronmount.agent import stream_reader
from citronmount.clients import messages
from citronmount.core import ids
from citronmount.membership import membership_view
from citronmount.peers import peer_messages
from citronmount.state import job_views
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["Ownership", "OwnershipPhase"]

STATE_TIMEOUT_MS = 1_000
FENCE_TIMEOUT_MS = 1_000
MAX_LOG_READ_ATTEMPTS = 3
INITIAL_BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 8_000
BACKOFF_RESET_MS = 30_000
LOG_POLL_PERIOD_MS = 5_000
SNAPSHOTS_PER_RETENTION = 4
MAX_RECORDS_SINCE_SNAPSHOT = 20_000


class OwnershipPhase(enum.Enum):
    """Phase of the VM's ownership of its failure domain."""

    FOLLOWER = "follower"
    FENCING = "fencing"
    READING = "reading"
    OWNER = "owner"


class Ownership:
    """Takes over the local failure domain and steps down again.

    A VM that takes over fences the workers, then reads the log and the state
    of its peers, and only then places jobs. Thus the new owner knows the
    records that an earlier owner made durable before the workers were fenced.

    A takeover does not wait indefinitely: it continues without workers that
    are silent for `FENCE_TIMEOUT_MS`, without peers that are silent for
    `STATE_TIMEOUT_MS`, and without the log after `MAX_LOG_READ_ATTEMPTS`
    failed reads. It may then miss records.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        job_view: job_views.JobView,
        outbox: outbox_lib.Outbox,
        reader: stream_reader.StreamReader,
        claims: claims_lib.Claims,
        configuration: configuration_manager.ConfigurationManager,
        workers: Callable[[], tuple[messages.ListedTarget, ...]],
    ) -> None:
        """Initializes a follower.

        Args:
            ctx: The shared context.
            view: Determines which VM should own the failure domain.
            job_view: The job view of the failure domain.
            outbox: Writes records durably.
            reader: Reads the job stream.
            claims: Claims idempotency keys.
            configuration: Provides the configuration in force.
            workers: Returns the workers of the failure domain.
        """
        self.phase = OwnershipPhase.FOLLOWER
        self.token = ids.FenceToken(0)
        self.domain: owned_domain.OwnedDomain | None = None
        self._ctx = ctx
        self._view = view
        self._job_view = job_view
        self._outbox = outbox
        self._reader = reader
        self._claims = claims
        self._configuration = configuration
        self._workers = workers
        self._earliest_takeover_ms = 0
        self._takeover_number = 0
        self._phase_due_ms = 0
        self._awaited_answers: set[str] = set()
        self._reports: dict[ids.WorkerId, messages.Report] = {}
        self._log_read_attempts = 0
        self._next_log_poll_ms = 0
        self._next_snapshot_ms = 0
        self._last_fenced_ms = 0
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._higher_token: ids.FenceToken | None = None

    def learn_token(self, token: ids.FenceToken) -> None:
        """Records a fencing token observed in the failure domain.

        Args:
            token: The token. If it is higher than the highest known one, this
                VM stops owning or taking over.
        """
        if token <= self.token:
            return
        self.token = token
        if self.phase is not OwnershipPhase.FOLLOWER:
            self._higher_token = token

    def delay_takeover(self, due_ms: int) -> None:
        """Delays taking over, so that heartbeats of peers can arrive first.

        Args:
            due_ms: Earliest monotonic time of a takeover.
        """
        self._earliest_takeover_ms = max(self._earliest_takeover_ms, due_ms)

    def step_down(self, reason: str) -> None:
        """Gives up the ownership; running attempts continue at the workers.

        Args:
            reason: The reason, for the timeline.
        """
        if self.phase is OwnershipPhase.FOLLOWER:
            return
        self.phase = OwnershipPhase.FOLLOWER
        self._takeover_number += 1
        if self.domain is not None:
            self.domain.table.answer_all_waiters()
        self.domain = None
        self._higher_token = None
        self._ctx.trace(
            timeline_events.EventKind.OWNERSHIP_LEFT,
            failure_domain=self._ctx.settings.failure_domain,
            count=self.token,
            detail=reason,
        )

    def step_down_if_fenced(self) -> None:
        """Steps down if a worker or peer has reported a higher token."""
        if self._higher_token is not None:
            self.step_down("fenced")
            self._back_off()

    def _back_off(self) -> None:
        """Doubles the takeover delay while two VMs keep fencing each other."""
        since_fenced_ms = self._ctx.now_ms - self._last_fenced_ms
        if since_fenced_ms > BACKOFF_RESET_MS:
            self._backoff_ms = INITIAL_BACKOFF_MS
        self._last_fenced_ms = self._ctx.now_ms
        self.delay_takeover(self._ctx.now_ms + self._backoff_ms)
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)

    def tick(self) -> None:
        """Starts or continues a takeover, steps down, or acts as owner."""
        self.step_down_if_fenced()
        owner = self._view.owner(
            self._ctx.settings.failure_domain, self._ctx.now_ms
        )
        should_own = owner == self._ctx.settings.vm
        match self.phase:
            case OwnershipPhase.FOLLOWER:
                if (
                    should_own
                    and self._ctx.now_ms >= self._earliest_takeover_ms
                ):
                    self._fence_workers()
            case OwnershipPhase.FENCING | OwnershipPhase.READING:
                self._tick_taking_over(should_own)
            case OwnershipPhase.OWNER:
                self._tick_owner(should_own)

    def _tick_taking_over(self, should_own: bool) -> None:
        if not should_own:
            self.step_down("another owner")
        elif self._ctx.now_ms >= self._phase_due_ms:
            if self.phase is OwnershipPhase.FENCING:
                self._read_state()
            else:
                self._stop_awaiting_peers()

    def _tick_owner(self, should_own: bool) -> None:
        domain = self.domain
        if domain is None:
            return
        domain.placement_enabled = should_own or not self._view.draining
        domain.tick()
        if self._ctx.now_ms >= self._next_log_poll_ms:
            self._poll_log()

    def _fence_workers(self) -> None:
        """Raises the fencing token at all workers and collects reports."""
        self._takeover_number += 1
        self.phase = OwnershipPhase.FENCING
        self.token = fencing.next_token(self.token, self._ctx.settings)
        self._reports = {}
        self._phase_due_ms = self._ctx.now_ms + FENCE_TIMEOUT_MS
        self._ctx.trace(
            timeline_events.EventKind.OWNERSHIP_TAKEN,
            failure_domain=self._ctx.settings.failure_domain,
            count=self.token,
        )
        targets = self._workers()
        self._awaited_answers = {target.name for target in targets}
        call = messages.WorkerCall(token=self.token)
        for target in targets:
            self._ctx.call_worker(
                target,
                call,
                self._fence_handler(target.name, self._takeover_number),
                timeout_ms=FENCE_TIMEOUT_MS,
            )
        if not targets:
            self._read_state()

    def _fence_handler(
        self, worker: str, take_over_number: int
    ) -> Callable[[messages.WorkerAnswer | None], None]:
        def handle_answer(answer: messages.WorkerAnswer | None) -> None:
            if take_over_number != self._takeover_number:
                return
            if answer is not None:
                self.learn_token(answer.token)
                if answer.report is not None:
                    self._reports[ids.WorkerId(worker)] = answer.report
            self._awaited_answers.discard(worker)
            in_fencing = self.phase is OwnershipPhase.FENCING
            if (
                in_fencing
                and not self._awaited_answers
                and self._higher_token is None
            ):
                self._read_state()

        return handle_answer

    def _read_state(self) -> None:
        """Reads the job stream and requests the state of peers."""
        self.phase = OwnershipPhase.READING
        self._log_read_attempts = 0
        self._phase_due_ms = self._ctx.now_ms + STATE_TIMEOUT_MS
        peers = self._view.local_peers(self._ctx.now_ms)
        self._awaited_answers = {"log", *peers}
        for peer in peers:
            self._request_state(peer, self._takeover_number)
        self._read_log(self._takeover_number)

    def _request_state(self, peer: ids.VmId, take_over_number: int) -> None:
        call = self._ctx.new_call()

        def handle_answer(answer: peer_messages.StateAnswer | None) -> None:
            if take_over_number != self._takeover_number:
                return
            if answer is not None:
                self.merge(answer)
            self._awaited_answers.discard(peer)
            self._start_owning_if_complete()

        self._ctx.call_peer(
            peer,
            call,
            peer_messages.StateRequest(
                call=call,
                stream=records.job_stream(self._ctx.settings.failure_domain),
                recent_claims=True,
            ),
            handle_answer,
            timeout_ms=STATE_TIMEOUT_MS,
        )

    def merge(self, answer: peer_messages.StateAnswer) -> None:
        """Folds the state of a peer into the job view.

        Args:
            answer: The peer's answer to a state request.
        """
        self._job_view.merge_snapshot(answer.jobs)
        for record in answer.unappended:
            self._job_view.fold(record)
        self.learn_token(answer.token)

    def _read_log(self, take_over_number: int) -> None:
        def on_log_read(complete: bool) -> None:
            if take_over_number != self._takeover_number:
                return
            if not complete:
                self._on_log_read_failed(take_over_number)
                return
            self._awaited_answers.discard("log")
            self._start_owning_if_complete()

        self._reader.read_to_end(on_log_read)

    def _on_log_read_failed(self, take_over_number: int) -> None:
        """Retries reading the log and finally continues without it.

        After `MAX_LOG_READ_ATTEMPTS` attempts, the takeover relies on peers
        for the durable records that could not be read from the log.
        """
        self._log_read_attempts += 1
        if self._log_read_attempts < MAX_LOG_READ_ATTEMPTS:
            self._read_log(take_over_number)
            return
        self._awaited_answers.discard("log")
        self._start_owning_if_complete()

    def _stop_awaiting_peers(self) -> None:
        """Continues without the peers that have not answered in time."""
        self._awaited_answers &= {"log"}
        self._start_owning_if_complete()

    def _start_owning_if_complete(self) -> None:
        reading = self.phase is OwnershipPhase.READING
        if reading and not self._awaited_answers and self._higher_token is None:
            self._start_owning()

    def _start_owning(self) -> None:
        domain_ctx = domain_context.DomainContext(
            ctx=self._ctx,
            token=self.token,
            job_view=self._job_view,
            outbox=self._outbox,
            claims=self._claims,
            policy=self._ctx.settings.policy,
            on_fenced=self.learn_token,
        )
        domain = owned_domain.OwnedDomain(domain_ctx=domain_ctx)
        self.phase = OwnershipPhase.OWNER
        self.domain = domain
        self._next_log_poll_ms = self._ctx.now_ms + LOG_POLL_PERIOD_MS
        self._next_snapshot_ms = self._ctx.now_ms + self._snapshot_period_ms()
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
            timeline_events.EventKind.REBUILD_DONE,
            failure_domain=self._ctx.settings.failure_domain,
            count=self.token,
            detail=f"{len(silent)} silent workers",
        )
        domain.tick()

    def _poll_log(self) -> None:
        """Reads records that an earlier owner may still have appended."""
        self._next_log_poll_ms = self._ctx.now_ms + LOG_POLL_PERIOD_MS

        def on_log_read(complete: bool) -> None:
            if complete and self.domain is not None:
                self.domain.rebuilder.restore_missing_jobs()
                self._append_snapshot_if_due()

        self._reader.read_to_end(on_log_read)

    def _snapshot_period_ms(self) -> int:
        return self._ctx.settings.retention_ms // SNAPSHOTS_PER_RETENTION

    def _append_snapshot_if_due(self) -> None:
        """Appends a snapshot before retention removes records still needed."""
        records_since = (
            self._job_view.next_offset - self._job_view.last_snapshot
        )
        due = self._ctx.now_ms >= self._next_snapshot_ms
        is_owner = self.phase is OwnershipPhase.OWNER
        if not is_owner or not (
            due or records_since > MAX_RECORDS_SINCE_SNAPSHOT
        ):
            return
        self._next_snapshot_ms = self._ctx.now_ms + self._snapshot_period_ms()
        lifetime_ms = self._ctx.settings.claim_lifetime_ms
        snapshot = self._job_view.snapshot(
            ids.RecordId(self._ctx.unique_id()),
            claims_since_ms=self._ctx.wall_ms - lifetime_ms,
        )
        stream = records.job_stream(self._ctx.settings.failure_domain)
        self._outbox.write(stream, snapshot)
