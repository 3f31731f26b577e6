"""Lists the units of a pool that are ready to start and have no run."""

from citronmount.core import ids
from citronmount.fleet import owner_state
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import job_completion
from citronmount.workflow import crash_history
from citronmount.workflow import job_views
from citronmount.workflow import units

__all__ = ["open_units"]


def open_units(
    state: owner_state.OwnerState, now_ms: int, wall_ms: int
) -> list[waiting_units.WaitingUnit]:
    """Returns the units that are ready to start.

    Args:
        state: State shared by the parts of the owner.
        now_ms: Monotonic time in milliseconds.
        wall_ms: Unix time in milliseconds.

    Returns:
        The units of all jobs without a final state; not those with a run or
        with a record that is not durable yet, nor those of held jobs.
    """
    waiting = []
    for job, entry in state.job_view.jobs.items():
        if state.job_faults.is_held(job, now_ms):
            continue
        try:
            waiting += _open_units_of(state, job, entry, now_ms, wall_ms)
        except Exception:
            state.job_faults.note(job, now_ms)
    return waiting


def _open_units_of(
    state: owner_state.OwnerState,
    job: ids.JobId,
    entry: job_views.JobEntry,
    now_ms: int,
    wall_ms: int,
) -> list[waiting_units.WaitingUnit]:
    if (
        job_completion.final_state(entry) is not None
        or job in state.finishing_jobs
    ):
        return []
    return [
        _to_waiting_unit(state, entry, key, now_ms)
        for key in entry.progress.open_units(wall_ms)
        if state.table.get(key.unit) is None
        and not state.pending_unit_records.get(key.unit)
    ]


def _to_waiting_unit(
    state: owner_state.OwnerState,
    entry: job_views.JobEntry,
    key: units.UnitKey,
    now_ms: int,
) -> waiting_units.WaitingUnit:
    previous = entry.progress.unit_records.get(key.unit)
    last_run = state.last_runs.get(key.unit)
    newest = last_run or previous
    estimate = state.estimates.estimate(entry.submission, now_ms)
    return waiting_units.WaitingUnit(
        key=key,
        step=entry.submission.workflow.steps[key.step],
        submission=entry.submission,
        since_ms=state.ready_since_ms.setdefault(key.unit, now_ms),
        run=max(
            previous.run if previous else 0,
            last_run.number if last_run else 0,
        ),
        avoid=tuple(state.avoided_workers.get(key.unit, ())),
        failures=max(
            previous.failures if previous else 0,
            last_run.failures if last_run else 0,
        ),
        crash_history=newest.crash_history
        if newest
        else crash_history.NO_CRASHES,
        saved=(last_run.saved if last_run else "")
        or (previous.saved if previous else ""),
        learned_run_time=estimate.run_time(key.step),
        step_medians_ms=estimate.medians_ms,
    )
