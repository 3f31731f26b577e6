"""Finds workers for a gang within the scope that its adjacency requires.

The scope is one worker, one rack or the whole failure domain.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import pool
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import states

__all__ = [
    "CapacityLimit",
    "WorkerKey",
    "best_fit",
    "fewest_workers",
    "find",
    "first_fit",
]

# Sort key of a worker for running `tasks` tasks of a gang there, called as
# key(index, worker, per_task, tasks); the smallest key is the best worker.
WorkerKey = Callable[
    [pool.CapacityIndex, ids.WorkerId, jobs.Resources, int], tuple
]
# Returns the upper bound on the capacity that may be used of a worker.
CapacityLimit = Callable[[ids.WorkerId], jobs.Resources]

_CANDIDATES_PER_LEVEL = 16


def first_fit(
    index: pool.CapacityIndex,
    worker: ids.WorkerId,
    per_task: jobs.Resources,
    tasks: int,
) -> tuple:
    """Ranks workers by name."""
    del index, per_task, tasks
    return (worker,)


def best_fit(
    index: pool.CapacityIndex,
    worker: ids.WorkerId,
    per_task: jobs.Resources,
    tasks: int,
) -> tuple:
    """Ranks workers by the free accelerators that would remain."""
    available = index.available(worker)
    remaining = available.accelerators - tasks * per_task.accelerators
    return (remaining, index.rack_total(index.rack(worker)), worker)


def fewest_workers(key: WorkerKey) -> WorkerKey:
    """Returns a key that prefers workers holding more tasks of the gang.

    Args:
        key: Sort key of workers that hold the same number of tasks.
    """

    def key_by_tasks(
        index: pool.CapacityIndex,
        worker: ids.WorkerId,
        per_task: jobs.Resources,
        tasks: int,
    ) -> tuple:
        return (-tasks, *key(index, worker, per_task, tasks))

    return key_by_tasks


def find(
    index: pool.CapacityIndex,
    shape: shapes.Shape,
    *,
    key: WorkerKey,
    limit: CapacityLimit | None = None,
    avoid: Collection[ids.WorkerId] = (),
) -> tuple[jobs.TaskGroup, ...] | None:
    """Finds workers with capacity for a gang.

    Args:
        index: Available capacity of each worker.
        shape: Shape of the gang.
        key: Sort key of workers; the smallest comes first.
        limit: Upper bound on the capacity that may be used of each worker.
        avoid: Workers that must not be used.

    Returns:
        The tasks on each worker, or None if the gang does not fit.
    """
    search = _Search(index, shape, key, limit, avoid)
    if shape.adjacency is states.Adjacency.RACK and shape.tasks > 1:
        return search.in_one_rack()
    if shape.adjacency is states.Adjacency.WORKER:
        return search.on_one_worker()
    return search.anywhere()


class _Search:
    """One search for workers."""

    def __init__(
        self,
        index: pool.CapacityIndex,
        shape: shapes.Shape,
        key: WorkerKey,
        limit: CapacityLimit | None,
        avoid: Collection[ids.WorkerId],
    ) -> None:
        self._index = index
        self._shape = shape
        self._key = key
        self._limit = limit
        self._avoid = avoid

    def on_one_worker(self) -> tuple[jobs.TaskGroup, ...] | None:
        tasks = self._shape.tasks
        need = self._shape.total
        candidates = [
            worker
            for level in self._index.levels(need.accelerators, need.cores)
            for worker, _ in self._candidates(
                level, tasks, _CANDIDATES_PER_LEVEL
            )
        ]
        if not candidates:
            return None
        best = min(candidates, key=lambda worker: self._rank(worker, tasks))
        return (jobs.TaskGroup(worker=best, tasks=tasks),)

    def in_one_rack(self) -> tuple[jobs.TaskGroup, ...] | None:
        for rack in self._index.racks_with(self._shape.accelerators):
            groups = self._fill_workers(
                self._candidates(self._index.workers_of_rack(rack), 1)
            )
            if groups is not None:
                return groups
        return None

    def anywhere(self) -> tuple[jobs.TaskGroup, ...] | None:
        if self._index.total < self._shape.accelerators:
            return None
        need = self._shape.per_task
        max_candidates = max(self._shape.tasks, _CANDIDATES_PER_LEVEL)
        candidates = [
            candidate
            for level in self._index.levels(need.accelerators, need.cores)
            for candidate in self._candidates(level, 1, max_candidates)
        ]
        return self._fill_workers(candidates)

    def _candidates(
        self,
        workers: Iterable[ids.WorkerId],
        min_tasks: int,
        max_candidates: int | None = None,
    ) -> list[tuple[ids.WorkerId, int]]:
        candidates = []
        for worker in workers:
            tasks = self._tasks_on(worker)
            if tasks >= min_tasks:
                candidates.append((worker, tasks))
            if len(candidates) == max_candidates:
                break
        return candidates

    def _tasks_on(self, worker: ids.WorkerId) -> int:
        if worker in self._avoid:
            return 0
        available = self._index.available(worker)
        if self._limit is not None:
            available = resources.minimum(available, self._limit(worker))
        return resources.task_capacity(available, self._shape.per_task)

    def _fill_workers(
        self, candidates: list[tuple[ids.WorkerId, int]]
    ) -> tuple[jobs.TaskGroup, ...] | None:
        remaining = self._shape.tasks
        if sum(tasks for _, tasks in candidates) < remaining:
            return None
        ranked = sorted(
            candidates,
            key=lambda candidate: self._rank(
                candidate[0], min(candidate[1], remaining)
            ),
        )
        groups = []
        for worker, tasks in ranked:
            used = min(tasks, remaining)
            groups.append(jobs.TaskGroup(worker=worker, tasks=used))
            remaining -= used
            if not remaining:
                break
        return tuple(groups)

    def _rank(self, worker: ids.WorkerId, tasks: int) -> tuple:
        return self._key(self._index, worker, self._shape.per_task, tasks)
