"""Decodes the records that operators and runners write into the store."""

import msgspec
import structlog

from citronmount.clients import addresses
from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.workers import worker_directory
from citronmount.fleet_service import ports
from citronmount.platform import wire_types
from citronmount.workflow import spec

__all__ = ["decode"]

_CONFIGURATION_KEY = "config"
_OUT_OF_SERVICE_PREFIX = "evacuate/"
_MAINTENANCE_PREFIX = "wave/"
_STATES = {
    "ready": worker_directory.WorkerState.READY,
    "draining": worker_directory.WorkerState.DRAINING,
}


class _Resources(msgspec.Struct):
    cpu: wire_types.Int64 = 0
    mem_mb: wire_types.Int64 = 0
    gpu: wire_types.Int64 = 0


class _Capacity(msgspec.Struct):
    cpu: wire_types.Amount = 0
    mem_mb: wire_types.Amount = 0
    gpu: wire_types.Amount = 0


class _RunnerEntry(msgspec.Struct):
    """`free_resources` is the total capacity; the last label is the rack."""

    backend: str
    address: str
    zone: str
    state: str
    free_resources: _Capacity
    labels: list[str]
    born: wire_types.UnixMs
    host_machine: str = ""
    remaining_ms: wire_types.Int64 | None = None


class _Route(msgspec.Struct):
    """A queue.

    A job should complete within `slack_factor` times its critical path plus
    `slo_ms`.
    """

    name: str
    host: str
    path_prefix: str
    backend: str
    timeout_ms: wire_types.Int64 = 3_000
    slo_ms: wire_types.Milliseconds = 0
    priority: wire_types.Int64 = 0
    max_attempts: wire_types.Int64 = 1
    slack_factor: wire_types.SlackFactor = 1.0
    public: bool = False
    advice: dict[str, float] | None = None


class _Guaranteed(msgspec.Struct):
    gpu: wire_types.Int64 = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed = msgspec.field(default_factory=_Guaranteed)
    weight: float = 0.0
    max_count: _Resources = msgspec.field(default_factory=_Resources)


class _Configuration(msgspec.Struct):
    version: wire_types.Int64
    routes: list[_Route] = []
    tenants: list[_Tenant] = []


def decode(
    topic: ports.Topic, record: ports.LogRecord
) -> ports.LogEvent | None:
    """Decodes one record of the operators' or the runners' topic.

    Returns None for an unused record and for an undecodable configuration.
    """
    if topic is ports.Topic.WORKERS:
        return _decode_worker_record(record)
    if record.key == _CONFIGURATION_KEY and record.value is not None:
        return _decode_configuration(record.value, record.offset)
    if record.key.startswith(_OUT_OF_SERVICE_PREFIX):
        domain = record.key.removeprefix(_OUT_OF_SERVICE_PREFIX)
        return ports.DomainServiceChanged(
            domain=ids.FailureDomainId(domain), out=record.value is not None
        )
    if record.key.startswith(_MAINTENANCE_PREFIX):
        structlog.get_logger().warning("upkeep_not_supported", key=record.key)
    return None


def _decode_worker_record(record: ports.LogRecord) -> ports.WorkerChanged:
    """Decodes a runner's entry; an invalid entry counts as removed."""
    worker = ids.WorkerId(record.key)
    entry = None
    if record.value is not None:
        try:
            entry = _decode_worker(worker, record.value)
        except (*errors.DECODING_ERRORS, LookupError) as error:
            structlog.get_logger().warning(
                "worker_entry_ignored", worker=worker, error=str(error)
            )
    return ports.WorkerChanged(worker=worker, entry=entry)


def _decode_worker(
    worker: ids.WorkerId, value: bytes
) -> worker_directory.Worker:
    entry = msgspec.json.decode(value, type=_RunnerEntry)
    if addresses.parse(entry.address) is None:
        raise ValueError(f"expected ip:port, got {entry.address!r}")
    return worker_directory.Worker(
        worker=worker,
        life_ms=entry.born,
        machine=entry.host_machine,
        address=entry.address,
        failure_domain=ids.FailureDomainId(entry.zone),
        service=spec.ServiceName(entry.backend),
        state=_STATES[entry.state],
        capacity=_to_demand(entry.free_resources),
        labels=frozenset(entry.labels),
        rack=ids.RackId(entry.labels[-1]),
        remaining_ms=entry.remaining_ms,
    )


def _to_demand(resources: _Capacity) -> spec.Demand:
    return spec.Demand(
        millicores=resources.cpu,
        memory_mb=resources.mem_mb,
        accelerators=resources.gpu,
    )


def _decode_configuration(
    value: bytes, offset: int
) -> ports.ConfigurationChanged | None:
    try:
        published = msgspec.json.decode(value, type=_Configuration)
    except errors.DECODING_ERRORS as error:
        structlog.get_logger().error(
            "configuration_ignored", offset=offset, error=str(error)
        )
        return None
    queues = sorted(
        map(_to_queue, published.routes),
        key=lambda queue: -len(queue.path_prefix),
    )
    return ports.ConfigurationChanged(
        configuration=fleet_configuration.FleetConfiguration(
            version=published.version,
            queues=tuple(queues),
            accounts=tuple(map(_to_account, published.tenants)),
        )
    )


def _to_queue(route: _Route) -> fleet_configuration.Queue:
    return fleet_configuration.Queue(
        terms=spec.QueueTerms(
            queue=spec.QueueName(route.name),
            service=spec.ServiceName(route.backend),
            priority=route.priority,
            max_attempts=route.max_attempts,
            slack_factor=route.slack_factor,
            objective_ms=int(route.slo_ms),
            needs_advice=route.advice is not None,
        ),
        host=route.host,
        path_prefix=route.path_prefix,
        timeout_ms=route.timeout_ms,
        public=route.public,
    )


def _to_account(tenant: _Tenant) -> fleet_configuration.Account:
    return fleet_configuration.Account(
        account=ids.AccountId(tenant.name),
        keys=frozenset(tenant.api_keys),
        guaranteed_accelerators=tenant.guaranteed.gpu,
        quota=fleet_configuration.Quota(
            max_millicores=tenant.max_count.cpu,
            max_memory_mb=tenant.max_count.mem_mb,
            max_accelerators=tenant.max_count.gpu,
        ),
        weight=tenant.weight,
    )
