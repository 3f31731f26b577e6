"""Finds workers for a gang: the smallest enclosure that holds all of it."""

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
    "Key",
    "Limit",
    "best_fit",
    "fewest_workers",
    "find",
    "first_fit",
]

Key = Callable[[pool.RoomIndex, ids.WorkerId, jobs.Resources, int], tuple]
Limit = Callable[[ids.WorkerId], jobs.Resources]

_CANDIDATES_PER_LEVEL = 16


def first_fit(
    index: pool.RoomIndex,
    worker: ids.WorkerId,
    per_task: jobs.Resources,
    tasks: int,
) -> tuple:
    """Ranks workers by name."""
    del index, per_task, tasks
    return (worker,)


def best_fit(
    index: pool.RoomIndex,
    worker: ids.WorkerId,
    per_task: jobs.Resources,
    tasks: int,
) -> tuple:
    """Ranks workers by the accelerators that would be left."""
    room = index.room(worker)
    left = room.accelerators - tasks * per_task.accelerators
    return (left, index.rack_total(index.rack(worker)), worker)


def fewest_workers(key: Key) -> Key:
    """Ranks workers by how much of the gang they hold, then by a key."""

    def narrow(
        index: pool.RoomIndex,
        worker: ids.WorkerId,
        per_task: jobs.Resources,
        tasks: int,
    ) -> tuple:
        return (-tasks, *key(index, worker, per_task, tasks))

    return narrow


def find(
    index: pool.RoomIndex,
    shape: shapes.Shape,
    *,
    key: Key,
    limit: Limit | None = None,
    avoid: Collection[ids.WorkerId] = (),
) -> tuple[jobs.TaskGroup, ...] | None:
    """Finds room for a gang.

    Args:
        index: The room of each worker.
        shape: The gang.
        key: Ranks workers; the smallest key comes first.
        limit: An upper bound on the room that may be used of each worker.
        avoid: Workers that must not be used.

    Returns:
        The groups, or None if the gang does not fit.
    """
    search = _Search(index, shape, key, limit, avoid)
    if shape.adjacency is states.Adjacency.RACK and shape.tasks > 1:
        return search.in_one_rack()
    if shape.adjacency is states.Adjacency.WORKER:
        return search.on_one_worker()
    return search.anywhere()


class _Search:
    """One search; it holds what all its steps need."""

    def __init__(
        self,
        index: pool.RoomIndex,
        shape: shapes.Shape,
        key: Key,
        limit: Limit | None,
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
        found = [
            worker
            for level in self._index.levels(need.accelerators, need.cores)
            for worker, _ in self._take(level, tasks, _CANDIDATES_PER_LEVEL)
        ]
        if not found:
            return None
        best = min(found, key=lambda worker: self._rank(worker, tasks))
        return (jobs.TaskGroup(worker=best, tasks=tasks),)

    def in_one_rack(self) -> tuple[jobs.TaskGroup, ...] | None:
        for rack in self._index.racks(self._shape.accelerators):
            groups = self._fill(self._take(self._index.members(rack), 1))
            if groups is not None:
                return groups
        return None

    def anywhere(self) -> tuple[jobs.TaskGroup, ...] | None:
        if self._index.total < self._shape.accelerators:
            return None
        need = self._shape.per_task
        wanted = max(self._shape.tasks, _CANDIDATES_PER_LEVEL)
        found = [
            pair
            for level in self._index.levels(need.accelerators, need.cores)
            for pair in self._take(level, 1, wanted)
        ]
        return self._fill(found)

    def _take(
        self,
        workers: Iterable[ids.WorkerId],
        at_least: int,
        wanted: int | None = None,
    ) -> list[tuple[ids.WorkerId, int]]:
        found = []
        for worker in workers:
            tasks = self._count(worker)
            if tasks >= at_least:
                found.append((worker, tasks))
            if len(found) == wanted:
                break
        return found

    def _count(self, worker: ids.WorkerId) -> int:
        if worker in self._avoid:
            return 0
        room = self._index.room(worker)
        if self._limit is not None:
            room = resources.minimum(room, self._limit(worker))
        return resources.task_capacity(room, self._shape.per_task)

    def _fill(
        self, found: list[tuple[ids.WorkerId, int]]
    ) -> tuple[jobs.TaskGroup, ...] | None:
        left = self._shape.tasks
        if sum(tasks for _, tasks in found) < left:
            return None
        ranked = sorted(
            found, key=lambda pair: self._rank(pair[0], min(pair[1], left))
        )
        groups = []
        for worker, tasks in ranked:
            used = min(tasks, left)
            groups.append(jobs.TaskGroup(worker=worker, tasks=used))
            left -= used
            if not left:
                break
        return tuple(groups)

    def _rank(self, worker: ids.WorkerId, tasks: int) -> tuple:
        return self._key(self._index, worker, self._shape.per_task, tasks)
