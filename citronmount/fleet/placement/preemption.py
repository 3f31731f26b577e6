"""Preemption by a pool's owner: chooses the runs to stop for a unit.

A job inside its guarantee may arrive while runs of other jobs use the capacity.
Runs are stopped so that a unit of the highest priority fits. The chosen runs
lose little work. The lost work of a run is its run time (with checkpoints at
most the time between two of them), weighted by the resources of the whole gang.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import itertools

import msgspec

from citronmount.core import ids
from citronmount.fleet.placement import fitting
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = [
    "PreemptionPlan",
    "PreemptionSearch",
    "lost_work",
    "planned_work",
]

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
        Core-seconds, with accelerators counted as cores.
    """
    started_ms = run.placed_ms if run.started_ms is None else run.started_ms
    elapsed_s = max(now_ms - started_ms, 0) / _MS_PER_S
    if run.step.checkpoints:
        elapsed_s = min(elapsed_s, save_s)
    cores = worker_allocations.core_count(run.step.demand)
    return elapsed_s * cores * len(run.members)


def planned_work(step: spec.Step, tasks: int, run_time_ms: int) -> float:
    """Returns the work of a unit according to its expected run time.

    Args:
        step: The unit's step.
        tasks: Number of tasks that start together.
        run_time_ms: Expected run time of a task in milliseconds.

    Returns:
        Core-seconds, with accelerators counted as cores.
    """
    cores = worker_allocations.core_count(step.demand)
    return run_time_ms / _MS_PER_S * cores * tasks


class PreemptionSearch:
    """Finds cheap runs to stop for the units of one planning round.

    Runs are indexed by worker once per round, because a burst of urgent units
    may search while more than a thousand runs may be stopped.

    Attributes:
        runs: Runs that may be stopped or are being stopped.
    """

    def __init__(
        self,
        *,
        revocable: Iterable[unit_runs.Run],
        ending: Iterable[unit_runs.Run],
        cost: Cost,
    ) -> None:
        """Indexes the runs.

        Args:
            revocable: Runs that may be stopped.
            ending: Preempted runs that are being stopped. Waiting for their
                end costs nothing, so that the units of a burst share the
                capacity of a stopped gang. Runs that end for another cause may
                be on workers that do not answer.
            cost: Returns the cost of stopping a run.
        """
        self.runs = (*ending, *revocable)
        self._cost = cost
        self._ending_units = {run.unit for run in ending}
        self._costs = {run.unit: cost(run) for run in revocable}
        self._costs |= {run.unit: 0.0 for run in ending}
        self._runs_by_worker: dict[ids.WorkerId, list[unit_runs.Run]] = (
            collections.defaultdict(list)
        )
        for run in itertools.chain(ending, revocable):
            for worker in {m.place.worker for m in run.live_members}:
                self._runs_by_worker[worker].append(run)
        for runs in self._runs_by_worker.values():
            runs.sort(key=self._cost_of)

    def mark_stopped(self, runs: Iterable[unit_runs.Run]) -> None:
        """Makes runs free of cost that are stopped for a unit of this round."""
        for run in runs:
            if run.unit not in self._costs:
                continue
            self._costs[run.unit] = 0.0
            for worker in {m.place.worker for m in run.live_members}:
                self._runs_by_worker[worker].sort(key=self._cost_of)

    def mark_running(self, runs: Iterable[unit_runs.Run]) -> None:
        """Restores the cost of runs that are not stopped after all."""
        for run in runs:
            if run.unit not in self._costs or run.unit in self._ending_units:
                continue
            self._costs[run.unit] = self._cost(run)
            for worker in {m.place.worker for m in run.live_members}:
                self._runs_by_worker[worker].sort(key=self._cost_of)

    def find(
        self,
        requirements: fitting.Requirements,
        workers: Sequence[worker_directory.Worker],
        free: fitting.FreeCapacity,
        spread: fitting.Spread,
    ) -> PreemptionPlan | None:
        """Finds a cheap set of runs whose preemption makes a unit fit.

        If the unit must stay in one rack, each rack is searched and the
        cheapest plan is returned.

        Args:
            requirements: Placement requirements of the unit.
            workers: The workers that may receive tasks.
            free: Returns the free capacity of a worker.
            spread: Whether the unit may leave its preferred rack.

        Returns:
            The plan, or None if the unit would not fit even if all revocable
            runs were preempted.
        """
        usable = [w for w in workers if fitting.suits(requirements, w)]
        plans = [
            plan
            for group in fitting.worker_groups(requirements, usable, spread)
            if (plan := self._find_in_group(requirements, group, free, spread))
        ]
        return min(plans, key=lambda each: each.cost_core_s, default=None)

    def _find_in_group(
        self,
        requirements: fitting.Requirements,
        group: Sequence[worker_directory.Worker],
        free: fitting.FreeCapacity,
        spread: fitting.Spread,
    ) -> PreemptionPlan | None:
        """Greedy search: frees the slots that cost least until all tasks fit.

        The runs of a gang free capacity on several workers at once, so the
        offer of a worker is computed again if its capacity has changed since.
        Finally the most expensive victims that are not needed are spared.
        """
        freed = _FreedCapacity(
            requirements=requirements, group=group, free=free
        )
        offers = [
            offer
            for worker in group
            if (offer := self._cheapest_offer(worker, freed))
        ]
        heapq.heapify(offers)
        while freed.slot_count < requirements.tasks and offers:
            offer = heapq.heappop(offers)
            current = self._cheapest_offer(offer.worker, freed)
            if current is None:
                continue
            if current.cost_per_slot > offer.cost_per_slot:
                heapq.heappush(offers, current)
                continue
            freed.stop(current.victims)
            following = self._cheapest_offer(offer.worker, freed)
            if following is not None:
                heapq.heappush(offers, following)
        if freed.slot_count < requirements.tasks:
            return None
        victims = list(freed.victims.values())
        for run in sorted(victims, key=self._cost_of, reverse=True):
            freed.spare_if_not_needed(run)
        chosen = fitting.choose_workers(
            requirements, group, freed.free_after_stops, spread
        )
        if chosen is None:
            return None
        return PreemptionPlan(
            workers=tuple(chosen),
            victims=tuple(freed.victims.values()),
            cost_core_s=sum(map(self._cost_of, freed.victims.values())),
        )

    def _cost_of(self, run: unit_runs.Run) -> float:
        return self._costs[run.unit]

    def _cheapest_offer(
        self, worker: worker_directory.Worker, freed: "_FreedCapacity"
    ) -> "_Offer | None":
        """Returns the cheapest runs that free one more slot on a worker."""
        present = freed.slots_on(worker)
        victims: list[unit_runs.Run] = []
        gained = 0
        for run in self._runs_by_worker.get(worker.worker, ()):
            if run.unit in freed.victims:
                continue
            victims.append(run)
            gained = freed.slots_on(worker, victims) - present
            if gained > 0:
                break
        if gained <= 0:
            return None
        for run in victims[-2::-1]:
            others = [each for each in victims if each is not run]
            if freed.slots_on(worker, others) > present:
                victims = others
        gained = freed.slots_on(worker, victims) - present
        cost_core_s = sum(map(self._cost_of, victims))
        return _Offer(
            cost_per_slot=cost_core_s / gained,
            is_last_resort=worker.worker in freed.requirements.last,
            worker_id=worker.worker,
            worker=worker,
            victims=tuple(victims),
        )


class _Offer(msgspec.Struct, frozen=True, kw_only=True, order=False):
    """Runs whose end frees at least one more slot on a worker."""

    cost_per_slot: float
    is_last_resort: bool
    worker_id: ids.WorkerId
    worker: worker_directory.Worker
    victims: tuple[unit_runs.Run, ...]

    def __lt__(self, other: "_Offer") -> bool:
        """Orders offers by cost, for the heap."""
        return (self.cost_per_slot, self.is_last_resort, self.worker_id) < (
            other.cost_per_slot,
            other.is_last_resort,
            other.worker_id,
        )


class _FreedCapacity:
    """Slots for a unit's tasks on a group of workers as runs are stopped."""

    def __init__(
        self,
        *,
        requirements: fitting.Requirements,
        group: Sequence[worker_directory.Worker],
        free: fitting.FreeCapacity,
    ) -> None:
        self.requirements = requirements
        self.victims: dict[units.UnitId, unit_runs.Run] = {}
        self._free = free
        self._workers = {worker.worker: worker for worker in group}
        self._freed: dict[ids.WorkerId, spec.Demand] = {}
        self._slots = {
            worker.worker: fitting.task_limit(
                requirements, worker, free(worker)
            )
            for worker in group
        }
        self.slot_count = sum(self._slots.values())

    def slots_on(
        self,
        worker: worker_directory.Worker,
        more_victims: Iterable[unit_runs.Run] = (),
    ) -> int:
        """Returns the slots on a worker if more runs were stopped."""
        if not more_victims:
            return self._slots[worker.worker]
        available = self.free_after_stops(worker)
        for run in more_victims:
            available = worker_allocations.add_demands(
                available, _demand_on(run, worker.worker)
            )
        return fitting.task_limit(self.requirements, worker, available)

    def free_after_stops(self, worker: worker_directory.Worker) -> spec.Demand:
        """Returns the free capacity of a worker without the victims."""
        freed = self._freed.get(worker.worker)
        free = self._free(worker)
        return worker_allocations.add_demands(free, freed) if freed else free

    def stop(self, runs: Iterable[unit_runs.Run]) -> None:
        """Adds victims."""
        for run in runs:
            self.victims[run.unit] = run
            self._change(run, worker_allocations.add_demands)

    def spare_if_not_needed(self, run: unit_runs.Run) -> None:
        """Removes a victim if the unit fits without its end."""
        self._change(run, worker_allocations.subtract_demands)
        if self.slot_count >= self.requirements.tasks:
            del self.victims[run.unit]
        else:
            self._change(run, worker_allocations.add_demands)

    def _change(
        self,
        run: unit_runs.Run,
        combine: Callable[[spec.Demand, spec.Demand], spec.Demand],
    ) -> None:
        for worker_id in {m.place.worker for m in run.live_members}:
            worker = self._workers.get(worker_id)
            if worker is None:
                continue
            freed = self._freed.get(worker_id, worker_allocations.NO_DEMAND)
            self._freed[worker_id] = combine(freed, _demand_on(run, worker_id))
            slots = fitting.task_limit(
                self.requirements, worker, self.free_after_stops(worker)
            )
            self.slot_count += slots - self._slots[worker_id]
            self._slots[worker_id] = slots


def _demand_on(run: unit_runs.Run, worker: ids.WorkerId) -> spec.Demand:
    """Returns the resources that a run allocates on a worker."""
    demand = worker_allocations.allocated_demand(run.step)
    count = sum(m.place.worker == worker for m in run.live_members)
    return spec.Demand(
        millicores=demand.millicores * count,
        memory_mb=demand.memory_mb * count,
        accelerators=demand.accelerators * count,
    )
