"""Chooses workers of like speed by expected completion.

A gang is as slow as its slowest member, so it is offered ranges of adjacent
speed classes. Urgent units take the fastest range, units with much slack the
slowest one on which they are on time. A unit that would be late on what is
free, but on time on faster workers, waits as long as its slack lasts.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Sequence
import itertools

import msgspec

from citronmount.core import ids
from citronmount.fleet.placement import fitting
from citronmount.fleet.placement import slowdown_choice
from citronmount.fleet.placement import speed_classes
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.workers import speed_range
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

__all__ = ["SpeedChoice"]

# Time from a decision until all members of a gang run.
START_OVERHEAD_MS = 150
# Run times are rough estimates, so units that choose slow workers need some
# margin.
RELAXED_MARGIN_FACTOR = 1.2
# A late job still earns a part until three times its objective; the rest is
# margin.
LATE_OBJECTIVE_FACTOR = 2.5


_Slots = tuple[worker_directory.Worker, int]


class _Option(msgspec.Struct, frozen=True, kw_only=True):
    """A range of classes on which a unit may be placed.

    Attributes:
        lowest: Index of the slowest class.
        highest: Index of the fastest class.
        spread: Whether the unit leaves its preferred rack.
        run_ms: Expected run time.
        late: Whether the unit would miss its deadline.
    """

    lowest: int
    highest: int
    spread: fitting.Spread
    run_ms: float
    late: bool

    @property
    def width(self) -> int:
        """Number of classes beyond the slowest one."""
        return self.highest - self.lowest


class _Deadline(msgspec.Struct, frozen=True, kw_only=True):
    """Unix time by which a unit has to end, and whether that is late."""

    end_ms: int
    objective_missed: bool


class SpeedChoice:
    """Choice of workers of one planning round."""

    def __init__(
        self,
        *,
        workers: Sequence[worker_directory.Worker],
        speed: Callable[[worker_directory.Worker], speed_range.SpeedRange],
        delay_policy: delay_scheduling.DelayPolicy,
        wall_ms: int,
    ) -> None:
        """Initializes the classes of the workers.

        Args:
            workers: The workers that may receive tasks.
            speed: Returns the likely speeds of a worker.
            delay_policy: Limits the time that units wait for better workers.
            wall_ms: Unix time in milliseconds.
        """
        self._workers = list(workers)
        self._classes = speed_classes.SpeedClasses(workers=workers, speed=speed)
        self._delay_policy = delay_policy
        self._wall_ms = wall_ms
        self._fits_on_time: dict[Hashable, bool] = {}
        self._deadlines: dict[tuple[ids.JobId, int, int], _Deadline] = {}
        self._late_ids: dict[int, frozenset[ids.WorkerId]] = {}

    def key(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> Hashable:
        """Returns what the choice depends on beside a unit's shape."""
        if len(self._classes) < 2:
            return None
        return (
            self._first_on_time(unit),
            self._is_on_time(unit, self._spread_factor),
            self._is_urgent(unit),
            self._delay_policy.accepts_late(unit, guaranteed),
        )

    def last_resort(
        self, unit: waiting_units.WaitingUnit
    ) -> frozenset[ids.WorkerId]:
        """Returns the workers on which a unit would be late."""
        first = self._first_on_time(unit)
        late_ids = self._late_ids.get(first)
        if late_ids is None:
            late_ids = frozenset(
                each.worker
                for each in self._workers
                if self._classes.class_of(each) < first < len(self._classes)
            )
            self._late_ids[first] = late_ids
        return late_ids

    def awaited(
        self,
        unit: waiting_units.WaitingUnit,
        workers: list[worker_directory.Worker],
        guaranteed: bool,
    ) -> list[worker_directory.Worker]:
        """Returns the workers worth a preemption or a reservation.

        Those on which the unit is on time, or all if it accepts to be late.
        """
        if not self._waits(unit, guaranteed):
            return workers
        first = self._first_on_time(unit)
        return [e for e in workers if self._classes.class_of(e) >= first]

    def choose(
        self,
        unit: waiting_units.WaitingUnit,
        requirements: fitting.Requirements,
        workers: list[worker_directory.Worker],
        free: fitting.FreeCapacity,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> list[worker_directory.Worker] | None:
        """Returns a worker for each task, or None if the unit waits.

        Args:
            unit: The unit.
            requirements: Its placement requirements.
            workers: The workers that may receive tasks.
            free: Returns the free capacity of a worker.
            spread: Whether the unit may leave its preferred rack.
            guaranteed: Whether the unit is inside its account's guarantee.
        """
        requirements = msgspec.structs.replace(requirements, last=frozenset())
        if len(self._classes) < 2:
            return fitting.choose_workers(requirements, workers, free, spread)
        slots_by_class: list[list[_Slots]] = [[] for _ in self._classes.speeds]
        for slots in fitting.usable_slots(requirements, workers, free):
            slots_by_class[self._classes.class_of(slots[0])].append(slots)
        counts = [sum(n for _, n in each) for each in slots_by_class]
        for option in self._options(unit, spread):
            classes = slice(option.lowest, option.highest + 1)
            if sum(counts[classes]) < requirements.tasks:
                continue
            if option.late and self._waits(unit, guaranteed):
                return None
            fastest = slots_by_class[option.highest] if option.width else ()
            chosen = fitting.choose_from_slots(
                msgspec.structs.replace(
                    requirements, last=frozenset(e.worker for e, _ in fastest)
                ),
                list(itertools.chain.from_iterable(slots_by_class[classes])),
                free,
                option.spread,
            )
            if chosen is not None:
                return chosen
        return None

    def task_slots(
        self,
        unit: waiting_units.WaitingUnit,
        requirements: fitting.Requirements,
        workers: list[worker_directory.Worker],
        free: fitting.FreeCapacity,
        spread: fitting.Spread,
        guaranteed: bool,
    ) -> fitting.TaskSlots:
        """Returns the slots for single tasks like a unit.

        Within a class, the workers with the least free capacity come first.

        Args:
            unit: The unit.
            requirements: Placement requirements of all tasks.
            workers: The workers that may receive tasks.
            free: Returns the free capacity of a worker.
            spread: Whether the tasks may leave their preferred rack.
            guaranteed: Whether the unit is inside its account's guarantee.
        """
        requirements = msgspec.structs.replace(requirements, last=frozenset())
        if len(self._classes) < 2:
            return fitting.task_slots(requirements, workers, free, spread)
        waits = self._waits(unit, guaranteed)
        by_class = self._classes.split(workers)
        rack = unit.step.data_rack
        slots: list[_Slots] = []
        for option in self._options(unit, spread):
            if option.width or (option.late and waits):
                continue
            outside = option.spread is fitting.Spread.ANYWHERE
            members = [
                each
                for each in by_class[option.lowest]
                if not rack or (each.rack != rack) is outside
            ]
            slots += fitting.ordered_slots(requirements, members, free)
        return fitting.TaskSlots(slots=slots)

    @property
    def _spread_factor(self) -> float:
        return self._delay_policy.bounds.spread_factor

    def _options(
        self, unit: waiting_units.WaitingUnit, spread: fitting.Spread
    ) -> list[_Option]:
        """Returns the ranges of classes, the preferred ones first."""
        spreads = [fitting.Spread.PREFERRED]
        prefers_rack = unit.step.one_rack or unit.step.data_rack
        if spread is fitting.Spread.ANYWHERE and prefers_rack:
            spreads.append(spread)
        options = []
        for each in spreads:
            outside = each is fitting.Spread.ANYWHERE
            factor = self._spread_factor if outside else 1.0
            for lowest, speed in enumerate(self._classes.speeds):
                run_ms = unit.run_time.median_ms * factor / speed
                late = not self._is_on_time(unit, factor / speed)
                options += [
                    _Option(
                        lowest=lowest,
                        highest=highest,
                        spread=each,
                        run_ms=run_ms,
                        late=late,
                    )
                    for highest in range(lowest, len(self._classes))
                ]
        rank = _urgent_rank if self._is_urgent(unit) else _relaxed_rank
        return sorted(options, key=rank)

    def _waits(self, unit: waiting_units.WaitingUnit, guaranteed: bool) -> bool:
        """Returns whether a unit waits rather than be late.

        It does only if the workers on which it would be on time could hold it.
        """
        first = self._first_on_time(unit)
        if not 0 < first < len(self._classes):
            return False
        if self._delay_policy.accepts_late(unit, guaranteed):
            return False
        shape = (first, unit.submission.terms.service, unit.step, unit.tasks)
        fits = self._fits_on_time.get(shape)
        if fits is None:
            fits = self._fits_if_empty(unit, first)
            self._fits_on_time[shape] = fits
        return fits

    def _fits_if_empty(
        self, unit: waiting_units.WaitingUnit, first: int
    ) -> bool:
        """Returns whether a unit would fit on empty workers of some classes."""
        chosen = fitting.choose_workers(
            waiting_units.basic_requirements(unit),
            [e for e in self._workers if self._classes.class_of(e) >= first],
            lambda worker: worker.capacity,
            fitting.Spread.PREFERRED,
        )
        return chosen is not None

    def _first_on_time(self, unit: waiting_units.WaitingUnit) -> int:
        """Returns the slowest class on which a unit is on time.

        The number of classes if it is late on all.
        """
        return next(
            (
                index
                for index, speed in enumerate(self._classes.speeds)
                if self._is_on_time(unit, 1 / speed)
            ),
            len(self._classes),
        )

    def _is_on_time(
        self, unit: waiting_units.WaitingUnit, factor: float
    ) -> bool:
        """Returns whether a unit's job is on time if its run starts now.

        Args:
            unit: The unit.
            factor: Factor on the run time of an ordinary worker.
        """
        if unit.step.lasting:
            return True
        run_ms = unit.run_time.median_ms * factor
        if not self._is_urgent(unit):
            run_ms *= RELAXED_MARGIN_FACTOR
        end_ms = self._wall_ms + START_OVERHEAD_MS + run_ms
        return end_ms <= self._deadline(unit).end_ms

    def _is_urgent(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit needs fast workers to be on time."""
        if unit.step.lasting:
            return True
        slack_factor = unit.submission.terms.slack_factor
        relaxed = slack_factor >= slowdown_choice.RELAXED_SLACK_FACTOR
        return not relaxed and not self._deadline(unit).objective_missed

    def _deadline(self, unit: waiting_units.WaitingUnit) -> _Deadline:
        """Returns when a unit has to end for its job to earn what it still can.

        That is on time or, if the fastest workers cannot achieve it, late.
        """
        step_key = unit.key.job, unit.key.occurrence, unit.key.step
        cached = self._deadlines.get(step_key)
        if cached is None:
            later_ms = _later_steps_ms(
                unit.submission.workflow.steps,
                unit.key.step,
                unit.step_medians_ms,
            )
            end_ms = waiting_units.objective_end_ms(
                unit.submission,
                unit.key.occurrence,
                unit.step_medians_ms,
            )
            least_ms = unit.run_time.median_ms / self._classes.speeds[-1]
            missed = self._wall_ms + least_ms + later_ms > end_ms
            if missed:
                objective_ms = waiting_units.objective_ms(
                    unit.submission, unit.step_medians_ms
                )
                end_ms += int(objective_ms * (LATE_OBJECTIVE_FACTOR - 1))
            cached = _Deadline(
                end_ms=end_ms - later_ms, objective_missed=missed
            )
            self._deadlines[step_key] = cached
        return cached


def _urgent_rank(option: _Option) -> tuple:
    """Orders by expected completion, then ranges that spare faster workers."""
    return option.late, option.run_ms, option.highest


def _relaxed_rank(option: _Option) -> tuple:
    """Orders by waste of faster workers, then leaves fast ranges to others.

    Late options are ordered by expected completion.
    """
    if option.late:
        return True, option.run_ms, option.width
    outside = option.spread is fitting.Spread.ANYWHERE
    return False, outside, option.width, -option.run_ms


def _later_steps_ms(
    steps: Sequence[spec.Step], index: int, step_medians_ms: Sequence[int]
) -> int:
    """Returns the longest time of the steps that follow a step."""
    times_ms = step_medians_ms or [step.estimate_ms for step in steps]
    paths_ms = {index: 0}
    for later in range(index + 1, len(steps)):
        before = [paths_ms[e] for e in steps[later].after if e in paths_ms]
        if before:
            paths_ms[later] = max(before) + times_ms[later]
    return max(paths_ms.values())
