"""Chooses workers by two classes of speed: slower ones and all others."""

from collections.abc import Hashable
from collections.abc import Mapping

from citronmount.core import ids
from citronmount.fleet.placement import fitting
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_speeds

__all__ = ["RELAXED_SLACK_FACTOR", "SlowdownChoice"]

RELAXED_SLACK_FACTOR = 2.0


class SlowdownChoice:
    """Choice of workers of one planning round without `worker-speeds`."""

    def __init__(self, *, slowdowns: Mapping[ids.WorkerId, float]) -> None:
        """Initializes the classes.

        Args:
            slowdowns: Factor by which each worker is slower than a fast one.
        """
        # `worker_health.SLOW_FACTOR` keeps units off a worker for some time,
        # the smaller `SLOWER_FACTOR` only decides which are used last.
        self._slower_ids = frozenset(
            name
            for name, factor in slowdowns.items()
            if factor >= worker_speeds.SLOWER_FACTOR
        )
        self._faster_ids = frozenset(slowdowns) - self._slower_ids

    def key(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> Hashable:
        """Returns what the choice depends on beside a unit's shape."""
        del unit, guaranteed
        return None

    def last_resort(
        self, unit: waiting_units.WaitingUnit
    ) -> frozenset[ids.WorkerId]:
        """Returns the workers that a unit should leave to others.

        Urgent gangs compete with work that can wait. Jobs with little slack
        get the fast workers; jobs with much slack leave these free for them.
        """
        relaxed = unit.submission.terms.slack_factor >= RELAXED_SLACK_FACTOR
        if self._slower_ids and relaxed and not unit.step.lasting:
            return self._faster_ids
        return self._slower_ids

    def awaited(
        self,
        unit: waiting_units.WaitingUnit,
        workers: list[worker_directory.Worker],
        guaranteed: bool,
    ) -> list[worker_directory.Worker]:
        """Returns the workers worth a preemption or a reservation."""
        del unit, guaranteed
        return workers

    def choose(
        self,
        unit: waiting_units.WaitingUnit,
        requirements: fitting.Requirements,
        workers: list[worker_directory.Worker],
        free: fitting.FreeCapacity,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> list[worker_directory.Worker] | None:
        """Returns a worker for each task, or None if the unit waits."""
        del unit, guaranteed
        return fitting.choose_workers(requirements, workers, free, spread)

    def task_slots(
        self,
        unit: waiting_units.WaitingUnit,
        requirements: fitting.Requirements,
        workers: list[worker_directory.Worker],
        free: fitting.FreeCapacity,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> fitting.TaskSlots:
        """Returns the slots for single tasks like a unit."""
        del unit, guaranteed
        return fitting.task_slots(requirements, workers, free, spread)
