"""Chooses runs to stop so that a guaranteed unit fits.

Load pattern: a job inside its guarantee arrives while others use the room.
The least work is thrown away: time since the last checkpoint, weighted by the
resources of the whole gang.
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
    "Reclaim",
    "find",
    "lost_work",
    "planned_work",
]

CORES_PER_ACCELERATOR = 8

_MILLICORES_PER_CORE = 1_000
_MS_PER_S = 1_000

Cost = Callable[[unit_runs.Run], float]


class Reclaim(msgspec.Struct, frozen=True, kw_only=True):
    """Where a unit fits once some runs are stopped.

    Attributes:
        workers: A worker for each task.
        victims: The runs to stop.
        cost_core_s: Work that is thrown away.
    """

    workers: tuple[worker_directory.Worker, ...]
    victims: tuple[unit_runs.Run, ...]
    cost_core_s: float


def lost_work(run: unit_runs.Run, now_ms: int, save_s: float) -> float:
    """Returns the work that a stop of a run throws away.

    Args:
        run: The run.
        now_ms: Steady time in milliseconds.
        save_s: Work between two checkpoints.

    Returns:
        Core-seconds; an accelerator counts as several cores.
    """
    started_ms = run.placed_ms if run.started_ms is None else run.started_ms
    elapsed_s = max(now_ms - started_ms, 0) / _MS_PER_S
    if run.step.checkpoints:
        elapsed_s = min(elapsed_s, save_s)
    return elapsed_s * _cores(run.step) * len(run.members)


def planned_work(step: spec.Step, tasks: int) -> float:
    """Returns the work of a unit as declared.

    Args:
        step: Its step.
        tasks: How many tasks start together.

    Returns:
        Core-seconds; an accelerator counts as several cores.
    """
    return step.estimate_ms / _MS_PER_S * _cores(step) * tasks


def _cores(step: spec.Step) -> float:
    demand = step.demand
    return (
        demand.millicores / _MILLICORES_PER_CORE
        + demand.accelerators * CORES_PER_ACCELERATOR
    )


def find(
    need: fitting.Need,
    workers: Sequence[worker_directory.Worker],
    free: fitting.FreeRoom,
    revocable: Iterable[unit_runs.Run],
    cost: Cost,
    spread: fitting.Spread,
) -> Reclaim | None:
    """Finds the cheapest set of runs whose stop makes room for a unit.

    Args:
        need: The unit.
        workers: The workers that may get work.
        free: The free room of a worker.
        revocable: Runs that may be stopped.
        cost: What the stop of a run throws away.
        spread: Whether the unit may leave its preferred rack.

    Returns:
        The workers and victims, or None if no set makes room.
    """
    ranked = sorted(revocable, key=cost)
    groups: list[Sequence[worker_directory.Worker]] = [workers]
    if spread is fitting.Spread.PREFERRED and need.step.one_rack:
        racks = sorted({worker.rack for worker in workers})
        groups = [[w for w in workers if w.rack == rack] for rack in racks]
    found = [
        reclaim
        for group in groups
        if (reclaim := _in_group(need, group, free, ranked, cost, spread))
    ]
    return min(found, key=lambda each: each.cost_core_s, default=None)


def _in_group(
    need: fitting.Need,
    group: Sequence[worker_directory.Worker],
    free: fitting.FreeRoom,
    ranked: Sequence[unit_runs.Run],
    cost: Cost,
    spread: fitting.Spread,
) -> Reclaim | None:
    names = {worker.worker for worker in group}
    useful = [run for run in ranked if _touches(run, names)]
    victims: list[unit_runs.Run] = []
    chosen = None
    for run in useful:
        victims.append(run)
        chosen = _fit_without(need, group, free, victims, spread)
        if chosen is not None:
            break
    if chosen is None:
        return None
    for run in sorted(victims, key=cost, reverse=True):
        fewer = [each for each in victims if each is not run]
        without = _fit_without(need, group, free, fewer, spread)
        if without is not None:
            victims, chosen = fewer, without
    return Reclaim(
        workers=tuple(chosen),
        victims=tuple(victims),
        cost_core_s=sum(map(cost, victims)),
    )


def _touches(run: unit_runs.Run, names: set[ids.WorkerId]) -> bool:
    return any(member.place.worker in names for member in run.live_members)


def _fit_without(
    need: fitting.Need,
    group: Sequence[worker_directory.Worker],
    free: fitting.FreeRoom,
    victims: Iterable[unit_runs.Run],
    spread: fitting.Spread,
) -> list[worker_directory.Worker] | None:
    freed: dict[ids.WorkerId, worker_allocations.spec.Demand] = {}
    for run in victims:
        demand = worker_allocations.allocated_demand(run.step)
        for member in run.live_members:
            worker = member.place.worker
            freed[worker] = worker_allocations.add_demands(
                freed.get(worker, worker_allocations.NO_DEMAND), demand
            )

    def with_freed(
        worker: worker_directory.Worker,
    ) -> worker_allocations.spec.Demand:
        return worker_allocations.add_demands(
            free(worker), freed.get(worker.worker, worker_allocations.NO_DEMAND)
        )

    return fitting.fit(need, group, with_freed, spread)
