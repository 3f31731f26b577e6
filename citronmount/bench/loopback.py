"""Load test of six daemons on loopback; one is killed and one is drained.

``python -m citronmount.bench.loopback --json`` prints one JSON object with
latencies, the resource use of each daemon and failed checks. The exit status
is 1 if a check failed, for example if an answer was wrong, a request ran twice
or the drain broke a connection with an open call.
"""

import collections
import sys
import time
import typing

import click
import msgspec
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import threads

from citronmount.bench import loopback_cluster
from citronmount.bench import loopback_load
from citronmount.bench import loopback_steps
from citronmount.clients import messages
from citronmount.config import pool_file
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.telemetry import metrics_registry
from citronmount.telemetry import timeline_events

__all__ = ["Report", "main", "run"]

DOMAINS = ("kr-a", "kr-b", "kr-c")
WORKERS_PER_DOMAIN = 4
RUNNERS_PER_DOMAIN = 3
SLOTS = 8
CALLER_COUNT = 12
WARM_UP_S = 4.0
PHASE_DURATION_S = 8.0
ACCOUNTS = ("hana", "duri")

_SHEET = "\n".join(
    (
        (
            "kind,name,class,state,failure_domain,copies,tasks,accelerators,"
            "cores,memory_gb,adjacency"
        ),
        *(f"failure_domain,{name},,in,,,,,,," for name in DOMAINS),
        *(f"client_account,{name},paying,,,,,,,," for name in ACCOUNTS),
        *(f"guarantee,{name},,,,3,2,4,4,4,rack" for name in ACCOUNTS),
        "",
    )
).encode("ascii")
_TRAFFIC_GAUGES = (
    "peers.sent_bytes",
    "peers.received_bytes",
    "http.sent_bytes",
    "http.received_bytes",
)


class VmUse(msgspec.Struct, frozen=True, kw_only=True):
    """Resource use of a daemon under load.

    Attributes:
        peer_bytes_per_s: Bytes to and from other VMs, without ZeroMQ's framing
            and encryption.
        http_bytes_per_s: Bytes to and from platform and targets.
        processor_share: Processor time over elapsed time.
        resident_mb: Resident memory at the end.
    """

    peer_bytes_per_s: float
    http_bytes_per_s: float
    processor_share: float
    resident_mb: float


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a load test.

    Attributes:
        tally: Outcomes of the calls.
        latencies: Latencies seen by callers, by kind of call.
        doubled: Number of idempotency keys whose request was started more than
            once by runners.
        killed: Name of the VM that was killed under load.
        drained: Name of the VM that was drained under load.
        drain_status: Exit status of the drained daemon.
        cut_by_drain: Number of open calls whose connection the drain broke.
        use: Resource use of each surviving daemon.
        faults: Descriptions of failed checks.
    """

    tally: loopback_load.Tally
    latencies: tuple[metrics_registry.HistogramSummary, ...]
    doubled: int
    killed: str
    drained: str
    drain_status: int
    cut_by_drain: int
    use: dict[str, VmUse]
    faults: tuple[str, ...]


def _make_pool() -> pool_file.Pool:
    workers = tuple(
        messages.ListedTarget(
            name=f"{domain}-w{number}",
            address="",
            failure_domain=ids.FailureDomainId(domain),
            rack=ids.RackId(f"{domain}-r1"),
            capacity=jobs.Resources(accelerators=8, cores=64, memory_gb=128),
        )
        for domain in DOMAINS
        for number in range(WORKERS_PER_DOMAIN)
    )
    runners = tuple(
        messages.ListedTarget(
            name=f"{domain}-u{number}",
            address="",
            failure_domain=ids.FailureDomainId(domain),
            slots=SLOTS,
            connections=60,
        )
        for domain in DOMAINS
        for number in range(RUNNERS_PER_DOMAIN)
    )
    return pool_file.Pool(workers=workers, runners=runners)


class _LoadTest:
    """One load test on a cluster that is ready."""

    def __init__(self, cluster: loopback_cluster.Cluster) -> None:
        self._cluster = cluster
        self._killed, self._drained = cluster.vms[0], cluster.vms[2]
        self._survivors = tuple(
            vm for vm in cluster.vms if vm not in (self._killed, self._drained)
        )
        self._load = loopback_load.Load(
            reactor=reactor, vms=cluster.vms, accounts=ACCOUNTS
        )

    async def run(self) -> Report:
        """Runs the load while it kills one daemon and drains another."""
        parts = self._load.start(CALLER_COUNT)
        await _sleep(WARM_UP_S)
        before, start_s = _read_gauges(self._survivors), time.monotonic()
        await _sleep(PHASE_DURATION_S)
        self._killed.process.kill()
        await _sleep(PHASE_DURATION_S)
        status, cut = await self._drain()
        await _sleep(PHASE_DURATION_S)
        after, end_s = _read_gauges(self._survivors), time.monotonic()
        self._load.stop()
        await defer.gatherResults(parts)
        await self._load.close()
        report = Report(
            tally=self._load.tally,
            latencies=self._load.metrics.snapshot().histograms,
            doubled=_count_doubled(self._cluster),
            killed=self._killed.name,
            drained=self._drained.name,
            drain_status=status,
            cut_by_drain=cut,
            use=_usage_by_vm(before, after, end_s - start_s),
            faults=(),
        )
        return msgspec.structs.replace(report, faults=_find_faults(report))

    async def _drain(self) -> tuple[int, int]:
        """Drains a daemon; returns its exit status and number of cut calls."""
        name = self._drained.name
        before = self._load.tally.cut.get(name, 0)
        self._drained.process.terminate()
        status = await threads.deferToThread(
            self._drained.process.wait, loopback_cluster.STOP_TIMEOUT_S
        )
        await _sleep(loopback_load.RETRY_DELAY_S)
        return status, self._load.tally.cut.get(name, 0) - before


async def run() -> Report:
    """Runs the load test on a new cluster, which is stopped at the end."""
    with loopback_cluster.open_cluster(_make_pool()) as cluster:
        loopback_steps.publish(cluster, _SHEET)
        loopback_steps.wait_until_ready(cluster)
        report = await _LoadTest(cluster).run()
        loopback_steps.drain_all(
            cluster, stopped=(report.killed, report.drained)
        )
    return report


def _sleep(seconds: float) -> defer.Deferred[None]:
    return task.deferLater(reactor, seconds)


def _read_gauges(
    vms: tuple[loopback_cluster.Vm, ...],
) -> dict[str, dict[str, float]]:
    return {
        vm.name: loopback_steps.call(vm, "GET", "/v1/metrics").body["gauges"]
        for vm in vms
    }


def _usage_by_vm(
    before: dict[str, dict[str, float]],
    after: dict[str, dict[str, float]],
    elapsed_s: float,
) -> dict[str, VmUse]:
    def rate(name: str, *gauges: str) -> float:
        total = sum(after[name][g] - before[name][g] for g in gauges)
        return round(total / elapsed_s, 4)

    return {
        name: VmUse(
            peer_bytes_per_s=rate(name, *_TRAFFIC_GAUGES[:2]),
            http_bytes_per_s=rate(name, *_TRAFFIC_GAUGES[2:]),
            processor_share=rate(name, "process.processor_s"),
            resident_mb=round(gauges["process.resident_bytes"] / 1e6, 1),
        )
        for name, gauges in after.items()
    }


def _count_doubled(cluster: loopback_cluster.Cluster) -> int:
    """Returns how many idempotency keys runners started more than once."""
    data = loopback_cluster.call(cluster.list_address, "GET", "/timeline").body
    started = collections.Counter(
        event["job"]
        for event in data
        if event["kind"] == timeline_events.EventKind.RUNNER_STARTED.value
        and event.get("job")
    )
    return sum(count > 1 for count in started.values())


def _find_faults(report: Report) -> tuple[str, ...]:
    tally = report.tally
    unfinished = [state for state in tally.jobs_by_state if state != "done"]
    checks = (
        (tally.wrong == 0, f"{tally.wrong} wrong answers"),
        (report.doubled == 0, f"{report.doubled} doubled requests"),
        (report.cut_by_drain == 0, f"{report.cut_by_drain} cut by the drain"),
        (report.drain_status == 0, f"drain status {report.drain_status}"),
        (not unfinished, f"jobs not done: {tally.jobs_by_state}"),
        (tally.answered > 0, "no request was answered"),
    )
    return tuple(text for holds, text in checks if not holds)


def _print(report: Report) -> None:
    for row in report.latencies:
        points = row.percentiles_ms
        click.echo(
            f"{row.work_class}/{row.stage}: {row.count} calls, "
            f"p50 {points['50']:.1f} ms, p99 {points['99']:.1f} ms"
        )
    for name, use in report.use.items():
        click.echo(
            f"{name}: peers {use.peer_bytes_per_s:.0f} B/s, "
            f"http {use.http_bytes_per_s:.0f} B/s, "
            f"processor {use.processor_share:.1%}, {use.resident_mb} MB"
        )
    tally = report.tally
    click.echo(
        f"{tally.answered} answered, {tally.refused} refused, "
        f"{tally.unknown} unknown, {tally.wrong} wrong, "
        f"{report.doubled} doubled, cut by the drain: {report.cut_by_drain}"
    )
    click.echo(f"jobs: {tally.jobs_by_state} of {tally.jobs_accepted}")
    for fault in report.faults:
        click.echo(f"FAULT: {fault}")


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(as_json: bool) -> None:
    """Puts load on six daemons, kills one and drains one."""
    reports: list[typing.Any] = []

    def stop(result: typing.Any) -> None:
        reports.append(result)
        reactor.stop()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(run()).addBoth(stop))
    reactor.run()
    report = reports[0]
    if not isinstance(report, Report):
        report.raiseException()
    if as_json:
        click.echo(msgspec.json.encode(report).decode("utf-8"))
    else:
        _print(report)
    sys.exit(1 if report.faults else 0)


if __name__ == "__main__":
    main()
