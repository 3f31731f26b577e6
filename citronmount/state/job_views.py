"""Job view of a failure domain's scheduler, folded from its job stream."""

import collections

from citronmount.clients import messages
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.state import records

__all__ = ["JobView"]

MAX_RETAINED_JOBS = 20_000
MAX_RETAINED_KEYS = 100_000


class JobView:
    """Accepted jobs, intents, results and key claims of a failure domain.

    Folding is idempotent and does not depend on the order of records, so they
    may come from the log, from peers and from the process itself. A final
    result overrides everything except an intent with a higher fencing token:
    in that case the writer of the result was already fenced and never reported
    it. Every claim of a key is kept until its own result frees it.

    Attributes:
        next_offset: The offset from which to read the stream next.
        last_snapshot: The offset of the last snapshot, -1 before the first.
        accepted: Jobs without a final result.
        intents: The newest intent of each job.
        cancelled: Jobs that callers have cancelled, without a final result.
        moved: The last move of each job that was moved.
        ended: Final results, the oldest first.
        key_results: Answers of keyed requests, by key.
    """

    def __init__(self, *, failure_domain: ids.FailureDomainId) -> None:
        """Initializes an empty view.

        Args:
            failure_domain: The failure domain of the job stream.
        """
        self._failure_domain = failure_domain
        self.next_offset = ids.Offset(0)
        self.last_snapshot = ids.Offset(-1)
        self.accepted: dict[ids.JobId, jobs.JobSpec] = {}
        self.intents: dict[ids.JobId, records.AttemptIntended] = {}
        self.cancelled: set[ids.JobId] = set()
        self.moved: collections.OrderedDict[ids.JobId, records.JobMoved] = (
            collections.OrderedDict()
        )
        self.ended: collections.OrderedDict[ids.JobId, records.JobEnded] = (
            collections.OrderedDict()
        )
        self._claims: collections.OrderedDict[
            str, tuple[records.KeyClaimed, ...]
        ] = collections.OrderedDict()
        self.key_results: collections.OrderedDict[str, records.KeyResult] = (
            collections.OrderedDict()
        )
        self._freed_claims: collections.OrderedDict[ids.RecordId, None] = (
            collections.OrderedDict()
        )

    def fold_page(self, page: messages.LogPage) -> list[records.Record]:
        """Folds one page of the job stream.

        Args:
            page: The page, read from `next_offset` on.

        Returns:
            The decoded records at offsets not folded before, in order.
        """
        new_records = []
        for entry in page.records:
            if entry.offset < self.next_offset:
                continue
            record = records.decode(entry.data)
            if isinstance(record, records.JobSnapshot):
                self.last_snapshot = entry.offset
            if record is not None:
                self.fold(record)
                new_records.append(record)
            self.next_offset = ids.Offset(entry.offset + 1)
        self.next_offset = max(self.next_offset, page.oldest)
        return new_records

    def fold(self, record: records.Record) -> None:
        """Folds one record.

        Args:
            record: The record; records of other streams are ignored.
        """
        match record:
            case records.JobAccepted(spec=spec):
                self._fold_accepted(spec)
            case records.AttemptIntended():
                self._fold_intent(record)
            case records.JobCancelled(job=job):
                self._fold_cancelled(job)
            case records.JobEnded():
                self._fold_ended(record)
            case records.JobMoved():
                self._fold_move(record)
            case records.KeyClaimed():
                self._fold_claim(record)
            case records.KeyResult():
                self._fold_key_result(record)
            case records.JobSnapshot():
                self.merge_snapshot(record)

    def outgoing_move(self, job: ids.JobId) -> records.JobMoved | None:
        """Returns the move of a job to another failure domain.

        Args:
            job: The job.

        Returns:
            The last move, or None if the job was never moved away or has
            returned.
        """
        moved = self.moved.get(job)
        if moved is None or moved.to == self._failure_domain:
            return None
        return moved

    def next_move_number(self, job: ids.JobId) -> int:
        """Returns the number of a job's next move.

        Args:
            job: The job.
        """
        moved = self.moved.get(job)
        return 1 if moved is None else moved.number + 1

    def merge_snapshot(self, snapshot: records.JobSnapshot) -> None:
        """Folds a snapshot under the same rules as single records.

        Args:
            snapshot: A snapshot from the log or from a peer.
        """
        for ended in snapshot.ended:
            self._fold_ended(ended)
        for spec in snapshot.accepted:
            self._fold_accepted(spec)
        for intent in snapshot.intents:
            self._fold_intent(intent)
        for job in snapshot.cancelled:
            self._fold_cancelled(job)
        for moved in snapshot.moved:
            self._fold_move(moved)
        for result in snapshot.key_results:
            self._fold_key_result(result)
        for claim in snapshot.claims:
            self._fold_claim(claim)

    def snapshot(
        self, record: ids.RecordId, *, claims_since_ms: int = 0
    ) -> records.JobSnapshot:
        """Returns the whole view as a record.

        Args:
            record: The id of the new record.
            claims_since_ms: Unix time in ms; claims made before it and their
                results are left out.

        Returns:
            The snapshot.
        """
        recent = [
            claim
            for claims in self._claims.values()
            for claim in claims
            if claim.claimed_ms >= claims_since_ms
        ]
        keys = {claim.key for claim in recent}
        return records.JobSnapshot(
            record=record,
            as_of=ids.Offset(self.next_offset - 1),
            accepted=tuple(self.accepted.values()),
            intents=tuple(self.intents.values()),
            cancelled=tuple(sorted(self.cancelled)),
            moved=tuple(self.moved.values()),
            ended=tuple(self.ended.values()),
            claims=tuple(recent),
            key_results=tuple(
                result
                for key, result in self.key_results.items()
                if key in keys
            ),
        )

    def _fold_accepted(self, spec: jobs.JobSpec) -> None:
        moved = self.outgoing_move(spec.job)
        moved_out = moved is not None and moved.confirmed
        if spec.job not in self.ended and not moved_out:
            self.accepted.setdefault(spec.job, spec)

    def _fold_intent(self, intent: records.AttemptIntended) -> None:
        ended = self.ended.get(intent.job)
        if ended is not None and ended.token >= intent.token:
            return
        if ended is not None:
            del self.ended[intent.job]
            self.accepted[intent.job] = intent.spec
        known = self.intents.get(intent.job)
        if known is None or _intent_order(known) < _intent_order(intent):
            self.intents[intent.job] = intent

    def _fold_cancelled(self, job: ids.JobId) -> None:
        if job not in self.ended:
            self.cancelled.add(job)

    def _fold_move(self, moved: records.JobMoved) -> None:
        if moved.job in self.ended:
            return
        known = self.moved.get(moved.job)
        if known is not None and _move_order(known) >= _move_order(moved):
            return
        self.moved[moved.job] = moved
        if moved.confirmed and moved.to != self._failure_domain:
            self.accepted.pop(moved.job, None)
        while len(self.moved) > MAX_RETAINED_JOBS:
            self.moved.popitem(last=False)

    def _fold_ended(self, ended: records.JobEnded) -> None:
        intent = self.intents.get(ended.job)
        if intent is not None and intent.token > ended.token:
            return
        self.accepted.pop(ended.job, None)
        self.intents.pop(ended.job, None)
        self.cancelled.discard(ended.job)
        self.moved.pop(ended.job, None)
        self.ended.setdefault(ended.job, ended)
        while len(self.ended) > MAX_RETAINED_JOBS:
            self.ended.popitem(last=False)

    def _fold_claim(self, claim: records.KeyClaimed) -> None:
        open_claims = self._claims.get(claim.key, ())
        known = any(other.record == claim.record for other in open_claims)
        if known or claim.record in self._freed_claims:
            return
        self._claims[claim.key] = (*open_claims, claim)
        while len(self._claims) > MAX_RETAINED_KEYS:
            key, _ = self._claims.popitem(last=False)
            self.key_results.pop(key, None)

    def _fold_key_result(self, result: records.KeyResult) -> None:
        if codes.info(result.result.code).proves_not_run:
            self.free_claim(result.key, result.claim)
            return
        self.key_results.setdefault(result.key, result)

    def free_claim(self, key: str, claim: ids.RecordId) -> None:
        """Frees a claim that was never used.

        Args:
            key: The key.
            claim: The record id of the claim; other claims of the key stay.
        """
        self._freed_claims[claim] = None
        while len(self._freed_claims) > MAX_RETAINED_KEYS:
            self._freed_claims.popitem(last=False)
        open_claims = tuple(
            other for other in self.claims_of(key) if other.record != claim
        )
        if open_claims:
            self._claims[key] = open_claims
        else:
            self._claims.pop(key, None)

    def claims_of(self, key: str) -> tuple[records.KeyClaimed, ...]:
        """Returns the claims of a key that were not freed.

        Args:
            key: The key.

        Returns:
            The claims, of which at most one was ever granted.
        """
        return self._claims.get(key, ())

    def is_claim_freed(self, claim: ids.RecordId) -> bool:
        """Returns whether a claim was freed.

        Args:
            claim: The record id of the claim.
        """
        return claim in self._freed_claims


def _move_order(moved: records.JobMoved) -> tuple[int, bool]:
    return moved.number, moved.confirmed


def _intent_order(intent: records.AttemptIntended) -> tuple[int, int]:
    return intent.token, intent.number
