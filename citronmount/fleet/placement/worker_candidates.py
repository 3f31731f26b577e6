"""The workers that units of one planning round may use, capacity aside."""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from citronmount.core import ids
from citronmount.fleet.placement import fitting
from citronmount.fleet.placement import start_isolation
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_table
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_health
from citronmount.workflow import units

__all__ = ["WorkerCandidates", "any_worker", "assume_fast", "assume_healthy"]


def assume_healthy(
    worker: worker_directory.Worker,
) -> worker_health.Assessment:
    """Returns the assessment of a worker that nothing is known about."""
    del worker
    return worker_health.Assessment()


def assume_fast(worker: worker_directory.Worker) -> float:
    """Returns the slowdown of a worker that nothing is known about."""
    del worker
    return 1.0


def any_worker(key: units.UnitKey, worker: worker_directory.Worker) -> bool:
    """Returns whether a queue without a policy allows a worker: always."""
    del key, worker
    return True


class WorkerCandidates:
    """Workers by health and speed, and what keeps a unit off a worker.

    Attributes:
        all: All workers that may receive tasks.
        trusted: Those that are not distrusted.
        slowdowns: Factor by which each worker is slower than a fast one.
    """

    def __init__(
        self,
        *,
        workers: Sequence[worker_directory.Worker],
        runs: Iterable[unit_runs.Run],
        assess: Callable[[worker_directory.Worker], worker_health.Assessment],
        slowdown: Callable[[worker_directory.Worker], float],
        allowed: Callable[[units.UnitKey, worker_directory.Worker], bool],
        attainable: fitting.FreeCapacity,
        now_ms: int = 0,
    ) -> None:
        """Sorts the workers by health and speed.

        Args:
            workers: The workers that may receive tasks.
            runs: All runs.
            assess: Returns the assessment of a worker.
            slowdown: Returns by which factor a worker is slower than a fast
                one.
            allowed: Returns whether the queue's policy allows a worker for a
                unit.
            attainable: Returns the capacity of a worker that no lasting run
                allocates.
            now_ms: Monotonic time in milliseconds.
        """
        self._attainable = attainable
        self._allowed = allowed
        assessments = {each.worker: assess(each) for each in workers}
        self.slowdowns = {each.worker: slowdown(each) for each in workers}
        self.all = list(workers)
        self.trusted = [
            each for each in workers if not assessments[each.worker].distrusted
        ]
        self._fast = [
            each
            for each in self.trusted
            if assessments[each.worker].slowness < worker_health.SLOW_FACTOR
            and self.slowdowns[each.worker] < worker_health.SLOW_FACTOR
        ]
        # By all that determines which workers a unit avoids.
        self._avoided: dict[tuple, frozenset[ids.WorkerId]] = {}
        all_runs = list(runs)
        self._isolation = start_isolation.StartIsolation(
            runs=all_runs, now_ms=now_ms
        )
        self._serving_ids = run_table.workers_of(
            run for run in all_runs if run.step.goal_ms
        )
        self._filling_ids = run_table.workers_of(
            run for run in all_runs if run.step.fills
        )

    def acceptable(
        self,
        unit: waiting_units.WaitingUnit,
        delay_policy: delay_scheduling.DelayPolicy,
        guaranteed: bool,
    ) -> list[worker_directory.Worker]:
        """Returns the workers that a unit accepts after its waiting time."""
        workers = self._fast
        if delay_policy.accepts_slow(unit, guaranteed):
            workers = self.trusted
        if delay_policy.accepts_distrusted(unit):
            workers = self.all
        return self.compatible(unit, workers)

    def compatible(
        self,
        unit: waiting_units.WaitingUnit,
        workers: Iterable[worker_directory.Worker],
    ) -> list[worker_directory.Worker]:
        """Returns the workers that a unit may share with what runs on them."""
        return [each for each in workers if self._is_compatible(unit, each)]

    def avoided(
        self,
        unit: waiting_units.WaitingUnit,
        requirements: fitting.Requirements,
        spread: fitting.Spread,
    ) -> frozenset[ids.WorkerId]:
        """Returns the workers to avoid, of which enough others remain.

        The workers that the unit has avoided for longest are left out until the
        others could hold all of its tasks, but for lasting runs on them.

        Args:
            unit: The unit.
            requirements: Its placement requirements without avoided workers.
            spread: Whether the unit may leave its preferred rack.
        """
        if not unit.avoid:
            return frozenset()
        taken = tuple(sorted(requirements.taken.items()))
        shape = (
            requirements.service,
            requirements.step,
            unit.avoid,
            spread,
            taken,
        )
        avoided = self._avoided.get(shape)
        if avoided is None:
            first = bisect.bisect_left(
                range(len(unit.avoid)),
                True,
                key=lambda index: self._may_ever_fit(
                    requirements, unit.avoid[index:], spread
                ),
            )
            avoided = frozenset(unit.avoid[first:])
            self._avoided[shape] = avoided
        return avoided

    def _may_ever_fit(
        self,
        requirements: fitting.Requirements,
        avoid: Iterable[ids.WorkerId],
        spread: fitting.Spread,
    ) -> bool:
        """Returns whether workers without some could ever hold a unit."""
        chosen = fitting.choose_workers(
            msgspec.structs.replace(requirements, avoid=frozenset(avoid)),
            self.all,
            self._attainable,
            spread,
        )
        return chosen is not None

    def note_placed(self, decision: waiting_units.Decision) -> None:
        """Takes into account what a decision starts."""
        self._isolation.note_placed(decision)
        worker_ids = {worker.worker for worker in decision.workers}
        if decision.waiting.step.goal_ms:
            self._serving_ids |= worker_ids
        if decision.waiting.step.fills:
            self._filling_ids |= worker_ids

    def _is_compatible(
        self, unit: waiting_units.WaitingUnit, worker: worker_directory.Worker
    ) -> bool:
        """Returns whether a unit may share a worker with what runs on it.

        Filling tasks increase the response times of serving tasks, so the two
        never share a worker.
        """
        if not self._isolation.allows(unit, worker):
            return False
        advised = unit.submission.terms.needs_advice
        if advised and not self._allowed(unit.key, worker):
            return False
        if unit.step.fills:
            return worker.worker not in self._serving_ids
        if unit.step.goal_ms:
            return worker.worker not in self._filling_ids
        return True
