"""Moves queued jobs to failure domains that can start them sooner."""

import msgspec

from citronmount.agent import call_desk
from citronmount.agent import configuration as configuration_lib
from citronmount.agent import context
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import ownership as ownership_lib
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.peers import messages as peer_messages

__all__ = ["Mover"]

PERIOD_MS = 1_000
MOVES_PER_PERIOD = 50
PATIENCE_MS = 10_000
RESEND_MS = 2_000


class _Move(msgspec.Struct, kw_only=True):
    """A job on its way to another failure domain."""

    spec: jobs.JobSpec
    to: ids.FailureDomainId
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
        configuration: configuration_lib.ConfigurationKeeper,
    ) -> None:
        """Initializes without moves.

        Args:
            ctx: The shared context.
            outbox: Whether the log answers.
            ownership: The owned failure domain.
            calls: Reaches other owners.
            configuration: Which failure domains are in service.
        """
        self._ctx = ctx
        self._outbox = outbox
        self._ownership = ownership
        self._calls = calls
        self._configuration = configuration
        self._next_ms = 0
        self._token = ids.FenceToken(0)
        self._moves: dict[ids.JobId, _Move] = {}

    def tick(self) -> None:
        """Starts moves that are worth it and goes on with open ones."""
        domain = self._ownership.domain
        if domain is None or not domain.placing:
            return
        if domain.token != self._token:
            self._token = domain.token
            self._moves = {}
        if self._ctx.now_ms < self._next_ms:
            return
        self._next_ms = self._ctx.now_ms + PERIOD_MS
        self._resume()
        if self._outbox.log_up:
            self._start()
        for move in list(self._moves.values()):
            self._send(move)

    def _resume(self) -> None:
        """Takes up moves that an earlier owner has recorded."""
        domain = self._ownership.domain
        for spec, to in domain.unconfirmed_moves():
            if spec.job not in self._moves:
                self._moves[spec.job] = _Move(spec=spec, to=to)

    def _start(self) -> None:
        domain = self._ownership.domain
        room = self._room()
        if not room:
            return
        waiting = domain.queued_specs()
        leaving = not domain.in_service()
        limit_ms = self._ctx.wall_ms - PATIENCE_MS
        movable = [
            spec for spec in waiting if leaving or spec.submitted_ms <= limit_ms
        ]
        for spec in movable[:MOVES_PER_PERIOD]:
            to = max(room, key=lambda name: (room[name], name))
            if room[to] < spec.accelerators:
                continue
            room[to] -= spec.accelerators
            self._release(spec, to)

    def _room(self) -> dict[ids.FailureDomainId, int]:
        """Returns the room after the queue in other failure domains."""
        summaries = self._calls.summaries()
        current = self._configuration.fold.current
        own = self._ctx.settings.failure_domain
        usable = {
            domain.name
            for domain in current.failure_domains
            if domain.state is states.FailureDomainState.IN
        }
        return {
            name: summary.free_accelerators - summary.queued_accelerators
            for name, summary in summaries.items()
            if name != own and name in usable
        }

    def _release(self, spec: jobs.JobSpec, to: ids.FailureDomainId) -> None:
        token = self._token

        def released(released_spec: jobs.JobSpec) -> None:
            if token == self._token and self._ownership.domain is not None:
                move = _Move(spec=released_spec, to=to)
                self._moves[spec.job] = move
                self._send(move)

        self._ownership.domain.move_out(spec.job, to, released)

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
                domain.moved(move.spec.job, move.to, accepted=True)
            elif _never_accepted(answer):
                self._moves.pop(move.spec.job, None)
                domain.moved(move.spec.job, move.to, accepted=False)

        body = peer_messages.SubmitJob(spec=move.spec)
        self._calls.route(move.to, body, answered)


def _never_accepted(answer: peer_messages.Answer) -> bool:
    return (
        isinstance(answer, peer_messages.Failure)
        and codes.info(answer.result.code).proves_not_run
    )
