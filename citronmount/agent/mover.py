"""Moves queued jobs to failure domains that can start them sooner."""

import msgspec

from citronmount.agent import call_desk
from citronmount.agent import capacity_tracker
from citronmount.agent import configuration as configuration_lib
from citronmount.agent import context
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import owned_domain
from citronmount.agent import ownership as ownership_lib
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import shares
from citronmount.core import states
from citronmount.peers import messages as peer_messages
from citronmount.state import records

__all__ = ["Mover"]

PERIOD_MS = 1_000
MOVES_PER_PERIOD = 50
PATIENCE_MS = 1_000
RETRY_MOVE_MS = 10_000
RESEND_MS = 2_000


class _Move(msgspec.Struct, kw_only=True):
    """A job on its way to another failure domain."""

    spec: jobs.JobSpec
    to: ids.FailureDomainId
    number: int
    eager: bool = False
    in_flight: bool = False
    retry_ms: int = 0


class Mover:
    """Hands queued jobs of the owned failure domain to others with room.

    All jobs leave while the failure domain is out of service; in service only
    those do that have waited and find no room here. The job's home keeps a
    pointer, so its id stays valid. A move is durable, and the own token
    confirmed, before the other scheduler hears of the job.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        outbox: outbox_lib.Outbox,
        ownership: ownership_lib.Ownership,
        calls: call_desk.CallDesk,
        rooms: capacity_tracker.CapacityTracker,
        configuration: configuration_lib.ConfigurationKeeper,
    ) -> None:
        """Initializes without moves.

        Args:
            ctx: The shared context.
            outbox: Whether the log answers.
            ownership: The owned failure domain.
            calls: Reaches other owners.
            rooms: The room in each failure domain.
            configuration: Which failure domains are in service.
        """
        self._ctx = ctx
        self._outbox = outbox
        self._ownership = ownership
        self._calls = calls
        self._rooms = rooms
        self._configuration = configuration
        self._next_ms = 0
        self._token = ids.FenceToken(0)
        self._moves: dict[ids.JobId, _Move] = {}
        self._tried_ms: dict[ids.JobId, int] = {}
        self._tried_at: dict[ids.JobId, set[ids.FailureDomainId]] = {}

    def tick(self) -> None:
        """Starts moves that are worth it and goes on with open ones."""
        domain = self._ownership.domain
        if domain is None or not domain.placement_enabled:
            return
        if domain.token != self._token:
            self._token = domain.token
            self._moves = {}
            self._tried_ms = {}
            self._tried_at = {}
        if self._ctx.now_ms < self._next_ms:
            return
        self._next_ms = self._ctx.now_ms + PERIOD_MS
        self._forget_ended(domain)
        self._resume()
        if self._outbox.log_up:
            self._start()
        for move in list(self._moves.values()):
            self._send(move)

    def _forget_ended(self, domain: owned_domain.OwnedDomain) -> None:
        entries = domain.table.entries
        for memory in (self._tried_ms, self._tried_at):
            for job in [job for job in memory if job not in entries]:
                del memory[job]

    def _resume(self) -> None:
        """Takes up moves that an earlier owner has recorded."""
        domain = self._ownership.domain
        for spec, moved in domain.moves.unconfirmed_moves():
            if spec.job not in self._moves:
                self._moves[spec.job] = _Move(
                    spec=spec, to=moved.to, number=moved.number
                )

    def _start(self) -> None:
        rooms = self._room()
        if not rooms:
            return
        leaving = not self._ownership.domain.in_service()
        due = [
            spec
            for spec in self._ownership.domain.moves.movable_jobs()
            if self._is_due(spec, leaving=leaving)
        ]
        for spec in due[:MOVES_PER_PERIOD]:
            self._choose(spec, rooms, leaving=leaving)

    def _is_due(self, spec: jobs.JobSpec, *, leaving: bool) -> bool:
        tried_ms = self._tried_ms.get(spec.job, -RETRY_MOVE_MS)
        rested = self._ctx.now_ms - tried_ms >= RETRY_MOVE_MS
        waited_ms = self._ctx.wall_ms - spec.submitted_ms
        return rested and (leaving or waited_ms >= PATIENCE_MS)

    def _choose(
        self,
        spec: jobs.JobSpec,
        rooms: dict[ids.FailureDomainId, int],
        *,
        leaving: bool,
    ) -> None:
        """Moves a job to where its guarantee or free room may start it."""
        guaranteed = {
            guarantee.failure_domain
            for guarantee in self._configuration.fold.current.guarantees
            if guarantee.account == spec.account
        }
        allowed = shares.homes(self._configuration.fold.current, spec)
        hopeful = [
            name
            for name, room in rooms.items()
            if name in allowed
            and (
                leaving
                or room >= spec.accelerators
                or not guaranteed.isdisjoint({name, None})
            )
        ]
        tried = self._tried_at.setdefault(spec.job, set())
        fresh = [name for name in hopeful if name not in tried]
        if not fresh:
            tried.clear()
            self._tried_ms[spec.job] = self._ctx.now_ms
            return
        to = max(fresh, key=lambda name: (rooms[name], name))
        tried.add(to)
        rooms[to] -= spec.accelerators
        self._release(spec, to, eager=not leaving)

    def _room(self) -> dict[ids.FailureDomainId, int]:
        """Returns the room after the queue in other failure domains."""
        current = self._configuration.fold.current
        own = self._ctx.settings.failure_domain
        usable = {
            domain.name
            for domain in current.failure_domains
            if domain.state is states.FailureDomainState.IN
        }
        return {
            name: room.accelerators
            for name, room in self._rooms.free_capacities().items()
            if name != own and name in usable
        }

    def _release(
        self,
        spec: jobs.JobSpec,
        to: ids.FailureDomainId,
        *,
        eager: bool,
    ) -> None:
        token = self._token

        def released(
            released_spec: jobs.JobSpec, moved: records.JobMoved
        ) -> None:
            if token == self._token and self._ownership.domain is not None:
                move = _Move(
                    spec=released_spec,
                    to=to,
                    number=moved.number,
                    eager=eager,
                )
                self._moves[spec.job] = move
                self._send(move)

        self._ownership.domain.moves.move_out(spec.job, to, released)

    def _send(self, move: _Move) -> None:
        if move.in_flight or move.retry_ms > self._ctx.now_ms:
            return
        move.in_flight = True
        token = self._token

        def answered(answer: peer_messages.Answer) -> None:
            move.in_flight = False
            move.retry_ms = self._ctx.now_ms + RESEND_MS
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
        self._calls.route(move.to, body, answered)


def _never_accepted(answer: peer_messages.Answer) -> bool:
    return (
        isinstance(answer, peer_messages.Failure)
        and codes.info(answer.result.code).proves_not_run
    )
