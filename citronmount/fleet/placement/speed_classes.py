"""Groups workers into classes of like speed."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import statistics

from citronmount.core import ids
from citronmount.fleet.workers import speed_range
from citronmount.fleet.workers import worker_directory

__all__ = ["SpeedClasses"]

MAX_CLASS_LOG_WIDTH = 0.2


class SpeedClasses:
    """Classes of workers in ascending order of speed.

    A class begins at the slowest worker that belongs to none yet and holds all
    workers up to `MAX_CLASS_LOG_WIDTH` above it.

    Attributes:
        speeds: Median speed of each class.
    """

    def __init__(
        self,
        *,
        workers: Sequence[worker_directory.Worker],
        speed: Callable[[worker_directory.Worker], speed_range.SpeedRange],
    ) -> None:
        """Initializes the classes.

        Args:
            workers: The workers.
            speed: Returns the likely speeds of a worker.
        """
        log_speeds = sorted(
            (math.log(speed(each).cautious), each.worker) for each in workers
        )
        members: list[list[float]] = []
        self._class_of: dict[ids.WorkerId, int] = {}
        for log_speed, worker in log_speeds:
            if not members or log_speed - members[-1][0] > MAX_CLASS_LOG_WIDTH:
                members.append([])
            members[-1].append(log_speed)
            self._class_of[worker] = len(members) - 1
        self.speeds = [math.exp(statistics.median(each)) for each in members]

    def __len__(self) -> int:
        """Returns the number of classes."""
        return len(self.speeds)

    def class_of(self, worker: worker_directory.Worker) -> int:
        """Returns the index of a worker's class."""
        return self._class_of[worker.worker]

    def split(
        self, workers: Sequence[worker_directory.Worker]
    ) -> list[list[worker_directory.Worker]]:
        """Returns the workers by class, keeping their order."""
        by_class: list[list[worker_directory.Worker]] = [
            [] for _ in self.speeds
        ]
        for worker in workers:
            by_class[self._class_of[worker.worker]].append(worker)
        return by_class
