"""Claims of idempotency keys, so that work marked so runs at most once."""

from collections.abc import Callable

import msgspec

from citronmount.agent import context
from citronmount.agent import outbox as outbox_lib
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.platform import messages
from citronmount.state import job_book
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
        book: job_book.JobBook,
        outbox: outbox_lib.Outbox,
    ) -> None:
        """Initializes without open claims.

        Args:
            ctx: The shared context.
            view: Who votes.
            book: The claims that the own vote went to.
            outbox: Writes claims durably.
        """
        self._ctx = ctx
        self._view = view
        self._book = book
        self._outbox = outbox
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
        if self._view.ready:
            self._book.fold(claim)
        holder = self._book.claims.get(claim.key)
        granted = holder is not None and holder.record == claim.record
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

        def was_read(page: messages.LogPage | None) -> None:
            if page is None or election.closed:
                return
            first = _first_claim(page, election.claim.key)
            election.undecided.discard(_LOG_VOTER)
            if first is not None and first.record == election.claim.record:
                election.grants.add(_LOG_VOTER)
            elif first is not None:
                election.holder = first
            self._check(election)

        self._ctx.read_log(self._stream, self._book.next_offset, was_read)

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


def _first_claim(page: messages.LogPage, key: str) -> records.KeyClaimed | None:
    """Returns the claim of a key that the log has first and not freed."""
    standing: records.KeyClaimed | None = None
    freed: set[ids.RecordId] = set()
    for entry in page.records:
        record = records.decode(entry.data)
        match record:
            case records.KeyClaimed() if record.key == key:
                if standing is None and record.record not in freed:
                    standing = record
            case records.KeyResult() if record.key == key:
                if codes.info(record.result.code).proves_not_run:
                    freed.add(record.claim)
                    if standing is not None:
                        kept = standing.record != record.claim
                        standing = standing if kept else None
    return standing
