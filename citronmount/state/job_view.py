"""Folds the job stream of a failure domain into what must not be lost."""

import collections

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.services import messages
from citronmount.state import records

__all__ = ["JobView"]

MAX_ENDED_JOBS = 20_000
MAX_KEYS = 100_000


class JobView:
    """Accepted jobs, intents, results and key claims of a failure domain.

    Folding a record twice has no further effect. A final result wins over
    everything but an intent with a higher fencing token: its writer had been
    fenced off and never told it. So records may come from the log, from peers
    and from the process itself in any order. Every claim of a key is kept
    until its own result frees it.
    """

    def __init__(self, *, failure_domain: ids.FailureDomainId) -> None:
        """Initializes an empty book.

        Args:
            failure_domain: The failure domain of the stream.
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
        self._freed: collections.OrderedDict[ids.RecordId, None] = (
            collections.OrderedDict()
        )

    def fold_page(self, page: messages.LogPage) -> list[records.Record]:
        """Folds one page of the job stream.

        Args:
            page: The page, read from `next_offset` on.

        Returns:
            The records that were not folded before, in order.
        """
        found = []
        for entry in page.records:
            if entry.offset < self.next_offset:
                continue
            record = records.decode(entry.data)
            if isinstance(record, records.JobSnapshot):
                self.last_snapshot = entry.offset
            if record is not None:
                self.fold(record)
                found.append(record)
            self.next_offset = ids.Offset(entry.offset + 1)
        self.next_offset = max(self.next_offset, page.oldest)
        return found

    def fold(self, record: records.Record) -> None:
        """Folds one record.

        Args:
            record: Any record; those of other streams are ignored.
        """
        match record:
            case records.JobAccepted(spec=spec):
                self._accept(spec)
            case records.AttemptIntended():
                self._intend(record)
            case records.JobCancelled(job=job):
                self._cancel(job)
            case records.JobEnded():
                self._end(record)
            case records.JobMoved():
                self._move(record)
            case records.KeyClaimed():
                self._claim(record)
            case records.KeyResult():
                self._key_result(record)
            case records.JobSnapshot():
                self.merge_snapshot(record)

    def outgoing_move(self, job: ids.JobId) -> records.JobMoved | None:
        """Returns the move by which a job has left the failure domain.

        Args:
            job: The job.

        Returns:
            The last move, or None if the job never left or is back.
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
        """Folds a snapshot, which never outranks what is known.

        Args:
            snapshot: From the log or from a peer.
        """
        for ended in snapshot.ended:
            self._end(ended)
        for spec in snapshot.accepted:
            self._accept(spec)
        for intent in snapshot.intents:
            self._intend(intent)
        for job in snapshot.cancelled:
            self._cancel(job)
        for moved in snapshot.moved:
            self._move(moved)
        for result in snapshot.key_results:
            self._key_result(result)
        for claim in snapshot.claims:
            self._claim(claim)

    def snapshot(
        self, record: ids.RecordId, *, claims_since_ms: int = 0
    ) -> records.JobSnapshot:
        """Returns the whole book as a record.

        Args:
            record: The id of the new record.
            claims_since_ms: Older claims and their results are left out.

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

    def _accept(self, spec: jobs.JobSpec) -> None:
        moved = self.outgoing_move(spec.job)
        gone = moved is not None and moved.confirmed
        if spec.job not in self.ended and not gone:
            self.accepted.setdefault(spec.job, spec)

    def _intend(self, intent: records.AttemptIntended) -> None:
        ended = self.ended.get(intent.job)
        if ended is not None and ended.token >= intent.token:
            return
        if ended is not None:
            del self.ended[intent.job]
            self.accepted[intent.job] = intent.spec
        known = self.intents.get(intent.job)
        if known is None or _age(known) < _age(intent):
            self.intents[intent.job] = intent

    def _cancel(self, job: ids.JobId) -> None:
        if job not in self.ended:
            self.cancelled.add(job)

    def _move(self, moved: records.JobMoved) -> None:
        if moved.job in self.ended:
            return
        known = self.moved.get(moved.job)
        if known is not None and _rank(known) >= _rank(moved):
            return
        self.moved[moved.job] = moved
        if moved.confirmed and moved.to != self._failure_domain:
            self.accepted.pop(moved.job, None)
        while len(self.moved) > MAX_ENDED_JOBS:
            self.moved.popitem(last=False)

    def _end(self, ended: records.JobEnded) -> None:
        intent = self.intents.get(ended.job)
        if intent is not None and intent.token > ended.token:
            return
        self.accepted.pop(ended.job, None)
        self.intents.pop(ended.job, None)
        self.cancelled.discard(ended.job)
        self.moved.pop(ended.job, None)
        self.ended.setdefault(ended.job, ended)
        while len(self.ended) > MAX_ENDED_JOBS:
            self.ended.popitem(last=False)

    def _claim(self, claim: records.KeyClaimed) -> None:
        standing = self._claims.get(claim.key, ())
        known = any(held.record == claim.record for held in standing)
        if known or claim.record in self._freed:
            return
        self._claims[claim.key] = (*standing, claim)
        while len(self._claims) > MAX_KEYS:
            key, _ = self._claims.popitem(last=False)
            self.key_results.pop(key, None)

    def _key_result(self, result: records.KeyResult) -> None:
        if codes.info(result.result.code).proves_not_run:
            self.free_claim(result.key, result.claim)
            return
        self.key_results.setdefault(result.key, result)

    def free_claim(self, key: str, claim: ids.RecordId) -> None:
        """Gives a key back because its claim was never used.

        Args:
            key: The key.
            claim: The record id of the claim; another claim stays.
        """
        self._freed[claim] = None
        while len(self._freed) > MAX_KEYS:
            self._freed.popitem(last=False)
        standing = tuple(
            held for held in self.claims_of(key) if held.record != claim
        )
        if standing:
            self._claims[key] = standing
        else:
            self._claims.pop(key, None)

    def claims_of(self, key: str) -> tuple[records.KeyClaimed, ...]:
        """Returns the claims of a key that were not freed.

        Args:
            key: The key.

        Returns:
            At most one of them was ever granted.
        """
        return self._claims.get(key, ())

    def is_claim_freed(self, claim: ids.RecordId) -> bool:
        """Returns whether a claim was given back.

        Args:
            claim: The record id of the claim.
        """
        return claim in self._freed


def _rank(moved: records.JobMoved) -> tuple[int, bool]:
    return moved.number, moved.confirmed


def _age(intent: records.AttemptIntended) -> tuple[int, int]:
    return intent.token, intent.number
