"""Integrals over a replay: capacity, fair shares and achievable work."""

import collections
import itertools

from citronmount.bench import workload
from citronmount.core import ids

__all__ = [
    "FairShareTracker",
    "StepFunction",
    "unlimited_demand",
    "work_upper_bound_s",
]


class StepFunction:
    """A piecewise constant function of time."""

    def __init__(self) -> None:
        """Initializes the function that is 0 everywhere."""
        self._steps: dict[int, float] = collections.defaultdict(float)

    def add(self, at_ms: int, change: float) -> None:
        """Adds a step.

        Args:
            at_ms: Time of the step.
            change: Difference of the values after and before it.
        """
        self._steps[at_ms] += change

    def steps(self) -> list[tuple[int, float]]:
        """Returns the times and changes of the steps, sorted by time."""
        return sorted(self._steps.items())


def unlimited_demand(trace: tuple[workload.TracedJob, ...]) -> StepFunction:
    """Returns the accelerators in use if every job started on arrival.

    Jobs that fail or are cancelled do not count.

    Args:
        trace: The jobs.

    Returns:
        Accelerators over time.
    """
    demand = StepFunction()
    for job in trace:
        if job.fails or job.cancel_ms is not None:
            continue
        accelerators = job.spec.accelerators
        demand.add(job.arrival_ms, accelerators)
        demand.add(
            job.arrival_ms + round(job.true_run_s * 1_000), -accelerators
        )
    return demand


def work_upper_bound_s(
    demand: StepFunction, capacity: StepFunction, horizon_ms: int
) -> float:
    """Returns an upper bound on the work that any scheduler can do.

    For any s <= t, the work done by time t is at most the demand that arrived
    by s plus the capacity from s to t. The minimum over s is the work that a
    fluid queue serves.

    Args:
        demand: Accelerators in use if capacity were unlimited.
        capacity: Accelerators that may be used.
        horizon_ms: End of the interval, which begins at 0.

    Returns:
        Accelerator seconds.
    """
    times = {at for at, _ in (*demand.steps(), *capacity.steps())}
    borders = sorted({at for at in times if at < horizon_ms} | {horizon_ms})
    demand_steps = dict(demand.steps())
    capacity_steps = dict(capacity.steps())
    demand_now = capacity_now = backlog = done = 0.0
    for start, end in itertools.pairwise([*borders, horizon_ms]):
        demand_now += demand_steps.get(start, 0.0)
        capacity_now += capacity_steps.get(start, 0.0)
        seconds = (end - start) / 1_000
        work = backlog + demand_now * seconds
        served = min(work, capacity_now * seconds)
        backlog = work - served
        done += served
    return done


class FairShareTracker:
    """Measures how far accounts fall short of their max-min fair shares.

    A tracker covers one failure domain. Each account is first due its
    guarantee there, as far as it has demand; the remaining capacity is divided
    evenly among accounts with further demand. An account counts as short only
    while its smallest queued job would fit into its shortfall.
    """

    def __init__(self, *, guaranteed: dict[ids.AccountId, int]) -> None:
        """Initializes a tracker at time 0, with no capacity.

        Args:
            guaranteed: Accelerators guaranteed to each compared account.
        """
        self._guaranteed = guaranteed
        self._capacity = 0
        self._allocated: dict[ids.AccountId, int] = collections.Counter()
        self._queued = {a: collections.Counter() for a in guaranteed}
        self._last_ms = 0
        self._due_s: dict[ids.AccountId, float] = collections.Counter()
        self._short_s: dict[ids.AccountId, float] = collections.Counter()

    def advance(self, now_ms: int) -> None:
        """Adds the shares and shortfalls of the time since the last call."""
        passed_s = (now_ms - self._last_ms) / 1_000
        self._last_ms = now_ms
        if not passed_s or not any(self._queued.values()):
            return
        for account, due in self._fair_shares().items():
            if not self._queued[account]:
                continue
            self._due_s[account] += passed_s * due
            short = due - self._allocated[account]
            if short >= min(self._queued[account]):
                self._short_s[account] += passed_s * short

    def set_capacity(self, accelerators: int) -> None:
        """Sets the number of accelerators in service."""
        self._capacity = accelerators

    def record_queued(
        self, account: ids.AccountId, size: int, change: int
    ) -> None:
        """Records that jobs of one size entered or left the queue.

        Args:
            account: Account of the jobs; accounts not compared are ignored.
            size: Accelerators of each job; jobs without any are ignored.
            change: 1 for each job that entered, -1 for each that left.
        """
        if account not in self._queued or not size:
            return
        self._queued[account][size] += change
        if not self._queued[account][size]:
            del self._queued[account][size]

    def record_allocated(self, account: ids.AccountId, change: int) -> None:
        """Records that accelerators were allocated or freed.

        Args:
            account: The account.
            change: Number allocated; negative if freed.
        """
        self._allocated[account] += change

    def due_and_short_s(self) -> dict[ids.AccountId, tuple[float, float]]:
        """Returns accelerator seconds due and of shortfall, by account.

        Only time in which the account had queued jobs counts.
        """
        return {
            account: (due, self._short_s[account])
            for account, due in self._due_s.items()
        }

    def _fair_shares(self) -> dict[ids.AccountId, float]:
        """Returns the accelerators due to each account now.

        Capacity beyond the guarantees is divided by water-filling: the smallest
        unmet demand is served first, and what an account does not need of an
        even share is left to the others.
        """
        demand = {
            account: self._allocated[account]
            + sum(size * count for size, count in sizes.items())
            for account, sizes in self._queued.items()
        }
        due = {
            account: float(min(demand[account], guaranteed))
            for account, guaranteed in self._guaranteed.items()
        }
        remaining = self._capacity - sum(due.values())
        unmet = sorted((demand[a] - due[a], a) for a in due)
        for accounts_left, (wanted, account) in zip(
            range(len(unmet), 0, -1), unmet, strict=True
        ):
            share = min(wanted, max(0.0, remaining) / accounts_left)
            due[account] += share
            remaining -= share
        return due
