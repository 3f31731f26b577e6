"""Quarantines workers that fail, as distinct from jobs that fail everywhere."""

import collections
import enum

from citronmount.core import ids

__all__ = ["Quarantine"]

QUARANTINE_AFTER_FAILED_JOBS = 3
QUARANTINE_MS = 60_000
QUARANTINE_MAX_MS = 3_600_000
_MAX_WORKERS_PER_ACCOUNT = 64


class _State(enum.Enum):
    BLOCKED = "closed"
    PROBING = "probing"


class _WorkerRecord:
    """Failures at a worker; its `state` is None unless it is quarantined."""

    __slots__ = (
        "failed_jobs",
        "probe_from_ms",
        "probe_job",
        "quarantine_ms",
        "state",
    )

    def __init__(self) -> None:
        self.failed_jobs: set[ids.JobId] = set()
        self.state: _State | None = None
        self.probe_from_ms = 0
        self.quarantine_ms = QUARANTINE_MS
        self.probe_job: ids.JobId | None = None


class Quarantine:
    """Quarantines workers at which several distinct jobs fail.

    Failures of an account whose jobs fail on most of their workers are not
    counted, because they say nothing about a worker. A quarantined worker gets
    no jobs for a period and then one job at a time as a probe (the half-open
    state of a circuit breaker). A success ends the quarantine; a failure
    starts the next period, which is twice as long.
    """

    def __init__(self) -> None:
        """Initializes an empty quarantine."""
        self._records: dict[ids.WorkerId, _WorkerRecord] = {}
        self._outcomes: dict[
            ids.AccountId, collections.OrderedDict[ids.WorkerId, bool]
        ] = {}

    def quarantined(self) -> tuple[ids.WorkerId, ...]:
        """Returns the quarantined workers, including those being probed."""
        return tuple(
            worker
            for worker, record in self._records.items()
            if record.state is not None
        )

    def accepts_jobs(self, worker: ids.WorkerId) -> bool:
        """Returns whether a job may be placed on the worker now."""
        record = self._records.get(worker)
        if record is None or record.state is None:
            return True
        return record.state is _State.PROBING and record.probe_job is None

    def record_placement(self, job: ids.JobId, worker: ids.WorkerId) -> bool:
        """Records that a job was placed; returns whether it is a probe."""
        record = self._records.get(worker)
        if record is None or record.state is not _State.PROBING:
            return False
        record.probe_job = job
        return True

    def record_success(
        self, job: ids.JobId, account: ids.AccountId, worker: ids.WorkerId
    ) -> bool:
        """Records that the tasks of a job succeeded at a worker.

        Args:
            job: Job.
            account: Client account of the job.
            worker: Worker.

        Returns:
            Whether the success ends the quarantine of the worker.
        """
        del job
        self._record_outcome(account, worker, True)
        record = self._records.get(worker)
        if record is None:
            return False
        if record.state is _State.BLOCKED:
            return False
        del self._records[worker]
        return record.state is not None

    def record_failure(
        self,
        job: ids.JobId,
        account: ids.AccountId,
        worker: ids.WorkerId,
        now_ms: int,
    ) -> bool:
        """Records that a job failed at a worker.

        Args:
            job: Job.
            account: Client account of the job.
            worker: Worker.
            now_ms: Monotonic time.

        Returns:
            Whether the failure starts a quarantine period of the worker.
        """
        self._record_outcome(account, worker, False)
        record = self._records.setdefault(worker, _WorkerRecord())
        if record.state is _State.PROBING:
            record.quarantine_ms = min(
                2 * record.quarantine_ms, QUARANTINE_MAX_MS
            )
            self._block(record, now_ms)
            return True
        if not self._fails_on_most_workers(account):
            record.failed_jobs.add(job)
        if (
            record.state is None
            and len(record.failed_jobs) >= QUARANTINE_AFTER_FAILED_JOBS
        ):
            self._block(record, now_ms)
            return True
        return False

    def discard_failures(self, job: ids.JobId) -> None:
        """Removes the failures of a job that fails on every worker."""
        for record in self._records.values():
            if record.state is None:
                record.failed_jobs.discard(job)

    def release_probes(self, job: ids.JobId) -> list[ids.WorkerId]:
        """Ends the probes by a job, whatever the outcome of the job.

        Args:
            job: Job that has ended.

        Returns:
            Workers for which the job was the probe.
        """
        workers = []
        for worker, record in self._records.items():
            if record.probe_job == job:
                record.probe_job = None
                workers.append(worker)
        return workers

    def start_due_probes(self, now_ms: int) -> list[ids.WorkerId]:
        """Lets workers whose quarantine period has passed take a probe.

        Args:
            now_ms: Monotonic time.

        Returns:
            Workers that accept one job as a probe from now on.
        """
        probing = []
        for worker, record in self._records.items():
            if (
                record.state is _State.BLOCKED
                and now_ms >= record.probe_from_ms
            ):
                record.state = _State.PROBING
                record.probe_job = None
                probing.append(worker)
        return probing

    def forget(self, worker: ids.WorkerId) -> None:
        """Removes the record of a worker that is no longer listed."""
        self._records.pop(worker, None)

    def _block(self, record: _WorkerRecord, now_ms: int) -> None:
        record.state = _State.BLOCKED
        record.probe_from_ms = now_ms + record.quarantine_ms
        record.probe_job = None

    def _record_outcome(
        self, account: ids.AccountId, worker: ids.WorkerId, succeeded: bool
    ) -> None:
        outcomes = self._outcomes.setdefault(account, collections.OrderedDict())
        outcomes[worker] = succeeded
        outcomes.move_to_end(worker)
        if len(outcomes) > _MAX_WORKERS_PER_ACCOUNT:
            outcomes.popitem(last=False)

    def _fails_on_most_workers(self, account: ids.AccountId) -> bool:
        outcomes = self._outcomes[account]
        failed_count = sum(not succeeded for succeeded in outcomes.values())
        return failed_count > max(1, len(outcomes) // 2)
