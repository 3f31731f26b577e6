"""The platform's runners, which record every start and every end.

The text `spec` of a job is JSON: `run_ms`, `gang` (number of tasks that work
together; 1 for a single task), `lasting` (it doesn't end) and `fails` (the
first member of each run fails at the end of its work, the others are broken).
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import json
import time

from standins import http_server
from standins import store as store_lib

__all__ = ["Place", "Pool", "Runner"]

HOLD_MAX_MS = 6_000
STOP_MS = 300
GANG_MS = 3_000
BEAT_S = 1.5
TICK_S = 0.01


@dataclasses.dataclass
class _Run:
    task: str
    run: int
    spec: dict
    began_ms: float
    works_since_ms: float | None = None
    stop_at_ms: float | None = None


@dataclasses.dataclass
class Place:
    """What a runner is for: its service, rack and kind."""

    service: str
    rack: str = "r1-1"
    kind: str = "a"


class Pool:
    """All runners.

    Attributes:
        runners: The runners by id.
    """

    def __init__(
        self, *, store: store_lib.Store, record: Callable[..., None]
    ) -> None:
        """Initializes a pool without runners."""
        self.runners: dict[str, Runner] = {}
        self.store = store
        self.record = record

    def add(self, name: str, port: int, place: Place) -> "Runner":
        """Adds a runner."""
        runner = Runner(pool=self, name=name, port=port, place=place)
        self.runners[name] = runner
        return runner

    async def run(self) -> None:
        """Lets time pass for all runners and sends their heartbeats."""
        next_beat = 0.0
        while True:
            if time.monotonic() >= next_beat:
                next_beat = time.monotonic() + BEAT_S
                for runner in self.runners.values():
                    runner.beat()
            for runner in self.runners.values():
                runner.advance()
            await asyncio.sleep(TICK_S)

    def running(self) -> list[str]:
        """Returns the names of all running tasks."""
        return [task for r in self.runners.values() for task in r.running]

    def gang(self, run: _Run) -> list[tuple["Runner", _Run]]:
        """Returns the present members of a run's gang with their runners."""
        prefix = run.task.rpartition(".")[0]
        return [
            (runner, other)
            for runner in self.runners.values()
            for other in runner.running.values()
            if other.task.rpartition(".")[0] == prefix and other.run == run.run
        ]


class Runner:
    """One runner."""

    def __init__(
        self, *, pool: Pool, name: str, port: int, place: Place
    ) -> None:
        """Initializes an idle runner."""
        self.name = name
        self.port = port
        self.running: dict[str, _Run] = {}
        self._pool = pool
        self._place = place
        self._born = int(time.time() * 1_000)
        self._start = time.monotonic()
        self._seq = 0
        self._token = 0
        self._until_ms = 0.0
        self._ends: list[list] = []
        self._end_count = 0
        self._lapse_count = 0
        self._lapses_at_end: dict[int, int] = {}
        self._refused: dict[str, int] = {}
        self._ended = asyncio.Event()

    def clock_ms(self) -> int:
        """Returns the runner's own clock."""
        return int((time.monotonic() - self._start) * 1_000) + 1_000

    def beat(self) -> None:
        """Writes the runner's entry."""
        self._seq += 1
        self._pool.store.put_json(
            "keyed.servers",
            self.name,
            {
                "backend": self._place.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": "z1",
                "version": "v1",
                "capacity": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "free_resources": {"cpu": 32_000, "mem_mb": 65_536, "gpu": 8},
                "labels": [self._place.kind, self._place.rack],
                "clock_ms": self.clock_ms(),
                "born": self._born,
                "host_machine": f"m-{self.name}",
                "seq": self._seq,
            },
        )

    def advance(self) -> None:
        """Ends what is due: leases, stops, work."""
        now = self.clock_ms()
        for run in list(self.running.values()):
            if self.running.get(run.task) is not run:
                continue
            how = self._due_end(run, now)
            if how == "done":
                for runner, member in self._pool.gang(run):
                    runner._end(member, how)
            elif how:
                self._end(run, how)

    def _due_end(self, run: _Run, now: float) -> str:
        """Returns how a run ends now, or an empty string."""
        gang_size = run.spec.get("gang", 1)
        complete = gang_size == 1 or len(self._pool.gang(run)) == gang_size
        if now > self._until_ms:
            return "lapsed"
        if run.stop_at_ms is not None:
            return "stopped" if now >= run.stop_at_ms else ""
        if run.works_since_ms is None:
            run.works_since_ms = now if complete else None
            alone = not complete and now - run.began_ms > GANG_MS
            return "alone" if alone else ""
        if not complete:
            return "broken"
        work_ms = run.spec.get("run_ms", 1_000)
        if run.spec.get("lasting") or now - run.works_since_ms < work_ms:
            return ""
        if not run.spec.get("fails"):
            return "done"
        return "failed" if run.task.endswith(".0") else ""

    def _end(self, run: _Run, how: str) -> None:
        self.running.pop(run.task, None)
        self._refuse(run.task, run.run)
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.run, how, ""])
        self._lapses_at_end[self._end_count] = self._lapses()
        self._pool.record(
            "end", task=run.task, run=run.run, runner=self.name, how=how
        )
        self._ended.set()
        self._ended = asyncio.Event()

    def _refuse(self, task: str, run: int) -> None:
        self._refused[task] = max(self._refused.get(task, 0), run)

    def _lapses(self) -> int:
        """Returns how often the lease has lapsed so far."""
        return self._lapse_count + (self.clock_ms() > self._until_ms)

    def _note(self, end: list) -> None:
        """Records that an end was taken note of, unless the lease lapsed."""
        number, task, run, how, _ = end
        if self._lapses() == self._lapses_at_end.pop(number):
            self._pool.record(
                "noted", task=task, run=run, runner=self.name, how=how
            )

    def _extend(self, until_ms: float) -> None:
        self._lapse_count = self._lapses()
        until_ms = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        self._until_ms = max(self._until_ms, until_ms)

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Answers a call."""
        if request.headers.get("citronmount-expect-instance") != self.name:
            return self._reply(421)
        body = request.json()
        if body.get("fencing_token", 0) < self._token:
            return self._reply(409, reason="fence")
        self._token = body.get("fencing_token", 0)
        match request.path:
            case "/-/run-start":
                return self._start_run(body)
            case "/-/run-stop":
                return self._stop_run(body)
            case "/-/hold":
                return await self._hold(body)
        return self._reply(404)

    def _reply(self, status: int = 200, **fields: object) -> http_server.Reply:
        return http_server.json_reply(
            status, clock_ms=self.clock_ms(), born=self._born, **fields
        )

    def _start_run(self, body: dict) -> http_server.Reply:
        task, run = body["task"], body["run_id"]
        self._extend(body["until_ms"])
        present = self.running.get(task)
        if present is not None and present.run == run:
            return self._reply()
        if run <= self._refused.get(task, 0) or present is not None:
            return self._reply(409, reason="old")
        if body["until_ms"] <= self.clock_ms():
            return self._reply(409, reason="late")
        self.running[task] = _Run(
            task=task,
            run=run,
            spec=json.loads(body["spec"]),
            began_ms=self.clock_ms(),
        )
        self._pool.record("start", task=task, run=run, runner=self.name)
        return self._reply()

    def _stop_run(self, body: dict) -> http_server.Reply:
        task, run = body["task"], body["run_id"]
        self._refuse(task, run)
        present = self.running.get(task)
        if present is not None and present.run <= run:
            present.stop_at_ms = present.stop_at_ms or self.clock_ms() + STOP_MS
        return self._reply()

    async def _hold(self, body: dict) -> http_server.Reply:
        last = body.get("last_seen", 0)
        for end in self._ends:
            if end[0] <= last:
                self._note(end)
        if "until_ms" in body:
            self._extend(body["until_ms"])
        self._ends = [end for end in self._ends if end[0] > last]
        if not self._ends and body.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._ended.wait(), body["wait_ms"] / 1_000
                )
        now = self.clock_ms()
        running = [
            [each.task, each.run, "", self._percent(each, now), 0.0]
            for each in self.running.values()
        ]
        return self._reply(running=running, finished=self._ends[:500])

    @staticmethod
    def _percent(run: _Run, now: float) -> int:
        if run.works_since_ms is None:
            return 0
        if run.spec.get("lasting"):
            return 100
        share = (now - run.works_since_ms) / run.spec.get("run_ms", 1_000)
        return int(100 * min(max(share, 0.0), 1.0))
