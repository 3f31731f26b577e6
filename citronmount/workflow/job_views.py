"""The fold of the job topic: every job that callers may still ask about."""

from collections.abc import Iterable
import itertools

from citronmount.core import ids
from citronmount.core import states
from citronmount.workflow import progress
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["JobEntry", "JobView"]

_FINAL_STATES = {
    records.FinalState.COMPLETE: states.JobState.DONE,
    records.FinalState.FAILED: states.JobState.FAILED,
    records.FinalState.CANCELLED: states.JobState.CANCELLED,
}


class JobEntry:
    """A job that has not got its final state.

    Attributes:
        submission: The job and its terms.
        offset: The offset of its first submission.
        cancelled: Whether a caller cancelled it.
        progress: Its units.
    """

    def __init__(self, *, submission: spec.Submission, offset: int) -> None:
        """Initializes a job of which nothing has run.

        Args:
            submission: The job and its terms.
            offset: The offset of its first submission.
        """
        self.submission = submission
        self.offset = offset
        self.cancelled = False
        self.progress = progress.Progress(workflow=submission.workflow)

    @property
    def state(self) -> states.JobState:
        """The state that callers are told."""
        if self.progress.complete:
            return states.JobState.DONE
        if self.cancelled:
            return states.JobState.CANCELLED
        if self.progress.failed:
            return states.JobState.FAILED
        if self.progress.started:
            return states.JobState.RUNNING
        return states.JobState.QUEUED


class JobView:
    """Folds records by offset; folding one twice changes nothing.

    Records may come from the tail of the topic, from the newest record of
    each key and from this VM's own acknowledged appends, in any mix: a record
    that is not newer than what its key was folded at is passed over.

    Attributes:
        jobs: Jobs without a final state.
        finished: Final states that callers may still ask for.
        owned: Who took the pool over last, if anyone did.
        speeds: What owners have learned of the speeds of machines.
    """

    def __init__(self) -> None:
        """Initializes an empty book."""
        self.jobs: dict[ids.JobId, JobEntry] = {}
        self.finished: dict[ids.JobId, records.Finished] = {}
        self.ownership: records.OwnershipTaken | None = None
        self.speeds: dict[str, float] = {}
        self._offsets: dict[str, int] = {}
        self._early: dict[ids.JobId, list[tuple[int, records.Record]]] = {}

    def apply(self, offset: int, record: records.Record) -> bool:
        """Folds one record.

        Args:
            offset: Its offset.
            record: The record.

        Returns:
            Whether it changed anything.
        """
        key = records.key_of(record)
        if offset <= self._offsets.get(key, -1):
            return False
        self._offsets[key] = offset
        match record:
            case records.Submitted():
                return self._submit(offset, record.submission)
            case records.Finished():
                return self._finish(record)
            case records.OwnershipTaken():
                self.ownership = record
                return True
            case records.SpeedsLearned():
                self.speeds = record.logs
                return False
            case records.Cancelled():
                return self._change(record.job, offset, record)
            case records.UnitChanged():
                return self._change_unit(offset, record)

    def apply_removal(self, offset: int, key: str) -> None:
        """Folds a record that removes a key.

        Args:
            offset: The offset of the record.
            key: The key.
        """
        if offset <= self._offsets.get(key, -1):
            return
        self._offsets.pop(key, None)
        self.finished.pop(records.job_of_final_key(key), None)

    def state_of(self, job: ids.JobId) -> states.JobState | None:
        """Returns the state of a job, or None if it is not known."""
        final = self.finished.get(job)
        if final is not None:
            return _FINAL_STATES[final.state]
        entry = self.jobs.get(job)
        return entry.state if entry else None

    def queue_of(self, job: ids.JobId) -> spec.QueueName | None:
        """Returns the queue of a job, or None if it is not known."""
        final = self.finished.get(job)
        if final is not None:
            return final.queue
        entry = self.jobs.get(job)
        return entry.submission.terms.queue if entry else None

    def count_queued(self, queue: spec.QueueName) -> int:
        """Returns how many jobs of a queue have not begun."""
        return sum(
            entry.submission.terms.queue == queue
            and entry.state is states.JobState.QUEUED
            for entry in self.jobs.values()
        )

    def keys_of(self, job: ids.JobId) -> list[str]:
        """Returns the keys that a job without final state has in the topic."""
        entry = self.jobs.get(job)
        if entry is None:
            return []
        cancel = [records.cancel_key(job)] if entry.cancelled else []
        changed = map(records.unit_key, entry.progress.changed)
        return list(itertools.chain([records.job_key(job)], cancel, changed))

    def expired_jobs(self, before_ms: int) -> list[ids.JobId]:
        """Returns the jobs whose final state is older than a Unix time."""
        return [
            job
            for job, final in self.finished.items()
            if final.finished_ms < before_ms
        ]

    def _submit(self, offset: int, submission: spec.Submission) -> bool:
        job = submission.workflow.job
        if job in self.jobs or job in self.finished:
            return False
        self.jobs[job] = JobEntry(submission=submission, offset=offset)
        self._replay(self._early.pop(job, ()))
        return True

    def _replay(self, early: Iterable[tuple[int, records.Record]]) -> None:
        for offset, record in early:
            self._offsets.pop(records.key_of(record), None)
            self.apply(offset, record)

    def _finish(self, record: records.Finished) -> bool:
        for key in self.keys_of(record.job):
            self._offsets.pop(key, None)
        self.jobs.pop(record.job, None)
        self._early.pop(record.job, None)
        self.finished[record.job] = record
        return True

    def _change_unit(self, offset: int, record: records.UnitChanged) -> bool:
        """Folds the record of a unit, unless its job has no such step."""
        key = units.UnitKey.parse(record.unit)
        entry = self.jobs.get(key.job)
        if entry and key.step >= len(entry.submission.workflow.steps):
            return False
        return self._change(key.job, offset, record)

    def _change(
        self,
        job: ids.JobId,
        offset: int,
        record: records.Cancelled | records.UnitChanged,
    ) -> bool:
        entry = self.jobs.get(job)
        if entry is None:
            self._keep_early(job, offset, record)
            return False
        if isinstance(record, records.Cancelled):
            entry.cancelled = True
        else:
            entry.progress.apply(record)
        return True

    def _keep_early(
        self, job: ids.JobId, offset: int, record: records.Record
    ) -> None:
        """Keeps a record whose submission has yet to be read.

        The newest record of each key comes sorted by key, and a submission
        that was repeated has a higher offset than the units of its job.
        """
        if job not in self.finished:
            self._early.setdefault(job, []).append((offset, record))
