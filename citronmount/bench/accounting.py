"""Integrals over a replay: capacity, served shares and allowed work."""

import collections
import itertools

from citronmount.bench import workload
from citronmount.core import ids

__all__ = ["ServedShares", "StepFunction", "allowed_work_s", "demand_rate"]


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


def demand_rate(trace: tuple[workload.TracedJob, ...]) -> StepFunction:
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


def allowed_work_s(
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


class ServedShares:
    """Accelerator time of accounts while pairs of them wait for more.

    Two accounts are compared in one failure domain over the time in which
    both have jobs queued there.
    """

    def __init__(self, *, accounts: frozenset[ids.AccountId]) -> None:
        """Initializes without any time.

        Args:
            accounts: The accounts to compare.
        """
        self._accounts = accounts
        self._held: dict[ids.AccountId, int] = collections.Counter()
        self._queued: dict[ids.AccountId, int] = collections.Counter()
        self._last_ms = 0
        self._served: dict[tuple[ids.AccountId, ids.AccountId], list[float]]
        self._served = collections.defaultdict(lambda: [0.0, 0.0])

    def advance(self, now_ms: int) -> None:
        """Adds the time since the last change.

        Args:
            now_ms: The time.
        """
        passed_s = (now_ms - self._last_ms) / 1_000
        self._last_ms = now_ms
        if not passed_s:
            return
        waiting = sorted(a for a, count in self._queued.items() if count > 0)
        for pair in itertools.combinations(waiting, 2):
            served = self._served[pair]
            served[0] += passed_s * self._held[pair[0]]
            served[1] += passed_s * self._held[pair[1]]

    def queue(self, account: ids.AccountId, change: int) -> None:
        """Notes that jobs came into the queue or left it.

        Args:
            account: Their account.
            change: How many came.
        """
        if account in self._accounts:
            self._queued[account] += change

    def hold(self, account: ids.AccountId, change: int) -> None:
        """Notes that accelerators were taken or returned.

        Args:
            account: The account.
            change: How many were taken.
        """
        self._held[account] += change

    def pairs(self) -> dict[tuple[ids.AccountId, ids.AccountId], list[float]]:
        """Returns the accelerator seconds of both accounts of each pair."""
        return dict(self._served)
