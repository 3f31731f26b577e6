"""Tells workers that fail everything from jobs that fail everywhere."""

import collections
import enum

from citronmount.core import ids

__all__ = ["Quarantine"]

QUARANTINE_JOBS = 3
QUARANTINE_MS = 60_000
QUARANTINE_MAX_MS = 3_600_000
_REMEMBERED_WORKERS = 64


class _Gate(enum.Enum):
    CLOSED = "closed"
    PROBING = "probing"


class _Record:
    """What is known of one worker that has failed jobs."""

    __slots__ = ("failed_jobs", "gate", "open_at_ms", "period_ms", "probe")

    def __init__(self) -> None:
        self.failed_jobs: set[ids.JobId] = set()
        self.gate: _Gate | None = None
        self.open_at_ms = 0
        self.period_ms = QUARANTINE_MS
        self.probe: ids.JobId | None = None


class Quarantine:
    """Quarantines workers at which distinct jobs fail.

    Failures of an account whose jobs fail on most workers that they reach say
    nothing of a worker. A quarantined worker is closed for a period, then
    gets one job at a time as a probe (circuit breaker, half open); a success
    opens it, a failure closes it for twice as long.
    """

    def __init__(self) -> None:
        """Initializes with every worker healthy."""
        self._records: dict[ids.WorkerId, _Record] = {}
        self._outcomes: dict[
            ids.AccountId, collections.OrderedDict[ids.WorkerId, bool]
        ] = {}

    def quarantined(self) -> tuple[ids.WorkerId, ...]:
        """Returns the workers in quarantine, those being probed included."""
        return tuple(
            worker
            for worker, record in self._records.items()
            if record.gate is not None
        )

    def accepts_jobs(self, worker: ids.WorkerId) -> bool:
        """Returns whether the worker may get a job now."""
        record = self._records.get(worker)
        if record is None or record.gate is None:
            return True
        return record.gate is _Gate.PROBING and record.probe is None

    def record_placement(self, job: ids.JobId, worker: ids.WorkerId) -> bool:
        """Notes that a job was placed; returns whether it is a probe."""
        record = self._records.get(worker)
        if record is None or record.gate is not _Gate.PROBING:
            return False
        record.probe = job
        return True

    def record_success(
        self, job: ids.JobId, account: ids.AccountId, worker: ids.WorkerId
    ) -> bool:
        """Notes that tasks of a job ran well at a worker.

        Args:
            job: The job.
            account: Its account.
            worker: The worker.

        Returns:
            Whether the worker has left quarantine by this.
        """
        del job
        self._note(account, worker, True)
        record = self._records.get(worker)
        if record is None:
            return False
        if record.gate is _Gate.CLOSED:
            return False
        del self._records[worker]
        return record.gate is not None

    def record_failure(
        self,
        job: ids.JobId,
        account: ids.AccountId,
        worker: ids.WorkerId,
        now_ms: int,
    ) -> bool:
        """Notes that a job failed at a worker.

        Args:
            job: The job.
            account: Its account.
            worker: The worker.
            now_ms: Monotonic time.

        Returns:
            Whether the worker is closed by this.
        """
        self._note(account, worker, False)
        record = self._records.setdefault(worker, _Record())
        if record.gate is _Gate.PROBING:
            record.period_ms = min(2 * record.period_ms, QUARANTINE_MAX_MS)
            self._close(record, now_ms)
            return True
        if not self._is_suspect(account):
            record.failed_jobs.add(job)
        if record.gate is None and len(record.failed_jobs) >= QUARANTINE_JOBS:
            self._close(record, now_ms)
            return True
        return False

    def discard_failures(self, job: ids.JobId) -> None:
        """Forgets the failures of a job that fails everywhere."""
        for record in self._records.values():
            if record.gate is None:
                record.failed_jobs.discard(job)

    def release_probes(self, job: ids.JobId) -> list[ids.WorkerId]:
        """Notes that a job ended without a verdict.

        Args:
            job: The job.

        Returns:
            Workers for which it was the probe.
        """
        freed = []
        for worker, record in self._records.items():
            if record.probe == job:
                record.probe = None
                freed.append(worker)
        return freed

    def start_due_probes(self, now_ms: int) -> list[ids.WorkerId]:
        """Opens workers whose quarantine is over for a probe.

        Args:
            now_ms: Monotonic time.

        Returns:
            The workers that may get one job now.
        """
        opened = []
        for worker, record in self._records.items():
            if record.gate is _Gate.CLOSED and now_ms >= record.open_at_ms:
                record.gate = _Gate.PROBING
                record.probe = None
                opened.append(worker)
        return opened

    def forget(self, worker: ids.WorkerId) -> None:
        """Drops what is known of a worker that left the list."""
        self._records.pop(worker, None)

    def _close(self, record: _Record, now_ms: int) -> None:
        record.gate = _Gate.CLOSED
        record.open_at_ms = now_ms + record.period_ms
        record.probe = None

    def _note(
        self, account: ids.AccountId, worker: ids.WorkerId, good: bool
    ) -> None:
        outcomes = self._outcomes.setdefault(account, collections.OrderedDict())
        outcomes[worker] = good
        outcomes.move_to_end(worker)
        if len(outcomes) > _REMEMBERED_WORKERS:
            outcomes.popitem(last=False)

    def _is_suspect(self, account: ids.AccountId) -> bool:
        outcomes = self._outcomes[account]
        failing = sum(not good for good in outcomes.values())
        return failing > max(1, len(outcomes) // 2)
