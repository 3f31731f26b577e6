"""Chooses the step and the workers of the next advice request.

The advice service handles one request at a time, and tickets expire. A step
that waits for capacity would ask again and again, so the steps take turns: the
one whose last request is the longest ago comes first.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools

from citronmount.fleet import commands
from citronmount.fleet import owner_state
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.workers import worker_directory

__all__ = ["next_advice_request"]


def next_advice_request(
    state: owner_state.OwnerState,
    waiting: Iterable[waiting_units.WaitingUnit],
    workers: Sequence[worker_directory.Worker],
    now_ms: int,
) -> commands.RequestAdvice | None:
    """Returns the request that is due for one of the waiting units, if any.

    A unit at which this fails is left out.

    Args:
        state: State shared by the parts of the owner.
        waiting: The units that are ready to start.
        workers: The workers that may receive tasks.
        now_ms: Monotonic time in milliseconds.
    """
    by_step = {
        unit.key.step_id: unit
        for unit in waiting
        if unit.submission.terms.needs_advice
    }
    turns = sorted(
        by_step.items(),
        key=lambda item: (
            state.advice.last_request(item[0]),
            item[1].submission.terms.priority,
        ),
    )
    for step, unit in turns:
        try:
            request = state.advice.next_request(
                step, _candidates(state, unit, workers), now_ms
            )
        except Exception:
            state.job_faults.note(unit.key.job, now_ms)
            continue
        if request is not None:
            return request
    return None


def _candidates(
    state: owner_state.OwnerState,
    unit: waiting_units.WaitingUnit,
    workers: Sequence[worker_directory.Worker],
) -> list[worker_directory.Worker]:
    """Returns the workers that a unit could start on, with capacity first.

    Those without capacity count only for a unit that may stop what runs there,
    if the others cannot hold it.
    """
    suited = [each for each in workers if waiting_units.suits(unit, each)]
    allocations = state.table.allocations
    counts = [
        waiting_units.task_capacity(unit, each, allocations) for each in suited
    ]
    free = list(itertools.compress(suited, counts))
    priority = unit.submission.terms.priority
    if sum(counts) >= unit.tasks or priority > guarantees.HIGHEST_PRIORITY:
        return free
    return free + [
        each for each, count in zip(suited, counts, strict=True) if not count
    ]
