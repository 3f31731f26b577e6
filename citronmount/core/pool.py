"""Indexes of room on workers, and the pool of one failure domain."""

import bisect
import collections
from collections.abc import Iterator
import itertools

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import resources
from citronmount.core import states
from citronmount.services import messages

__all__ = ["Pool", "RoomIndex"]


class RoomIndex:
    """Room of workers, indexed by level and by rack.

    The level of a worker is its number of free accelerators; within a level
    workers are sorted by free cores. Updates and searches bisect; a search
    starts at the smallest level, or the smallest rack, that is large enough.
    """

    def __init__(self) -> None:
        """Initializes an empty index."""
        self._room: dict[ids.WorkerId, jobs.Resources] = {}
        self._rack: dict[ids.WorkerId, ids.RackId] = {}
        self._members: dict[ids.RackId, dict[ids.WorkerId, None]] = {}
        self._levels: dict[int, list[tuple[int, ids.WorkerId]]] = {}
        self._rack_totals: dict[ids.RackId, int] = {}
        self._racks: list[tuple[int, ids.RackId]] = []
        self.total = 0

    def __contains__(self, worker: ids.WorkerId) -> bool:
        """Returns whether the worker is in the index."""
        return worker in self._room

    def __iter__(self) -> Iterator[ids.WorkerId]:
        """Iterates over the workers of the index."""
        return iter(self._room)

    def room(self, worker: ids.WorkerId) -> jobs.Resources:
        """Returns the room of a worker, none if it is not in the index."""
        return self._room.get(worker, resources.ZERO)

    def rack(self, worker: ids.WorkerId) -> ids.RackId | None:
        """Returns the rack of a worker of the index."""
        return self._rack.get(worker)

    def rack_total(self, rack: ids.RackId) -> int:
        """Returns the free accelerators of a rack."""
        return self._rack_totals.get(rack, 0)

    def members(self, rack: ids.RackId) -> list[ids.WorkerId]:
        """Returns the workers of a rack that are in the index."""
        return list(self._members.get(rack, ()))

    def put(
        self,
        worker: ids.WorkerId,
        rack: ids.RackId,
        room: jobs.Resources,
    ) -> None:
        """Adds a worker or replaces its rack and room."""
        self.drop(worker)
        self._rack[worker] = rack
        self._members.setdefault(rack, {})[worker] = None
        self._insert(worker, room)

    def drop(self, worker: ids.WorkerId) -> None:
        """Removes a worker, if it is in the index."""
        if worker not in self._room:
            return
        self._remove(worker)
        rack = self._rack.pop(worker)
        del self._members[rack][worker]

    def set_room(self, worker: ids.WorkerId, room: jobs.Resources) -> None:
        """Changes the room of a worker, if it is in the index."""
        if worker in self._room and self._room[worker] != room:
            self._remove(worker)
            self._insert(worker, room)

    def levels(
        self, accelerators: int, cores: int = 0
    ) -> Iterator[list[ids.WorkerId]]:
        """Iterates over levels from the smallest that is large enough.

        Args:
            accelerators: The lowest level wanted.
            cores: The fewest free cores wanted.

        Yields:
            The workers of one level, those with fewest free cores first.
        """
        for level in sorted(n for n in self._levels if n >= accelerators):
            workers = self._levels[level]
            start = bisect.bisect_left(workers, (cores, "")) if cores else 0
            yield [worker for _, worker in workers[start:]]

    def emptiest_workers(self, limit: int) -> list[ids.WorkerId]:
        """Returns the workers with most free accelerators."""
        falling = (
            reversed(self._levels[n])
            for n in sorted(self._levels, reverse=True)
        )
        workers = itertools.chain.from_iterable(falling)
        return [worker for _, worker in itertools.islice(workers, limit)]

    def emptiest_racks(self, limit: int) -> list[ids.RackId]:
        """Returns the racks with most free accelerators."""
        return [rack for _, rack in self._racks[-limit:]][::-1]

    def racks(self, accelerators: int) -> list[ids.RackId]:
        """Returns racks with so many free accelerators, smallest first."""
        start = bisect.bisect_left(self._racks, (accelerators, ""))
        return [rack for _, rack in self._racks[start:]]

    def _insert(self, worker: ids.WorkerId, room: jobs.Resources) -> None:
        level = max(room.accelerators, 0)
        self._room[worker] = room
        bisect.insort(self._levels.setdefault(level, []), (room.cores, worker))
        self._shift(self._rack[worker], level)

    def _remove(self, worker: ids.WorkerId) -> None:
        room = self._room.pop(worker)
        level = max(room.accelerators, 0)
        at = bisect.bisect_left(self._levels[level], (room.cores, worker))
        del self._levels[level][at]
        if not self._levels[level]:
            del self._levels[level]
        self._shift(self._rack[worker], -level)

    def _shift(self, rack: ids.RackId, change: int) -> None:
        before = self._rack_totals.get(rack)
        if before is not None:
            at = bisect.bisect_left(self._racks, (before, rack))
            del self._racks[at]
        after = (before or 0) + change
        self._rack_totals[rack] = after
        bisect.insort(self._racks, (after, rack))
        self.total += change


class Pool:
    """Workers of a failure domain and who uses them.

    Attributes:
        free: Free room of the usable workers.
        lendable: The same with the room of loans that may be called in.
    """

    def __init__(self) -> None:
        """Initializes an empty pool."""
        self.free = RoomIndex()
        self.lendable = RoomIndex()
        self._lent: dict[ids.WorkerId, jobs.Resources] = {}
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
        """Returns the capacity of a worker, none if it is not listed."""
        listed = self._listed.get(worker)
        return listed.capacity if listed else resources.ZERO

    def rack(self, worker: ids.WorkerId) -> ids.RackId:
        """Returns the rack of a worker."""
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
        """Returns the tasks of each job that holds room on a worker."""
        return self._jobs.get(worker, {})

    def list_workers(
        self, listed: tuple[messages.ListedTarget, ...]
    ) -> list[ids.WorkerId]:
        """Takes over the platform's list.

        Args:
            listed: The workers.

        Returns:
            The workers that changed.
        """
        fresh = {ids.WorkerId(target.name): target for target in listed}
        changed = [
            worker
            for worker in {**self._listed, **fresh}
            if self._listed.get(worker) != fresh.get(worker)
        ]
        for worker in changed:
            target = fresh.get(worker)
            if target is None:
                del self._listed[worker]
                continue
            self._listed[worker] = target
            self._states[worker] = target.state
        for worker in changed:
            self._refresh(worker)
        return changed

    def set_state(
        self, worker: ids.WorkerId, state: states.TargetState
    ) -> bool:
        """Notes the state of a worker and returns whether it changed."""
        if self._states.get(worker) is state:
            return False
        self._states[worker] = state
        self._refresh(worker)
        return True

    def set_closed(self, worker: ids.WorkerId, closed: bool) -> None:
        """Closes a worker to new tasks whatever its state, or opens it."""
        if closed:
            self._closed.add(worker)
        else:
            self._closed.discard(worker)
        self._refresh(worker)

    def take(
        self,
        job: ids.JobId,
        per_task: jobs.Resources,
        groups: tuple[jobs.TaskGroup, ...],
    ) -> None:
        """Gives room to a job; free room may become negative."""
        for group in groups:
            self._jobs[group.worker][job] = group.tasks
            self._use(group.worker, resources.scaled(per_task, group.tasks))

    def give_back(
        self,
        job: ids.JobId,
        per_task: jobs.Resources,
        groups: tuple[jobs.TaskGroup, ...],
    ) -> None:
        """Takes back the room that `take` gave."""
        for group in groups:
            self._jobs[group.worker].pop(job, None)
            self._use(group.worker, resources.scaled(per_task, -group.tasks))

    def lend(
        self, per_task: jobs.Resources, groups: tuple[jobs.TaskGroup, ...]
    ) -> None:
        """Notes that room in use may be taken back, or not if negative."""
        for group in groups:
            lent = self._lent.get(group.worker, resources.ZERO)
            amount = resources.scaled(per_task, group.tasks)
            self._lent[group.worker] = resources.plus(lent, amount)
            if self._lent[group.worker] == resources.ZERO:
                del self._lent[group.worker]
            self._index(group.worker)

    def _use(self, worker: ids.WorkerId, amount: jobs.Resources) -> None:
        used = self._used.get(worker, resources.ZERO)
        self._used[worker] = resources.plus(used, amount)
        if not self._jobs[worker]:
            del self._jobs[worker]
            del self._used[worker]
        self._index(worker)

    def _index(self, worker: ids.WorkerId) -> None:
        free = self._free(worker)
        lent = self._lent.get(worker, resources.ZERO)
        self.free.set_room(worker, free)
        self.lendable.set_room(worker, resources.plus(free, lent))

    def _free(self, worker: ids.WorkerId) -> jobs.Resources:
        used = self._used.get(worker, resources.ZERO)
        return resources.minus(self.capacity(worker), used)

    def _refresh(self, worker: ids.WorkerId) -> None:
        if self.usable(worker):
            rack = self.rack(worker)
            self.free.put(worker, rack, self._free(worker))
            self.lendable.put(worker, rack, self._free(worker))
            self._index(worker)
        else:
            self.free.drop(worker)
            self.lendable.drop(worker)
