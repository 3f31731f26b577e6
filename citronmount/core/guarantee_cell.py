"""One copy of a guarantee, and the part of it that a job uses."""

import msgspec

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import shapes

__all__ = ["Cell", "CellUse"]


class Cell:
    """One copy of a guarantee.

    Attributes:
        account: The paying account that owns the cell.
        shape: Shape of the guaranteed gang.
        slots: Number of the gang's tasks planned on each worker; empty while
            the cell is unplanned, because no capacity was found for it.
        unused: Resources of the slots on each worker that no job in the cell
            uses.
        jobs: The jobs that run in the cell.
    """

    __slots__ = ("account", "jobs", "shape", "slots", "unused")

    def __init__(self, *, account: ids.AccountId, shape: shapes.Shape) -> None:
        """Initializes an unplanned cell.

        Args:
            account: The paying account that owns the cell.
            shape: Shape of the guaranteed gang.
        """
        self.account = account
        self.shape = shape
        self.slots: dict[ids.WorkerId, int] = {}
        self.unused: dict[ids.WorkerId, jobs.Resources] = {}
        self.jobs: set[ids.JobId] = set()

    @property
    def occupied(self) -> bool:
        """Whether jobs run in the cell; an occupied cell cannot move."""
        return bool(self.jobs)

    @property
    def unused_accelerators(self) -> int:
        """Number of accelerators that no job in the cell uses."""
        return sum(unused.accelerators for unused in self.unused.values())


class CellUse(msgspec.Struct, frozen=True, kw_only=True):
    """The tasks of a job that run in one cell on one worker.

    Attributes:
        cell: The cell.
        worker: The worker.
        tasks: Number of tasks of the job.
        per_task: Resources of each task.
    """

    cell: Cell
    worker: ids.WorkerId
    tasks: int
    per_task: jobs.Resources
