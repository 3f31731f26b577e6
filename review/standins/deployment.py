"""A small deployment: the project's processes, the stand-ins and a client."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import tempfile
import time
import tomllib
import traceback

from standins import http_server
from standins import runners as runners_lib
from standins import store as store_lib

__all__ = ["Deployment", "Vm", "run_case"]

COULD_NOT_RUN = 2
# Not 1, with which Python itself ends on an error; run.sh makes it 1.
BROKEN = 10
PORT_RANGE = (12_000, 30_000)

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "tickets"
HOST = "queue.example"
KEY = "key-of-acme"
DEADLINE_MS = 3_000

_SETTINGS = """\
node_name = "{name}"
role = "scheduler"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [{metrics}, {metrics}]
seed_nodes = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
commands = "invoke"
advice = "127.0.0.1:{advice}"
[zones]
z1 = "r1"
[listen_addrs]
frontend = "127.0.0.1:{frontend}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_quota = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
grace_s = 6
hold_max_ms = 6000
stop_ms = 400
status_s = {status_s}
reclaim_ms = 2900
far_factor = 3
save_s = 0.5
[platform]
address = "127.0.0.1:{store}"
form = "log"
parts = 12
keep_s = {keep_s}
ttl_min_ms = 1000
"""


def _free_ports(count: int) -> list[int]:
    """Returns free ports below those that the system gives to clients."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as probe:
            if port not in ports and probe.connect_ex(("127.0.0.1", port)):
                ports.append(port)
    return ports


class Vm:
    """One machine with the program of the deploy file.

    Attributes:
        frontend: The port that clients call.
        process: The process that runs now, or None.
    """

    def __init__(
        self,
        *,
        name: str,
        folder: pathlib.Path,
        ports: dict[str, int],
        values: dict[str, object],
    ) -> None:
        """Writes the settings file."""
        self.name = name
        self.frontend = ports["frontend"]
        self.process: asyncio.subprocess.Process | None = None
        self._ready_port = ports["ready"]
        self._log_path = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            _SETTINGS.format(name=name, **ports, **values), encoding="utf-8"
        )

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )
        command = deploy["roles"]["scheduler"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["CITRONMOUNT_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = "target/deps"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Asks the readiness address."""
        status, _ = await http_server.call(
            self._ready_port, "GET", "/-/readyz", timeout_s=1.0
        )
        return status == 200

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def ended(self, limit_s: float) -> None:
        """Waits until the process has ended, and kills it at the limit."""
        if self.process is None:
            return
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def log_lines(self, event: str) -> list[dict]:
        """Returns the log lines with an event name, for the record only."""
        lines = self._log_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if f'"{event}"' in line]


class Deployment:
    """The stand-ins and the machines; use as an asynchronous context manager.

    Attributes:
        store: The platform's store.
        pool: The runners.
        vms: The machines.
        starts: Task, run, runner and time of each start that a runner began.
        ends: Task, run, runner, kind and time of each end.
        noted: The same of each end that was taken note of before a lapse.
    """

    def __init__(
        self,
        *,
        record_path: pathlib.Path,
        vm_count: int,
        places: list[runners_lib.Place],
        status_s: int = 120,
        keep_s: int = 300,
        route: dict[str, object] | None = None,
        extra_routes: list[dict[str, object]] | None = None,
    ) -> None:
        """Initializes a deployment that is not started."""
        self.starts: list[dict] = []
        self.ends: list[dict] = []
        self.noted: list[dict] = []
        self.vms: list[Vm] = []
        self.store = store_lib.Store(keep_s=keep_s)
        self.advice_handler: http_server.Handler | None = None
        self._record_file = record_path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.pool = runners_lib.Pool(store=self.store, record=self._record_run)
        self._vm_count = vm_count
        self._places = places
        self._values = {"status_s": status_s, "keep_s": keep_s}
        self._route = route or {}
        self._extra_routes = extra_routes or []
        self._stack = contextlib.AsyncExitStack()
        self._public_prefixes: set[object] = set()

    def seconds(self) -> float:
        """Returns the seconds since the beginning."""
        return time.monotonic() - self._began

    def record(self, what: str, **fields: object) -> None:
        """Writes a line to the record."""
        line = {"t": round(self.seconds(), 3), "what": what, **fields}
        self._record_file.write(json.dumps(line) + "\n")
        self._record_file.flush()

    def _record_run(self, what: str, **fields: object) -> None:
        self.record(what, **fields)
        row = {"t": self.seconds(), **fields}
        rows = {"start": self.starts, "end": self.ends, "noted": self.noted}
        rows[what].append(row)

    async def __aenter__(self) -> "Deployment":
        """Starts the stand-ins and the machines, or ends what has started."""
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _start(self) -> None:
        folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._stack.push_async_callback(self._end_all)
        ports = iter(_free_ports(2 + len(self._places) + 3 * self._vm_count))
        store_port, advice_port = next(ports), next(ports)
        await self._serve(store_port, self.store.handle)
        if self.advice_handler is not None:
            await self._serve(advice_port, self.advice_handler)
        for number, place in enumerate(self._places):
            runner = self.pool.add(f"i-{number:04d}", next(ports), place)
            await self._serve(runner.port, runner.handle)
        background = asyncio.create_task(self.pool.run())
        self._stack.callback(background.cancel)
        self.publish_configuration(1)
        for number in range(self._vm_count):
            vm = Vm(
                name=f"edge-z1-{number + 1}",
                folder=folder,
                ports={
                    "frontend": next(ports),
                    "ready": next(ports),
                    "metrics": next(ports),
                    "store": store_port,
                    "advice": advice_port,
                },
                values=self._values,
            )
            self.vms.append(vm)
            await vm.start()
        if not await self.until(self._all_ready, 30.0):
            raise RuntimeError("the machines aren't ready")

    async def __aexit__(self, *reason: object) -> None:
        """Ends all processes."""
        await self._stack.aclose()
        self._record_file.close()

    async def _serve(self, port: int, handler: http_server.Handler) -> None:
        server = await http_server.serve(port, handler)
        self._stack.callback(server.close)

    async def _end_all(self) -> None:
        for vm in self.vms:
            vm.send(signal.SIGCONT)
            vm.send(signal.SIGKILL)
            await vm.ended(5.0)

    async def _all_ready(self) -> bool:
        return all([await vm.is_ready() for vm in self.vms])

    async def until(self, condition, limit_s: float) -> bool:
        """Waits for an asynchronous condition; returns whether it holds."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    def publish_configuration(self, version: int) -> None:
        """Writes the operator's configuration."""
        services = sorted({place.service for place in self._places})
        routes = [
            {
                "name": f"r-{service}",
                "host": HOST,
                "path_prefix": f"/{service}/",
                "type": "non_idempotent",
                "timeout_ms": DEADLINE_MS,
                "slo_ms": 1_000,
                "priority": 1,
                "backend": service,
                "max_attempts": 4,
                "slack_factor": 3.0,
                "public": False,
                **self._route,
            }
            for service in services
        ]
        routes += [{**routes[0], **each} for each in self._extra_routes]
        self._public_prefixes = {
            each["path_prefix"] for each in routes if each["public"]
        }
        tenant = {"name": "acme", "api_keys": [KEY], "guaranteed": {"gpu": 0}}
        self.store.put_json(
            "keyed.op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": [
                    {"name": each, "admission_check": False}
                    for each in services
                ],
                "tenants": [tenant],
                "limits": {},
            },
        )

    async def ask(
        self,
        vm: Vm,
        method: str,
        job: str,
        body: bytes = b"",
        service: str = SERVICE,
    ) -> tuple[int, dict]:
        """Sends a client's call and records the answer.

        A call of a public route carries no key.
        """
        keyed = f"/{service}/" not in self._public_prefixes
        status, answer = await http_server.call(
            vm.frontend,
            method,
            f"/{service}/{job}",
            {
                "Host": HOST,
                **({"X-Api-Key": KEY} if keyed else {}),
                "Content-Type": "application/json",
                "Citronmount-Deadline-Ms": str(DEADLINE_MS),
            },
            body,
            DEADLINE_MS / 1_000,
        )
        decoded = json.loads(answer) if answer else {}
        self.record(
            "call",
            vm=vm.name,
            method=method,
            job=job,
            status=status,
            answer=decoded,
        )
        return status, decoded

    async def submit(
        self,
        vm: Vm,
        spec: dict,
        tries: int = 5,
        service: str = SERVICE,
        **phase: object,
    ) -> tuple[str, bool]:
        """Submits a job of one step, with retries; returns id and acceptance.

        A retry has the same id, as the pages say.
        """
        job = secrets.token_hex(8)
        phases = [{"count": 1, "cpu": 1_000, "mem_mb": 256, "gpu": 1, **phase}]
        text = json.dumps({"spec": json.dumps(spec), "phases": phases})
        for _ in range(tries):
            status, _ = await self.ask(
                vm, "POST", job, text.encode("utf-8"), service
            )
            if status == 200:
                return job, True
            await asyncio.sleep(1.0)
        return job, False

    async def wait_for_state(
        self,
        vm: Vm,
        job: str,
        states: tuple[str, ...],
        limit_s: float,
        service: str = SERVICE,
    ) -> str:
        """Polls a job's state until it is one of several; returns the last."""
        end = time.monotonic() + limit_s
        state = ""
        while time.monotonic() < end:
            status, answer = await self.ask(vm, "GET", job, b"", service)
            state = answer.get("state", "") if status == 200 else str(status)
            if state in states:
                break
            await asyncio.sleep(0.5)
        return state


def run_case(case: Callable[[], Awaitable[int]]) -> int:
    """Runs a case, which returns 1 if its rule was broken and 0 if it held.

    Returns the exit status for run.sh; an error counts as not run.

    SIGTERM ends the case and all processes that it started.
    """

    async def run() -> int:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await case()

    try:
        status = asyncio.run(run())
        return BROKEN if status == 1 else status
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return COULD_NOT_RUN
