"""Runs of units: where their members are and when they are over."""

from collections.abc import Sequence
import enum

import msgspec

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import task_progress
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["EndCause", "Member", "MemberState", "Run", "RunPhase"]


class MemberState(enum.Enum):
    """Where one task of a run stands."""

    HELD = "held"
    ORDERED = "ordered"
    RUNNING = "running"
    GONE = "gone"


class RunPhase(enum.Enum):
    """Where a run stands."""

    CLEARING = "clearing"
    RECORDING = "recording"
    ACTIVE = "active"
    ENDING = "ending"


class EndCause(enum.Enum):
    """Why the owner ends a run."""

    CANCELLED = "cancelled"
    JOB_FAILED = "job_failed"
    PREEMPTED = "preempted"
    MEMBER_NOT_STARTED = "member_not_started"
    MEMBER_ENDED = "member_ended"
    WORKER_LEAVES = "worker_leaves"
    STALLED = "stalled"
    SLOW_MEMBER = "slow_member"
    SUPERSEDED = "superseded"


class Member(msgspec.Struct, kw_only=True):
    """One task of a run.

    Attributes:
        place: Its worker.
        task: Its name.
        state: Where it stands.
        start_open: Whether an order to start is on its way.
        start_tries: How many orders to start were sent.
        start_sent_ms: Steady time of the last one.
        start_uncertain: Whether one got no answer and may still be carried
            out.
        start_answered: Whether the last order to start was answered, or the
            task was seen running.
        stop_open: Whether an order to stop is on its way.
        stop_answered: Whether an order to stop was answered.
        settled_ms: Steady time of the last answer to an order.
        next_order_ms: Steady time of the next order, after one that got no
            answer.
        saved: Its newest checkpoint.
        progress: How it gets on.
    """

    place: records.Place
    task: units.TaskName
    state: MemberState = MemberState.HELD
    start_open: bool = False
    start_tries: int = 0
    start_sent_ms: int = 0
    start_uncertain: bool = False
    start_answered: bool = False
    stop_open: bool = False
    stop_answered: bool = False
    settled_ms: int = 0
    next_order_ms: int = 0
    saved: str = ""
    progress: task_progress.TaskProgress = msgspec.field(
        default_factory=task_progress.TaskProgress
    )

    @property
    def ordered(self) -> bool:
        """Whether an order to start may have reached its worker."""
        if self.state is MemberState.HELD:
            return False
        return self.start_tries > 0 or self.start_answered

    @property
    def certain(self) -> bool:
        """Whether no order on its way can make the task start any more."""
        if self.stop_open or self.start_open:
            return False
        return self.stop_answered or self.start_answered


class Run:
    """One run of a unit.

    Attributes:
        key: The unit.
        step: Its step.
        submission: Its job.
        number: The number of the run.
        members: One for each task, in order.
        phase: Where the run stands.
        cause: Why the owner ends it, if it does.
        outcome: The end that decides, once one was listed.
        failures: Failed runs of the unit, this one included.
        saved: The checkpoint that the run started from, or a newer one.
        restored: Whether an earlier owner started it.
        placed_ms: Steady time of the decision.
        started_ms: Steady time at which all members ran, if they did.
    """

    def __init__(
        self,
        *,
        key: units.UnitKey,
        step: spec.Step,
        submission: spec.Submission,
        number: int,
        places: Sequence[records.Place],
        phase: RunPhase,
        failures: int = 0,
        saved: str = "",
        restored: bool = False,
        now_ms: int = 0,
    ) -> None:
        """Initializes a run.

        Args:
            key: The unit.
            step: Its step.
            submission: Its job.
            number: The number of the run.
            places: A worker for each task, in order.
            phase: Where the run stands.
            failures: Earlier runs of the unit that failed.
            saved: The checkpoint to start from, or empty.
            restored: Whether an earlier owner started it.
            now_ms: Steady time in milliseconds.
        """
        self.key = key
        self.unit = key.unit
        self.step = step
        self.submission = submission
        self.number = number
        self.phase = phase
        self.cause: EndCause | None = None
        self.outcome: commands.EndKind | None = None
        self.failures = failures
        self.saved = saved
        self.restored = restored
        self.placed_ms = now_ms
        self.started_ms: int | None = None
        names = units.task_names(key, step)
        self.members = [
            Member(place=place, task=task)
            for place, task in zip(places, names, strict=False)
        ]

    @property
    def job(self) -> ids.JobId:
        """The job."""
        return self.key.job

    @property
    def at_work(self) -> bool:
        """Whether all members run and nothing is known to have ended."""
        return (
            self.phase is RunPhase.ACTIVE
            and self.started_ms is not None
            and self.outcome is None
        )

    @property
    def over(self) -> bool:
        """Whether no member runs or may still start."""
        return all(member.state is MemberState.GONE for member in self.members)

    @property
    def live_members(self) -> list[Member]:
        """Members that run or may still start."""
        return [
            member
            for member in self.members
            if member.state is not MemberState.GONE
        ]

    def member_of(self, task: units.TaskName) -> Member | None:
        """Returns the member of a task, if the run has it."""
        return next((m for m in self.members if m.task == task), None)

    def end(self, cause: EndCause) -> None:
        """Makes the owner stop what is left of the run.

        Args:
            cause: Why; the first one stays.
        """
        self.phase = RunPhase.ENDING
        self.cause = self.cause or cause

    def all_running(self) -> bool:
        """Returns whether every member was seen at work."""
        return all(
            member.state is MemberState.RUNNING for member in self.members
        )

    def record(self, status: records.UnitStatus) -> records.UnitChanged:
        """Returns the record of the unit's present state.

        Args:
            status: Where the unit stands.

        Returns:
            The record, with the places that may still hold the run.
        """
        ended = status in (records.UnitStatus.DONE, records.UnitStatus.FAILED)
        places = () if ended else tuple(m.place for m in self.members)
        if status is records.UnitStatus.WAITING:
            places = tuple(m.place for m in self.live_members)
        return records.UnitChanged(
            unit=self.unit,
            status=status,
            run=self.number,
            failures=self.failures,
            places=places,
            saved="" if ended else self.saved,
        )
