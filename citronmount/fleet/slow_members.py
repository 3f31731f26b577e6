"""Finds gangs that would be done sooner if they began again elsewhere.

Load pattern: workers turn several times slower for a while, and one slow
member holds up a whole gang with all its room.
"""

from citronmount.core import ids
from citronmount.fleet import unit_runs

__all__ = ["slow_workers"]

SLOW_FACTOR = 2.0
RESTART_FACTOR = 1.3
RESTART_S = 0.6

_WHOLE_PERCENT = 100.0


def slow_workers(run: unit_runs.Run) -> frozenset[ids.WorkerId]:
    """Returns the workers that a gang should leave.

    Members of a gang do equal work, so the quickest one tells how long a run
    without the slow ones would take.

    Args:
        run: A run at work.

    Returns:
        The workers whose members get on at less than half the best rate, if
        waiting for them takes longer than beginning again.
    """
    rates = {
        member.task: member.progress.rough_percent_per_s
        for member in run.live_members
    }
    known = [rate for rate in rates.values() if rate is not None]
    best = max(known, default=0.0)
    if not best:
        return frozenset()
    slow = [
        member
        for member in run.live_members
        if (rate := rates[member.task]) is not None
        and rate * SLOW_FACTOR < best
    ]
    again_s = RESTART_FACTOR * _WHOLE_PERCENT / best + RESTART_S
    left_s = max((_left_s(member) for member in slow), default=0.0)
    if left_s <= again_s:
        return frozenset()
    return frozenset(member.place.worker for member in slow)


def _left_s(member: unit_runs.Member) -> float:
    rate = member.progress.rough_percent_per_s
    if not rate:
        return float("inf")
    return (_WHOLE_PERCENT - member.progress.percent) / rate
