"""Renders the capacity page from the measurements and the plan."""

from collections.abc import Iterable

from citronmount.bench import capacity_plan

__all__ = ["PRESERVED_TITLE", "preserved_part", "render"]

PRESERVED_TITLE = "## A pool on the users' platform"

_HEAD = """\
# Capacity

What a VM needs for control at the two-year size, worked out from slopes that
`python -m citronmount.bench.capacity --page docs/CAPACITY.md` measured on one
machine. The script writes this page; the tables hold the figures of its last
run. Processor times depend on the machine, the other figures hardly do.

The size: {s.workers:,} workers, {s.tasks:,} running tasks,
{s.jobs_per_day:,} jobs a day, {s.teams} teams, {s.failure_domains} failure
domains, {s.changes_per_day:,} configuration changes a day, {s.vms} VMs of the
system, {vms_each} to a failure domain.

The budget of a node: {b.processor_share:.1%} of a core,
{b.resident_mb:.0f} MB and {kb:.0f} KB/s, both directions together.

## The busiest VM by role

Every VM runs the same process. One VM of a failure domain owns scheduling
there, all share the renewal of leases, so the busiest VM has every role. The
sums below are those of such a VM.

"""
_METHOD = """
## How the figures are made

- **process**: {n} idle daemons on loopback for {idle_s:.0f} s: processor time
  and resident memory as the daemons export them. It already holds some of
  what the other roles are charged for, so the sum errs on the high side. The
  unchanged list of targets is answered by 304; its bytes are those headers.
- **member**: bytes of heartbeats at {vms} VMs in the virtual-time harness,
  plus {framing} bytes a message for ZeroMQ's framing and encryption, which are
  computed from the protocol and not measured. Processor
  time is that of one encrypted heartbeat sent and received
  ({message_us} us) and of the agent that takes it in.
- **keeper**: {kept:.1f} workers a VM, each renewed every 3 s. One renewal
  over HTTP took {exchange_us:.0f} us and {exchange_bytes:.0f} bytes.
- **owner**: {worker:.0f} bytes a worker, {job:.0f} bytes a job of
  {tasks} tasks and {team:.0f} bytes a team, from agents that own a failure
  domain in the harness. Running jobs and those that ended within a day are
  counted. Changed reports are charged at 3 KB, four for each job at each of
  8 workers, which is an assumption.
- **configuration**: a change with {teams} teams holds {change_bytes:,} bytes
  and took {change_us:,.0f} us to decode, fold and put in force.
- **time line**: {event:.0f} bytes an event in memory, {events:,} kept.
- Bytes are those handed to TCP. With {header} bytes of headers a packet and at
  most two packets a message, {packets:,.0f} bytes/s come on top.

## Measurements

Idle sites in the harness; bytes are those of messages and HTTP bodies with
200 bytes of headers a call, and of a platform's list that is sent whole, which
the daemon avoids.

"""


def render(measured: capacity_plan.Measured, plan: capacity_plan.Plan) -> str:
    """Renders the page, without the part that other scripts measure.

    Args:
        measured: The measurements.
        plan: The resource needs at the two-year size.

    Returns:
        The page in Markdown.
    """
    size, budget = capacity_plan.SIZE, capacity_plan.BUDGET
    worker_bytes, job_bytes, team_bytes = capacity_plan.state_slopes(
        measured.state
    )
    largest_team_count = max(measured.change_bytes)
    head = _HEAD.format(
        s=size,
        b=budget,
        vms_each=size.vms // size.failure_domains,
        kb=budget.bytes_per_s / 1_000,
    )
    method = _METHOD.format(
        n=6,
        idle_s=12,
        vms=measured.traffic[-1].vms,
        framing=capacity_plan.FRAMING_BYTES,
        header=capacity_plan.PACKET_HEADER_BYTES,
        message_us=measured.message_us,
        kept=size.workers / size.vms,
        exchange_us=measured.exchange.processor_us,
        exchange_bytes=measured.exchange.wire_bytes,
        worker=worker_bytes,
        job=job_bytes,
        team=team_bytes,
        tasks=capacity_plan.TASKS_PER_JOB,
        teams=largest_team_count,
        change_bytes=measured.change_bytes[largest_team_count],
        change_us=measured.change_us[largest_team_count],
        event=measured.event_bytes,
        packets=plan.packet_bytes_per_s,
        events=size.events_kept,
    )
    parts = (
        head,
        _needs_table(plan),
        _budget_list(plan),
        method,
        _traffic_table(measured),
        _idle_table(measured),
        _state_table(measured),
        _costs_table(measured),
    )
    return "".join(parts)


def preserved_part(page: str) -> str:
    """Returns the part of an existing page that other scripts measured.

    Args:
        page: The existing page; may be empty.

    Returns:
        An empty line and everything from `PRESERVED_TITLE` on; empty if the
        page has no such title.
    """
    _, title, rest = page.partition(PRESERVED_TITLE)
    return f"\n{title}{rest}" if title else ""


def _table(titles: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    lines = [list(titles), *(list(row) for row in rows)]
    lines.insert(1, ["---"] * len(lines[0]))
    return "".join(
        "| " + " | ".join(map(str, cells)) + " |\n" for cells in lines
    )


def _needs_table(plan: capacity_plan.Plan) -> str:
    rows = [
        (
            need.role,
            need.mechanism,
            f"{need.messages_per_s:.2f}",
            f"{need.bytes_per_s:,.0f}",
            f"{need.processor_share:.2%}",
            f"{need.memory_mb:.2f}",
        )
        for need in plan.needs
    ]
    rows.append(
        (
            "**sum**",
            "",
            f"{plan.messages_per_s:.1f}",
            f"{plan.bytes_per_s:,.0f}",
            f"{plan.processor_share:.2%}",
            f"{plan.memory_mb:.1f}",
        )
    )
    titles = (
        "role",
        "mechanism",
        "messages/s",
        "bytes/s",
        "processor",
        "state MB",
    )
    return _table(titles, rows)


def _budget_list(plan: capacity_plan.Plan) -> str:
    budget = capacity_plan.BUDGET
    rows = (
        (
            "processor_share",
            f"{plan.processor_share:.2%} of a core",
            f"{budget.processor_share:.1%}",
        ),
        (
            "resident_mb",
            f"{plan.memory_mb:.1f} MB",
            f"{budget.resident_mb:.0f} MB",
        ),
        (
            "bytes_per_s",
            f"{plan.bytes_per_s:,.0f} bytes/s",
            f"{budget.bytes_per_s:,.0f} bytes/s",
        ),
    )
    lines = (
        f"- {need}: {'within' if plan.within[name] else '**misses**'} "
        f"the budget of {limit}.\n"
        for name, need, limit in rows
    )
    wire_bytes_per_s = plan.bytes_per_s + plan.packet_bytes_per_s
    is_within = wire_bytes_per_s <= budget.bytes_per_s
    packet_line = (
        f"- {wire_bytes_per_s:,.0f} bytes/s with the headers of TCP and IP, at "
        f"most: {'within' if is_within else '**misses**'} the budget if these "
        "count.\n"
    )
    return "\n" + "".join(lines) + packet_line


def _traffic_table(measured: capacity_plan.Measured) -> str:
    rows = (
        (
            row.vms,
            row.workers,
            f"{row.mean_messages_per_s:.1f}",
            f"{row.mean_bytes_per_s:,.0f}",
            f"{row.bytes_per_s_by_kind['Heartbeat']:,.0f}",
            f"{row.bytes_per_s_by_kind['PlatformListed']:,.0f}",
        )
        for row in measured.traffic
    )
    titles = (
        "VMs",
        "workers",
        "messages/s a VM",
        "bytes/s a VM",
        "of which heartbeats",
        "of which the list",
    )
    return _table(titles, rows)


def _idle_table(measured: capacity_plan.Measured) -> str:
    rows = (
        (
            f"{row.workers_kept:g}",
            f"{row.processor_share:.2%}",
            f"{row.most_processor_share:.2%}",
            f"{row.resident_mb:.1f}",
            f"{row.http_bytes_per_s:,.0f}",
            f"{row.peer_bytes_per_s:,.0f}",
        )
        for row in measured.idle
    )
    titles = (
        "workers a VM",
        "processor, mean",
        "processor, most",
        "resident MB",
        "HTTP bytes/s",
        "peer bytes/s",
    )
    return "\nIdle daemons, six on loopback.\n\n" + _table(titles, rows)


def _state_table(measured: capacity_plan.Measured) -> str:
    rows = (
        (
            row.workers,
            row.jobs,
            row.teams,
            f"{row.owner_bytes:,}",
            f"{row.member_bytes:,}",
        )
        for row in measured.state
    )
    titles = ("workers", "jobs", "teams", "owner bytes", "member bytes")
    return "\nState of agents in one failure domain.\n\n" + _table(titles, rows)


def _costs_table(measured: capacity_plan.Measured) -> str:
    rows = (
        (row.kind, f"{row.mean_us:.1f}", f"{row.per_vm_per_s:.2f}")
        for row in measured.costs
    )
    titles = ("event", "mean us", "events/s a VM")
    text = "\nProcessor time of agents at 40 VMs and 160 workers.\n\n"
    return text + _table(titles, rows)
