"""Measures idle daemon processes, HTTP exchanges and peer messages."""

import statistics
import time

import msgspec
from twisted.internet import reactor

from citronmount.bench import harness_site
from citronmount.bench import loopback_cluster
from citronmount.bench import loopback_steps
from citronmount.clients import http_client
from citronmount.clients import messages
from citronmount.clients import platform_api
from citronmount.config import pool_file
from citronmount.config import sheet
from citronmount.core import ids
from citronmount.peers import curve_keys
from citronmount.peers import peer_messages
from citronmount.peers import peer_transport
from citronmount.testing import reactor_loop

__all__ = [
    "ExchangeCost",
    "IdleDaemon",
    "measure_exchange",
    "measure_idle",
    "measure_message_us",
]

WARM_UP_S = 4.0
MEASUREMENT_S = 12.0
RENEWAL_COUNT = 400
MESSAGE_COUNT = 4_000
BURST_MESSAGES = 200
VMS_PER_DOMAIN = 2
DOMAIN_COUNT = 3

_TIMEOUT_MS = 10_000
_US_PER_S = 1_000_000
_BYTES_PER_MB = 1_000_000


class IdleDaemon(msgspec.Struct, frozen=True, kw_only=True):
    """Resource use of the six daemons of an idle site.

    Attributes:
        workers_kept: Workers per VM, whose leases the VM renews.
        processor_share: Mean processor time over elapsed time.
        most_processor_share: Processor time over elapsed time of the busiest
            daemon.
        resident_mb: Mean resident memory.
        http_bytes_per_s: Mean bytes to and from platform and targets.
        peer_bytes_per_s: Mean bytes to and from other VMs.
    """

    workers_kept: float
    processor_share: float
    most_processor_share: float
    resident_mb: float
    http_bytes_per_s: float
    peer_bytes_per_s: float


class ExchangeCost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one lease renewal for the VM that sends it.

    Attributes:
        processor_us: Processor time of the client.
        wire_bytes: Bytes in both directions, including HTTP headers.
    """

    processor_us: float
    wire_bytes: float


def measure_idle(workers_per_domain: int) -> IdleDaemon:
    """Runs six idle daemons on loopback and measures their resource use.

    Args:
        workers_per_domain: Workers in each of three failure domains.

    Returns:
        The resource use of the daemons.
    """
    site = harness_site.make_site(
        failure_domains=DOMAIN_COUNT,
        vms_per_domain=VMS_PER_DOMAIN,
        workers_per_domain=workers_per_domain,
    )
    pool = pool_file.Pool(workers=site.view.workers, runners=site.view.runners)
    with loopback_cluster.open_cluster(pool, VMS_PER_DOMAIN) as cluster:
        loopback_steps.publish(
            cluster, sheet.write(site.configuration).encode("utf-8")
        )
        loopback_steps.wait_until_ready(cluster)
        time.sleep(WARM_UP_S)
        before, start_s = _read_gauges(cluster), time.monotonic()
        time.sleep(MEASUREMENT_S)
        after = _read_gauges(cluster)
        elapsed_s = time.monotonic() - start_s
        loopback_steps.drain_all(cluster)

    def rates(*names: str) -> list[float]:
        return [
            sum(new[name] - old[name] for name in names) / elapsed_s
            for old, new in zip(before, after, strict=True)
        ]

    processor_shares = rates("process.processor_s")
    resident = [
        gauges["process.resident_bytes"] / _BYTES_PER_MB for gauges in after
    ]
    http = rates("http.sent_bytes", "http.received_bytes")
    peers = rates("peers.sent_bytes", "peers.received_bytes")
    return IdleDaemon(
        workers_kept=workers_per_domain / VMS_PER_DOMAIN,
        processor_share=round(statistics.mean(processor_shares), 4),
        most_processor_share=round(max(processor_shares), 4),
        resident_mb=round(statistics.mean(resident), 1),
        http_bytes_per_s=round(statistics.mean(http)),
        peer_bytes_per_s=round(statistics.mean(peers)),
    )


def _read_gauges(cluster: loopback_cluster.Cluster) -> list[dict[str, float]]:
    return [
        loopback_steps.call(vm, "GET", "/v1/metrics").body["gauges"]
        for vm in cluster.vms
    ]


def measure_exchange() -> ExchangeCost:
    """Measures lease renewals of one worker over HTTP, sent one by one.

    Returns:
        The mean cost of a renewal.
    """
    site = harness_site.make_site(
        failure_domains=1,
        vms_per_domain=1,
        workers_per_domain=1,
        runners_per_domain=0,
    )
    pool = pool_file.Pool(workers=site.view.workers, runners=())
    with loopback_cluster.open_cluster(pool, 0) as cluster:
        return reactor_loop.run(
            _measure_renewals(cluster.pool.workers[0].address)
        )


async def _measure_renewals(address: str) -> ExchangeCost:
    http = http_client.HttpClient(reactor=reactor)
    call = messages.WorkerCall(
        token=ids.FenceToken(1), acts=(messages.Renew(ttl_ms=10_000),)
    )
    answer = await platform_api.call_worker(http, address, call, _TIMEOUT_MS)
    call_without_report = msgspec.structs.replace(
        call, known_sequence=answer.report.sequence
    )
    before, start_s = _traffic_bytes(http), time.process_time()
    for _ in range(RENEWAL_COUNT):
        await platform_api.call_worker(
            http, address, call_without_report, _TIMEOUT_MS
        )
    processor_s = time.process_time() - start_s
    wire_bytes = (_traffic_bytes(http) - before) / RENEWAL_COUNT
    await http.close()
    return ExchangeCost(
        processor_us=round(processor_s * _US_PER_S / RENEWAL_COUNT),
        wire_bytes=round(wire_bytes),
    )


def _traffic_bytes(http: http_client.HttpClient) -> int:
    return http.traffic.sent_bytes + http.traffic.received_bytes


def measure_message_us(message: peer_messages.PeerMessage) -> float:
    """Measures sending a message between two encrypted transports.

    Args:
        message: The message.

    Returns:
        Mean processor time to send and receive the message, in us.
    """
    shared_keys = curve_keys.generate_keys()
    received: list[ids.VmId] = []
    transports = [
        peer_transport.PeerTransport(
            reactor=reactor,
            vm=ids.VmId(name),
            bind_address="127.0.0.1:0",
            keys=shared_keys,
            on_message=lambda sender, _: received.append(sender),
        )
        for name in ("a", "b")
    ]
    for transport in transports:
        transport.open()
    try:
        return reactor_loop.run(
            _measure_messages(transports[0], transports[1], message, received)
        )
    finally:
        for transport in transports:
            transport.close()


async def _measure_messages(
    source: peer_transport.PeerTransport,
    target: peer_transport.PeerTransport,
    message: peer_messages.PeerMessage,
    received: list[ids.VmId],
) -> float:
    source.set_peers({target.vm: target.address})

    def connected() -> bool:
        return source.send(target.vm, message)

    await reactor_loop.wait_until(connected)
    await reactor_loop.wait_until(lambda: bool(received))
    start_s = time.process_time()
    for _ in range(MESSAGE_COUNT // BURST_MESSAGES):
        target_count = len(received) + BURST_MESSAGES
        for _ in range(BURST_MESSAGES):
            source.send(target.vm, message)
        await reactor_loop.wait_until(
            lambda target_count=target_count: len(received) >= target_count
        )
    processor_s = time.process_time() - start_s
    return round(processor_s * _US_PER_S / MESSAGE_COUNT, 1)
