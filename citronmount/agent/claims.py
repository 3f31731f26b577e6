"""Claims of idempotency keys, so that work with a key runs at most once."""

from collections.abc import Callable

import msgspec

from citronmount.agent import context
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import stream_reader
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.membership import membership_view
from citronmount.peers import peer_messages
from citronmount.state import job_views
from citronmount.state import records

__all__ = ["ClaimOutcome", "Claims"]

VOTE_TIMEOUT_MS = 1_000
CLAIM_TIMEOUT_MS = 3_000
_LOG_VOTER = "log"


class ClaimOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a claim.

    Attributes:
        granted: Whether the work may now be sent to a target.
        claim: The claim.
        holder: The conflicting claim, if known.
        result: The final answer of the conflicting claim's work, if known.
    """

    granted: bool
    claim: records.KeyClaimed
    holder: records.KeyClaimed | None = None
    result: records.KeyResult | None = None


class _PendingClaim(msgspec.Struct, kw_only=True):
    """A claim that is neither granted nor rejected yet.

    Attributes:
        due_ms: Monotonic time at which the claim is rejected.
        quorum: The number of granted votes needed.
        undecided: Voters that have not voted yet.
        grants: Voters that have granted the claim.
        in_log: Claims of the key in the log that were not freed, in order.
        holder: A conflicting claim, if known.
        result: The final answer of a conflicting claim's work, if known.
        closed: Whether the claim was granted or rejected.
    """

    claim: records.KeyClaimed
    on_outcome: Callable[[ClaimOutcome], None]
    due_ms: int
    quorum: int
    undecided: set[str]
    grants: set[str]
    durable: bool = False
    in_log: list[records.KeyClaimed] = msgspec.field(default_factory=list)
    holder: records.KeyClaimed | None = None
    result: records.KeyResult | None = None
    closed: bool = False


class Claims:
    """Claims keys of the local failure domain by majority vote.

    The voters are the VMs of that failure domain and the log, which votes for
    the first claim by offset. Any two majorities share a voter, also if the
    set of VMs differs by one, so at most one claim of a key is granted. A
    granted claim is durable before the work is sent.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        job_view: job_views.JobView,
        outbox: outbox_lib.Outbox,
        reader: stream_reader.StreamReader,
    ) -> None:
        """Initializes without pending claims.

        Args:
            ctx: The shared context.
            view: Determines the voters.
            job_view: Holds the claims that this VM has voted for.
            outbox: Writes claims durably.
            reader: Reads the claims in the order of the log.
        """
        self._ctx = ctx
        self._view = view
        self._job_view = job_view
        self._outbox = outbox
        self._reader = reader
        reader.listeners.append(self._on_record_read)
        self._stream = records.job_stream(ctx.settings.failure_domain)
        self._pending_claims: dict[ids.RecordId, _PendingClaim] = {}

    def claim(
        self,
        key: str,
        body_digest: str,
        on_outcome: Callable[[ClaimOutcome], None],
    ) -> None:
        """Claims a key.

        Args:
            key: The key, qualified by its account or job.
            body_digest: Digest of the body of the work.
            on_outcome: Called once with the outcome.
        """
        claim = records.KeyClaimed(
            record=ids.RecordId(self._ctx.unique_id()),
            key=key,
            body_digest=body_digest,
            vm=self._ctx.settings.vm,
            claimed_ms=self._ctx.wall_ms,
        )
        own_vote = self.vote(claim)
        if not own_vote.granted:
            on_outcome(
                ClaimOutcome(
                    granted=False,
                    claim=claim,
                    holder=own_vote.holder,
                    result=own_vote.result,
                )
            )
            return
        voters = self._view.voters()
        pending = _PendingClaim(
            claim=claim,
            on_outcome=on_outcome,
            due_ms=self._ctx.now_ms + CLAIM_TIMEOUT_MS,
            quorum=(len(voters) + 1) // 2 + 1,
            undecided={*voters, _LOG_VOTER} - {self._ctx.settings.vm},
            grants={self._ctx.settings.vm},
        )
        self._pending_claims[claim.record] = pending
        self._outbox.write(
            self._stream,
            claim,
            lambda outcome: self._on_written(pending, outcome),
        )
        for voter in voters:
            if voter != self._ctx.settings.vm:
                self._request_vote(pending, voter)
        self._decide(pending)

    def vote(self, claim: records.KeyClaimed) -> peer_messages.ClaimAnswer:
        """Votes on a claim and records a granted vote.

        Args:
            claim: The claim.

        Returns:
            The vote, with an empty call id.
        """
        conflicting = (
            other
            for other in self._job_view.claims_of(claim.key)
            if other.record != claim.record
        )
        holder = next(conflicting, None)
        freed = self._job_view.is_claim_freed(claim.record)
        if holder is None and self._view.ready and not freed:
            self._job_view.fold(claim)
        granted = holder is None and self._view.ready and not freed
        return peer_messages.ClaimAnswer(
            call=ids.CallId(""),
            granted=granted,
            holder=None if granted else holder,
            result=self._job_view.key_results.get(claim.key),
        )

    def record_result(
        self, claim: records.KeyClaimed, result: jobs.RequestResult
    ) -> None:
        """Records the final answer of claimed work.

        Args:
            claim: The claim.
            result: The answer. One that proves that the work was not run
                frees the claim.
        """
        record = records.KeyResult(
            record=ids.RecordId(self._ctx.unique_id()),
            key=claim.key,
            claim=claim.record,
            result=result,
        )
        self._job_view.fold(record)
        self._outbox.write(self._stream, record)
        if codes.info(result.code).proves_not_run:
            self._send_release(claim)

    def tick(self) -> None:
        """Rejects claims that were not granted within `CLAIM_TIMEOUT_MS`.

        A rejection writes a NOT_DURABLE result for the claim, asks the other
        voters to release the key and calls the claim's `on_outcome`.
        """
        expired = [
            pending
            for pending in self._pending_claims.values()
            if pending.due_ms <= self._ctx.now_ms
        ]
        for pending in expired:
            self._reject(pending)

    def _request_vote(self, pending: _PendingClaim, voter: ids.VmId) -> None:
        call = self._ctx.new_call()

        def handle_answer(answer: peer_messages.ClaimAnswer | None) -> None:
            if answer is None:
                return
            pending.undecided.discard(voter)
            if answer.granted:
                pending.grants.add(voter)
            else:
                pending.holder = answer.holder or pending.holder
                pending.result = answer.result or pending.result
            self._decide(pending)

        self._ctx.call_peer(
            voter,
            call,
            peer_messages.ClaimKey(call=call, claim=pending.claim),
            handle_answer,
            timeout_ms=VOTE_TIMEOUT_MS,
        )

    def _on_written(
        self, pending: _PendingClaim, outcome: outbox_lib.WriteOutcome
    ) -> None:
        pending.durable = outcome.durability is not None
        self._decide(pending)
        in_log = outcome is outbox_lib.WriteOutcome.IN_LOG
        if in_log and not pending.closed:
            self._count_log_vote(pending)

    def _count_log_vote(self, pending: _PendingClaim) -> None:
        """Reads the log and counts its vote.

        The log grants a claim that is the first of its key.
        """

        def on_log_read(complete: bool) -> None:
            own_record = pending.claim.record
            logged = [claim.record for claim in pending.in_log]
            if pending.closed or not complete or own_record not in logged:
                return
            pending.undecided.discard(_LOG_VOTER)
            first = pending.in_log[0]
            if first.record == own_record:
                pending.grants.add(_LOG_VOTER)
            else:
                pending.holder = first
            self._decide(pending)

        self._reader.read_to_end(on_log_read)

    def _on_record_read(self, record: records.Record) -> None:
        """Updates the logged claims of keys with a pending claim."""
        match record:
            case records.KeyClaimed():
                if self._job_view.is_claim_freed(record.record):
                    return
                for pending in self._pending_claims_of(record.key):
                    pending.in_log.append(record)
            case records.KeyResult():
                if codes.info(record.result.code).proves_not_run:
                    self._remove_logged_claim(record.key, record.claim)

    def _remove_logged_claim(self, key: str, claim: ids.RecordId) -> None:
        for pending in self._pending_claims_of(key):
            pending.in_log = [
                other for other in pending.in_log if other.record != claim
            ]

    def _pending_claims_of(self, key: str) -> list[_PendingClaim]:
        return [
            pending
            for pending in self._pending_claims.values()
            if pending.claim.key == key
        ]

    def _decide(self, pending: _PendingClaim) -> None:
        if pending.closed:
            return
        granted = len(pending.grants)
        if granted + len(pending.undecided) < pending.quorum:
            self._reject(pending)
            return
        if granted < pending.quorum or not pending.durable:
            return
        self._close(pending)
        pending.on_outcome(ClaimOutcome(granted=True, claim=pending.claim))

    def _reject(self, pending: _PendingClaim) -> None:
        """Rejects a claim and frees it, since no work was sent."""
        if pending.closed:
            return
        self._close(pending)
        not_run = jobs.RequestResult(
            request=ids.RequestId(""), code=codes.ResultCode.NOT_DURABLE
        )
        self.record_result(pending.claim, not_run)
        pending.on_outcome(
            ClaimOutcome(
                granted=False,
                claim=pending.claim,
                holder=pending.holder,
                result=pending.result,
            )
        )

    def _close(self, pending: _PendingClaim) -> None:
        pending.closed = True
        self._pending_claims.pop(pending.claim.record, None)

    def _send_release(self, claim: records.KeyClaimed) -> None:
        message = peer_messages.ReleaseKey(
            key=claim.key, vm=claim.vm, record=claim.record
        )
        for voter in self._view.voters():
            if voter != self._ctx.settings.vm:
                self._ctx.send(voter, message)
