"""Detects gangs that would finish sooner if restarted on other workers.

Workers may become several times slower for a while, and one slow member delays
its whole gang and blocks all resources that the gang allocates.
"""

from citronmount.core import ids
from citronmount.fleet.runs import unit_runs

__all__ = ["slow_workers"]

SLOW_FACTOR = 2.0
RESTART_FACTOR = 1.3
RESTART_OVERHEAD_S = 0.6

_FULL_PERCENT = 100.0


def slow_workers(run: unit_runs.Run) -> frozenset[ids.WorkerId]:
    """Returns the workers that a gang should leave.

    Members of a gang do equal work, so the progress rate of the fastest member
    yields the run time on workers that are not slow.

    Args:
        run: A run whose members are all running.

    Returns:
        The workers whose members progress at less than half the best rate, if
        one of these members needs more time to finish than a restarted run;
        otherwise an empty set. A restarted run counts from the start: its time
        is that of a whole run at the best rate, times `RESTART_FACTOR`, plus
        `RESTART_OVERHEAD_S`.
    """
    rates = {
        member.task: member.progress.rough_percent_per_s
        for member in run.live_members
    }
    measured = [rate for rate in rates.values() if rate is not None]
    best = max(measured, default=0.0)
    if not best:
        return frozenset()
    slow = [
        member
        for member in run.live_members
        if (rate := rates[member.task]) is not None
        and rate * SLOW_FACTOR < best
    ]
    restart_s = RESTART_FACTOR * _FULL_PERCENT / best + RESTART_OVERHEAD_S
    remaining_s = max((_remaining_s(member) for member in slow), default=0.0)
    if remaining_s <= restart_s:
        return frozenset()
    return frozenset(member.place.worker for member in slow)


def _remaining_s(member: unit_runs.Member) -> float:
    rate = member.progress.rough_percent_per_s
    if not rate:
        return float("inf")
    return (_FULL_PERCENT - member.progress.percent) / rate
