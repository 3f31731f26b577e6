"""Real programs under ten times the usual calls, with and without a reader.

python -m citronmount.platform.tests.log_burst

Prints one JSON object: for the usual load, the burst and a burst with nobody
reading the logs, the calls and their answers, the slowest answer, and the
lines that the VMs made, wrote and dropped.
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

USUAL_PER_S = 10
BURST_FACTOR = 10
LOAD_S = 3.0
PIPE_BYTES = 65_536
_EVENTS = re.compile(
    r'citronmount_count_total\{name="events\.([^."]+)"\} (\d+)'
)
_DROPPED = re.compile(r'name="log_lines_dropped"\} (\d+)')


class LoadResult(msgspec.Struct, kw_only=True):
    """What one load did.

    Attributes:
        calls: Calls made.
        statuses: Answers by HTTP status; 0 for none.
        slowest_ms: The slowest answer.
        made: Log lines that the VMs made.
        dropped: Those that they dropped and counted.
        unaccounted: VMs whose lines, of all since their start, are neither
            found in their logs nor counted as dropped.
    """

    calls: int = 0
    statuses: dict[str, int] = {}
    slowest_ms: int = 0
    made: int = 0
    dropped: int = 0
    unaccounted: list[str] = []


class LogBurst(soak.Soak):
    """Loads on the programs of a soak, without faults."""

    def __init__(self, *, folder: str, read: bool) -> None:
        super().__init__(seed=1, duration_s=LOAD_S, folder=folder)
        self.read = read
        self.metrics: list[str] = []
        self.number = 0

    def write_settings(self, number: int, store_port: int) -> None:
        super().write_settings(number, store_port)
        text = (self.folder / f"vm-{number}.toml").read_text()
        port = re.search(r"port_range = \[(\d+)", text).group(1)
        self.metrics.append(f"{loopback_site.HOST}:{port}")

    def start(self, number: int) -> None:
        if self.read:
            super().start(number)
            return
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", "citronmount.platform"],
            env=self.environment(number),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    async def measure(self, per_s: float) -> LoadResult:
        result = LoadResult(statuses={})
        before = await self.counts()
        calls = []
        for _ in range(int(per_s * LOAD_S)):
            calls.append(defer.ensureDeferred(self.one_call(result)))
            await loopback_site.sleep(1 / per_s)
        await defer.gatherResults(calls)
        await loopback_site.sleep(2.0)
        after = await self.counts()
        result.made = after[0] - before[0]
        result.dropped = after[1] - before[1]
        if self.read:
            result.unaccounted = [
                address
                for number, address in enumerate(self.metrics)
                if not await self.accounts_for_all(number)
            ]
        return result

    async def accounts_for_all(self, number: int) -> bool:
        """Returns whether a VM wrote or counted every line that it made.

        It goes on making lines, so its log is read before and after.
        """
        least = self.written(number)
        text = await self.scrape(self.metrics[number])
        made = sum(int(n) for _, n in _EVENTS.findall(text))
        dropped = sum(int(n) for n in _DROPPED.findall(text))
        return least <= made - dropped <= self.written(number)

    def written(self, number: int) -> int:
        lines = (self.folder / f"vm-{number}.log").read_bytes().splitlines()
        return sum(b"log_lines_dropped" not in line for line in lines)

    async def one_call(self, result: LoadResult) -> None:
        self.number += 1
        began_s = reactor.seconds()
        phase = {"count": 1, "cpu": 4_000, "mem_mb": 4_096, "gpu": 2}
        body = msgspec.json.encode({"spec": "x", "phases": [phase]})
        status, _ = await self.call("POST", f"{self.number:016x}", body)
        took_ms = int((reactor.seconds() - began_s) * 1_000)
        result.calls += 1
        name = str(status)
        result.statuses[name] = result.statuses.get(name, 0) + 1
        result.slowest_ms = max(result.slowest_ms, took_ms)

    async def counts(self) -> tuple[int, int]:
        """Returns lines made and dropped by all VMs so far."""
        texts = [await self.scrape(address) for address in self.metrics]
        made = sum(int(n) for t in texts for _, n in _EVENTS.findall(t))
        dropped = sum(int(n) for t in texts for n in _DROPPED.findall(t))
        return made, dropped

    async def scrape(self, address: str) -> str:
        try:
            answer = await self.http.call("GET", address, "/metrics", 3_000)
        except http_client.NoAnswerError:
            return ""
        return answer.body.decode()

    async def loads(self, *factors: float) -> list[LoadResult]:
        self.set_up()
        await loopback_site.sleep(4.0)
        return [await self.measure(USUAL_PER_S * each) for each in factors]


async def run() -> dict[str, LoadResult]:
    """Returns the result of each load."""
    read = LogBurst(folder=tempfile.mkdtemp(prefix="log-burst-"), read=True)
    unread = LogBurst(folder=tempfile.mkdtemp(prefix="log-burst-"), read=False)
    try:
        usual, burst = await read.loads(1, BURST_FACTOR)
        stop(read)
        (alone,) = await unread.loads(BURST_FACTOR)
    finally:
        stop(read)
        stop(unread)
    return {"usual": usual, "burst": burst, "unread": alone}


def stop(soak: soak.Soak) -> None:
    """Kills the processes of a soak that still run."""
    for process in soak.processes.values():
        if process.poll() is None:
            process.kill()
            process.wait()


def main() -> None:
    results: list[object] = []

    def end(result: object) -> None:
        results.append(result)
        reactor.stop()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(run()).addBoth(end))
    reactor.run()
    (result,) = results
    if not isinstance(result, dict):
        sys.exit(result.getTraceback())
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
