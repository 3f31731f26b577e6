"""Runs of units and their tasks."""

from collections.abc import Sequence
import itertools

import msgspec

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.estimates import run_time
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import task_progress
from citronmount.fleet.workers import worker_allocations
from citronmount.workflow import crash_history as crash_history_lib
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["Member", "Run"]


# A worker that runs a task for so long was not crashed by its start.
START_SURVIVAL_MS = 2_000
# A lasting task may run for years, so a sound run clears its earlier crashes.
SOUND_RUN_MS = 30_000


class Member(msgspec.Struct, kw_only=True):
    """One task of a run.

    Attributes:
        place: Worker incarnation that the task is placed on.
        task: Name of the task.
        state: State of the task.
        start_open: Whether a `Start` command is pending.
        start_tries: Number of `Start` commands sent.
        start_sent_ms: Monotonic time of the last `Start` command.
        start_uncertain: Whether the outcome of a `Start` command is unknown,
            so that the worker may still execute it.
        start_answered: Whether the last `Start` command was answered, or the
            task was seen running.
        stop_open: Whether a `Stop` command is pending.
        stop_answered: Whether a `Stop` command was answered.
        settled_ms: Monotonic time of the last answer that settled a `Start` or
            `Stop` command.
        settled_event: Number of the owner's event of that answer.
        next_order_ms: Earliest monotonic time of the next command after one
            without an answer.
        saved: Newest checkpoint.
        progress: Progress of the task.
        speed_samples: Number of progress rates taken into the speed estimates.
        speed_sample_percent: Progress of the first of these rates.
        rate_polled: Whether the worker was polled for a first rate, or needed
            no poll.
        reported: Whether a report of the place's incarnation listed the task.
        handed_over: Whether the place is a later incarnation of the worker that
            the task was started on.
        running_since_ms: Monotonic time at which the task was first known to
            run, or None.
        survived_start: Whether the worker still ran the task
            `START_SURVIVAL_MS` later.
    """

    place: records.Place
    task: units.TaskName
    state: run_states.MemberState = run_states.MemberState.RESERVED
    start_open: bool = False
    start_tries: int = 0
    start_sent_ms: int = 0
    start_uncertain: bool = False
    start_answered: bool = False
    stop_open: bool = False
    stop_answered: bool = False
    settled_ms: int = 0
    settled_event: int = 0
    next_order_ms: int = 0
    saved: str = ""
    progress: task_progress.TaskProgress = msgspec.field(
        default_factory=task_progress.TaskProgress
    )
    speed_samples: int = 0
    speed_sample_percent: float = 0.0
    rate_polled: bool = False
    reported: bool = False
    handed_over: bool = False
    running_since_ms: int | None = None
    survived_start: bool = False

    @property
    def may_have_started(self) -> bool:
        """Whether a `Start` command may have reached the worker."""
        if self.state is run_states.MemberState.RESERVED:
            return False
        return self.start_tries > 0 or self.start_answered

    @property
    def start_settled(self) -> bool:
        """Whether no pending command can still start the task."""
        if self.stop_open or self.start_open:
            return False
        return self.stop_answered or self.start_answered

    @property
    def is_bound_to_place(self) -> bool:
        """Whether only the place's own incarnation can have run the task.

        A `Start` reaches whichever incarnation of the worker is up when it
        arrives, so only a report of the incarnation proves where it arrived.
        """
        if not self.may_have_started:
            return True
        return self.reported and not (self.start_uncertain or self.start_open)

    def hand_over(self, place: records.Place) -> None:
        """Moves the task to the next incarnation of its worker.

        The next complete report of that incarnation tells whether it runs the
        task, after an uncertain `Start` once a `Stop` has settled it.
        """
        self.place = place
        self.handed_over = True
        self.reported = False
        self.stop_answered = False
        self.next_order_ms = 0
        # The reports so far were read on another clock.
        self.progress = task_progress.TaskProgress()

    def seen_running(self, now_ms: int) -> None:
        """Handles a report of the worker that the task runs."""
        if self.running_since_ms is None:
            self.running_since_ms = now_ms
        elif now_ms - self.running_since_ms >= START_SURVIVAL_MS:
            self.survived_start = True


class Run:
    """One run of a unit.

    Attributes:
        key: The unit.
        unit: Id of the unit.
        step: The unit's step.
        submission: The unit's job.
        number: Number of the run, counted from 1.
        members: One member per task, in the order of the tasks.
        phase: Phase of the run.
        cause: Why the owner ends the run, or None.
        outcome: Kind of the first reported success or failure; until then of
            the last reported end, or None before any was reported.
        failures: Number of failed runs of the unit, including this one.
        saved: Checkpoint that the run started from, or a newer one.
        restored: Whether an earlier owner started the run.
        from_scratch: Whether this owner started the run without a checkpoint.
        learned_run_time: Run time of a task as learned from finished runs, or
            None without an estimate.
        placed_ms: Monotonic time of the placement.
        started_ms: Monotonic time at which this owner first saw all members
            running, or None.
        crash_history: Crashes of workers that count against the unit, this run
            included.
    """

    def __init__(
        self,
        *,
        key: units.UnitKey,
        step: spec.Step,
        submission: spec.Submission,
        number: int,
        places: Sequence[records.Place],
        phase: run_states.RunPhase,
        failures: int = 0,
        saved: str = "",
        restored: bool = False,
        now_ms: int = 0,
        task_positions: Sequence[int] = (),
        learned_run_time: run_time.RunTime | None = None,
        crash_history: crash_history_lib.CrashHistory = (
            crash_history_lib.NO_CRASHES
        ),
    ) -> None:
        """Initializes a run.

        Args:
            key: The unit.
            step: The unit's step.
            submission: The unit's job.
            number: Number of the run, counted from 1.
            places: Worker incarnation of each task, in the order of the tasks.
            phase: Initial phase of the run.
            failures: Number of earlier runs of the unit that failed.
            saved: Checkpoint to start from, or empty.
            restored: Whether an earlier owner started the run.
            now_ms: Monotonic time in milliseconds.
            task_positions: Position among the unit's tasks of each place;
                empty if there is a place for every task.
            learned_run_time: Learned run time of a task, or None.
            crash_history: Crashes that count against the unit so far.
        """
        self.key = key
        self.unit = key.unit
        self.step = step
        self.submission = submission
        self.number = number
        self.phase = phase
        self.cause: run_states.EndCause | None = None
        self.outcome: commands.EndKind | None = None
        self.failures = failures
        self.saved = saved
        self.restored = restored
        self.from_scratch = not (saved or restored)
        self.learned_run_time = learned_run_time
        self.placed_ms = now_ms
        self.started_ms: int | None = None
        self.crash_history = crash_history
        self._earlier_crashes = crash_history
        self._crashed_positions: set[int] = set()
        self._crashed_at_start = False
        names = units.task_names(key, step)
        self.members = [
            Member(place=place, task=names[position])
            for place, position in zip(
                places, task_positions or itertools.count(), strict=False
            )
            if position < len(names)
        ]

    @property
    def job(self) -> ids.JobId:
        """Id of the unit's job."""
        return self.key.job

    @property
    def run_time(self) -> run_time.RunTime:
        """Expected run time of a task: the learned or the declared one."""
        return self.learned_run_time or run_time.declared(self.step)

    @property
    def is_working(self) -> bool:
        """Whether all members are running and no end was reported."""
        return (
            self.phase is run_states.RunPhase.ACTIVE
            and self.started_ms is not None
            and self.outcome is None
        )

    @property
    def is_suspect(self) -> bool:
        """Whether a crash of a worker counts against the unit."""
        return self.crash_history.crashes > 0

    @property
    def is_over(self) -> bool:
        """Whether no member is running or can still start."""
        return all(
            member.state is run_states.MemberState.GONE
            for member in self.members
        )

    @property
    def live_members(self) -> list[Member]:
        """Members that are running or can still start."""
        return [
            member
            for member in self.members
            if member.state is not run_states.MemberState.GONE
        ]

    @property
    def live_demand(self) -> spec.Demand:
        """Full demand of all members that are running or can still start."""
        count = sum(
            member.state is not run_states.MemberState.GONE
            for member in self.members
        )
        return worker_allocations.multiply_demand(self.step.demand, count)

    def end(self, cause: run_states.EndCause) -> None:
        """Moves the run to the phase ENDING, so that its members are stopped.

        Args:
            cause: Why the run ends; the cause of the first call is kept.
        """
        self.phase = run_states.RunPhase.ENDING
        self.cause = self.cause or cause

    def add_crash(self, member: Member, at_start: bool) -> bool:
        """Adds a crash of a member's worker to the unit's crash history.

        Several crashes during the run count as one. A run that an earlier owner
        has counted is not counted again.

        Args:
            member: The member that the worker ran.
            at_start: Whether the worker crashed soon after a start.

        Returns:
            Whether the history has changed.
        """
        if self._earlier_crashes.last_run == self.number:
            return False
        self._crashed_positions.add(units.position_of(member.task, self.key))
        self._crashed_at_start |= at_start
        previous = self.crash_history
        self.crash_history = self._earlier_crashes.with_run(
            self.number, self._crashed_positions, self._crashed_at_start
        )
        return self.crash_history != previous

    def forget_crashes_if_sound(self, now_ms: int) -> None:
        """Clears the crashes of a lasting unit if this run worked for long."""
        if not self.step.lasting or self.started_ms is None:
            return
        sound = now_ms - self.started_ms >= SOUND_RUN_MS
        if sound and self.crash_history.last_run != self.number:
            self._earlier_crashes = crash_history_lib.NO_CRASHES
            self.crash_history = crash_history_lib.NO_CRASHES

    def all_running(self) -> bool:
        """Returns whether all members are running."""
        return all(
            member.state is run_states.MemberState.RUNNING
            for member in self.members
        )

    def to_record(self, status: records.UnitStatus) -> records.UnitChanged:
        """Returns the log record of the unit's current state.

        Args:
            status: Status of the unit to record.

        Returns:
            The record. Its places are all members' for a placed unit, those of
            live members for a waiting unit and none for a finished unit.
        """
        finished = status in (
            records.UnitStatus.DONE,
            records.UnitStatus.FAILED,
        )
        waiting = status is records.UnitStatus.WAITING
        members = self.live_members if waiting else self.members
        places = () if finished else tuple(m.place for m in members)
        positions: tuple[int, ...] = ()
        if waiting and len(members) < len(
            units.task_names(self.key, self.step)
        ):
            positions = tuple(
                units.position_of(m.task, self.key) for m in members
            )
        return records.UnitChanged(
            unit=self.unit,
            status=status,
            run=self.number,
            failures=self.failures,
            places=places,
            saved="" if finished else self.saved,
            task_positions=positions,
            crash_history=self.crash_history,
        )
