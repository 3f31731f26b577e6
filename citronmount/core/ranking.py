"""Ranks workers for a gang by the fragmentation it adds while it runs.

The gradient of Weng et al. (USENIX ATC 2023) looks at one moment. Here it is
averaged over the expected run time of the gang, with the room of each worker
as it will be when the jobs that run there have ended: long jobs gather on
workers that stay broken up for long, short ones fill the gaps.
"""

from collections.abc import Callable

from citronmount.core import fragmentation
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import pool
from citronmount.core import resources

__all__ = ["Ranking", "Timeline"]

Timeline = Callable[[ids.WorkerId], list[tuple[int, jobs.Resources]]]

_MIN_RUN_MS = 1_000


class Ranking:
    """The ranking of workers for one gang at one moment."""

    def __init__(
        self,
        *,
        mix: fragmentation.Mix,
        timeline: Timeline,
        now_ms: int,
        run_ms: int,
    ) -> None:
        """Initializes the ranking.

        Args:
            mix: Typical gangs.
            timeline: When room of a worker is expected to become free, and
                how much, by time.
            now_ms: Monotonic time.
            run_ms: How long the gang is expected to run.
        """
        self._mix = mix
        self._timeline = timeline
        self._now_ms = now_ms
        self._run_ms = max(run_ms, _MIN_RUN_MS)

    def key(
        self,
        index: pool.RoomIndex,
        worker: ids.WorkerId,
        per_task: jobs.Resources,
        tasks: int,
    ) -> tuple:
        """Ranks a worker, as `placement.Key`."""
        taken = resources.scaled(per_task, tasks)
        room = index.room(worker)
        gradient = self._mean(worker, room, taken)
        return (
            round(gradient, 3),
            room.accelerators - taken.accelerators,
            index.rack_total(index.rack(worker)),
            worker,
        )

    def _mean(
        self,
        worker: ids.WorkerId,
        room: jobs.Resources,
        taken: jobs.Resources,
    ) -> float:
        end_ms = self._now_ms + self._run_ms
        at_ms = self._now_ms
        total = 0.0
        for free_ms, freed in self._timeline(worker):
            if free_ms >= end_ms:
                break
            total += self._mix.on_worker(room, taken) * (free_ms - at_ms)
            at_ms = free_ms
            room = resources.plus(room, freed)
        total += self._mix.on_worker(room, taken) * (end_ms - at_ms)
        return total / self._run_ms
