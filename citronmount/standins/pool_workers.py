"""In-memory workers of a pool, which record violated guarantees."""

from collections.abc import Callable

from twisted.internet import interfaces
from twisted.internet import task

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.workers import worker_directory
from citronmount.standins import pool_worker
from citronmount.workflow import units

__all__ = ["PoolWorkers"]

REQUEST_DELAY_S = 0.001
ADVICE_DELAY_S = 0.1
TICKET_TTL_MS = 3_000

_MS_PER_S = 1_000
_UNREACHABLE = (
    pool_worker.WorkerFault.SILENT,
    pool_worker.WorkerFault.REFUSING,
)


TaskPlanner = Callable[[units.TaskName, int], pool_worker.TaskPlan]


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
        self.workers: dict[ids.WorkerId, pool_worker.PoolWorker] = {}
        self.violations: list[str] = []
        self.starts: list[tuple[units.TaskName, int, ids.WorkerId]] = []
        self.allowed_workers: set[ids.WorkerId] = set()
        self.advice_request_count = 0
        self.open_renewals = 0
        self.max_open_renewals = 0
        self.tickets: dict[units.TaskName, str] = {}
        self.finished_tasks: set[units.TaskName] = set()
        self.plan_task = plan_task
        self.on_start: list[
            Callable[[pool_worker.PoolWorker, units.TaskName], None]
        ] = []
        self.clock = clock

    def now_ms(self) -> int:
        """Returns the time of the pool's clock in ms."""
        return round(self.clock.seconds() * _MS_PER_S)

    def add(self, entry: worker_directory.Worker) -> pool_worker.PoolWorker:
        """Adds an idle worker."""
        worker = pool_worker.PoolWorker(pool=self, entry=entry)
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
        if worker.fault is pool_worker.WorkerFault.LOSES_NEXT_ANSWER:
            worker.fault = pool_worker.WorkerFault.NONE
            worker.start(command)
            await self._wait_for_timeout(timeout_ms)
            return commands.StartOutcome.UNKNOWN, None
        if worker.fault is pool_worker.WorkerFault.LOSES_NEXT_START:
            worker.fault = pool_worker.WorkerFault.NONE
            await self._wait_for_timeout(timeout_ms)
            return commands.StartOutcome.UNKNOWN, None
        if worker.fault is pool_worker.WorkerFault.LATE:
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
            or worker.fault is pool_worker.WorkerFault.SILENT
            or (
                worker.fault is pool_worker.WorkerFault.LOSES_WAITING_RENEWALS
                and command.wait_ms > 0
            )
        )
        if loses_answer:
            await self._wait_for_timeout(timeout_ms - command.wait_ms)
            return commands.StopOutcome.UNKNOWN
        return worker.report()

    async def _reach_worker(
        self, command: commands.Command
    ) -> pool_worker.PoolWorker | None:
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
        return (
            worker is not None
            and worker.fault is pool_worker.WorkerFault.REFUSING
        )

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
    ) -> list[tuple[pool_worker.PoolWorker, pool_worker.Run]]:
        """Returns running tasks with the name prefix of a gang, and workers."""
        prefix = name.rpartition(".")[0]
        return [
            (worker, each)
            for worker in self.workers.values()
            for each in worker.running.values()
            if each.task.rpartition(".")[0] == prefix and each.run == run
        ]
