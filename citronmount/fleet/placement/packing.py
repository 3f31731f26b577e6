"""Packs single tasks of the lowest priority on few workers.

Best fit alone puts a single task on whatever worker is fullest, also beside
gangs. When a gang ends, the single tasks remain on many workers, and none is
free as a whole for the next gang. So single tasks of the lowest priority go to
workers that already hold such tasks, as long as these have room.
"""

from collections.abc import Iterable

from citronmount.core import ids
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_table
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

__all__ = ["LowestPriorityPacking"]


class LowestPriorityPacking:
    """Workers that hold single tasks of the lowest priority, in one round.

    Attributes:
        other_workers: Workers without such tasks, to be used last for them.
    """

    def __init__(
        self,
        *,
        workers: Iterable[worker_directory.Worker],
        runs: run_table.RunTable,
    ) -> None:
        """Finds the workers.

        Args:
            workers: The workers that may receive tasks.
            runs: All runs.
        """
        self._lowest = max(
            (run.submission.terms.priority for run in runs),
            default=guarantees.HIGHEST_PRIORITY,
        )
        holding = {
            member.place.worker
            for run in runs
            if self._is_lowest_single(run.submission.terms.priority, run.step)
            for member in run.live_members
        }
        self.other_workers: frozenset[ids.WorkerId] = frozenset(
            each.worker for each in workers if each.worker not in holding
        )

    def applies_to(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit is packed."""
        priority = unit.submission.terms.priority
        return self._is_lowest_single(priority, unit.step)

    def _is_lowest_single(self, priority: int, step: spec.Step) -> bool:
        if (step.gang and step.tasks > 1) or step.lasting:
            return False
        return priority >= max(self._lowest, guarantees.HIGHEST_PRIORITY + 1)
