"""Integrals over a replay: capacity, served shares and allowed work."""

import collections
import itertools

from citronmount.bench import workload
from citronmount.core import ids

__all__ = [
    "FairShareTracker",
    "StepFunction",
    "work_upper_bound_s",
    "unlimited_demand",
]


class StepFunction:
    """A piecewise constant function of time, given by its steps."""

    def __init__(self) -> None:
        """Initializes the zero function."""
        self._steps: dict[int, float] = collections.defaultdict(float)

    def add(self, at_ms: int, change: float) -> None:
        """Adds a step.

        Args:
            at_ms: When the value changes.
            change: By how much.
        """
        self._steps[at_ms] += change

    def steps(self) -> list[tuple[int, float]]:
        """Returns times and changes, sorted by time."""
        return sorted(self._steps.items())


def unlimited_demand(trace: tuple[workload.TracedJob, ...]) -> StepFunction:
    """Returns the accelerators in use if there were no limit to them.

    Args:
        trace: The jobs.

    Returns:
        Accelerators over time.
    """
    rate = StepFunction()
    for job in trace:
        if job.fails or job.cancel_ms is not None:
            continue
        width = job.spec.accelerators
        rate.add(job.arrival_ms, width)
        rate.add(job.arrival_ms + round(job.true_run_s * 1_000), -width)
    return rate


def work_upper_bound_s(
    demand: StepFunction, capacity: StepFunction, horizon_ms: int
) -> float:
    """Returns an upper bound on the work that any scheduler can have done.

    Work done by time t is at most the demand that came by any s <= t plus
    the capacity from s to t; the least over s is what a fluid queue serves.

    Args:
        demand: Accelerators in use without a limit.
        capacity: Accelerators that may be used.
        horizon_ms: The end.

    Returns:
        Accelerator seconds.
    """
    times = {at for at, _ in (*demand.steps(), *capacity.steps())}
    marks = sorted({at for at in times if at < horizon_ms} | {horizon_ms})
    demand_steps = dict(demand.steps())
    capacity_steps = dict(capacity.steps())
    demand_now = capacity_now = backlog = done = 0.0
    for start, end in itertools.pairwise([*marks, horizon_ms]):
        demand_now += demand_steps.get(start, 0.0)
        capacity_now += capacity_steps.get(start, 0.0)
        seconds = (end - start) / 1_000
        work = backlog + demand_now * seconds
        served = min(work, capacity_now * seconds)
        backlog = work - served
        done += served
    return done


class FairShareTracker:
    """How far accounts fall short of their due shares in a failure domain.

    Due shares are max-min fair: each account first gets its guarantee, as far
    as it has demand, and the rest is filled up evenly. An account is short
    only while one of its queued jobs would fit into its due share whole.
    """

    def __init__(self, *, guaranteed: dict[ids.AccountId, int]) -> None:
        """Initializes without any time.

        Args:
            guaranteed: Accelerators guaranteed to each account compared.
        """
        self._guaranteed = guaranteed
        self._capacity = 0
        self._held: dict[ids.AccountId, int] = collections.Counter()
        self._queued = {a: collections.Counter() for a in guaranteed}
        self._last_ms = 0
        self._due_s: dict[ids.AccountId, float] = collections.Counter()
        self._short_s: dict[ids.AccountId, float] = collections.Counter()

    def advance(self, now_ms: int) -> None:
        """Adds the time since the last change.

        Args:
            now_ms: The time.
        """
        passed_s = (now_ms - self._last_ms) / 1_000
        self._last_ms = now_ms
        if not passed_s or not any(self._queued.values()):
            return
        for account, due in self._due().items():
            if not self._queued[account]:
                continue
            self._due_s[account] += passed_s * due
            short = due - self._held[account]
            if short >= min(self._queued[account]):
                self._short_s[account] += passed_s * short

    def set_capacity(self, accelerators: int) -> None:
        """Notes how many accelerators are in service.

        Args:
            accelerators: Their number.
        """
        self._capacity = accelerators

    def record_queued(
        self, account: ids.AccountId, size: int, change: int
    ) -> None:
        """Notes that a job came into the queue or left it.

        Args:
            account: Its account.
            size: Its accelerators.
            change: 1 if it came, -1 if it left.
        """
        if account not in self._queued or not size:
            return
        self._queued[account][size] += change
        if not self._queued[account][size]:
            del self._queued[account][size]

    def record_allocated(self, account: ids.AccountId, change: int) -> None:
        """Notes that accelerators were taken or returned.

        Args:
            account: The account.
            change: How many were taken.
        """
        self._held[account] += change

    def due_and_short_s(self) -> dict[ids.AccountId, tuple[float, float]]:
        """Returns the due and the missing accelerator seconds of accounts."""
        return {
            account: (due, self._short_s[account])
            for account, due in self._due_s.items()
        }

    def _due(self) -> dict[ids.AccountId, float]:
        demand = {
            account: self._held[account]
            + sum(size * count for size, count in sizes.items())
            for account, sizes in self._queued.items()
        }
        due = {
            account: float(min(demand[account], guaranteed))
            for account, guaranteed in self._guaranteed.items()
        }
        rest = self._capacity - sum(due.values())
        extra = sorted((demand[a] - due[a], a) for a in due)
        for left, (wanted, account) in zip(
            range(len(extra), 0, -1), extra, strict=True
        ):
            filled = min(wanted, max(0.0, rest) / left)
            due[account] += filled
            rest -= filled
        return due
