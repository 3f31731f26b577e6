"""Counts the crashes of workers against the units that ran on them.

A task may crash each worker that starts it, and with the worker all that runs
there. Nothing tells which of its tasks crashed a worker, so a crash counts
against all of them, and more against those that had just started. A unit that
had just started is suspect: its next starts are kept apart from other starts
(`placement/start_isolation`), so that a further crash points at it alone.
"""

from collections.abc import Iterable
import enum

from citronmount.fleet import commands
from citronmount.fleet import owner_state
from citronmount.fleet.runs import unit_runs
from citronmount.workflow import records

__all__ = ["CrashCause", "WorkerCrashes"]

# The first crash may point at several units; the next two do not.
MAX_START_CRASHES = 3
# For a unit that crashes its workers long after its starts, which cannot be
# kept apart from other units.
MAX_CRASHES = 4

RunMember = tuple[unit_runs.Run, unit_runs.Member]


class CrashCause(enum.Enum):
    """What may have ended an incarnation.

    TASK: nothing but what the worker ran. DOMAIN_OUTAGE: its failure domain
    went down with it, so the tasks are less likely the cause.
    """

    TASK = "task"
    DOMAIN_OUTAGE = "domain_outage"


class WorkerCrashes:
    """Counts crashes per unit and gives up units that crash their workers."""

    def __init__(self, *, state: owner_state.OwnerState) -> None:
        """Initializes the counts.

        Args:
            state: State shared by the parts of the owner.
        """
        self._state = state

    def worker_crashed(
        self, lost: Iterable[RunMember], cause: CrashCause, now_ms: int
    ) -> None:
        """Counts a crash against the units whose tasks it ended.

        A run counts once, even if several of its workers crash. The new count
        is recorded at once, so that it outlasts this owner.

        Args:
            lost: The tasks that the crashed incarnation may have run, marked as
                gone.
            cause: What may have ended the incarnation.
            now_ms: Monotonic time in milliseconds.
        """
        for run, member in lost:
            decided = run.outcome in (
                commands.EndKind.DONE,
                commands.EndKind.FAILED,
            )
            if member.may_have_started and not decided:
                self._count(run, member, cause, now_ms)

    def _count(
        self,
        run: unit_runs.Run,
        member: unit_runs.Member,
        cause: CrashCause,
        now_ms: int,
    ) -> None:
        at_start = cause is CrashCause.TASK and not member.survived_start
        counts_start = at_start and not run.start_crash_counted
        if run.crash_counted and not counts_start:
            return
        run.forget_crashes_if_sound(now_ms)
        run.crashes += not run.crash_counted
        run.crash_counted = True
        run.start_crashes += counts_start
        run.start_crash_counted |= counts_start
        given_up = (
            run.start_crashes >= MAX_START_CRASHES or run.crashes >= MAX_CRASHES
        )
        self._state.log.warning(
            "unit_given_up" if given_up else "worker_crash_counted",
            unit=run.unit,
            run=run.number,
            worker=member.place.worker,
            life_ms=member.place.life_ms,
            crashes=run.crashes,
            start_crashes=run.start_crashes,
            crash_cause=cause.value,
        )
        status = (
            records.UnitStatus.FAILED
            if given_up
            else records.UnitStatus.WAITING
        )
        self._state.append_record(run.to_record(status))
