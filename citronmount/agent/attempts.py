"""Drives one attempt of a gang: reserves, starts, watches and stops it."""

from collections.abc import Callable
import enum

import msgspec

from citronmount.agent import context
from citronmount.clients import messages
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.leases import gang

__all__ = ["Attempt", "AttemptHandlers", "AttemptResult"]

START_MARGIN_MS = 500
CALL_RETRY_MS = 300
STOP_RETRY_MS = 1_000
ADOPTION_MARGIN_MS = 1_000


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of an attempt.

    Attributes:
        how: Why the attempt ended.
        ran: Whether any task ran; None if unknown.
        exit_code: The exit code of the tasks, if known.
        culprits: Workers that caused the attempt to fail.
        progress: Checkpointed share of the work, between 0 and 1.
    """

    how: decisions.AttemptEnd
    ran: bool | None
    exit_code: int | None = None
    culprits: tuple[ids.WorkerId, ...] = ()
    progress: float = 0.0


class AttemptHandlers(msgspec.Struct, frozen=True, kw_only=True):
    """Callbacks of an attempt.

    Attributes:
        on_started: Called once every member runs.
        on_ended: Called once no member can run any more.
        on_answer: Called with every answer of a worker to the attempt.
    """

    on_started: Callable[["Attempt"], None]
    on_ended: Callable[["Attempt", AttemptResult], None]
    on_answer: Callable[[ids.WorkerId, messages.WorkerAnswer], None]


class _Proof(enum.Enum):
    """Whether a member that has ended ever ran; `LOST` if unknown."""

    NEVER_RAN = "never_ran"
    RAN = "ran"
    LOST = "lost"


class _Member(msgspec.Struct, kw_only=True):
    """State of the attempt's tasks at one worker."""

    target: messages.ListedTarget
    tasks: int
    reserved: bool = False
    started: bool = False
    start_sent: bool = False
    checkpointed: bool = False
    confirmed_sequence: int = -1  # Of the report in its last answer.
    exit_code: int | None = None
    proof: _Proof | None = None
    in_flight: bool = False
    retry_ms: int = 0  # Monotonic time from which calls are repeated.


class Attempt:
    """One attempt to run a gang, from its placement to its end.

    Start calls are first sent while the reservations of all members are valid.
    A stopping attempt ends when every worker has either confirmed that its
    tasks can't run any more or been silent until its leases have lapsed.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        attempt: ids.AttemptId,
        number: int,
        token: ids.FenceToken,
        spec: jobs.JobSpec,
        placement: jobs.Placement,
        targets: dict[ids.WorkerId, messages.ListedTarget],
        handlers: AttemptHandlers,
    ) -> None:
        """Initializes an attempt without sending any call.

        Args:
            ctx: The shared context.
            attempt: The id of the attempt.
            number: The number of the attempt within the job, from 1.
            token: The owner's fencing token.
            spec: The job.
            placement: The workers and the number of tasks at each.
            targets: The addresses of the workers in the placement.
            handlers: The callbacks.
        """
        self.attempt = attempt
        self.number = number
        self.spec = spec
        self.placement = placement
        self._ctx = ctx
        self._token = token
        self._handlers = handlers
        self._gang, self._gang_state = gang.new_gang()
        self._members = {
            group.worker: _Member(
                target=targets[group.worker], tasks=group.tasks
            )
            for group in placement.groups
        }
        self._start_allowed = False
        self._reserve_begun_ms: int | None = None
        self._adoption_due_ms: int | None = None
        self._end_reason = decisions.AttemptEnd.DONE
        self._culprits: tuple[ids.WorkerId, ...] = ()
        self._exit_code: int | None = None
        self._grace_ms = 0
        self._progress = 0.0

    @property
    def phase(self) -> gang.GangPhase:
        """The phase of the gang's state machine."""
        return self._gang_state.phase

    @property
    def workers(self) -> tuple[ids.WorkerId, ...]:
        """The workers in the placement."""
        return tuple(self._members)

    @property
    def must_lapse(self) -> bool:
        """Whether lease renewers must let the attempt's leases lapse."""
        return self.phase is gang.GangPhase.STOPPING

    def begin(self) -> None:
        """Requests a reservation from every worker."""
        self._reserve_begun_ms = self._ctx.now_ms
        for worker in self._members:
            self._reserve(worker)

    def allow_start(self) -> None:
        """Allows start calls, once the intent of the attempt is durable."""
        self._start_allowed = True
        self._check_reserved()

    def adopt(self) -> None:
        """Continues an attempt that an earlier owner created; sends no call.

        `tick` stops it unless every worker reports its tasks as started within
        the lease TTL plus `ADOPTION_MARGIN_MS`. A report that a lease is only
        reserved (see `report`) or that the worker does not know the attempt
        (see `absent`) stops it at once.
        """
        self._gang.all_reserved()
        for member in self._members.values():
            member.reserved = True
            member.start_sent = True
        self._adoption_due_ms = (
            self._ctx.now_ms
            + self._ctx.settings.lease_ttl_ms
            + ADOPTION_MARGIN_MS
        )

    def adopt_and_stop(self) -> None:
        """Stops an attempt that an earlier owner may have started."""
        self.adopt()
        self.stop(decisions.AttemptEnd.UNKNOWN)

    def stop(
        self,
        reason: decisions.AttemptEnd,
        *,
        culprits: tuple[ids.WorkerId, ...] = (),
        grace_ms: int = 0,
    ) -> None:
        """Stops the attempt before its tasks have finished.

        Args:
            reason: Why the attempt ends; later calls have no effect.
            culprits: Workers that caused the attempt to fail.
            grace_ms: Time for tasks to write a checkpoint; 0 means none.
        """
        if not self._gang.abort():
            return
        self._end_reason = reason
        self._culprits = culprits
        self._grace_ms = grace_ms
        for worker in self._members:
            self._stop_member(worker)
        self._check_stopped()

    def worker_lost(self, worker: ids.WorkerId) -> None:
        """Handles a worker silent beyond the lease TTL; its leases lapsed."""
        member = self._members.get(worker)
        if member is None or member.exit_code == 0:
            return
        self.stop(decisions.AttemptEnd.WORKER_LOST, culprits=(worker,))
        if member.proof is None:
            started = member.start_sent
            member.proof = _Proof.LOST if started else _Proof.NEVER_RAN
        self._check_stopped()

    def report(self, worker: ids.WorkerId, lease: messages.LeaseReport) -> None:
        """Updates the attempt from a worker's lease report.

        Args:
            worker: The worker.
            lease: The worker's report on its lease of the attempt.
        """
        member = self._members.get(worker)
        if member is None:
            return
        self._progress = max(self._progress, lease.progress)
        match lease.state:
            case states.LeaseState.RUNNING:
                member.started = True
                self._check_started()
            case states.LeaseState.FINISHED:
                member.started = True
                member.exit_code = lease.exit_code or 0
                self._check_finished()
            case states.LeaseState.FAILED:
                self._member_failed(worker, member, lease)
            case states.LeaseState.LAPSED | states.LeaseState.STOPPED:
                self._member_lease_ended(worker, member, lease.ran)
            case states.LeaseState.RESERVED:
                if self._adoption_due_ms is not None:
                    self.stop(decisions.AttemptEnd.WORKER_LOST)

    def absent(self, worker: ids.WorkerId, sequence: int) -> None:
        """Handles a worker's report that doesn't list the attempt.

        The attempt stops if it is being adopted, or if the worker had started
        it and the report is newer than the worker's last answer to it.

        Args:
            worker: The worker.
            sequence: The sequence number of the report.
        """
        member = self._members.get(worker)
        if member is None or member.exit_code == 0:
            return
        adopting = self._adoption_due_ms is not None and not member.started
        dropped = member.started and sequence > member.confirmed_sequence
        if adopting or dropped:
            self.stop(decisions.AttemptEnd.WORKER_LOST, culprits=(worker,))

    def tick(self) -> None:
        """Retries unanswered calls and stops an attempt past its deadline."""
        match self.phase:
            case gang.GangPhase.RESERVING:
                self._tick_reserving()
            case gang.GangPhase.STARTING:
                self._tick_starting()
            case gang.GangPhase.STOPPING:
                self._tick_stopping()

    def _reserved_until_ms(self) -> int:
        ttl_ms = self._ctx.settings.reservation_ttl_ms
        return (self._reserve_begun_ms or 0) + ttl_ms

    def _tick_reserving(self) -> None:
        if self._reserve_begun_ms is None:
            return
        if self._ctx.now_ms >= self._reserved_until_ms() - START_MARGIN_MS:
            pending = tuple(
                worker
                for worker, member in self._members.items()
                if not member.reserved
            )
            self.stop(decisions.AttemptEnd.REFUSED, culprits=pending)
            return
        for worker, member in self._due_members():
            if not member.reserved:
                self._reserve(worker)

    def _tick_starting(self) -> None:
        deadline_ms = self._adoption_due_ms
        if deadline_ms is None:
            deadline_ms = self._reserved_until_ms() + START_MARGIN_MS
        if self._ctx.now_ms >= deadline_ms:
            pending = tuple(
                worker
                for worker, member in self._members.items()
                if not member.started
            )
            self.stop(decisions.AttemptEnd.WORKER_LOST, culprits=pending)
            return
        if self._adoption_due_ms is not None:
            return
        for worker, member in self._due_members():
            if not member.started:
                self._start(worker)

    def _tick_stopping(self) -> None:
        for worker, member in self._due_members():
            if member.proof is None:
                self._stop_member(worker)

    def _due_members(self) -> list[tuple[ids.WorkerId, _Member]]:
        return [
            (worker, member)
            for worker, member in self._members.items()
            if not member.in_flight and member.retry_ms <= self._ctx.now_ms
        ]

    def _call(
        self,
        worker: ids.WorkerId,
        acts: tuple[messages.Act, ...],
        on_results: Callable[[tuple[messages.ActResult, ...]], None],
        *,
        retry_ms: int,
        timeout_ms: int = 1_000,
    ) -> None:
        member = self._members[worker]
        member.in_flight = True
        token = self._token

        def handle_answer(answer: messages.WorkerAnswer | None) -> None:
            member.in_flight = False
            member.retry_ms = self._ctx.now_ms + retry_ms
            if answer is None:
                return
            if answer.token <= token and answer.results:
                if answer.report is not None:
                    member.confirmed_sequence = answer.report.sequence
                on_results(answer.results)
            self._handlers.on_answer(worker, answer)

        self._ctx.call_worker(
            member.target,
            messages.WorkerCall(token=token, acts=acts),
            handle_answer,
            timeout_ms=timeout_ms,
        )

    def _reserve(self, worker: ids.WorkerId) -> None:
        member = self._members[worker]
        act = messages.Reserve(
            attempt=self.attempt,
            spec=self.spec,
            placement=self.placement,
            tasks=member.tasks,
            number=self.number,
            ttl_ms=self._ctx.settings.reservation_ttl_ms,
        )

        def handle_reserved(results: tuple[messages.ActResult, ...]) -> None:
            if self.phase is not gang.GangPhase.RESERVING:
                return
            if results[0].outcome is not messages.ActOutcome.DONE:
                self.stop(decisions.AttemptEnd.REFUSED, culprits=(worker,))
                return
            member.reserved = True
            self._check_reserved()

        self._call(worker, (act,), handle_reserved, retry_ms=CALL_RETRY_MS)

    def _check_reserved(self) -> None:
        in_time = self._ctx.now_ms < self._reserved_until_ms() - START_MARGIN_MS
        ready = self._start_allowed and all(
            member.reserved for member in self._members.values()
        )
        if ready and in_time and self._gang.all_reserved():
            for worker in self._members:
                self._start(worker)

    def _start(self, worker: ids.WorkerId) -> None:
        member = self._members[worker]
        member.start_sent = True
        act = messages.Start(
            attempt=self.attempt, ttl_ms=self._ctx.settings.lease_ttl_ms
        )

        def handle_started(results: tuple[messages.ActResult, ...]) -> None:
            outcome = results[0].outcome
            if outcome is messages.ActOutcome.DONE:
                member.started = True
                self._check_started()
                return
            if outcome is messages.ActOutcome.FAILED_TO_START:
                reason = decisions.AttemptEnd.FAILED_TO_START
            else:
                reason = decisions.AttemptEnd.REFUSED
            self.stop(reason, culprits=(worker,))

        self._call(worker, (act,), handle_started, retry_ms=CALL_RETRY_MS)

    def _check_started(self) -> None:
        complete = all(member.started for member in self._members.values())
        if complete and self._gang.all_started():
            self._handlers.on_started(self)

    def _check_finished(self) -> None:
        self._check_started()
        done = all(member.exit_code == 0 for member in self._members.values())
        if done and self._gang.all_finished():
            self._exit_code = 0
            self._finish(ran=True)

    def _member_failed(
        self,
        worker: ids.WorkerId,
        member: _Member,
        lease: messages.LeaseReport,
    ) -> None:
        member.proof = _Proof.RAN if lease.ran else _Proof.NEVER_RAN
        if self._exit_code is None:
            self._exit_code = lease.exit_code
        reason = (
            decisions.AttemptEnd.FAILED_BY_JOB
            if lease.ran
            else decisions.AttemptEnd.FAILED_TO_START
        )
        self.stop(reason, culprits=(worker,))
        self._check_stopped()

    def _member_lease_ended(
        self, worker: ids.WorkerId, member: _Member, ran: bool
    ) -> None:
        member.proof = _Proof.RAN if ran else _Proof.NEVER_RAN
        self.stop(decisions.AttemptEnd.WORKER_LOST, culprits=(worker,))
        self._check_stopped()

    def _stop_member(self, worker: ids.WorkerId) -> None:
        member = self._members[worker]
        if member.proof is not None:
            return
        running = member.started and member.exit_code is None
        if self._grace_ms and running and not member.checkpointed:
            self._checkpoint(worker, member)
        else:
            self._send_stop(worker, member)

    def _checkpoint(self, worker: ids.WorkerId, member: _Member) -> None:
        member.checkpointed = True

        def handle_saved(results: tuple[messages.ActResult, ...]) -> None:
            self._progress = max(self._progress, results[0].progress)
            if member.proof is None:
                self._send_stop(worker, member)

        act = messages.Checkpoint(attempt=self.attempt)
        self._call(
            worker, (act,), handle_saved, retry_ms=0, timeout_ms=self._grace_ms
        )

    def _send_stop(self, worker: ids.WorkerId, member: _Member) -> None:
        def handle_stopped(results: tuple[messages.ActResult, ...]) -> None:
            outcome = results[0].outcome
            if outcome is messages.ActOutcome.NEVER_RAN:
                member.proof = _Proof.NEVER_RAN
            elif outcome is messages.ActOutcome.RAN:
                member.proof = _Proof.RAN
            self._check_stopped()

        act = messages.Stop(attempt=self.attempt)
        self._call(worker, (act,), handle_stopped, retry_ms=STOP_RETRY_MS)

    def _check_stopped(self) -> None:
        proofs = [member.proof for member in self._members.values()]
        if None in proofs or not self._gang.all_stopped():
            return
        self._finish(ran=self._has_run(proofs))

    def _has_run(self, proofs: list[_Proof | None]) -> bool | None:
        """Returns whether any member ran, or None if that is unknown."""
        if _Proof.RAN in proofs:
            return True
        if not self._gang_state.may_have_run or _Proof.LOST not in proofs:
            return False
        return None

    def _finish(self, *, ran: bool | None) -> None:
        self._handlers.on_ended(
            self,
            AttemptResult(
                how=self._end_reason,
                ran=ran,
                exit_code=self._exit_code,
                culprits=self._culprits,
                progress=self._progress,
            ),
        )
