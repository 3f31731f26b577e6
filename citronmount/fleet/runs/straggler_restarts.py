"""Decides whether a gang restarts without a member that became slow.

A member is a straggler only relative to what the permanent speed of its machine
explains. A gang with one is restarted if workers that are free now promise an
earlier end than staying.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import statistics

import msgspec

from citronmount.core import ids
from citronmount.fleet import owner_state
from citronmount.fleet.placement import fitting
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import speed_estimates
from citronmount.fleet.workers import speed_range
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory

__all__ = [
    "RestartGain",
    "StragglerRestarts",
    "UsableWorkers",
    "expected_gain",
    "stragglers",
]

# Ratio of the explained to the measured rate from which a member is a
# straggler. Covers the differences of work between the tasks of a step.
STRAGGLER_FACTOR = 1.5
# Run times of a restarted run vary, and its units compete with others.
RESTART_FACTOR = 1.3
RESTART_OVERHEAD_S = 0.6

_FULL_PERCENT = 100.0

Speeds = Mapping[ids.WorkerId, speed_range.SpeedRange]
UsableWorkers = Callable[[int], list[worker_directory.Worker]]


class RestartGain(msgspec.Struct, frozen=True, kw_only=True):
    """Expected times to the end of a gang.

    Attributes:
        stay_s: Time if it stays.
        restart_s: Time if it is restarted, with overhead and without margin.
    """

    stay_s: float
    restart_s: float

    @property
    def is_worthwhile(self) -> bool:
        """Whether the restart ends earlier by `RESTART_FACTOR`."""
        return self.restart_s * RESTART_FACTOR < self.stay_s


def stragglers(run: unit_runs.Run, speeds: Speeds) -> frozenset[ids.WorkerId]:
    """Returns the workers that are slower than their speeds explain.

    The level is the rate on a worker of speed 1: the upper quartile over the
    members of their rate, divided by the highest likely speed of their worker.
    A member is a straggler if it is slower than the level times the lowest
    likely speed of its worker, by `STRAGGLER_FACTOR`.

    Args:
        run: A run whose members are all running.
        speeds: Likely speeds of the workers of its members.

    Returns:
        The workers, or an empty set if rates are missing.
    """
    rates = _rates(run)
    if not rates:
        return frozenset()
    levels = sorted(
        rate / speeds[worker].high for worker, rate in rates.items()
    )
    level = levels[len(levels) * 3 // 4]
    return frozenset(
        worker
        for worker, rate in rates.items()
        if rate * STRAGGLER_FACTOR < level * speeds[worker].low
    )


def expected_gain(
    run: unit_runs.Run,
    *,
    slow: frozenset[ids.WorkerId],
    groups: Sequence[Sequence[worker_directory.Worker]],
    slot_count: Callable[[worker_directory.Worker], int],
    speeds: Speeds,
    save_s: float,
) -> RestartGain | None:
    """Compares the time to the end of a gang if it stays or is restarted.

    The measured rate applies to the gang's own workers, the expected speed to
    the others.

    Args:
        run: A run whose members are all running.
        slow: Its stragglers, at least one.
        groups: Sets of usable workers of which one has to hold all tasks.
        slot_count: Returns how many tasks of the run fit on a worker once the
            run has ended.
        speeds: Likely speeds of the workers.
        save_s: Work in seconds between two checkpoints of a task.

    Returns:
        The times, or None if the run would not fit.
    """
    rates = _rates(run)
    level = statistics.median_high(
        rate / speeds[worker].expected for worker, rate in rates.items()
    )
    restart_rates = []
    for group in groups:
        slots = [
            (
                rates.get(each.worker, level * speeds[each.worker].expected),
                slot_count(each),
            )
            for each in group
            if each.worker not in slow
        ]
        restart_rate = _slowest_used(slots, len(run.members))
        if restart_rate:
            restart_rates.append(restart_rate)
    if not restart_rates:
        return None
    work_percent = _FULL_PERCENT - _saved_percent(run, save_s)
    return RestartGain(
        stay_s=max(map(_remaining_s, run.live_members)),
        restart_s=work_percent / max(restart_rates) + RESTART_OVERHEAD_S,
    )


def _rates(run: unit_runs.Run) -> dict[ids.WorkerId, float]:
    """Returns the lowest rate on each worker, in percent per second."""
    rates: dict[ids.WorkerId, float] = {}
    for member in run.live_members:
        rate = member.progress.rough_percent_per_s
        if rate is not None:
            worker = member.place.worker
            rates[worker] = min(rate, rates.get(worker, rate))
    return rates


def _slowest_used(
    slots: Sequence[tuple[float, int]], tasks: int
) -> float | None:
    """Returns the lowest of the highest rates that hold all tasks."""
    for rate, count in sorted(slots, reverse=True):
        tasks -= count
        if count and tasks <= 0:
            return rate
    return None


def _saved_percent(run: unit_runs.Run, save_s: float) -> float:
    """Returns the progress that a restarted run keeps at least."""
    if not run.saved:
        return 0.0
    kept = [
        member.progress.percent
        - save_s * (member.progress.rough_percent_per_s or 0.0)
        for member in run.live_members
    ]
    return max(min(kept), 0.0)


def _remaining_s(member: unit_runs.Member) -> float:
    rate = member.progress.rough_percent_per_s
    if rate is None:
        return 0.0
    if rate <= 0:
        return float("inf")
    return (_FULL_PERCENT - member.progress.percent) / rate


class StragglerRestarts:
    """Finds the gangs to restart among the runs of an owner."""

    def __init__(
        self,
        *,
        state: owner_state.OwnerState,
        estimates: speed_estimates.SpeedEstimates,
        usable_workers: UsableWorkers,
    ) -> None:
        """Initializes the search.

        Args:
            state: State shared by the parts of the owner.
            estimates: Speed estimates of the machines.
            usable_workers: Returns the workers that may receive tasks at a
                monotonic time in milliseconds.
        """
        self._state = state
        self._estimates = estimates
        self._usable_workers = usable_workers

    def workers_to_leave(
        self, run: unit_runs.Run, now_ms: int
    ) -> frozenset[ids.WorkerId]:
        """Returns the stragglers of a gang that should restart without them.

        Args:
            run: A run whose members are all running.
            now_ms: Monotonic time in milliseconds.

        Returns:
            The workers, or an empty set if the gang should stay.
        """
        speeds = self._speeds_of_members(run)
        if len(speeds) < len({each.place for each in run.members}):
            return frozenset()
        slow = stragglers(run, speeds)
        if not slow:
            return slow
        gain = self._gain(run, slow, speeds, now_ms)
        if gain is None or not gain.is_worthwhile:
            return frozenset()
        self._state.log.info(
            "straggler_restart",
            unit=run.unit,
            run=run.number,
            stay_s=round(gain.stay_s, 1),
            restart_s=round(gain.restart_s, 1),
            speeds={
                worker: [round(each.low, 2), round(each.high, 2)]
                for worker, each in speeds.items()
            },
        )
        return slow

    def _speeds_of_members(self, run: unit_runs.Run) -> Speeds:
        sessions = (
            self._state.session_at_place(each.place) for each in run.members
        )
        return {
            session.worker.worker: self._speed(session.worker)
            for session in sessions
            if session is not None
        }

    def _speed(self, worker: worker_directory.Worker) -> speed_range.SpeedRange:
        return self._estimates.speed_range(worker.speed_key)

    def _gain(
        self,
        run: unit_runs.Run,
        slow: frozenset[ids.WorkerId],
        speeds: Speeds,
        now_ms: int,
    ) -> RestartGain | None:
        avoided = self._state.avoided_workers.get(run.unit, ())
        requirements = fitting.Requirements(
            tasks=len(run.members),
            step=run.step,
            service=run.submission.terms.service,
            avoid=slow.union(avoided),
        )
        usable = [
            each
            for each in self._usable_workers(now_ms)
            if fitting.suits(requirements, each)
            and not self._state.health.assess(each, now_ms).distrusted
        ]
        own_tasks = collections.Counter(
            member.place.worker for member in run.live_members
        )
        demand = worker_allocations.allocated_demand(run.step)

        def slot_count(worker: worker_directory.Worker) -> int:
            free = worker_allocations.subtract_demands(
                worker.capacity,
                self._state.table.allocations.used(worker.worker),
            )
            for _ in range(own_tasks[worker.worker]):
                free = worker_allocations.add_demands(free, demand)
            return fitting.task_limit(requirements, worker, free)

        return expected_gain(
            run,
            slow=slow,
            groups=fitting.worker_groups(
                requirements, usable, self._spread(run)
            ),
            slot_count=slot_count,
            speeds={**speeds, **{e.worker: self._speed(e) for e in usable}},
            save_s=self._state.bounds.save_s,
        )

    def _spread(self, run: unit_runs.Run) -> fitting.Spread:
        """Returns whether a run is outside its preferred rack now."""
        sessions = (
            self._state.session_at_place(each.place) for each in run.members
        )
        racks = {each.worker.rack for each in sessions if each is not None}
        inside = len(racks) == 1 and run.step.data_rack in ("", *racks)
        return fitting.Spread.PREFERRED if inside else fitting.Spread.ANYWHERE
