"""What a start earns and what a stop loses, in weighted core-seconds.

A job earns its whole value on time, a part of it late, and nothing after some
times its objective. Both sides of a preemption are expressed in the work of
the unit or run, times the weight of its priority, so that they can be compared.
"""

from collections.abc import Callable

from citronmount.fleet import fleet_configuration
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.estimates import run_time
from citronmount.fleet.placement import preemption
from citronmount.fleet.queueing import reservations
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["PreemptionWorth"]

# Share of its value that a late job earns, and how many times its objective a
# job may take to earn it.
LATE_SHARE = 0.35
LATEST_OBJECTIVE_FACTOR = 3.0
# Weight of the same work by priority; the last one holds for all below.
PRIORITY_WEIGHTS = (3.0, 1.5, 1.0)
# Below this share of its slack left, a unit cannot wait for runs to end.
RISKY_SLACK_SHARE = 0.25
# A second stop of a unit weighs this many times the first, and so on.
REPEATED_STOP_FACTOR = 2.0
MAX_COUNTED_STOPS = 4
# Time from a stop until the unit works again, if there is capacity for it.
RESTART_MS = 600

_MS_PER_S = 1_000


class PreemptionWorth:
    """Compares starts with stops at the time of one planning round."""

    def __init__(
        self,
        *,
        stop_count: Callable[[units.UnitId], int],
        bounds: fleet_configuration.Bounds,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Initializes the comparison.

        Args:
            stop_count: Returns how often a unit was stopped before.
            bounds: Time bounds and factors of the site.
            now_ms: Monotonic time in milliseconds.
            wall_ms: Unix time in milliseconds.
        """
        self._stop_count = stop_count
        self._bounds = bounds
        self._now_ms = now_ms
        self._wall_ms = wall_ms

    def start_worth(self, unit: waiting_units.WaitingUnit) -> float:
        """Returns what a unit earns by a start now in place of a later one.

        Args:
            unit: The waiting unit.

        Returns:
            Weighted core-seconds; 0 if its job earns nothing any more.
        """
        share = self._earned_share(
            unit.submission, unit.key, unit.run_time.low_ms
        )
        work = _weighted_work(unit.submission, unit.step, unit.run_time)
        return work * unit.tasks * share * self._risk(unit)

    def stop_loss(self, run: unit_runs.Run) -> float:
        """Returns what the stop of a run loses.

        Args:
            run: The run.

        Returns:
            Weighted core-seconds.
        """
        lost = preemption.lost_work(run, self._now_ms, self._bounds.save_s)
        work = _weighted_work(run.submission, run.step, run.run_time)
        tasks = len(run.members)
        run_ms = max(run.run_time.median_ms, 1)
        loss = lost * _weight(run.submission) + work * tasks * min(
            RESTART_MS / run_ms, 1.0
        )
        loss += self.lateness_loss(run)
        stops = min(self._stop_count(run.unit), MAX_COUNTED_STOPS)
        return loss * REPEATED_STOP_FACTOR**stops

    def lateness_loss(self, run: unit_runs.Run) -> float:
        """Returns what a job loses if it is late because a run is stopped.

        Args:
            run: The run.

        Returns:
            Weighted core-seconds.
        """
        work = _weighted_work(run.submission, run.step, run.run_time)
        return work * len(run.members) * self._lateness(run)

    def _lateness(self, run: unit_runs.Run) -> float:
        """Returns which share of its value a run's job loses by a restart."""
        left_ms = reservations.remaining_ms(run, self._now_ms)
        again_ms = run.run_time.median_ms
        if run.step.checkpoints:
            save_ms = self._bounds.save_s * _MS_PER_S
            again_ms = int(min(again_ms, left_ms + save_ms))
        kept = self._earned_share(run.submission, run.key, left_ms)
        after = self._earned_share(
            run.submission, run.key, RESTART_MS + again_ms
        )
        return max(kept - after, 0.0)

    def _earned_share(
        self, submission: spec.Submission, key: units.UnitKey, in_ms: int
    ) -> float:
        """Returns the share of its value that a job earns at a later time."""
        objective_ms = waiting_units.objective_ms(submission)
        due_ms = waiting_units.objective_end_ms(submission, key.occurrence)
        late_ms = self._wall_ms + in_ms - due_ms
        if late_ms <= 0:
            return 1.0
        in_time = late_ms <= (LATEST_OBJECTIVE_FACTOR - 1) * objective_ms
        return LATE_SHARE if in_time else 0.0

    def _risk(self, unit: waiting_units.WaitingUnit) -> float:
        """Returns how far a unit has used up the slack that it may wait.

        Units of the highest priority have too little slack to wait.
        """
        if unit.submission.terms.priority == guarantees.HIGHEST_PRIORITY:
            return 1.0
        left_share = waiting_units.left_slack_share(unit, self._wall_ms)
        return min(max(1.0 - left_share / RISKY_SLACK_SHARE, 0.0), 1.0)


def _weight(submission: spec.Submission) -> float:
    lowest = len(PRIORITY_WEIGHTS) - 1
    return PRIORITY_WEIGHTS[min(submission.terms.priority, lowest)]


def _weighted_work(
    submission: spec.Submission, step: spec.Step, expected: run_time.RunTime
) -> float:
    """Returns the weighted work of one task."""
    cores = worker_allocations.core_count(step.demand)
    return expected.median_ms / _MS_PER_S * cores * _weight(submission)
