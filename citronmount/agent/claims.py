"""Claims of idempotency keys, so that work marked so runs at most once."""

from collections.abc import Callable

import msgspec

from citronmount.agent import context
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import stream_reader
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.state import job_views
from citronmount.state import records

__all__ = ["ClaimOutcome", "Claims"]

VOTE_TIMEOUT_MS = 1_000
CLAIM_LIMIT_MS = 3_000
_LOG_VOTER = "log"


class ClaimOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """How a claim ended.

    Attributes:
        granted: Whether the work may now be sent to a target.
        claim: The claim.
        holder: The other claim that stood in the way, if known.
        result: The final answer of the holder's work, if known.
    """

    granted: bool
    claim: records.KeyClaimed
    holder: records.KeyClaimed | None = None
    result: records.KeyResult | None = None


class _Election(msgspec.Struct, kw_only=True):
    """One claim on its way."""

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
    """Claims keys of the own failure domain by majority.

    The voters are the VMs of the home failure domain and the log, whose vote
    goes to the first claim by offset. Any two majorities share a voter, also
    across a change of one VM, so at most one claim of a key is granted. A
    granted claim is durable before the work is sent.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: view_lib.MembershipView,
        book: job_views.JobView,
        outbox: outbox_lib.Outbox,
        reader: stream_reader.StreamReader,
    ) -> None:
        """Initializes without open claims.

        Args:
            ctx: The shared context.
            view: Who votes.
            book: The claims that the own vote went to.
            outbox: Writes claims durably.
            reader: Shows the order of claims in the log.
        """
        self._ctx = ctx
        self._view = view
        self._book = book
        self._outbox = outbox
        self._reader = reader
        reader.listeners.append(self._note_logged)
        self._stream = records.job_stream(ctx.settings.failure_domain)
        self._open: dict[ids.RecordId, _Election] = {}

    def claim(
        self,
        key: str,
        body_digest: str,
        on_outcome: Callable[[ClaimOutcome], None],
    ) -> None:
        """Claims a key.

        Args:
            key: The key with its account.
            body_digest: Digest of the work's body.
            on_outcome: Told once how the claim ended.
        """
        claim = records.KeyClaimed(
            record=ids.RecordId(self._ctx.unique()),
            key=key,
            body_digest=body_digest,
            vm=self._ctx.settings.vm,
            claimed_ms=self._ctx.wall_ms,
        )
        own = self.vote(claim)
        if not own.granted:
            on_outcome(
                ClaimOutcome(
                    granted=False,
                    claim=claim,
                    holder=own.holder,
                    result=own.result,
                )
            )
            return
        voters = self._view.voters()
        election = _Election(
            claim=claim,
            on_outcome=on_outcome,
            due_ms=self._ctx.now_ms + CLAIM_LIMIT_MS,
            quorum=(len(voters) + 1) // 2 + 1,
            undecided={*voters, _LOG_VOTER} - {self._ctx.settings.vm},
            grants={self._ctx.settings.vm},
        )
        self._open[claim.record] = election
        self._outbox.write(
            self._stream,
            claim,
            lambda outcome: self._written(election, outcome),
        )
        for voter in voters:
            if voter != self._ctx.settings.vm:
                self._ask(election, voter)
        self._check(election)

    def vote(self, claim: records.KeyClaimed) -> peer_messages.ClaimAnswer:
        """Votes on a claim and remembers a grant.

        Args:
            claim: The claim.

        Returns:
            The vote, with an empty call id.
        """
        others = (
            held
            for held in self._book.claims_of(claim.key)
            if held.record != claim.record
        )
        holder = next(others, None)
        freed = self._book.is_claim_freed(claim.record)
        if holder is None and self._view.ready and not freed:
            self._book.fold(claim)
        granted = holder is None and self._view.ready and not freed
        return peer_messages.ClaimAnswer(
            call=ids.CallId(""),
            granted=granted,
            holder=None if granted else holder,
            result=self._book.key_results.get(claim.key),
        )

    def finish(
        self, claim: records.KeyClaimed, result: jobs.RequestResult
    ) -> None:
        """Records the final answer of claimed work.

        Args:
            claim: The claim.
            result: The answer; one that proves not run frees the key.
        """
        record = records.KeyResult(
            record=ids.RecordId(self._ctx.unique()),
            key=claim.key,
            claim=claim.record,
            result=result,
        )
        self._book.fold(record)
        self._outbox.write(self._stream, record)
        if codes.info(result.code).proves_not_run:
            self._tell_release(claim)

    def tick(self) -> None:
        """Ends claims whose time is up."""
        due = [
            election
            for election in self._open.values()
            if election.due_ms <= self._ctx.now_ms
        ]
        for election in due:
            self._lose(election)

    def _ask(self, election: _Election, voter: ids.VmId) -> None:
        call = self._ctx.new_call()

        def answered(answer: peer_messages.ClaimAnswer | None) -> None:
            if answer is None:
                return
            election.undecided.discard(voter)
            if answer.granted:
                election.grants.add(voter)
            else:
                election.holder = answer.holder or election.holder
                election.result = answer.result or election.result
            self._check(election)

        self._ctx.call_peer(
            voter,
            call,
            peer_messages.ClaimKey(call=call, claim=election.claim),
            answered,
            timeout_ms=VOTE_TIMEOUT_MS,
        )

    def _written(
        self, election: _Election, outcome: outbox_lib.WriteOutcome
    ) -> None:
        election.durable = outcome.durability is not None
        self._check(election)
        in_log = outcome is outbox_lib.WriteOutcome.IN_LOG
        if in_log and not election.closed:
            self._read_log_vote(election)

    def _read_log_vote(self, election: _Election) -> None:
        """Counts the log's vote if the claim is the key's first."""

        def was_read(complete: bool) -> None:
            own = election.claim.record
            logged = [claim.record for claim in election.in_log]
            if election.closed or not complete or own not in logged:
                return
            election.undecided.discard(_LOG_VOTER)
            first = election.in_log[0]
            if first.record == own:
                election.grants.add(_LOG_VOTER)
            else:
                election.holder = first
            self._check(election)

        self._reader.read_to_end(was_read)

    def _note_logged(self, record: records.Record) -> None:
        """Follows the standing claims of open keys in the order of the log."""
        match record:
            case records.KeyClaimed():
                if self._book.is_claim_freed(record.record):
                    return
                for election in self._of_key(record.key):
                    election.in_log.append(record)
            case records.KeyResult():
                if codes.info(record.result.code).proves_not_run:
                    self._note_freed(record.key, record.claim)

    def _note_freed(self, key: str, claim: ids.RecordId) -> None:
        for election in self._of_key(key):
            election.in_log = [
                held for held in election.in_log if held.record != claim
            ]

    def _of_key(self, key: str) -> list[_Election]:
        return [
            election
            for election in self._open.values()
            if election.claim.key == key
        ]

    def _check(self, election: _Election) -> None:
        if election.closed:
            return
        granted = len(election.grants)
        if granted + len(election.undecided) < election.quorum:
            self._lose(election)
            return
        if granted < election.quorum or not election.durable:
            return
        self._close(election)
        election.on_outcome(ClaimOutcome(granted=True, claim=election.claim))

    def _lose(self, election: _Election) -> None:
        """Gives a claim up; it was never used, so the key is free again."""
        if election.closed:
            return
        self._close(election)
        not_run = jobs.RequestResult(
            request=ids.RequestId(""), code=codes.ResultCode.NOT_DURABLE
        )
        self.finish(election.claim, not_run)
        election.on_outcome(
            ClaimOutcome(
                granted=False,
                claim=election.claim,
                holder=election.holder,
                result=election.result,
            )
        )

    def _close(self, election: _Election) -> None:
        election.closed = True
        self._open.pop(election.claim.record, None)

    def _tell_release(self, claim: records.KeyClaimed) -> None:
        message = peer_messages.ReleaseKey(
            key=claim.key, vm=claim.vm, record=claim.record
        )
        for voter in self._view.voters():
            if voter != self._ctx.settings.vm:
                self._ctx.send(voter, message)
