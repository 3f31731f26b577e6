"""Keeps the starts of suspect units apart from other starts.

A unit is suspect if a crash of a worker counts against it. If no other task
starts on its next worker until the unit has survived its start, a further crash
has one suspect only, and the other units do not share its blame.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools

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
        self._runs = list(runs)
        self._now_ms = now_ms
        self._placed_ids: set[ids.WorkerId] = set()
        self._suspect_ids = _starting_workers(
            run for run in self._runs if run.is_suspect
        )

    @functools.cached_property
    def _starting_ids(self) -> set[ids.WorkerId]:
        """Workers with a recent start of a run; only suspect units need it."""
        return _starting_workers(self._runs)

    def allows(
        self, unit: waiting_units.WaitingUnit, worker: worker_directory.Worker
    ) -> bool:
        """Returns whether a unit may start on a worker now.

        A suspect unit that has waited `MAX_ISOLATION_WAIT_MS` accepts other
        recent starts beside it, but never those of another suspect unit.
        """
        if worker.worker in self._suspect_ids:
            return False
        if not unit.is_suspect:
            return True
        if worker.worker not in self._starting_ids | self._placed_ids:
            return True
        return self._now_ms - unit.since_ms >= MAX_ISOLATION_WAIT_MS

    def note_placed(self, decision: waiting_units.Decision) -> None:
        """Takes into account what a decision starts."""
        worker_ids = {worker.worker for worker in decision.workers}
        self._placed_ids |= worker_ids
        if decision.waiting.is_suspect:
            self._suspect_ids |= worker_ids


def _starting_workers(runs: Iterable[unit_runs.Run]) -> set[ids.WorkerId]:
    """Returns the workers on which a start of the runs is recent."""
    return {
        member.place.worker
        for run in runs
        for member in run.live_members
        if not member.survived_start
    }


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
