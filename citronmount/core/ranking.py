"""Ranks workers for a gang by the fragmentation it adds while it runs.

The fragmentation gradient of Weng et al. (USENIX ATC 2023) considers one point
in time. Here it is averaged over the expected run time of the gang, taking
into account the capacity that other jobs free when they end. Long jobs thus
gather on workers that stay fragmented for long, and short ones fill the gaps.
"""

from collections.abc import Callable

from citronmount.core import fragmentation
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import pool
from citronmount.core import resources

__all__ = ["FragmentationRanking", "Timeline"]

# Returns the times in ms at which jobs on a worker are expected to end and the
# resources that each frees, sorted by time.
Timeline = Callable[[ids.WorkerId], list[tuple[int, jobs.Resources]]]

_MIN_RUN_TIME_MS = 1_000


class FragmentationRanking:
    """Ranking of workers for one gang at one point in time."""

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
            mix: Typical gangs of the workload.
            timeline: Expected ends of the jobs on each worker.
            now_ms: Monotonic time.
            run_ms: Expected run time of the gang.
        """
        self._mix = mix
        self._timeline = timeline
        self._now_ms = now_ms
        self._run_ms = max(run_ms, _MIN_RUN_TIME_MS)

    def key(
        self,
        index: pool.CapacityIndex,
        worker: ids.WorkerId,
        per_task: jobs.Resources,
        tasks: int,
    ) -> tuple:
        """Returns the sort key of a worker; a `placement.WorkerKey`."""
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
        from_ms = self._now_ms
        total = 0.0
        for end_of_job_ms, freed in self._timeline(worker):
            if end_of_job_ms >= end_ms:
                break
            total += self._mix.fragmentation_change(available, used) * (
                end_of_job_ms - from_ms
            )
            from_ms = end_of_job_ms
            available = resources.plus(available, freed)
        total += self._mix.fragmentation_change(available, used) * (
            end_ms - from_ms
        )
        return total / self._run_ms
