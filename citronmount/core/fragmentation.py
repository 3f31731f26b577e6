"""Measures fragmentation: free capacity that typical gangs cannot use.

The change per placement is the fragmentation gradient of Weng et al., "Beware
of Fragmentation", USENIX ATC 2023: a gang is placed where it adds the fewest
accelerators that a typical task of the workload cannot use.
"""

from collections.abc import Mapping
import heapq

from citronmount.core import jobs
from citronmount.core import pool
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import states

__all__ = ["GangMix", "unusable_share"]

_MAX_TYPICAL_SHAPES = 8
_MAX_SUBMISSIONS_PER_REFRESH = 64
_HOUR_S = 3_600
_DECAY_THRESHOLD_ACCELERATOR_H = 50_000
_MIN_WEIGHT_ACCELERATOR_H = 0.1


class GangMix:
    """The typical gangs of the workload, from guarantees and submissions.

    Guaranteed gangs are weighted by accelerators, submitted ones by accelerator
    hours. The weights of submitted gangs are halved when their sum exceeds a
    threshold, so that the mix follows the workload.
    """

    def __init__(self) -> None:
        """Initializes an empty mix."""
        self._guaranteed: dict[shapes.Shape, float] = {}
        self._submitted: dict[shapes.Shape, float] = {}
        self._submitted_total_h = 0.0
        self._unit_weights: list[tuple[jobs.Resources, float]] = []
        self._submission_count = 0
        self._since_refresh = 0
        self._changes: dict[tuple[jobs.Resources, jobs.Resources], float] = {}

    def set_guaranteed(self, copies: Mapping[shapes.Shape, int]) -> None:
        """Replaces the guaranteed gangs.

        Args:
            copies: Number of guaranteed copies of each shape.
        """
        self._guaranteed = {
            shape: float(count * shape.accelerators)
            for shape, count in copies.items()
        }
        self._refresh()

    def add_submission(self, shape: shapes.Shape, run_time_s: float) -> None:
        """Adds the gang of a submitted job.

        Args:
            shape: Shape of the gang.
            run_time_s: Declared run time in seconds.
        """
        weight_h = shape.accelerators * run_time_s / _HOUR_S
        self._submitted[shape] = self._submitted.get(shape, 0.0) + weight_h
        self._submitted_total_h += weight_h
        if self._submitted_total_h > _DECAY_THRESHOLD_ACCELERATOR_H:
            self._decay()
        self._submission_count += 1
        self._since_refresh += 1
        if self._since_refresh >= min(
            self._submission_count / 2, _MAX_SUBMISSIONS_PER_REFRESH
        ):
            self._refresh()

    def fragmentation_change(
        self, available: jobs.Resources, used: jobs.Resources
    ) -> float:
        """Returns how many accelerators an allocation would make unusable.

        Args:
            available: Free capacity of a worker.
            used: Resources that would be allocated on it.

        Returns:
            Weighted mean over the typical gangs; negative if the allocation
            uses up accelerators that were unusable.
        """
        key = (available, used)
        if key not in self._changes:
            after = resources.minus(available, used)
            self._changes[key] = sum(
                weight
                * (
                    _unusable_accelerators(after, unit)
                    - _unusable_accelerators(available, unit)
                )
                for unit, weight in self._unit_weights
            )
        return self._changes[key]

    def _refresh(self) -> None:
        weights = dict(self._guaranteed)
        for shape, weight_h in self._submitted.items():
            weights[shape] = weights.get(shape, 0.0) + weight_h
        top = heapq.nlargest(
            _MAX_TYPICAL_SHAPES,
            weights.items(),
            key=lambda item: (item[1], item[0].accelerators),
        )
        total_weight = sum(weight for _, weight in top) or 1.0
        self._unit_weights = [
            (_worker_unit(shape), weight / total_weight)
            for shape, weight in top
        ]
        self._changes = {}
        self._since_refresh = 0

    def _decay(self) -> None:
        self._submitted = {
            shape: weight / 2
            for shape, weight in self._submitted.items()
            if weight >= _MIN_WEIGHT_ACCELERATOR_H
        }
        self._submitted_total_h = sum(self._submitted.values())


def _worker_unit(shape: shapes.Shape) -> jobs.Resources:
    """Returns the least free capacity of a worker that a gang can use."""
    single_worker = shape.adjacency is states.Adjacency.WORKER
    return shape.total if single_worker else shape.per_task


def _unusable_accelerators(
    available: jobs.Resources, unit: jobs.Resources
) -> int:
    free = max(available.accelerators, 0)
    if not unit.accelerators:
        return 0
    return free - resources.task_capacity(available, unit) * unit.accelerators


def unusable_share(
    index: pool.CapacityIndex, queued_gangs: Mapping[shapes.Shape, int]
) -> float:
    """Returns the share of free accelerators that queued gangs cannot use.

    Args:
        index: Free capacity of the workers.
        queued_gangs: Number of queued gangs of each shape.

    Returns:
        Mean over the shapes, weighted by the accelerators that their queued
        gangs request, between 0 and 1; 0 if no accelerator is free or
        requested.
    """
    weights = {
        shape: count * shape.accelerators
        for shape, count in queued_gangs.items()
        if shape.accelerators
    }
    total_weight = sum(weights.values())
    if not index.total or not total_weight:
        return 0.0
    usable = sum(
        weight * _usable_accelerators(index, shape)
        for shape, weight in weights.items()
    )
    return 1.0 - usable / (total_weight * index.total)


def _usable_accelerators(index: pool.CapacityIndex, shape: shapes.Shape) -> int:
    if shape.adjacency is states.Adjacency.WORKER:
        scopes = [[worker] for worker in index]
    elif shape.adjacency is states.Adjacency.RACK:
        racks = {index.rack(worker) for worker in index}
        scopes = [index.workers_of_rack(rack) for rack in racks]
    else:
        scopes = [list(index)]
    gangs = sum(
        sum(
            resources.task_capacity(index.available(w), shape.per_task)
            for w in scope
        )
        // shape.tasks
        for scope in scopes
    )
    return gangs * shape.accelerators
