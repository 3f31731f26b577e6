"""Keeps an unexpected error that one job causes from all other jobs.

What a job consists of is in the log, so a new owner would fail at it as well:
an owner that stepped down for it would be followed by one that does the same.
"""

import collections

import structlog

from citronmount.core import ids

__all__ = ["JobFaults"]

FIRST_HOLD_MS = 500
# From 0.5 s to 8 s.
MAX_DOUBLINGS = 4


class JobFaults:
    """Jobs at which the owner failed, which it leaves alone for a time."""

    def __init__(self) -> None:
        """Initializes without faults."""
        self._counts: collections.Counter[ids.JobId] = collections.Counter()
        self._hold_end_ms: dict[ids.JobId, int] = {}
        self._unrestored: set[ids.JobId] = set()
        self._logger = structlog.get_logger()

    def note(self, job: ids.JobId, now_ms: int) -> None:
        """Notes the error that is being handled, and holds the job.

        The time for which no unit of the job starts doubles with each error.
        The errors 1, 2, 4, 8 and so on of a job are logged.

        Args:
            job: The job that caused the error.
            now_ms: Monotonic time in milliseconds.
        """
        doublings = min(self._counts[job], MAX_DOUBLINGS)
        self._counts[job] += 1
        self._hold_end_ms[job] = now_ms + FIRST_HOLD_MS * 2**doublings
        if self._counts[job].bit_count() == 1:
            self._logger.exception(
                "job_fault", job=job, faults=self._counts[job]
            )

    def note_unrestored(self, job: ids.JobId, now_ms: int) -> None:
        """Notes an error in the restoration of a job's runs.

        The owner does not know all of these runs, so it starts none of the
        job's units.

        Args:
            job: The job.
            now_ms: Monotonic time in milliseconds.
        """
        self._unrestored.add(job)
        self.note(job, now_ms)

    def is_held(self, job: ids.JobId, now_ms: int) -> bool:
        """Returns whether no unit of a job may be started now."""
        if job in self._unrestored:
            return True
        return now_ms < self._hold_end_ms.get(job, 0)

    def forget_job(self, job: ids.JobId) -> None:
        """Drops the state of a job that has ended."""
        self._counts.pop(job, None)
        self._hold_end_ms.pop(job, None)
        self._unrestored.discard(job)
