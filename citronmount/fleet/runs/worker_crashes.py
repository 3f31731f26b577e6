"""Counts the crashes of workers against the units that ran on them.

A task may crash each worker that starts it, and with the worker all that runs
there. Nothing tells which of its tasks crashed a worker. The crash counts
against those that had just started or, if there are none, against all of them.
From then on they are suspect: their next starts are kept apart from other
starts (`placement/start_isolation`), so that a further crash points at one.

Workers also crash by themselves, often several at once. If one on which nothing
had just started went down shortly before, the two are taken to have a common
cause. Then the crash counts only against those that had just started, and only
for `MAX_CRASHES`: such a task may run among workers that crash by themselves.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from citronmount.fleet import commands
from citronmount.fleet import owner_state
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import records

__all__ = ["COMMON_CAUSE_MS", "RunMember", "WorkerCrashes"]

# The first crash may point at several units; the next two do not.
MAX_START_CRASHES = 3
# For units that crash their workers long after their starts, or while other
# workers crash as well.
MAX_CRASHES = 4
# Workers that crash together restart within this time.
COMMON_CAUSE_MS = 5_000

_DECISIVE_ENDS = (commands.EndKind.DONE, commands.EndKind.FAILED)

RunMember = tuple[unit_runs.Run, unit_runs.Member]


class WorkerCrashes:
    """Counts crashes per unit and gives up units that crash their workers."""

    def __init__(self, *, state: owner_state.OwnerState) -> None:
        """Initializes the counts.

        Args:
            state: State shared by the parts of the owner.
        """
        self._state = state
        # Time of the last end without a recent start, by machine.
        self._spontaneous_ends_ms: dict[worker_directory.MachineId, int] = {}

    def incarnation_ended(
        self,
        worker: worker_directory.Worker,
        tasks: Iterable[RunMember],
        now_ms: int,
    ) -> None:
        """Remembers the end of an incarnation that no start can have caused.

        Args:
            worker: The worker; one that was draining has left by itself.
            tasks: The tasks that the incarnation may have run.
            now_ms: Monotonic time in milliseconds.
        """
        starting = any(_is_starting(member) for _, member in tasks)
        if starting or _was_leaving(worker):
            return
        self._spontaneous_ends_ms = {
            machine: end_ms
            for machine, end_ms in self._spontaneous_ends_ms.items()
            if now_ms - end_ms <= COMMON_CAUSE_MS
        }
        self._spontaneous_ends_ms[worker.machine] = now_ms

    def worker_crashed(
        self,
        worker: worker_directory.Worker,
        lost: Sequence[RunMember],
        others_silent: bool,
        now_ms: int,
    ) -> None:
        """Counts a crash against the units whose tasks it ended.

        A run counts once, even if several of its workers crash. The new count
        is recorded at once, so that it outlasts this owner.

        Args:
            worker: The worker that crashed.
            lost: The tasks that it may have run, marked as gone.
            others_silent: Whether any worker on another machine has become
                silent just before, so that it may have crashed as well.
            now_ms: Monotonic time in milliseconds.
        """
        if _was_leaving(worker):
            return
        common_cause = self._has_common_cause(worker, now_ms)
        suspects = [pair for pair in lost if _is_starting(pair[1])]
        if not suspects and not common_cause and not others_silent:
            suspects = [pair for pair in lost if pair[1].may_have_started]
        for run, member in suspects:
            if run.outcome not in _DECISIVE_ENDS:
                self._count(run, member, common_cause, now_ms)

    def _has_common_cause(
        self, worker: worker_directory.Worker, now_ms: int
    ) -> bool:
        """Returns whether another worker has just crashed by itself."""
        return any(
            machine != worker.machine and now_ms - end_ms <= COMMON_CAUSE_MS
            for machine, end_ms in self._spontaneous_ends_ms.items()
        )

    def _count(
        self,
        run: unit_runs.Run,
        member: unit_runs.Member,
        common_cause: bool,
        now_ms: int,
    ) -> None:
        run.forget_crashes_if_sound(now_ms)
        at_start = _is_starting(member) and not common_cause
        if not run.add_crash(member, at_start):
            return
        history = run.crash_history
        given_up = (
            history.start_crashes >= MAX_START_CRASHES
            or history.crashes >= MAX_CRASHES
        )
        self._state.log.warning(
            "unit_given_up" if given_up else "worker_crash_counted",
            unit=run.unit,
            run=run.number,
            worker=member.place.worker,
            life_ms=member.place.life_ms,
            crashes=history.crashes,
            start_crashes=history.start_crashes,
            common_cause=common_cause,
        )
        status = (
            records.UnitStatus.FAILED
            if given_up
            else records.UnitStatus.WAITING
        )
        self._state.append_record(run.to_record(status))


def _is_starting(member: unit_runs.Member) -> bool:
    """Returns whether a start of the task may have just reached its worker."""
    return member.may_have_started and not member.survived_start


def _was_leaving(worker: worker_directory.Worker) -> bool:
    return worker.state is worker_directory.WorkerState.DRAINING
