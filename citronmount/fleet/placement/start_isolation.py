"""Keeps the starts of suspect units apart from other starts.

A unit is suspect if a crash of a worker counts against it. If no other task
starts on its next worker until the unit has survived its start, a further crash
has one suspect only, and the other units do not share its blame.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from citronmount.core import ids
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory

__all__ = ["StartIsolation", "idle_workers"]

# On a busy pool every worker may always have a recent start.
MAX_ISOLATION_WAIT_MS = 3_000


class StartIsolation:
    """Workers whose recent starts keep others off, in one planning round."""

    def __init__(self, *, runs: Iterable[unit_runs.Run], now_ms: int) -> None:
        """Initializes the isolation of a round.

        Args:
            runs: All runs.
            now_ms: Monotonic time in milliseconds.
        """
        self._now_ms = now_ms
        self._starting_ids: set[ids.WorkerId] = set()
        self._suspect_ids: set[ids.WorkerId] = set()
        for run in runs:
            worker_ids = {
                member.place.worker
                for member in run.live_members
                if not member.survived_start
            }
            self._starting_ids |= worker_ids
            if run.is_suspect:
                self._suspect_ids |= worker_ids

    def allows(
        self, unit: waiting_units.WaitingUnit, worker: worker_directory.Worker
    ) -> bool:
        """Returns whether a unit may start on a worker now.

        A suspect unit that has waited `MAX_ISOLATION_WAIT_MS` accepts other
        recent starts beside it, but never those of another suspect unit.
        """
        if worker.worker in self._suspect_ids:
            return False
        if not unit.is_suspect or worker.worker not in self._starting_ids:
            return True
        return self._now_ms - unit.since_ms >= MAX_ISOLATION_WAIT_MS

    def note_placed(self, decision: waiting_units.Decision) -> None:
        """Takes into account what a decision starts."""
        worker_ids = {worker.worker for worker in decision.workers}
        self._starting_ids |= worker_ids
        if decision.waiting.is_suspect:
            self._suspect_ids |= worker_ids


def idle_workers(
    workers: Sequence[worker_directory.Worker],
    allocations: worker_allocations.WorkerAllocations,
) -> list[worker_directory.Worker]:
    """Returns the workers without tasks, on which a crash ends nothing else."""
    return [
        each
        for each in workers
        if allocations.used(each.worker) == worker_allocations.NO_DEMAND
    ]
