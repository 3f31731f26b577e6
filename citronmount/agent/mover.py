"""Moves queued jobs to failure domains that may start them sooner."""

import msgspec

from citronmount.agent import call_router
from citronmount.agent import capacity_tracker
from citronmount.agent import configuration_manager
from citronmount.agent import context
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import owned_domain
from citronmount.agent import ownership as ownership_lib
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import shares
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.state import records

__all__ = ["Mover"]

PERIOD_MS = 1_000
MAX_MOVES_PER_PERIOD = 50
MIN_WAIT_MS = 1_000
RETRY_DELAY_MS = 10_000
RESEND_DELAY_MS = 2_000


class _Move(msgspec.Struct, kw_only=True):
    """A recorded move that the receiving owner has not confirmed yet."""

    spec: jobs.JobSpec
    to: ids.FailureDomainId
    number: int
    eager: bool = False
    in_flight: bool = False
    retry_ms: int = 0


class Mover:
    """Moves queued jobs of the owned failure domain to other ones.

    While the failure domain is out of service, all movable jobs are moved; in
    service, only those that are still queued after `MIN_WAIT_MS`. The home of
    a job keeps a pointer to its new failure domain, so the job's id stays
    valid. A move is durable, and the owner's fencing token confirmed, before
    the job is submitted to the other owner.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        outbox: outbox_lib.Outbox,
        ownership: ownership_lib.Ownership,
        calls: call_router.CallRouter,
        tracker: capacity_tracker.CapacityTracker,
        configuration: configuration_manager.ConfigurationManager,
    ) -> None:
        """Initializes without moves.

        Args:
            ctx: The shared context.
            outbox: Provides whether the log is available.
            ownership: Provides the owned failure domain.
            calls: Routes submissions to other owners.
            tracker: Provides the free capacity of each failure domain.
            configuration: Provides which failure domains are in service.
        """
        self._ctx = ctx
        self._outbox = outbox
        self._ownership = ownership
        self._calls = calls
        self._tracker = tracker
        self._configuration = configuration
        self._next_period_ms = 0
        self._token = ids.FenceToken(0)
        self._moves: dict[ids.JobId, _Move] = {}
        self._all_tried_ms: dict[ids.JobId, int] = {}
        self._tried_domains: dict[ids.JobId, set[ids.FailureDomainId]] = {}

    def tick(self) -> None:
        """Starts new moves and retries unconfirmed ones."""
        domain = self._ownership.domain
        if domain is None or not domain.placement_enabled:
            return
        if domain.token != self._token:
            self._token = domain.token
            self._moves = {}
            self._all_tried_ms = {}
            self._tried_domains = {}
        if self._ctx.now_ms < self._next_period_ms:
            return
        self._next_period_ms = self._ctx.now_ms + PERIOD_MS
        self._discard_ended_jobs(domain)
        self._resume_recorded_moves()
        if self._outbox.log_available:
            self._start_moves()
        for move in list(self._moves.values()):
            self._send(move)

    def _discard_ended_jobs(self, domain: owned_domain.OwnedDomain) -> None:
        entries = domain.table.entries
        for per_job in (self._all_tried_ms, self._tried_domains):
            for job in [job for job in per_job if job not in entries]:
                del per_job[job]

    def _resume_recorded_moves(self) -> None:
        """Resumes the moves that an earlier owner has recorded."""
        domain = self._ownership.domain
        for spec, moved in domain.moves.unconfirmed_moves():
            if spec.job not in self._moves:
                self._moves[spec.job] = _Move(
                    spec=spec, to=moved.to, number=moved.number
                )

    def _start_moves(self) -> None:
        free_by_domain = self._free_accelerators()
        if not free_by_domain:
            return
        out_of_service = not self._ownership.domain.in_service()
        due = [
            spec
            for spec in self._ownership.domain.moves.movable_jobs()
            if self._is_due(spec, out_of_service=out_of_service)
        ]
        for spec in due[:MAX_MOVES_PER_PERIOD]:
            self._start_move(
                spec, free_by_domain, out_of_service=out_of_service
            )

    def _is_due(self, spec: jobs.JobSpec, *, out_of_service: bool) -> bool:
        all_tried_ms = self._all_tried_ms.get(spec.job, -RETRY_DELAY_MS)
        retry_due = self._ctx.now_ms - all_tried_ms >= RETRY_DELAY_MS
        waited_ms = self._ctx.wall_ms - spec.submitted_ms
        return retry_due and (out_of_service or waited_ms >= MIN_WAIT_MS)

    def _start_move(
        self,
        spec: jobs.JobSpec,
        free_by_domain: dict[ids.FailureDomainId, int],
        *,
        out_of_service: bool,
    ) -> None:
        """Moves a job to an untried failure domain that may start it.

        A failure domain may start the job if it has a guarantee of the account
        or enough free capacity. If the local one is out of service, any that
        the allowance permits is acceptable. The one with the most free
        capacity is chosen.
        """
        guaranteed = {
            guarantee.failure_domain
            for guarantee in self._configuration.fold.current.guarantees
            if guarantee.account == spec.account
        }
        allowed = shares.rank_homes(self._configuration.fold.current, spec)
        possible_domains = [
            name
            for name, free_accelerators in free_by_domain.items()
            if name in allowed
            and (
                out_of_service
                or free_accelerators >= spec.accelerators
                or not guaranteed.isdisjoint({name, None})
            )
        ]
        tried = self._tried_domains.setdefault(spec.job, set())
        untried = [name for name in possible_domains if name not in tried]
        if not untried:
            tried.clear()
            self._all_tried_ms[spec.job] = self._ctx.now_ms
            return
        destination = max(
            untried, key=lambda name: (free_by_domain[name], name)
        )
        tried.add(destination)
        free_by_domain[destination] -= spec.accelerators
        self._record_move(spec, destination, eager=not out_of_service)

    def _free_accelerators(self) -> dict[ids.FailureDomainId, int]:
        """Returns the free accelerators of other failure domains in service.

        The accelerators that queued jobs request are subtracted.
        """
        current = self._configuration.fold.current
        own = self._ctx.settings.failure_domain
        in_service = {
            domain.name
            for domain in current.failure_domains
            if domain.state is states.FailureDomainState.IN
        }
        return {
            name: capacity.accelerators
            for name, capacity in self._tracker.free_capacities().items()
            if name != own and name in in_service
        }

    def _record_move(
        self,
        spec: jobs.JobSpec,
        destination: ids.FailureDomainId,
        *,
        eager: bool,
    ) -> None:
        token = self._token

        def handle_recorded(
            recorded_spec: jobs.JobSpec, moved: records.JobMoved
        ) -> None:
            if token == self._token and self._ownership.domain is not None:
                move = _Move(
                    spec=recorded_spec,
                    to=destination,
                    number=moved.number,
                    eager=eager,
                )
                self._moves[spec.job] = move
                self._send(move)

        self._ownership.domain.moves.move_out(
            spec.job, destination, handle_recorded
        )

    def _send(self, move: _Move) -> None:
        if move.in_flight or move.retry_ms > self._ctx.now_ms:
            return
        move.in_flight = True
        token = self._token

        def handle_answer(answer: peer_messages.Answer) -> None:
            move.in_flight = False
            move.retry_ms = self._ctx.now_ms + RESEND_DELAY_MS
            domain = self._ownership.domain
            if domain is None or domain.token != token:
                return
            if isinstance(answer, peer_messages.JobAnswer):
                self._moves.pop(move.spec.job, None)
                domain.moves.settle_move(move.spec.job, move.to, accepted=True)
            elif _never_accepted(answer):
                self._moves.pop(move.spec.job, None)
                domain.moves.settle_move(move.spec.job, move.to, accepted=False)

        body = peer_messages.SubmitJob(
            spec=move.spec, eager=move.eager, move=move.number
        )
        self._calls.route(move.to, body, handle_answer)


def _never_accepted(answer: peer_messages.Answer) -> bool:
    return (
        isinstance(answer, peer_messages.Failure)
        and codes.info(answer.result.code).proves_not_run
    )
