"""Measures how much free room the pending mix of gangs cannot use.

The gradient follows Weng et al., "Beware of Fragmentation", USENIX ATC 2023:
a gang goes where it adds least to the accelerators that a typical task of the
workload could not use.
"""

from collections.abc import Mapping
import heapq

from citronmount.core import jobs
from citronmount.core import pool
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import states

__all__ = ["Mix", "share_unusable"]

_MIX_SIZE = 8
_REFRESH_SUBMISSIONS = 64
_HOUR_S = 3_600
_MEMORY_H = 50_000
_FORGOTTEN_H = 0.1


class Mix:
    """The typical gangs, learnt from guarantees and submissions."""

    def __init__(self) -> None:
        """Initializes an empty mix."""
        self._promised: dict[shapes.Shape, float] = {}
        self._learnt: dict[shapes.Shape, float] = {}
        self._total_h = 0.0
        self._units: list[tuple[jobs.Resources, float]] = []
        self._noted = 0
        self._since_refresh = 0
        self._gradients: dict[tuple[jobs.Resources, jobs.Resources], float] = {}

    def promise(self, copies: Mapping[shapes.Shape, int]) -> None:
        """Replaces the gangs that guarantees promise.

        Args:
            copies: How many of each.
        """
        self._promised = {
            shape: float(number * shape.accelerators)
            for shape, number in copies.items()
        }
        self._refresh()

    def note(self, shape: shapes.Shape, run_time_s: float) -> None:
        """Adds a gang that was asked for.

        Args:
            shape: The gang.
            run_time_s: For how long it was asked for.
        """
        weight_h = shape.accelerators * run_time_s / _HOUR_S
        self._learnt[shape] = self._learnt.get(shape, 0.0) + weight_h
        self._total_h += weight_h
        if self._total_h > _MEMORY_H:
            self._decay()
        self._noted += 1
        self._since_refresh += 1
        if self._since_refresh >= min(self._noted / 2, _REFRESH_SUBMISSIONS):
            self._refresh()

    def on_worker(self, room: jobs.Resources, taken: jobs.Resources) -> float:
        """Returns the accelerators made unusable by taking some of a room.

        Args:
            room: The free room of a worker.
            taken: What would be taken of it.

        Returns:
            The expected change; negative if unusable room is used up.
        """
        key = (room, taken)
        if key not in self._gradients:
            after = resources.minus(room, taken)
            self._gradients[key] = sum(
                weight * (_left_over(after, unit) - _left_over(room, unit))
                for unit, weight in self._units
            )
        return self._gradients[key]

    def _refresh(self) -> None:
        weights = dict(self._promised)
        for shape, weight_h in self._learnt.items():
            weights[shape] = weights.get(shape, 0.0) + weight_h
        top = heapq.nlargest(
            _MIX_SIZE,
            weights.items(),
            key=lambda item: (item[1], item[0].accelerators),
        )
        total = sum(weight for _, weight in top) or 1.0
        self._units = [(_unit(shape), weight / total) for shape, weight in top]
        self._gradients = {}
        self._since_refresh = 0

    def _decay(self) -> None:
        self._learnt = {
            shape: weight / 2
            for shape, weight in self._learnt.items()
            if weight >= _FORGOTTEN_H
        }
        self._total_h = sum(self._learnt.values())


def _unit(shape: shapes.Shape) -> jobs.Resources:
    """Returns what one worker must have to be of use to a gang."""
    on_one = shape.adjacency is states.Adjacency.WORKER
    return shape.total if on_one else shape.per_task


def _left_over(room: jobs.Resources, unit: jobs.Resources) -> int:
    free = max(room.accelerators, 0)
    if not unit.accelerators:
        return 0
    return free - resources.task_capacity(room, unit) * unit.accelerators


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
        sum(
            resources.task_capacity(index.room(w), shape.per_task)
            for w in group
        )
        // shape.tasks
        for group in groups
    )
    return gangs * shape.accelerators
