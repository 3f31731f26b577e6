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

__all__ = ["FragmentationRanking", "Timeline"]

Timeline = Callable[[ids.WorkerId], list[tuple[int, jobs.Resources]]]

_MIN_RUN_MS = 1_000


class FragmentationRanking:
    """The ranking of workers for one gang at one moment."""

    def __init__(
        self,
        *,
        mix: fragmentation.GangMix,
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
        index: pool.CapacityIndex,
        worker: ids.WorkerId,
        per_task: jobs.Resources,
        tasks: int,
    ) -> tuple:
        """Ranks a worker, as `placement.Key`."""
        used = resources.scaled(per_task, tasks)
        available = index.available(worker)
        gradient = self._mean_gradient(worker, available, used)
        return (
            round(gradient, 3),
            available.accelerators - used.accelerators,
            index.rack_total(index.rack(worker)),
            worker,
        )

    def _mean_gradient(
        self,
        worker: ids.WorkerId,
        available: jobs.Resources,
        used: jobs.Resources,
    ) -> float:
        end_ms = self._now_ms + self._run_ms
        at_ms = self._now_ms
        total = 0.0
        for free_ms, freed in self._timeline(worker):
            if free_ms >= end_ms:
                break
            total += self._mix.fragmentation_change(available, used) * (
                free_ms - at_ms
            )
            at_ms = free_ms
            available = resources.plus(available, freed)
        total += self._mix.fragmentation_change(available, used) * (
            end_ms - at_ms
        )
        return total / self._run_ms
