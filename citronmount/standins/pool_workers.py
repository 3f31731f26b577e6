"""In-memory workers of a pool, which record violated guarantees."""

from collections.abc import Callable
import enum
import itertools

import msgspec
from twisted.internet import interfaces
from twisted.internet import task

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.workers import worker_allocations
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = ["PoolWorker", "PoolWorkers", "TaskPlan", "WorkerFault"]

REQUEST_DELAY_S = 0.001
GANG_TIMEOUT_MS = 3_000
ADVICE_DELAY_S = 0.1
TICKET_TTL_MS = 3_000
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


_UNREACHABLE = (WorkerFault.SILENT, WorkerFault.REFUSING)


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


class _Running(msgspec.Struct, kw_only=True):
    """A run in progress; `finished` members of a gang wait for the others."""

    task: units.TaskName
    run: int
    plan: TaskPlan
    began_ms: int
    saved: str
    stopping: bool = False
    finished: bool = False


TaskPlanner = Callable[[units.TaskName, int], TaskPlan]


class PoolWorkers:
    """All workers of a pool; implements `ports.WorkerCommands`.

    Attributes:
        workers: The workers by id.
        violations: Descriptions of violated guarantees. GANG: a member of a
            gang ran without the others `GANG_TIMEOUT_MS` after its start.
            TWICE: a task was started while it ran elsewhere or after it had
            finished. LIMIT: a worker got more tasks than fit its capacity.
        starts: Every start as (task, run, worker).
        allowed_workers: Workers for which advice requests return tickets.
        tickets: Ticket of each task's last start.
        finished_tasks: Tasks that ended successfully and must not run again.
        advice_request_count: Number of advice requests answered.
        open_renewals: Number of lease renewals in progress.
        max_open_renewals: Highest number of concurrent lease renewals.
        plan_task: Returns the simulated behaviour of a task and run.
        on_start: Called with the worker and the name of each started task.
        clock: Clock of all workers.
    """

    def __init__(
        self, *, clock: interfaces.IReactorTime, plan_task: TaskPlanner
    ) -> None:
        """Initializes a pool without workers.

        Args:
            clock: Clock of all workers.
            plan_task: Returns the simulated behaviour of a task and run.
        """
        self.workers: dict[ids.WorkerId, PoolWorker] = {}
        self.violations: list[str] = []
        self.starts: list[tuple[units.TaskName, int, ids.WorkerId]] = []
        self.allowed_workers: set[ids.WorkerId] = set()
        self.advice_request_count = 0
        self.open_renewals = 0
        self.max_open_renewals = 0
        self.tickets: dict[units.TaskName, str] = {}
        self.finished_tasks: set[units.TaskName] = set()
        self.plan_task = plan_task
        self.on_start: list[Callable[[PoolWorker, units.TaskName], None]] = []
        self.clock = clock

    def now_ms(self) -> int:
        """Returns the time of the pool's clock in ms."""
        return round(self.clock.seconds() * _MS_PER_S)

    def add(self, entry: worker_directory.Worker) -> "PoolWorker":
        """Adds an idle worker."""
        worker = PoolWorker(pool=self, entry=entry)
        self.workers[entry.worker] = worker
        return worker

    def running(self) -> list[tuple[units.TaskName, ids.WorkerId]]:
        """Returns every running task with its worker."""
        return [
            (run.task, worker_id)
            for worker_id, worker in self.workers.items()
            for run in worker.running.values()
        ]

    async def start(
        self, command: commands.Start, timeout_ms: int
    ) -> tuple[commands.StartOutcome, int | None]:
        """Starts a task, with the fault of the worker applied.

        Returns:
            The outcome and, if the worker answered, its clock in ms.
        """
        worker = await self._reach_worker(command)
        if self._refuses(command):
            return commands.StartOutcome.UNREACHABLE, None
        if worker is None:
            await self._wait_for_timeout(timeout_ms)
            return commands.StartOutcome.UNKNOWN, None
        if worker.fault is WorkerFault.LOSES_NEXT_ANSWER:
            worker.fault = WorkerFault.NONE
            worker.start(command)
            await self._wait_for_timeout(timeout_ms)
            return commands.StartOutcome.UNKNOWN, None
        if worker.fault is WorkerFault.LOSES_NEXT_START:
            worker.fault = WorkerFault.NONE
            await self._wait_for_timeout(timeout_ms)
            return commands.StartOutcome.UNKNOWN, None
        if worker.fault is WorkerFault.LATE:
            self.clock.callLater(
                worker.start_delay_s, self._start_late, command
            )
            await self._wait_for_timeout(timeout_ms)
            return commands.StartOutcome.UNKNOWN, None
        return worker.start(command), worker.now_ms()

    def _start_late(self, command: commands.Start) -> None:
        worker = self.workers.get(command.worker.worker)
        if worker is not None:
            worker.start(command)

    async def stop(
        self, command: commands.Stop, timeout_ms: int
    ) -> tuple[commands.StopOutcome, int | None]:
        """Stops a run; returns the outcome and the worker's clock in ms."""
        worker = await self._reach_worker(command)
        if worker is None:
            await self._wait_for_timeout(timeout_ms)
            return commands.StopOutcome.UNKNOWN, None
        return worker.stop(command), worker.now_ms()

    async def request_advice(
        self, advice_request: commands.RequestAdvice, timeout_ms: int
    ) -> commands.AdviceAnswer | None:
        """Returns tickets for the requested workers in `allowed_workers`."""
        await task.deferLater(self.clock, ADVICE_DELAY_S)
        self.advice_request_count += 1
        return commands.AdviceAnswer(
            tickets={
                worker.worker: f"{advice_request.step}/{worker.worker}"
                for worker in advice_request.workers
                if worker.worker in self.allowed_workers
            },
            valid_ms=TICKET_TTL_MS,
        )

    async def renew_leases(
        self, command: commands.RenewLeases, timeout_ms: int
    ) -> commands.LeaseReport | commands.StopOutcome:
        """Renews leases; reports when a run has ended or `wait_ms` passed."""
        self.open_renewals += 1
        self.max_open_renewals = max(self.max_open_renewals, self.open_renewals)
        try:
            return await self._renew_leases(command, timeout_ms)
        finally:
            self.open_renewals -= 1

    async def _renew_leases(
        self, command: commands.RenewLeases, timeout_ms: int
    ) -> commands.LeaseReport | commands.StopOutcome:
        worker = await self._reach_worker(command)
        if worker is None:
            await self._wait_for_timeout(timeout_ms)
            return commands.StopOutcome.UNKNOWN
        outcome = worker.renew(command)
        if outcome is not None:
            return outcome
        end_ms = self.now_ms() + command.wait_ms
        while not worker.has_end_after(command.last_seen) and (
            self.now_ms() < end_ms
        ):
            await task.deferLater(self.clock, 0.01)
        worker.forget_ends(command.last_seen)
        crashed = self.workers.get(worker.entry.worker) is not worker
        loses_answer = (
            crashed
            or worker.fault is WorkerFault.SILENT
            or (
                worker.fault is WorkerFault.LOSES_WAITING_RENEWALS
                and command.wait_ms > 0
            )
        )
        if loses_answer:
            await self._wait_for_timeout(timeout_ms - command.wait_ms)
            return commands.StopOutcome.UNKNOWN
        return worker.report()

    async def _reach_worker(
        self, command: commands.Command
    ) -> "PoolWorker | None":
        """Returns the worker if it answers.

        Commands name a worker by its id alone, so one that was meant for an
        earlier incarnation reaches the present one.
        """
        await task.deferLater(self.clock, REQUEST_DELAY_S)
        worker = self.workers.get(command.worker.worker)
        if worker is None or worker.fault in _UNREACHABLE:
            return None
        return worker

    def _refuses(self, command: commands.Command) -> bool:
        worker = self.workers.get(command.worker.worker)
        return worker is not None and worker.fault is WorkerFault.REFUSING

    async def _wait_for_timeout(self, timeout_ms: int) -> None:
        await task.deferLater(self.clock, timeout_ms / _MS_PER_S)

    def is_gang_active(self, name: units.TaskName, run: int, size: int) -> bool:
        """Returns whether all members of a gang's run are running."""
        return len(self._gang_members(name, run)) == size

    def begin_gang_if_active(
        self, name: units.TaskName, run: int, size: int
    ) -> None:
        """Lets the members of a gang's run work once all are running."""
        if self.is_gang_active(name, run, size):
            for worker, each in self._gang_members(name, run):
                worker.begin_work(each)

    def is_gang_finished(self, name: units.TaskName, run: int) -> bool:
        """Returns whether all members of a gang's run have finished."""
        return all(each.finished for _, each in self._gang_members(name, run))

    def gang_start_ms(self, name: units.TaskName, run: int) -> int:
        """Returns when the last member of a gang's run started."""
        return max(each.began_ms for _, each in self._gang_members(name, run))

    def end_gang(
        self, name: units.TaskName, run: int, kind: commands.EndKind
    ) -> None:
        """Ends every member of a gang's run."""
        for worker, each in self._gang_members(name, run):
            worker.end(each, kind)

    def _gang_members(
        self, name: units.TaskName, run: int
    ) -> list[tuple["PoolWorker", _Running]]:
        """Returns running tasks with the name prefix of a gang, and workers."""
        prefix = name.rpartition(".")[0]
        return [
            (worker, each)
            for worker in self.workers.values()
            for each in worker.running.values()
            if each.task.rpartition(".")[0] == prefix and each.run == run
        ]


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
        self, *, pool: PoolWorkers, entry: worker_directory.Worker
    ) -> None:
        """Initializes an idle worker."""
        self.entry = entry
        self.running: dict[units.TaskName, _Running] = {}
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
        run = _Running(
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

    def begin_work(self, run: _Running) -> None:
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

    def _percent(self, run: _Running) -> int:
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

    def end(self, run: _Running, kind: commands.EndKind) -> None:
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

    def _finish(self, run: _Running) -> None:
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

    def _check_gang(self, run: _Running) -> None:
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
