"""Indexes the free capacity of a failure domain's workers."""

import bisect
import collections
from collections.abc import Iterator
import itertools

from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import resources
from citronmount.core import states

__all__ = ["CapacityIndex", "Pool"]


class CapacityIndex:
    """Available capacity of workers, indexed by level and by rack.

    The level of a worker is its number of available accelerators; within a
    level workers are sorted by available cores. Updates and searches use
    bisection; a search starts at the smallest level, or at the rack with the
    fewest available accelerators, that is large enough.

    Attributes:
        total: Available accelerators of all workers.
    """

    def __init__(self) -> None:
        """Initializes an empty index."""
        self._available: dict[ids.WorkerId, jobs.Resources] = {}
        self._rack: dict[ids.WorkerId, ids.RackId] = {}
        self._workers_by_rack: dict[ids.RackId, dict[ids.WorkerId, None]] = {}
        self._levels: dict[int, list[tuple[int, ids.WorkerId]]] = {}
        self._rack_totals: dict[ids.RackId, int] = {}
        self._racks: list[tuple[int, ids.RackId]] = []
        self.total = 0

    def __contains__(self, worker: ids.WorkerId) -> bool:
        """Returns whether the worker is in the index."""
        return worker in self._available

    def __iter__(self) -> Iterator[ids.WorkerId]:
        """Iterates over the workers of the index."""
        return iter(self._available)

    def available(self, worker: ids.WorkerId) -> jobs.Resources:
        """Returns a worker's available capacity, zero if it is not indexed."""
        return self._available.get(worker, resources.ZERO)

    def rack(self, worker: ids.WorkerId) -> ids.RackId | None:
        """Returns the rack of a worker, None if it is not in the index."""
        return self._rack.get(worker)

    def rack_total(self, rack: ids.RackId) -> int:
        """Returns the number of available accelerators in a rack."""
        return self._rack_totals.get(rack, 0)

    def workers_of_rack(self, rack: ids.RackId) -> list[ids.WorkerId]:
        """Returns the indexed workers of a rack."""
        return list(self._workers_by_rack.get(rack, ()))

    def put(
        self,
        worker: ids.WorkerId,
        rack: ids.RackId,
        available: jobs.Resources,
    ) -> None:
        """Adds a worker or replaces its rack and available capacity."""
        self.drop(worker)
        self._rack[worker] = rack
        self._workers_by_rack.setdefault(rack, {})[worker] = None
        self._insert(worker, available)

    def drop(self, worker: ids.WorkerId) -> None:
        """Removes a worker, if it is in the index."""
        if worker not in self._available:
            return
        self._remove(worker)
        rack = self._rack.pop(worker)
        del self._workers_by_rack[rack][worker]

    def set_available(
        self, worker: ids.WorkerId, available: jobs.Resources
    ) -> None:
        """Sets a worker's available capacity, if it is in the index."""
        if worker in self._available and self._available[worker] != available:
            self._remove(worker)
            self._insert(worker, available)

    def levels(
        self, accelerators: int, cores: int = 0
    ) -> Iterator[list[ids.WorkerId]]:
        """Iterates over levels, from the smallest that is large enough.

        Args:
            accelerators: Minimum number of available accelerators.
            cores: Minimum number of available cores.

        Yields:
            The workers of one level, in ascending order of available cores.
        """
        for level in sorted(n for n in self._levels if n >= accelerators):
            workers = self._levels[level]
            start = bisect.bisect_left(workers, (cores, "")) if cores else 0
            yield [worker for _, worker in workers[start:]]

    def emptiest_workers(self, limit: int) -> list[ids.WorkerId]:
        """Returns the workers with the most available accelerators."""
        descending = (
            reversed(self._levels[n])
            for n in sorted(self._levels, reverse=True)
        )
        workers = itertools.chain.from_iterable(descending)
        return [worker for _, worker in itertools.islice(workers, limit)]

    def emptiest_racks(self, limit: int) -> list[ids.RackId]:
        """Returns the racks with the most available accelerators."""
        return [rack for _, rack in self._racks[-limit:]][::-1]

    def racks_with(self, accelerators: int) -> list[ids.RackId]:
        """Returns the racks with at least that many available accelerators.

        They are in ascending order of available accelerators.
        """
        start = bisect.bisect_left(self._racks, (accelerators, ""))
        return [rack for _, rack in self._racks[start:]]

    def _insert(self, worker: ids.WorkerId, available: jobs.Resources) -> None:
        level = max(available.accelerators, 0)
        self._available[worker] = available
        bisect.insort(
            self._levels.setdefault(level, []), (available.cores, worker)
        )
        self._adjust_rack_total(self._rack[worker], level)

    def _remove(self, worker: ids.WorkerId) -> None:
        available = self._available.pop(worker)
        level = max(available.accelerators, 0)
        position = bisect.bisect_left(
            self._levels[level], (available.cores, worker)
        )
        del self._levels[level][position]
        if not self._levels[level]:
            del self._levels[level]
        self._adjust_rack_total(self._rack[worker], -level)

    def _adjust_rack_total(self, rack: ids.RackId, change: int) -> None:
        before = self._rack_totals.get(rack)
        if before is not None:
            position = bisect.bisect_left(self._racks, (before, rack))
            del self._racks[position]
        after = (before or 0) + change
        self._rack_totals[rack] = after
        bisect.insort(self._racks, (after, rack))
        self.total += change


class Pool:
    """The workers of a failure domain and their allocations to jobs.

    Attributes:
        free: Free capacity of the usable workers.
        free_or_preemptible: Free capacity of the usable workers plus that of
            jobs which paying work outside guarantees may preempt.
    """

    def __init__(self) -> None:
        """Initializes an empty pool."""
        self.free = CapacityIndex()
        self.free_or_preemptible = CapacityIndex()
        self._preemptible: dict[ids.WorkerId, jobs.Resources] = {}
        self._listed: dict[ids.WorkerId, messages.ListedTarget] = {}
        self._states: dict[ids.WorkerId, states.TargetState] = {}
        self._closed: set[ids.WorkerId] = set()
        self._used: dict[ids.WorkerId, jobs.Resources] = {}
        self._jobs: dict[ids.WorkerId, dict[ids.JobId, int]] = (
            collections.defaultdict(dict)
        )

    def workers(self) -> tuple[ids.WorkerId, ...]:
        """Returns the listed workers."""
        return tuple(self._listed)

    def capacity(self, worker: ids.WorkerId) -> jobs.Resources:
        """Returns the capacity of a worker, zero if it is not listed."""
        listed = self._listed.get(worker)
        return listed.capacity if listed else resources.ZERO

    def rack(self, worker: ids.WorkerId) -> ids.RackId:
        """Returns the rack of a worker, empty if it is not listed."""
        listed = self._listed.get(worker)
        return listed.rack if listed else ids.RackId("")

    def usable(self, worker: ids.WorkerId) -> bool:
        """Returns whether the worker may get new tasks."""
        return (
            worker in self._listed
            and worker not in self._closed
            and self._states[worker] is states.TargetState.UP
        )

    def jobs_on(self, worker: ids.WorkerId) -> dict[ids.JobId, int]:
        """Returns the number of tasks of each job allocated on a worker."""
        return self._jobs.get(worker, {})

    def update_workers(
        self, listed: tuple[messages.ListedTarget, ...]
    ) -> list[ids.WorkerId]:
        """Replaces the list of workers.

        Args:
            listed: The workers as listed by the platform.

        Returns:
            The workers that were added, removed or changed.
        """
        new_list = {ids.WorkerId(target.name): target for target in listed}
        changed = [
            worker
            for worker in {**self._listed, **new_list}
            if self._listed.get(worker) != new_list.get(worker)
        ]
        for worker in changed:
            target = new_list.get(worker)
            if target is None:
                del self._listed[worker]
                continue
            self._listed[worker] = target
            self._states[worker] = target.state
        for worker in changed:
            self._reindex(worker)
        return changed

    def set_state(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> bool:
        """Sets the state of a worker and returns whether it changed."""
        if self._states.get(worker) is state:
            return False
        self._states[worker] = state
        self._reindex(worker)
        return True

    def set_closed(self, worker: ids.WorkerId, closed: bool) -> None:
        """Sets whether a worker is closed to new tasks whatever its state."""
        if closed:
            self._closed.add(worker)
        else:
            self._closed.discard(worker)
        self._reindex(worker)

    def allocate(
        self,
        job: ids.JobId,
        per_task: jobs.Resources,
        groups: tuple[jobs.TaskGroup, ...],
    ) -> None:
        """Allocates resources to a job.

        The free capacity may become negative: a running attempt that is taken
        over keeps its resources.
        """
        for group in groups:
            self._jobs[group.worker][job] = group.tasks
            self._add_usage(
                group.worker, resources.scaled(per_task, group.tasks)
            )

    def deallocate(
        self,
        job: ids.JobId,
        per_task: jobs.Resources,
        groups: tuple[jobs.TaskGroup, ...],
    ) -> None:
        """Frees the resources that `allocate` gave to a job."""
        for group in groups:
            self._jobs[group.worker].pop(job, None)
            self._add_usage(
                group.worker, resources.scaled(per_task, -group.tasks)
            )

    def add_preemptible(
        self, per_task: jobs.Resources, groups: tuple[jobs.TaskGroup, ...]
    ) -> None:
        """Adds allocated resources to the preemptible ones.

        Args:
            per_task: Resources of each task; negative ones are subtracted.
            groups: The tasks on each worker.
        """
        for group in groups:
            preemptible = self._preemptible.get(group.worker, resources.ZERO)
            amount = resources.scaled(per_task, group.tasks)
            self._preemptible[group.worker] = resources.plus(
                preemptible, amount
            )
            if self._preemptible[group.worker] == resources.ZERO:
                del self._preemptible[group.worker]
            self._update_available(group.worker)

    def _add_usage(self, worker: ids.WorkerId, amount: jobs.Resources) -> None:
        used = self._used.get(worker, resources.ZERO)
        self._used[worker] = resources.plus(used, amount)
        if not self._jobs[worker]:
            del self._jobs[worker]
            del self._used[worker]
        self._update_available(worker)

    def _update_available(self, worker: ids.WorkerId) -> None:
        free = self._free_capacity(worker)
        preemptible = self._preemptible.get(worker, resources.ZERO)
        self.free.set_available(worker, free)
        self.free_or_preemptible.set_available(
            worker, resources.plus(free, preemptible)
        )

    def _free_capacity(self, worker: ids.WorkerId) -> jobs.Resources:
        used = self._used.get(worker, resources.ZERO)
        return resources.minus(self.capacity(worker), used)

    def _reindex(self, worker: ids.WorkerId) -> None:
        if self.usable(worker):
            rack = self.rack(worker)
            self.free.put(worker, rack, self._free_capacity(worker))
            self.free_or_preemptible.put(
                worker, rack, self._free_capacity(worker)
            )
            self._update_available(worker)
        else:
            self.free.drop(worker)
            self.free_or_preemptible.drop(worker)
