"""Extrapolates resource needs to the two-year size from measurements."""

import msgspec

from citronmount.bench import capacity_agents
from citronmount.bench import capacity_daemon
from citronmount.bench import harness_traffic

__all__ = [
    "BUDGET",
    "FRAMING_BYTES",
    "PACKET_HEADER_BYTES",
    "SIZE",
    "TASKS_PER_JOB",
    "Budget",
    "Measured",
    "Need",
    "Plan",
    "Size",
    "compute_plan",
    "state_slopes",
]

_DAY_S = 24 * 60 * 60
_US_PER_S = 1_000_000
_KB = 1_000
_MB = 1_000_000


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a site.

    Attributes:
        workers: Workers in all failure domains.
        failure_domains: Failure domains.
        vms: VMs of the system in all failure domains.
        tasks: Running tasks.
        jobs_per_day: Submitted jobs per day.
        teams: Client accounts with guarantees.
        changes_per_day: Configuration changes per day.
        events_kept: Timeline events that a VM retains.
    """

    workers: int = 1_300
    failure_domains: int = 5
    vms: int = 40
    tasks: int = 30_000
    jobs_per_day: int = 4_600
    teams: int = 280
    changes_per_day: int = 3_700
    events_kept: int = 20_000


class Budget(msgspec.Struct, frozen=True, kw_only=True):
    """Resources that a node may use for control.

    Attributes:
        processor_share: Processor time as a share of one core.
        resident_mb: Resident memory.
        bytes_per_s: Bytes in both directions together.
    """

    processor_share: float = 0.035
    resident_mb: float = 128.0
    bytes_per_s: float = 14_000.0


SIZE = Size()
BUDGET = Budget()
RENEW_PERIOD_S = 3.0
LIST_PERIOD_S = 2.0
TICKS_PER_S = 4.0
ENDED_JOB_SHARE = 1.0
# ZeroMQ framing and encryption of one message.
FRAMING_BYTES = 40
# TCP and IP headers of one packet.
PACKET_HEADER_BYTES = 52
PACKETS_PER_MESSAGE = 2
# HTTP headers of a poll that is answered by status 304.
UNCHANGED_LIST_BYTES = 400
TASKS_PER_JOB = capacity_agents.TASKS_PER_JOB


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements of one run of the script.

    Attributes:
        traffic: Traffic of simulated idle sites at several sizes.
        costs: Processor time of agents at 40 VMs and 160 workers.
        state: Memory of agents at several sizes.
        idle: Resource use of idle daemons for two numbers of workers.
        exchange: Cost of one lease renewal over HTTP.
        message_us: Processor time to send and receive one heartbeat.
        change_bytes: Size of a configuration change by number of teams.
        change_us: Processor time to apply a configuration change by number of
            teams.
        event_bytes: Memory of one timeline event.
    """

    traffic: tuple[harness_traffic.TrafficRow, ...]
    costs: tuple[capacity_agents.EventCost, ...]
    state: tuple[capacity_agents.StateRow, ...]
    idle: tuple[capacity_daemon.IdleDaemon, ...]
    exchange: capacity_daemon.ExchangeCost
    message_us: float
    change_bytes: dict[int, int]
    change_us: dict[int, float]
    event_bytes: float


class Need(msgspec.Struct, frozen=True, kw_only=True):
    """Resources that one role of a VM needs at the two-year size.

    Attributes:
        role: Name of the role.
        mechanism: How the role is implemented.
        messages_per_s: Messages and calls in both directions.
        bytes_per_s: Bytes in both directions.
        processor_share: Processor time as a share of one core.
        memory_mb: Memory.
    """

    role: str
    mechanism: str
    messages_per_s: float
    bytes_per_s: float
    processor_share: float
    memory_mb: float


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Resource needs of the busiest VM, which has every role.

    Attributes:
        needs: Needs of each role.
        messages_per_s: Sum over the roles.
        bytes_per_s: Sum over the roles, without TCP and IP headers.
        packet_bytes_per_s: Upper bound for TCP and IP headers.
        processor_share: Sum over the roles.
        memory_mb: Sum over the roles.
        within: Whether the sum is within the budget, by field of `Budget`.
    """

    needs: tuple[Need, ...]
    messages_per_s: float
    bytes_per_s: float
    packet_bytes_per_s: float
    processor_share: float
    memory_mb: float
    within: dict[str, bool]


def compute_plan(measured: Measured) -> Plan:
    """Computes the needs of the busiest VM at the two-year size.

    Args:
        measured: The measurements.

    Returns:
        The needs by role, their sums and the comparison with the budget.
    """
    needs = (
        _process_need(measured),
        _member_need(measured),
        _lease_renewer_need(measured),
        _owner_need(measured),
        _configuration_need(measured),
        _timeline_need(measured),
    )
    share = sum(need.processor_share for need in needs)
    memory_mb = sum(need.memory_mb for need in needs)
    bytes_per_s = sum(need.bytes_per_s for need in needs)
    messages_per_s = sum(need.messages_per_s for need in needs)
    packets_per_s = messages_per_s * PACKETS_PER_MESSAGE
    return Plan(
        needs=needs,
        messages_per_s=round(messages_per_s, 1),
        bytes_per_s=round(bytes_per_s),
        packet_bytes_per_s=round(packets_per_s * PACKET_HEADER_BYTES),
        processor_share=round(share, 4),
        memory_mb=round(memory_mb, 1),
        within={
            "processor_share": share <= BUDGET.processor_share,
            "resident_mb": memory_mb <= BUDGET.resident_mb,
            "bytes_per_s": bytes_per_s <= BUDGET.bytes_per_s,
        },
    )


def _cost_us(measured: Measured, kind: str) -> float:
    return next(row.mean_us for row in measured.costs if row.kind == kind)


def _make_need(
    role: str,
    mechanism: str,
    *,
    messages_per_s: float = 0.0,
    bytes_per_s: float = 0.0,
    processor_us_per_s: float = 0.0,
    memory_bytes: float = 0.0,
) -> Need:
    return Need(
        role=role,
        mechanism=mechanism,
        messages_per_s=round(messages_per_s, 2),
        bytes_per_s=round(bytes_per_s),
        processor_share=round(processor_us_per_s / _US_PER_S, 5),
        memory_mb=round(memory_bytes / _MB, 2),
    )


def _process_need(measured: Measured) -> Need:
    """Returns the need of an idle process, as measured on loopback."""
    idle_daemon = measured.idle[0]
    return _make_need(
        "process",
        "one Twisted loop; tick each 250 ms, poll of list and configuration",
        messages_per_s=2 / LIST_PERIOD_S * 2,
        bytes_per_s=2 * UNCHANGED_LIST_BYTES / LIST_PERIOD_S,
        processor_us_per_s=idle_daemon.processor_share * _US_PER_S,
        memory_bytes=idle_daemon.resident_mb * _MB,
    )


def _member_need(measured: Measured) -> Need:
    """Returns the need of heartbeats to and from all other VMs."""
    row = measured.traffic[-1]
    heartbeat_bytes_per_s = row.bytes_per_s_by_kind["Heartbeat"]
    per_s = next(
        cost.per_vm_per_s
        for cost in measured.costs
        if cost.kind == "PeerArrived"
    )
    both_ways = 2 * per_s
    us_per_message = measured.message_us + _cost_us(measured, "PeerArrived")
    return _make_need(
        "member",
        "heartbeats, each 1 s within and each 3 s between failure domains",
        messages_per_s=both_ways,
        bytes_per_s=heartbeat_bytes_per_s + both_ways * FRAMING_BYTES,
        processor_us_per_s=per_s * us_per_message,
    )


def _lease_renewer_need(measured: Measured) -> Need:
    """Returns the need of renewing the leases of a VM's share of workers."""
    workers_per_vm = SIZE.workers / SIZE.vms
    per_s = workers_per_vm / RENEW_PERIOD_S
    us_per_renewal = measured.exchange.processor_us + _cost_us(
        measured, "WorkerAnswered"
    )
    return _make_need(
        "keeper",
        "one renewal a worker for all its leases; reports only when changed",
        messages_per_s=2 * per_s,
        bytes_per_s=per_s * measured.exchange.wire_bytes,
        processor_us_per_s=per_s * us_per_renewal,
    )


def _owner_need(measured: Measured) -> Need:
    """Returns the need of scheduling one failure domain."""
    domain_workers = SIZE.workers / SIZE.failure_domains
    running_jobs = SIZE.tasks / TASKS_PER_JOB / SIZE.failure_domains
    ended_jobs = SIZE.jobs_per_day / SIZE.failure_domains
    worker_bytes, job_bytes, team_bytes = state_slopes(measured.state)
    memory_bytes = (
        domain_workers * worker_bytes
        + (running_jobs + ended_jobs * ENDED_JOB_SHARE) * job_bytes
        + SIZE.teams * team_bytes
    )
    # Assumes that a job changes the report of 8 workers four times, and that a
    # report takes 3 KB.
    workers_per_job = 8
    changes_per_s = ended_jobs * workers_per_job * 4 / _DAY_S
    report_bytes = 3 * _KB
    return _make_need(
        "owner",
        "decisions on state in memory; keepers pass changed reports",
        messages_per_s=changes_per_s * 2,
        bytes_per_s=changes_per_s * report_bytes,
        processor_us_per_s=TICKS_PER_S * _cost_us(measured, "Tick"),
        memory_bytes=memory_bytes,
    )


def state_slopes(
    rows: tuple[capacity_agents.StateRow, ...],
) -> tuple[float, float, float]:
    """Returns the owner's bytes per worker, per job and per team.

    Args:
        rows: Measurements; every row differs from the first in at most one of
            the three sizes.

    Returns:
        Least-squares slopes, each over the rows that vary only that size; 0
        for a negative slope.
    """
    base = rows[0]

    def slope_by(name: str) -> float:
        other_names = {"workers", "jobs", "teams"} - {name}
        points = [
            (float(getattr(row, name)), float(row.owner_bytes))
            for row in rows
            if all(
                getattr(row, other) == getattr(base, other)
                for other in other_names
            )
        ]
        return max(0.0, harness_traffic.slope(points))

    return slope_by("workers"), slope_by("jobs"), slope_by("teams")


def _configuration_need(measured: Measured) -> Need:
    """Returns the need of applying every configuration change."""
    per_s = SIZE.changes_per_day / _DAY_S
    points = [
        (float(teams), float(size))
        for teams, size in measured.change_bytes.items()
    ]
    largest_team_count = max(measured.change_us)
    change_bytes = measured.change_bytes[largest_team_count] + (
        (SIZE.teams - largest_team_count) * harness_traffic.slope(points)
    )
    return _make_need(
        "configuration",
        "whole changes through the log, folded by offset at every VM",
        messages_per_s=per_s,
        bytes_per_s=per_s * change_bytes,
        processor_us_per_s=per_s * measured.change_us[largest_team_count],
    )


def _timeline_need(measured: Measured) -> Need:
    """Returns the need of the bounded timeline in memory."""
    return _make_need(
        "time line",
        "a bounded queue of events at each VM, merged by the reader",
        memory_bytes=SIZE.events_kept * measured.event_bytes,
    )
