"""Takes the progress rates of running tasks into the speed estimates.

Members of a gang and single tasks of one step do similar work. Rates are taken
early, because gangs are placed by them, and a second time when they are more
precise.
"""

import collections
from collections.abc import Hashable
import math
import statistics

import msgspec

from citronmount.fleet import owner_state
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet.workers import speed_estimates
from citronmount.fleet.workers import worker_speeds

__all__ = ["SpeedObserver", "observe_gang"]

# Work of similar tasks varies by these deviations of its logarithm.
GANG_WORK_DEVIATION = 0.1
STEP_WORK_DEVIATION = 0.25
# Percentages are whole numbers and reported with some delay.
PERCENT_DEVIATION = 0.7
SAMPLE_PERCENTS = (4.0, 40.0)
MIN_SAMPLE_MS = 300
# Workers report the progress once a second unless polled.
POLL_AFTER_MS = 350
POLL_ESTIMATE_SHARE = 0.08
MAX_POLL_AFTER_MS = 900
POLL_DEVIATION = 0.2
MAX_POLLS = 64


class _Sample(msgspec.Struct, frozen=True, kw_only=True):
    group: Hashable
    rate: speed_estimates.Rate


class SpeedObserver:
    """Observes the runs of an owner."""

    def __init__(
        self,
        *,
        state: owner_state.OwnerState,
        estimates: speed_estimates.SpeedEstimates,
    ) -> None:
        """Initializes the observer.

        Args:
            state: State shared by the parts of the owner.
            estimates: The estimates to update.
        """
        self._state = state
        self._estimates = estimates

    def observe(self, now_ms: int) -> None:
        """Takes the new rates of all runs and polls for early ones.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        rates: dict[Hashable, list[speed_estimates.Rate]] = (
            collections.defaultdict(list)
        )
        poll_count = 0
        for run in self._state.table:
            if run.started_ms is None or run.step.lasting:
                continue
            if run.step.tasks < 2:
                continue
            polls = poll_count < MAX_POLLS and _is_poll_due(run, now_ms)
            for member in run.members:
                if member.speed_samples >= len(SAMPLE_PERCENTS):
                    continue
                session = self._state.session_at_place(member.place)
                if session is None:
                    continue
                sample = self._take_sample(run, member, session)
                if sample is not None:
                    rates[sample.group].append(sample.rate)
                elif polls and self._poll(member, session):
                    poll_count += 1
        for group, each in rates.items():
            self._estimates.observe_group(group, each, now_ms)

    def _poll(
        self, member: unit_runs.Member, session: lease_sessions.LeaseSession
    ) -> bool:
        """Polls the worker of a member once if its speed is uncertain."""
        if member.rate_polled or member.speed_samples:
            return False
        member.rate_polled = True
        machine = session.worker.speed_key
        if self._estimates.deviation(machine) < POLL_DEVIATION:
            return False
        session.poll_soon()
        self._state.changed_workers.add(session.worker.worker)
        return True

    def _take_sample(
        self,
        run: unit_runs.Run,
        member: unit_runs.Member,
        session: lease_sessions.LeaseSession,
    ) -> _Sample | None:
        """Returns the rate of a member if it is more precise than the last."""
        progress = member.progress
        gained = progress.gained_percent
        if progress.measured_ms < MIN_SAMPLE_MS:
            return None
        if gained < SAMPLE_PERCENTS[member.speed_samples]:
            return None
        first = not member.speed_samples
        if first:
            member.speed_sample_percent = gained
        precise = gained >= SAMPLE_PERCENTS[-1]
        member.speed_samples = len(SAMPLE_PERCENTS) if precise else 1
        factor = 1.0
        worker = session.worker
        if not run.step.gang and run.step.data_rack not in ("", worker.rack):
            factor = self._state.bounds.spread_factor
        variance = _variance(run, gained)
        if not first:
            earlier = _variance(run, member.speed_sample_percent)
            variance = 1 / (1 / variance - 1 / earlier)
        return _Sample(
            group=(run.unit, run.number) if run.step.gang else run.key.step_key,
            rate=speed_estimates.Rate(
                machine=worker.speed_key,
                log_rate=math.log(gained * factor / progress.measured_ms),
                variance=variance,
            ),
        )


def observe_gang(
    state: owner_state.OwnerState, run: unit_runs.Run, now_ms: int
) -> None:
    """Updates the estimates without `worker-speeds` at the end of a gang.

    Args:
        state: State shared by the parts of the owner.
        run: The run that ends.
        now_ms: Monotonic time in milliseconds.
    """
    speeds = state.speeds
    if not isinstance(speeds, worker_speeds.WorkerSpeeds):
        return
    if not run.step.gang:
        return
    rates = collections.defaultdict(list)
    for member in run.members:
        session = state.session_at_place(member.place)
        rate = member.progress.percent_per_s
        if session is not None and rate is not None:
            rates[session.worker.speed_key].append(rate)
    mean_rates = {key: statistics.mean(each) for key, each in rates.items()}
    speeds.observe(mean_rates, now_ms)


def _is_poll_due(run: unit_runs.Run, now_ms: int) -> bool:
    """Returns whether a task of ordinary speed should have a first rate."""
    due_ms = min(
        max(POLL_AFTER_MS, run.run_time.median_ms * POLL_ESTIMATE_SHARE),
        MAX_POLL_AFTER_MS,
    )
    return now_ms - (run.started_ms or 0) >= due_ms


def _variance(run: unit_runs.Run, gained_percent: float) -> float:
    work = GANG_WORK_DEVIATION if run.step.gang else STEP_WORK_DEVIATION
    return work**2 + (PERCENT_DEVIATION / gained_percent) ** 2
