"""Preemption by a pool's owner: chooses the runs to stop for a unit.

A job inside its guarantee may arrive while runs of other jobs use the capacity.
Runs are stopped so that a unit of the highest priority fits. The chosen runs
lose little work. The lost work of a run is its run time (with checkpoints at
most the time between two of them), weighted by the resources of the whole gang.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from citronmount.core import ids
from citronmount.fleet import fitting
from citronmount.fleet import unit_runs
from citronmount.fleet import worker_allocations
from citronmount.fleet import worker_directory
from citronmount.workflow import spec

__all__ = [
    "CORES_PER_ACCELERATOR",
    "PreemptionPlan",
    "find",
    "lost_work",
    "planned_work",
]

CORES_PER_ACCELERATOR = 8

_MILLICORES_PER_CORE = 1_000
_MS_PER_S = 1_000

Cost = Callable[[unit_runs.Run], float]


class PreemptionPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Placement of a unit that becomes possible by stopping runs.

    Attributes:
        workers: A worker for each task.
        victims: The runs to stop.
        cost_core_s: Work that the victims lose, in core-seconds.
    """

    workers: tuple[worker_directory.Worker, ...]
    victims: tuple[unit_runs.Run, ...]
    cost_core_s: float


def lost_work(run: unit_runs.Run, now_ms: int, save_s: float) -> float:
    """Returns the work that a run loses if it is stopped.

    Args:
        run: The run.
        now_ms: Monotonic time in milliseconds.
        save_s: Work in seconds between two checkpoints of a task.

    Returns:
        Core-seconds; an accelerator counts as `CORES_PER_ACCELERATOR` cores.
    """
    started_ms = run.placed_ms if run.started_ms is None else run.started_ms
    elapsed_s = max(now_ms - started_ms, 0) / _MS_PER_S
    if run.step.checkpoints:
        elapsed_s = min(elapsed_s, save_s)
    return elapsed_s * _cores(run.step) * len(run.members)


def planned_work(step: spec.Step, tasks: int) -> float:
    """Returns the work of a unit according to its declared run time.

    Args:
        step: The unit's step.
        tasks: Number of tasks that start together.

    Returns:
        Core-seconds; an accelerator counts as `CORES_PER_ACCELERATOR` cores.
    """
    return step.estimate_ms / _MS_PER_S * _cores(step) * tasks


def _cores(step: spec.Step) -> float:
    demand = step.demand
    return (
        demand.millicores / _MILLICORES_PER_CORE
        + demand.accelerators * CORES_PER_ACCELERATOR
    )


def find(
    requirements: fitting.Requirements,
    workers: Sequence[worker_directory.Worker],
    free: fitting.FreeCapacity,
    revocable: Iterable[unit_runs.Run],
    cost: Cost,
    spread: fitting.Spread,
) -> PreemptionPlan | None:
    """Finds a cheap set of runs whose preemption makes a unit fit.

    A greedy search: adds victims in the order of their cost until the unit
    fits, then spares the most expensive ones that are not needed. If the unit
    must stay in one rack, each rack is searched and the cheapest plan is
    returned.

    Args:
        requirements: Placement requirements of the unit.
        workers: The workers that may receive tasks.
        free: Returns the free capacity of a worker.
        revocable: Runs that may be stopped.
        cost: Returns the work that a run loses if it is stopped.
        spread: Whether the unit may leave its preferred rack.

    Returns:
        The plan, or None if the unit would not fit even if all revocable runs
        were preempted.
    """
    ranked = sorted(revocable, key=cost)
    worker_groups: list[Sequence[worker_directory.Worker]] = [workers]
    if spread is fitting.Spread.PREFERRED and requirements.step.one_rack:
        racks = sorted({worker.rack for worker in workers})
        worker_groups = [
            [w for w in workers if w.rack == rack] for rack in racks
        ]
    plans = [
        plan
        for group in worker_groups
        if (
            plan := _find_in_group(
                requirements, group, free, ranked, cost, spread
            )
        )
    ]
    return min(plans, key=lambda each: each.cost_core_s, default=None)


def _find_in_group(
    requirements: fitting.Requirements,
    group: Sequence[worker_directory.Worker],
    free: fitting.FreeCapacity,
    ranked: Sequence[unit_runs.Run],
    cost: Cost,
    spread: fitting.Spread,
) -> PreemptionPlan | None:
    worker_ids = {worker.worker for worker in group}
    candidates = [run for run in ranked if _runs_on(run, worker_ids)]
    victims: list[unit_runs.Run] = []
    chosen = None
    for run in candidates:
        victims.append(run)
        chosen = _workers_without(requirements, group, free, victims, spread)
        if chosen is not None:
            break
    if chosen is None:
        return None
    for run in sorted(victims, key=cost, reverse=True):
        remaining_victims = [each for each in victims if each is not run]
        alternative = _workers_without(
            requirements, group, free, remaining_victims, spread
        )
        if alternative is not None:
            victims, chosen = remaining_victims, alternative
    return PreemptionPlan(
        workers=tuple(chosen),
        victims=tuple(victims),
        cost_core_s=sum(map(cost, victims)),
    )


def _runs_on(run: unit_runs.Run, worker_ids: set[ids.WorkerId]) -> bool:
    return any(member.place.worker in worker_ids for member in run.live_members)


def _workers_without(
    requirements: fitting.Requirements,
    group: Sequence[worker_directory.Worker],
    free: fitting.FreeCapacity,
    victims: Iterable[unit_runs.Run],
    spread: fitting.Spread,
) -> list[worker_directory.Worker] | None:
    """Chooses workers as if the victims had been stopped."""
    freed: dict[ids.WorkerId, worker_allocations.spec.Demand] = {}
    for run in victims:
        demand = worker_allocations.allocated_demand(run.step)
        for member in run.live_members:
            worker = member.place.worker
            freed[worker] = worker_allocations.add_demands(
                freed.get(worker, worker_allocations.NO_DEMAND), demand
            )

    def free_after_stops(
        worker: worker_directory.Worker,
    ) -> worker_allocations.spec.Demand:
        return worker_allocations.add_demands(
            free(worker), freed.get(worker.worker, worker_allocations.NO_DEMAND)
        )

    return fitting.choose_workers(requirements, group, free_after_stops, spread)
