"""Runs real VM processes at ten times the normal call rate.

python -m citronmount.platform.tests.log_burst

Prints one JSON object with the result of three loads: "usual" (normal rate),
"burst" (ten times the rate) and "unread" (ten times the rate, with no process
reading the VMs' logs). See `LoadResult`.
"""

import re
import subprocess
import sys
import tempfile

import msgspec
from twisted.internet import defer
from twisted.internet import reactor

from citronmount.clients import http_client
from citronmount.platform.tests import loopback_site
from citronmount.platform.tests import soak

NORMAL_CALLS_PER_S = 10
BURST_FACTOR = 10
LOAD_DURATION_S = 3.0
PIPE_BYTES = 65_536
_EVENT_COUNTS = re.compile(
    r'citronmount_count_total\{name="events\.([^."]+)"\} (\d+)'
)
_DROPPED_COUNTS = re.compile(r'name="log_lines_dropped"\} (\d+)')


class LoadResult(msgspec.Struct, kw_only=True):
    """Result of one load.

    Attributes:
        calls: Number of calls.
        statuses: Number of calls by HTTP status; 0 for no response.
        slowest_ms: Duration of the slowest call in milliseconds.
        made: Number of log lines that the VMs produced.
        dropped: Number of lines that the VMs counted as dropped.
        unaccounted: Metrics addresses of the VMs that, since their start, have
            produced lines that are neither in their log nor counted as dropped.
    """

    calls: int = 0
    statuses: dict[str, int] = {}
    slowest_ms: int = 0
    made: int = 0
    dropped: int = 0
    unaccounted: list[str] = []


class LogBurst(soak.Soak):
    """Loads on the VM processes of a soak, without faults.

    Attributes:
        logs_to_file: Whether the VMs log to files; otherwise they log to pipes
            that no process reads.
    """

    def __init__(self, *, folder: str, logs_to_file: bool) -> None:
        super().__init__(seed=1, duration_s=LOAD_DURATION_S, folder=folder)
        self.logs_to_file = logs_to_file
        self.metrics_addresses: list[str] = []
        self.job_number = 0

    def write_settings(self, number: int, store_port: int) -> None:
        super().write_settings(number, store_port)
        text = (self.folder / f"vm-{number}.toml").read_text()
        port = re.search(r"port_range = \[(\d+)", text).group(1)
        self.metrics_addresses.append(f"{loopback_site.HOST}:{port}")

    def start(self, number: int) -> None:
        if self.logs_to_file:
            super().start(number)
            return
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", "citronmount.platform"],
            env=self.environment(number),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    async def measure(self, calls_per_s: float) -> LoadResult:
        result = LoadResult(statuses={})
        before = await self.count_lines()
        calls = []
        for _ in range(int(calls_per_s * LOAD_DURATION_S)):
            calls.append(defer.ensureDeferred(self.submit_job(result)))
            await loopback_site.sleep(1 / calls_per_s)
        await defer.gatherResults(calls)
        await loopback_site.sleep(2.0)
        after = await self.count_lines()
        result.made = after[0] - before[0]
        result.dropped = after[1] - before[1]
        if self.logs_to_file:
            result.unaccounted = [
                address
                for number, address in enumerate(self.metrics_addresses)
                if not await self.accounts_for_all_lines(number)
            ]
        return result

    async def accounts_for_all_lines(self, number: int) -> bool:
        """Returns whether a VM wrote or counted every line that it produced.

        The VM keeps producing lines, so its log is counted before and after
        its metrics are read.
        """
        written_before = self.count_written_lines(number)
        text = await self.scrape(self.metrics_addresses[number])
        made = sum(int(n) for _, n in _EVENT_COUNTS.findall(text))
        dropped = sum(int(n) for n in _DROPPED_COUNTS.findall(text))
        return (
            written_before <= made - dropped <= self.count_written_lines(number)
        )

    def count_written_lines(self, number: int) -> int:
        lines = (self.folder / f"vm-{number}.log").read_bytes().splitlines()
        return sum(b"log_lines_dropped" not in line for line in lines)

    async def submit_job(self, result: LoadResult) -> None:
        self.job_number += 1
        start_s = reactor.seconds()
        phase = {"count": 1, "cpu": 4_000, "mem_mb": 4_096, "gpu": 2}
        body = msgspec.json.encode({"spec": "x", "phases": [phase]})
        status, _ = await self.call("POST", f"{self.job_number:016x}", body)
        duration_ms = int((reactor.seconds() - start_s) * 1_000)
        result.calls += 1
        name = str(status)
        result.statuses[name] = result.statuses.get(name, 0) + 1
        result.slowest_ms = max(result.slowest_ms, duration_ms)

    async def count_lines(self) -> tuple[int, int]:
        """Returns how many lines all VMs have produced and dropped so far."""
        texts = [
            await self.scrape(address) for address in self.metrics_addresses
        ]
        made = sum(int(n) for t in texts for _, n in _EVENT_COUNTS.findall(t))
        dropped = sum(int(n) for t in texts for n in _DROPPED_COUNTS.findall(t))
        return made, dropped

    async def scrape(self, address: str) -> str:
        try:
            response = await self.http.call("GET", address, "/metrics", 3_000)
        except http_client.NoAnswerError:
            return ""
        return response.body.decode()

    async def run_loads(self, *factors: float) -> list[LoadResult]:
        self.set_up()
        await loopback_site.sleep(4.0)
        return [
            await self.measure(NORMAL_CALLS_PER_S * each) for each in factors
        ]


async def run() -> dict[str, LoadResult]:
    """Returns the result of each load, by the name of the load."""
    read = LogBurst(
        folder=tempfile.mkdtemp(prefix="log-burst-"), logs_to_file=True
    )
    unread = LogBurst(
        folder=tempfile.mkdtemp(prefix="log-burst-"), logs_to_file=False
    )
    try:
        usual, burst = await read.run_loads(1, BURST_FACTOR)
        kill_processes(read)
        (unread_burst,) = await unread.run_loads(BURST_FACTOR)
    finally:
        kill_processes(read)
        kill_processes(unread)
    return {"usual": usual, "burst": burst, "unread": unread_burst}


def kill_processes(log_burst: LogBurst) -> None:
    """Kills the VM processes that are still running."""
    for process in log_burst.processes.values():
        if process.poll() is None:
            process.kill()
            process.wait()


def main() -> None:
    results: list[object] = []

    def finish(result: object) -> None:
        results.append(result)
        reactor.stop()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(run()).addBoth(finish))
    reactor.run()
    (result,) = results
    if not isinstance(result, dict):
        sys.exit(result.getTraceback())
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
