"""Job view of a pool's owner and job services, folded from the job topic."""

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
    """A job without a final state.

    Attributes:
        submission: The job and the queue terms that apply to it.
        cancelled: Whether a caller cancelled the job.
        progress: State of the job's units.
    """

    def __init__(self, *, submission: spec.Submission) -> None:
        """Initializes a job that has not started.

        Args:
            submission: The job and the queue terms that apply to it.
        """
        self.submission = submission
        self.cancelled = False
        self.progress = progress.JobProgress(workflow=submission.workflow)

    @property
    def state(self) -> states.JobState:
        """The state reported to callers."""
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
    """State of the jobs; folding the records of the job topic is idempotent.

    Records may arrive in any mix from the tail of the topic, from the compacted
    topic (the newest record of each key) and from appends of this VM that the
    log acknowledged. The view stores the offset of the last record folded for
    each key and ignores records of that key with the same or a lower offset.

    Attributes:
        jobs: Jobs without a final state.
        finished: Final states that callers can still query.
        ownership: Record of the latest pool takeover, or None.
        speeds: Relative speeds of machines as last recorded by an owner, as
            logarithms.
        run_times: Run times as last recorded by an owner, or None.
        leftover_keys: Keys of finished jobs that are still in the topic: their
            removal has not been folded yet, or an append took effect late, as
            after a lost answer. Once the final state is forgotten as well, a
            leftover submission would be a new job.
    """

    def __init__(self) -> None:
        """Initializes a view without jobs."""
        self.jobs: dict[ids.JobId, JobEntry] = {}
        self.finished: dict[ids.JobId, records.Finished] = {}
        self.ownership: records.OwnershipTaken | None = None
        self.speeds: dict[str, float] = {}
        self.run_times: records.RunTimesLearned | None = None
        self.leftover_keys: set[str] = set()
        self._offsets: dict[str, int] = {}
        self._deferred: dict[ids.JobId, list[tuple[int, records.Record]]] = {}

    def apply(self, offset: int, record: records.Record) -> bool:
        """Folds one record.

        Args:
            offset: Log offset of the record.
            record: The record.

        Returns:
            Whether the record changed a job or the ownership of the pool.
        """
        key = records.key_of(record)
        if offset <= self._offsets.get(key, -1):
            return False
        self._offsets[key] = offset
        match record:
            case records.Submitted():
                return self._apply_submission(record.submission)
            case records.Finished():
                return self._apply_final_state(record)
            case records.OwnershipTaken():
                self.ownership = record
                return True
            case records.SpeedsLearned():
                self.speeds = record.logs
                return False
            case records.RunTimesLearned():
                self.run_times = record
                return False
            case records.Cancelled():
                return self._apply_change(record.job, offset, record)
            case records.UnitChanged():
                return self._apply_unit_change(offset, record)

    def apply_removal(self, offset: int, key: str) -> None:
        """Folds a tombstone, the record that removes a key.

        Only final states and leftover keys are dropped: a job's other keys are
        removed after its final state was recorded, so the job is not listed any
        more.

        Args:
            offset: Log offset of the tombstone.
            key: The removed key.
        """
        if offset <= self._offsets.get(key, -1):
            return
        self._offsets.pop(key, None)
        self.leftover_keys.discard(key)
        self.finished.pop(records.job_of_final_key(key), None)

    def state_of(self, job: ids.JobId) -> states.JobState | None:
        """Returns the state of a job, or None for an unknown job."""
        final = self.finished.get(job)
        if final is not None:
            return _FINAL_STATES[final.state]
        entry = self.jobs.get(job)
        return entry.state if entry else None

    def queue_of(self, job: ids.JobId) -> spec.QueueName | None:
        """Returns the queue of a job, or None for an unknown job."""
        final = self.finished.get(job)
        if final is not None:
            return final.queue
        entry = self.jobs.get(job)
        return entry.submission.terms.queue if entry else None

    def count_queued(self, queue: spec.QueueName) -> int:
        """Returns the number of jobs of a queue that have not started."""
        return sum(
            entry.submission.terms.queue == queue
            and entry.state is states.JobState.QUEUED
            for entry in self.jobs.values()
        )

    def keys_of(self, job: ids.JobId) -> list[str]:
        """Returns the topic keys of an unfinished job, empty for other jobs."""
        entry = self.jobs.get(job)
        if entry is None:
            return []
        cancel = [records.cancel_key(job)] if entry.cancelled else []
        changed = map(records.unit_key, entry.progress.unit_records)
        return list(itertools.chain([records.job_key(job)], cancel, changed))

    def expired_jobs(self, before_ms: int) -> list[ids.JobId]:
        """Returns the jobs that finished before `before_ms` (Unix time)."""
        return [
            job
            for job, final in self.finished.items()
            if final.finished_ms < before_ms
        ]

    def _apply_submission(self, submission: spec.Submission) -> bool:
        job = submission.workflow.job
        if job in self.finished:
            self.leftover_keys.add(records.job_key(job))
            return False
        if job in self.jobs:
            return False
        self.jobs[job] = JobEntry(submission=submission)
        self._apply_deferred(self._deferred.pop(job, ()))
        return True

    def _apply_deferred(
        self, deferred: Iterable[tuple[int, records.Record]]
    ) -> None:
        for offset, record in deferred:
            # The offset was stored when the record was deferred; `apply` would
            # ignore the record.
            self._offsets.pop(records.key_of(record), None)
            self.apply(offset, record)

    def _apply_final_state(self, record: records.Finished) -> bool:
        deferred = self._deferred.pop(record.job, ())
        keys = [*self.keys_of(record.job)]
        keys += (records.key_of(each) for _, each in deferred)
        for key in keys:
            self._offsets.pop(key, None)
        self.leftover_keys.update(keys)
        self.jobs.pop(record.job, None)
        self.finished[record.job] = record
        return True

    def _apply_unit_change(
        self, offset: int, record: records.UnitChanged
    ) -> bool:
        """Folds the record of a unit; ignores one that the job cannot have."""
        key = units.UnitKey.parse(record.unit)
        entry = self.jobs.get(key.job)
        if entry and not _is_possible(record, key, entry.submission.workflow):
            return False
        return self._apply_change(key.job, offset, record)

    def _apply_change(
        self,
        job: ids.JobId,
        offset: int,
        record: records.Cancelled | records.UnitChanged,
    ) -> bool:
        entry = self.jobs.get(job)
        if entry is None:
            self._defer(job, offset, record)
            return False
        if isinstance(record, records.Cancelled):
            entry.cancelled = True
        else:
            entry.progress.apply(record)
        return True

    def _defer(
        self, job: ids.JobId, offset: int, record: records.Record
    ) -> None:
        """Stores a record until the submission of its job has been folded.

        The compacted topic is read in the order of keys, and a repeated
        submission has a higher offset than the unit records of its job, so
        either can arrive before the submission.
        """
        if job in self.finished:
            self.leftover_keys.add(records.key_of(record))
        else:
            self._deferred.setdefault(job, []).append((offset, record))


def _is_possible(
    record: records.UnitChanged, key: units.UnitKey, workflow: spec.Workflow
) -> bool:
    """Returns whether a job has a unit and the tasks that its record names."""
    if not key.exists_in(workflow):
        return False
    step = workflow.steps[key.step]
    tasks = step.tasks if step.gang else 1
    positions = record.task_positions
    return len(record.places) <= tasks and all(
        0 <= position < tasks for position in positions
    )
