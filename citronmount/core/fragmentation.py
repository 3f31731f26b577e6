"""Measures how much free room the pending mix of gangs cannot use.

The gradient follows Weng et al., "Beware of Fragmentation", USENIX ATC 2023:
a gang goes where it adds least to the accelerators that a typical task of the
workload could not use.
"""

from collections.abc import Mapping
import heapq

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import pool
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import states

__all__ = ["Mix", "share_unusable"]

_MIX_SIZE = 8
_REFRESH_SUBMISSIONS = 64
_FULL_WEIGHT = 100_000


class Mix:
    """The typical needs of tasks, learnt from guarantees and submissions."""

    def __init__(self) -> None:
        """Initializes an empty mix."""
        self._weights: dict[jobs.Resources, float] = {}
        self._total = 0.0
        self._typical: list[tuple[jobs.Resources, float]] = []
        self._since_refresh = _REFRESH_SUBMISSIONS
        self._gradients: dict[tuple[jobs.Resources, jobs.Resources], float] = {}

    def note(self, shape: shapes.Shape, copies: int = 1) -> None:
        """Adds a gang that was asked for or promised.

        Args:
            shape: The gang.
            copies: How many.
        """
        on_one = shape.adjacency is states.Adjacency.WORKER
        unit = shape.total if on_one else shape.per_task
        weight = copies * max(shape.accelerators, 1)
        self._weights[unit] = self._weights.get(unit, 0.0) + weight
        self._total += weight
        if self._total > _FULL_WEIGHT:
            self._decay()
        self._since_refresh += 1

    def gradient(self, room: jobs.Resources, taken: jobs.Resources) -> float:
        """Returns the accelerators made unusable by taking some of a room.

        Args:
            room: The free room of a worker.
            taken: What would be taken of it.

        Returns:
            The expected change; negative if unusable room is used up.
        """
        if self._since_refresh >= _REFRESH_SUBMISSIONS:
            self._refresh()
        key = (room, taken)
        if key not in self._gradients:
            after = resources.minus(room, taken)
            self._gradients[key] = self._unusable(after) - self._unusable(room)
        return self._gradients[key]

    def key(
        self,
        index: pool.RoomIndex,
        worker: ids.WorkerId,
        per_task: jobs.Resources,
        tasks: int,
    ) -> tuple:
        """Ranks workers by gradient, then by how broken up they are."""
        room = index.room(worker)
        taken = resources.scaled(per_task, tasks)
        return (
            round(self.gradient(room, taken), 6),
            room.accelerators - taken.accelerators,
            index.rack_total(index.rack(worker)),
            worker,
        )

    def _unusable(self, room: jobs.Resources) -> float:
        return sum(
            weight * _left_over(room, unit) for unit, weight in self._typical
        )

    def _refresh(self) -> None:
        top = heapq.nlargest(
            _MIX_SIZE,
            self._weights.items(),
            key=lambda item: (item[1], item[0].accelerators),
        )
        total = sum(weight for _, weight in top) or 1.0
        self._typical = [(unit, weight / total) for unit, weight in top]
        self._gradients = {}
        self._since_refresh = 0

    def _decay(self) -> None:
        self._weights = {
            unit: weight / 2
            for unit, weight in self._weights.items()
            if weight >= 2
        }
        self._total = sum(self._weights.values())


def _left_over(room: jobs.Resources, unit: jobs.Resources) -> int:
    free = max(room.accelerators, 0)
    if not unit.accelerators:
        return 0
    return free - resources.count(room, unit) * unit.accelerators


def share_unusable(
    index: pool.RoomIndex, pending: Mapping[shapes.Shape, int]
) -> float:
    """Returns the share of free accelerators that pending gangs cannot use.

    Args:
        index: The free room.
        pending: Gangs wanted, with their number as weight.

    Returns:
        The mean over the gangs, between 0 and 1; 0 if nothing is free or
        nothing is wanted.
    """
    weights = {
        shape: copies * shape.accelerators
        for shape, copies in pending.items()
        if shape.accelerators
    }
    total = sum(weights.values())
    if not index.total or not total:
        return 0.0
    usable = sum(
        weight * _usable(index, shape) for shape, weight in weights.items()
    )
    return 1.0 - usable / (total * index.total)


def _usable(index: pool.RoomIndex, shape: shapes.Shape) -> int:
    if shape.adjacency is states.Adjacency.WORKER:
        groups = [[worker] for worker in index]
    elif shape.adjacency is states.Adjacency.RACK:
        racks = {index.rack(worker) for worker in index}
        groups = [index.members(rack) for rack in racks]
    else:
        groups = [list(index)]
    gangs = sum(
        sum(resources.count(index.room(w), shape.per_task) for w in group)
        // shape.tasks
        for group in groups
    )
    return gangs * shape.accelerators
