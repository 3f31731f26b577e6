"""One in-memory worker of a pool, with the faults that tests give it."""

from collections.abc import Callable
import enum
import itertools
import typing

import msgspec
from twisted.internet import interfaces

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["Pool", "PoolWorker", "Run", "TaskPlan", "WorkerFault"]

GANG_TIMEOUT_MS = 3_000
STOP_DELAY_MS = 200
MAX_LEASE_MS = 6_000
# A start that crosses the news of a smaller capacity is no violation.
CAPACITY_NEWS_MS = 4_500

_MS_PER_S = 1_000


class WorkerFault(enum.Enum):
    """Faults of a worker.

    SILENT lets every command time out without effect. LATE executes starts
    after `PoolWorker.start_delay_s` and lets them time out. LOSES_NEXT_START
    drops the next start, LOSES_NEXT_ANSWER executes it but lets it time out.
    REFUSING executes nothing: starts fail at once, other commands time out.
    LOSES_WAITING_RENEWALS executes lease renewals that wait for an end, but
    lets them time out.
    """

    NONE = "none"
    SILENT = "silent"
    LATE = "late"
    LOSES_NEXT_START = "loses_one"
    LOSES_NEXT_ANSWER = "loses_answers"
    REFUSING = "refusing"
    LOSES_WAITING_RENEWALS = "loses_waiting_renewals"


class TaskPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Simulated behaviour of one run of a task.

    Attributes:
        run_time_ms: Run time at the worker's normal speed.
        demand: Capacity that the task uses.
        gang: Number of tasks in its gang, which progress only together; 1 for
            a single task.
        fails: Whether the run ends with a failure.
        lasting: Whether the task runs again after a run that succeeded.
    """

    run_time_ms: int
    demand: spec.Demand
    gang: int = 1
    fails: bool = False
    lasting: bool = False


class Run(msgspec.Struct, kw_only=True):
    """A run in progress; `finished` members of a gang wait for the others."""

    task: units.TaskName
    run: int
    plan: TaskPlan
    began_ms: int
    saved: str
    stopping: bool = False
    finished: bool = False


class Pool(typing.Protocol):
    """What a worker needs of its pool; see `pool_workers.PoolWorkers`."""

    workers: dict[ids.WorkerId, "PoolWorker"]
    violations: list[str]
    starts: list[tuple[units.TaskName, int, ids.WorkerId]]
    tickets: dict[units.TaskName, str]
    finished_tasks: set[units.TaskName]
    plan_task: Callable[[units.TaskName, int], TaskPlan]
    on_start: list[Callable[["PoolWorker", units.TaskName], None]]
    clock: interfaces.IReactorTime

    def now_ms(self) -> int:
        """Returns the time of the pool's clock in ms."""

    def running(self) -> list[tuple[units.TaskName, ids.WorkerId]]:
        """Returns every running task with its worker."""

    def is_gang_active(self, name: units.TaskName, run: int, size: int) -> bool:
        """Returns whether all members of a gang's run are running."""

    def begin_gang_if_active(
        self, name: units.TaskName, run: int, size: int
    ) -> None:
        """Lets the members of a gang's run work once all are running."""

    def is_gang_finished(self, name: units.TaskName, run: int) -> bool:
        """Returns whether all members of a gang's run have finished."""

    def gang_start_ms(self, name: units.TaskName, run: int) -> int:
        """Returns when the last member of a gang's run started."""

    def end_gang(
        self, name: units.TaskName, run: int, kind: commands.EndKind
    ) -> None:
        """Ends every member of a gang's run."""


class PoolWorker:
    """One worker of a pool.

    Attributes:
        entry: Entry of the worker in the worker directory.
        running: Running tasks by name.
        ends: Ended runs that were not acknowledged by a lease renewal.
        fault: Fault that applies to commands.
        start_delay_s: Delay of start commands with the fault LATE.
        slowdown: Factor on the run time of every plan.
        stalled: Whether runs report no progress and never finish.
        clock_rate: Rate of the worker's clock relative to the pool's.
    """

    def __init__(
        self,
        *,
        pool: Pool,
        entry: worker_directory.Worker,
    ) -> None:
        """Initializes an idle worker."""
        self.entry = entry
        self.running: dict[units.TaskName, Run] = {}
        self.ends: list[commands.EndedTask] = []
        self.fault = WorkerFault.NONE
        self.start_delay_s = 4.0
        self.slowdown = 1.0
        self.stalled = False
        self.clock_rate = 1.0
        self._pool = pool
        self._token = 0
        self._clock_start_ms = pool.now_ms()
        self._lease_until_ms = 0
        self._known_capacity = entry.capacity
        self._last_refused_runs: dict[units.TaskName, int] = {}
        self._end_numbers = itertools.count(1)

    def now_ms(self) -> int:
        """Returns the time of the worker's clock, which measures leases.

        The clock starts anew with each incarnation.
        """
        uptime_ms = self._pool.now_ms() - self._clock_start_ms
        return round(uptime_ms * self.clock_rate)

    def start(self, command: commands.Start) -> commands.StartOutcome:
        """Executes a start command."""
        if command.token < self._token:
            return commands.StartOutcome.FENCED
        self._token = command.token
        self._extend_lease(command.until_ms)
        present = self.running.get(command.task)
        if present is not None and present.run == command.run:
            return commands.StartOutcome.STARTED
        if command.run <= self._last_refused_runs.get(command.task, 0):
            return commands.StartOutcome.STALE_RUN
        if command.until_ms <= self.now_ms():
            return commands.StartOutcome.LEASE_EXPIRED
        self._check_exactly_once(command)
        self._pool.tickets[command.task] = command.ticket
        plan = self._pool.plan_task(command.task, command.run)
        run = Run(
            task=command.task,
            run=command.run,
            plan=plan,
            began_ms=self._pool.now_ms(),
            saved=command.saved,
        )
        self.running[command.task] = run
        self._pool.starts.append((command.task, command.run, self.entry.worker))
        self._check_capacity()
        if plan.gang > 1:
            self._pool.begin_gang_if_active(run.task, run.run, plan.gang)
            self._pool.clock.callLater(
                GANG_TIMEOUT_MS / _MS_PER_S, self._check_gang, run
            )
        else:
            self.begin_work(run)
        self._pool.clock.callLater(0.1, self._check_lease)
        for listener in self._pool.on_start:
            listener(self, command.task)
        return commands.StartOutcome.STARTED

    def begin_work(self, run: Run) -> None:
        """Lets a run end after its run time from now on."""
        self._pool.clock.callLater(
            run.plan.run_time_ms * self.slowdown / _MS_PER_S, self._finish, run
        )

    def stop(self, command: commands.Stop) -> commands.StopOutcome:
        """Executes a stop command."""
        if command.token < self._token:
            return commands.StopOutcome.FENCED
        self._token = command.token
        self._refuse_runs_until(command.task, command.run)
        run = self.running.get(command.task)
        if run is not None and run.run <= command.run and not run.stopping:
            run.stopping = True
            self._pool.clock.callLater(
                STOP_DELAY_MS / _MS_PER_S,
                self.end,
                run,
                commands.EndKind.STOPPED,
            )
        return commands.StopOutcome.STOPPED

    def renew(
        self, command: commands.RenewLeases
    ) -> commands.StopOutcome | None:
        """Extends the lease and drops acknowledged ends.

        Returns:
            FENCED for a stale token, otherwise None.
        """
        if command.token < self._token:
            return commands.StopOutcome.FENCED
        self._token = command.token
        if command.until_ms is not None:
            self._extend_lease(command.until_ms)
        self.forget_ends(command.last_seen)
        return None

    def has_end_after(self, number: int) -> bool:
        """Returns whether an end with a higher number was not forgotten."""
        return any(end.number > number for end in self.ends)

    def forget_ends(self, last_number: int) -> None:
        """Forgets the ends up to a number."""
        self.ends = [end for end in self.ends if end.number > last_number]

    def _extend_lease(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.now_ms() + MAX_LEASE_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def report(self) -> commands.LeaseReport:
        """Returns the runs in progress and the ended runs."""
        return commands.LeaseReport(
            clock_ms=self.now_ms(),
            life_ms=self.entry.life_ms,
            running=tuple(
                commands.RunningTask(
                    task=run.task,
                    run=run.run,
                    saved=run.saved,
                    percent=self._percent(run),
                    load=0,
                )
                for run in self.running.values()
            ),
            ended=tuple(self.ends),
        )

    def _percent(self, run: Run) -> int:
        """Returns the progress of a run in whole percent.

        It is 100 for a lasting task. The progress of a gang counts from the
        start of its last member, because the members work only together.
        """
        if run.plan.lasting:
            return 100
        began_ms = run.began_ms
        if run.plan.gang > 1:
            began_ms = self._pool.gang_start_ms(run.task, run.run)
        if self.stalled:
            return 0
        total_ms = run.plan.run_time_ms * self.slowdown
        done = (self._pool.now_ms() - began_ms) / max(total_ms, 1)
        return int(max(min(done, 1.0), 0.0) * 100)

    def change_capacity(self, capacity: spec.Demand) -> None:
        """Changes the capacity; the caller publishes the entry.

        A smaller capacity limits starts after `CAPACITY_NEWS_MS`.
        """
        self.entry = msgspec.structs.replace(self.entry, capacity=capacity)
        if worker_allocations.max_task_count(capacity, self._known_capacity, 1):
            self._known_capacity = capacity
        self._pool.clock.callLater(
            CAPACITY_NEWS_MS / _MS_PER_S, self._limit_to, capacity
        )

    def _limit_to(self, capacity: spec.Demand) -> None:
        if self.entry.capacity == capacity:
            self._known_capacity = capacity

    def crash(self) -> None:
        """Loses all state and leaves the pool.

        A task whose end nobody has acknowledged may run again.
        """
        self.running.clear()
        self._pool.finished_tasks -= {end.task for end in self.ends}
        self.ends.clear()
        self._pool.workers.pop(self.entry.worker, None)

    def end(self, run: Run, kind: commands.EndKind) -> None:
        """Ends a run and reports it in `ends`, unless it has ended before."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self._refuse_runs_until(run.task, run.run)
        if kind is commands.EndKind.DONE and not run.plan.lasting:
            self._pool.finished_tasks.add(run.task)
        self.ends.append(
            commands.EndedTask(
                number=next(self._end_numbers),
                task=run.task,
                run=run.run,
                kind=kind,
                saved=run.saved,
            )
        )

    def _refuse_runs_until(self, name: units.TaskName, run: int) -> None:
        self._last_refused_runs[name] = max(
            self._last_refused_runs.get(name, 0), run
        )

    def _finish(self, run: Run) -> None:
        if self.running.get(run.task) is not run or run.stopping:
            return
        if self.stalled:
            return
        failed = run.plan.fails
        kind = commands.EndKind.FAILED if failed else commands.EndKind.DONE
        if run.plan.gang == 1:
            self.end(run, kind)
            return
        if not self._pool.is_gang_active(run.task, run.run, run.plan.gang):
            return
        run.finished = True
        if not failed and not self._pool.is_gang_finished(run.task, run.run):
            return
        self.end(run, kind)
        other_members_kind = commands.EndKind.MEMBER_LOST if failed else kind
        self._pool.end_gang(run.task, run.run, other_members_kind)

    def _check_gang(self, run: Run) -> None:
        if self.running.get(run.task) is not run or run.stopping:
            return
        if not self._pool.is_gang_active(run.task, run.run, run.plan.gang):
            self._pool.violations.append(
                f"GANG: {run.task} run {run.run} alone"
            )
            self.end(run, commands.EndKind.MEMBER_MISSING)

    def _check_lease(self) -> None:
        if not self.running:
            return
        if self.now_ms() > self._lease_until_ms:
            for run in list(self.running.values()):
                self.end(run, commands.EndKind.LEASE_EXPIRED)
            return
        self._pool.clock.callLater(0.1, self._check_lease)

    def _check_exactly_once(self, command: commands.Start) -> None:
        if command.task in self._pool.finished_tasks:
            self._pool.violations.append(f"TWICE: {command.task} after its end")
        elsewhere = [
            worker
            for name, worker in self._pool.running()
            if name == command.task
        ]
        if elsewhere:
            self._pool.violations.append(
                f"TWICE: {command.task} on {elsewhere} and {self.entry.worker}"
            )

    def _check_capacity(self) -> None:
        used = worker_allocations.NO_DEMAND
        for run in self.running.values():
            used = worker_allocations.add_demands(used, run.plan.demand)
        if not worker_allocations.max_task_count(self._known_capacity, used, 1):
            self._pool.violations.append(f"LIMIT: {self.entry.worker} {used}")
