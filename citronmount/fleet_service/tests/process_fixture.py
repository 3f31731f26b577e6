"""A pool whose VM processes can be paused, as by SIGSTOP or by the host."""

from collections.abc import Callable
import inspect

from twisted.internet import defer
from twisted.internet import task

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet_service import pool_vm
from citronmount.fleet_service.tests import heap_clock
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log

__all__ = ["Process", "ProcessTestCase"]


class Process:
    """One VM's process: its clock, and its calls to the log and the workers.

    While the process is paused, nothing of it runs: calls are sent and answers
    are received when it continues, after time has passed.

    Attributes:
        clock: The clock of the process.
        paused: Whether the process is paused.
        pause_before: Name of a call before which the process is paused, or
            empty.
        calls: Name and arguments of each call.
        answers: Name and answer of each call that was answered.
    """

    def __init__(self) -> None:
        self.clock = heap_clock.HeapClock()
        self.paused = False
        self.pause_before = ""
        self.calls: list[tuple[str, tuple[object, ...]]] = []
        self.answers: list[tuple[str, object]] = []

    def follow(self, time_s: float) -> None:
        """Lets the clock reach a time unless the process is paused."""
        if not self.paused:
            self.clock.advance(time_s - self.clock.seconds())

    async def call(self, method: Callable, *arguments: object) -> object:
        """Calls a method of the log or the workers."""
        if method.__name__ == self.pause_before:
            self.pause_before = ""
            self.paused = True
        await task.deferLater(self.clock, 0)
        self.calls.append((method.__name__, arguments))
        try:
            answer = await method(*arguments)
        except defer.CancelledError:
            raise
        except Exception:
            await task.deferLater(self.clock, 0)
            raise
        await task.deferLater(self.clock, 0)
        self.answers.append((method.__name__, answer))
        return answer


class _Port:
    """Sends the calls of a process to a port."""

    def __init__(self, process: Process, port: object) -> None:
        self._process = process
        self._port = port

    def __getattr__(self, name: str) -> object:
        attribute = getattr(self._port, name)
        if not inspect.iscoroutinefunction(attribute):
            return attribute
        return lambda *arguments: self._process.call(attribute, *arguments)


class ProcessTestCase(pool_fixture.PoolTestCase):
    """Runs tests on a pool with a process for each VM.

    Attributes:
        processes: The processes that exist.
        process_of: The newest process of each VM.
    """

    def setUp(self) -> None:
        self.processes: list[Process] = []
        self.process_of: dict[int, Process] = {}
        super().setUp()

    def make_vm(
        self, number: int, sized_for_ownership: bool = True
    ) -> pool_vm.PoolVm:
        if not self.processes:
            self.clock.callLater(0, self._follow)
        process = Process()
        process.follow(self.clock.seconds())
        self.processes.append(process)
        self.process_of[number] = process
        client = pool_log.PoolLogClient(
            log=self.log, vm=ids.VmId(f"vm{number}")
        )
        vm = pool_vm.PoolVm(
            clock=process.clock,
            log=_Port(process, client),
            worker_commands=_Port(process, self.pool_workers),
            decode=self.decode,
            bounds=fleet_configuration.Bounds(max_lease_ms=6_000),
            policy=lease_sessions.LeasePolicy(
                lease_ms=5_000, max_lease_ms=6_000
            ),
            sized_for_ownership=sized_for_ownership,
            wall_clock=self.wall_ms,
        )
        vm.start()
        return vm

    def _follow(self) -> None:
        for process in self.processes:
            process.follow(self.clock.seconds())
        self.clock.callLater(pool_fixture.STEP_S, self._follow)
