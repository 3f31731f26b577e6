"""Reservations for gangs that wait for many workers to become free.

The load mixes gangs that need many whole workers at once with streams of small
tasks. Small tasks take each worker that becomes free, so without reservations a
large gang starts only by chance. A gang that has used up part of its slack
reserves the workers that will have capacity for it first. Until then, later
units may use these workers only if they are expected to end in time, so that
they do not delay the gang.

This is backfill scheduling with more than one reservation; see Mu'alem and
Feitelson, "Utilization, Predictability, Workloads, and User Runtime Estimates
in Scheduling the IBM SP2 with Backfilling", IEEE TPDS 12(6), 2001.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from citronmount.core import ids
from citronmount.fleet.placement import fitting
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

__all__ = [
    "MAX_RESERVATIONS",
    "Releases",
    "Reservations",
    "released_accelerators",
    "remaining_ms",
]

# In each service.
MAX_RESERVATIONS = 2
# Declared run times are rough, so backfilled units need some margin.
BACKFILL_MARGIN_FACTOR = 1.25
# An overdue run may end at any time; it is taken to need this share of its
# estimate once more.
OVERDUE_SHARE = 0.25

_FULL_PERCENT = 100.0
_MS_PER_S = 1_000


def remaining_ms(run: unit_runs.Run, now_ms: int) -> int:
    """Returns the expected time until a run ends.

    The slowest member determines the end. A member that reports its progress is
    extrapolated, any other is expected to take the estimated run time.

    Args:
        run: The run.
        now_ms: Monotonic time in milliseconds.

    Returns:
        Milliseconds; 0 for a run that is being ended.
    """
    if run.phase is run_states.RunPhase.ENDING:
        return 0
    started_ms = run.placed_ms if run.started_ms is None else run.started_ms
    estimate_ms = run.run_time.high_ms
    by_estimate_ms = max(
        started_ms + estimate_ms - now_ms, int(estimate_ms * OVERDUE_SHARE)
    )
    return max(
        (_member_remaining_ms(m, by_estimate_ms) for m in run.live_members),
        default=0,
    )


def _member_remaining_ms(member: unit_runs.Member, default_ms: int) -> int:
    rate = member.progress.rough_percent_per_s
    if not rate:
        return default_ms
    return int((_FULL_PERCENT - member.progress.percent) / rate * _MS_PER_S)


def released_accelerators(
    runs: Iterable[unit_runs.Run], priority: int, now_ms: int, in_ms: int
) -> int:
    """Returns the accelerators that runs of a priority release soon.

    Args:
        runs: All runs.
        priority: The priority.
        now_ms: Monotonic time in milliseconds.
        in_ms: Time within which the runs are expected to end.

    Returns:
        The number of accelerators.
    """
    return sum(
        run.step.demand.accelerators * len(run.live_members)
        for run in runs
        if run.submission.terms.priority == priority
        and not run.step.lasting
        and remaining_ms(run, now_ms) <= in_ms
    )


class Releases:
    """Times at which the runs on each worker are expected to end."""

    def __init__(self, *, runs: Iterable[unit_runs.Run], now_ms: int) -> None:
        """Computes the times.

        Args:
            runs: All runs.
            now_ms: Monotonic time in milliseconds.
        """
        releases: dict[ids.WorkerId, list[tuple[int, spec.Demand]]] = (
            collections.defaultdict(list)
        )
        for run in runs:
            if run.step.lasting:
                continue
            end_ms = now_ms + remaining_ms(run, now_ms)
            demand = worker_allocations.allocated_demand(run.step)
            for member in run.live_members:
                releases[member.place.worker].append((end_ms, demand))
        self._by_worker = {
            worker: sorted(each, key=lambda release: release[0])
            for worker, each in releases.items()
        }

    def slot_times_ms(
        self,
        requirements: fitting.Requirements,
        worker: worker_directory.Worker,
        free: spec.Demand,
        now_ms: int,
    ) -> list[int]:
        """Returns when each slot for a unit's tasks on a worker becomes free.

        Args:
            requirements: Placement requirements of the unit.
            worker: The worker.
            free: Free capacity of the worker.
            now_ms: Monotonic time in milliseconds.

        Returns:
            Monotonic times in ascending order, one for each slot.
        """
        slots = fitting.task_limit(requirements, worker, free)
        times_ms = [now_ms] * slots
        for end_ms, demand in self._by_worker.get(worker.worker, ()):
            free = worker_allocations.add_demands(free, demand)
            slots = fitting.task_limit(requirements, worker, free)
            times_ms += [end_ms] * (slots - len(times_ms))
        return times_ms


class Reservations:
    """Workers reserved in one planning round, with the expected start."""

    def __init__(
        self,
        *,
        limits: Mapping[spec.ServiceName, int] | None = None,
        by_priority: bool = False,
    ) -> None:
        """Initializes without reservations.

        Args:
            limits: Maximum number of reservations in each service; None, and
                for a service that it does not name, `MAX_RESERVATIONS`.
            by_priority: Whether a reservation holds only against work of lower
                priority than its gang.
        """
        self._limits = limits or {}
        self._by_priority = by_priority
        self._starts_ms: dict[ids.WorkerId, int] = {}
        self._priorities: dict[ids.WorkerId, int] = {}
        self._counts: collections.Counter[spec.ServiceName] = (
            collections.Counter()
        )

    def is_full(self, service: spec.ServiceName) -> bool:
        """Returns whether a service gets no more reservations this round."""
        limit = self._limits.get(service, MAX_RESERVATIONS)
        return self._counts[service] >= limit

    def allows(
        self,
        worker: worker_directory.Worker,
        unit: waiting_units.WaitingUnit,
        now_ms: int,
    ) -> bool:
        """Returns whether a unit may start on a worker.

        Args:
            worker: The worker.
            unit: The unit.
            now_ms: Monotonic time in milliseconds.

        Returns:
            True if the worker is not reserved, if the unit is expected to end
            before the reservation starts, or if it is a lasting one, which has
            to be restored wherever it fits.
        """
        start_ms = self._starts_ms.get(worker.worker)
        if start_ms is None or unit.step.lasting:
            return True
        priority = unit.submission.terms.priority
        if self._by_priority and priority <= self._priorities[worker.worker]:
            return True
        most_ms: float = unit.run_time.high_ms
        if unit.learned_run_time is None:
            most_ms *= BACKFILL_MARGIN_FACTOR
        return now_ms + most_ms <= start_ms

    def reserve(
        self,
        requirements: fitting.Requirements,
        groups: Iterable[Sequence[worker_directory.Worker]],
        free: fitting.FreeCapacity,
        releases: Releases,
        now_ms: int,
        priority: int = 0,
    ) -> bool:
        """Reserves the workers on which a gang can start first.

        Args:
            requirements: Placement requirements of the gang.
            groups: Sets of workers of which one has to hold the whole gang.
            free: Returns the free capacity of a worker.
            releases: Expected ends of the runs.
            now_ms: Monotonic time in milliseconds.
            priority: Priority of the gang.

        Returns:
            Whether workers were reserved; False if the gang fits on no group
            without the workers reserved before.
        """
        plans = [
            plan
            for group in groups
            if (plan := self._plan(requirements, group, free, releases, now_ms))
        ]
        if not plans:
            return False
        start_ms, worker_ids = min(plans, key=lambda plan: plan[0])
        self._counts[requirements.service] += 1
        for worker in worker_ids:
            self._starts_ms[worker] = start_ms
            self._priorities[worker] = priority
        return True

    def _plan(
        self,
        requirements: fitting.Requirements,
        group: Iterable[worker_directory.Worker],
        free: fitting.FreeCapacity,
        releases: Releases,
        now_ms: int,
    ) -> tuple[int, set[ids.WorkerId]] | None:
        """Returns the start time and the workers of the first slots."""
        slots = sorted(
            (time_ms, worker.worker)
            for worker in group
            if worker.worker not in self._starts_ms
            and fitting.suits(requirements, worker)
            for time_ms in releases.slot_times_ms(
                requirements, worker, free(worker), now_ms
            )
        )
        if len(slots) < requirements.tasks:
            return None
        used = slots[: requirements.tasks]
        return used[-1][0], {worker for _, worker in used}
