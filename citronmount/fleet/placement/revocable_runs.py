"""Which runs an urgent unit may stop."""

import collections
from collections.abc import Iterable

from citronmount.core import ids
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.workflow import units

__all__ = ["preempted_runs", "revocable_runs"]


def preempted_runs(runs: Iterable[unit_runs.Run]) -> list[unit_runs.Run]:
    """Returns the preempted runs that are being stopped."""
    return [
        run
        for run in runs
        if run.phase is run_states.RunPhase.ENDING
        and run.cause is run_states.EndCause.PREEMPTED
    ]


def revocable_runs(
    runs: Iterable[unit_runs.Run],
    guaranteed_units: set[units.UnitId],
    *,
    for_guarantee: bool,
    priority: int = guarantees.HIGHEST_PRIORITY,
) -> list[unit_runs.Run]:
    """Returns the runs that a unit may stop.

    A unit inside its guarantee may stop any run outside a guarantee; of the
    lasting runs only as many as their steps can spare. Any other unit may stop
    only runs of lower priority, and no lasting ones.

    Args:
        runs: All runs.
        guaranteed_units: Units whose runs are inside a guarantee.
        for_guarantee: Whether the unit is inside its account's guarantee.
        priority: Priority of the unit.

    Returns:
        The runs.
    """
    candidates = [run for run in runs if run.unit not in guaranteed_units]
    revocable = [
        run
        for run in candidates
        if run.phase is run_states.RunPhase.ACTIVE
        and (for_guarantee or run.submission.terms.priority > priority)
        and not run.step.lasting
    ]
    if not for_guarantee:
        return revocable
    return revocable + _stoppable_lasting_runs(candidates)


def _stoppable_lasting_runs(
    runs: Iterable[unit_runs.Run],
) -> list[unit_runs.Run]:
    """Returns the lasting runs that their steps can spare now."""
    runs_by_step: dict[tuple[ids.JobId, int, int], list[unit_runs.Run]] = (
        collections.defaultdict(list)
    )
    for run in runs:
        if run.step.lasting:
            runs_by_step[run.key.step_key].append(run)
    return [run for each in runs_by_step.values() for run in _stoppable(each)]


def _stoppable(runs: list[unit_runs.Run]) -> list[unit_runs.Run]:
    """Returns the runs of one lasting step that may be stopped.

    All running ones may be stopped if the step does not limit the number of
    unavailable tasks.
    """
    active = [
        run
        for run in runs
        if run.started_ms is not None
        and run.phase is run_states.RunPhase.ACTIVE
    ]
    step = runs[0].step
    if not step.max_unavailable:
        return active
    unavailable = step.tasks - len(active)
    return active[: max(step.max_unavailable - unavailable, 0)]
