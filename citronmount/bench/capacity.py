"""Measures resource use at several sizes and plans for the two-year size.

``python -m citronmount.bench.capacity --json`` prints one JSON object;
``--page FILE`` writes the capacity page of the documentation.
"""

import pathlib
import time

import click
import msgspec

from citronmount.bench import capacity_agents
from citronmount.bench import capacity_daemon
from citronmount.bench import capacity_page
from citronmount.bench import capacity_plan
from citronmount.bench import harness_traffic
from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.config import configuration_fold
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import scheduler
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["main", "measure"]

# Failure domains, VMs per domain and workers per domain.
SITE_SIZES = ((3, 2, 8), (3, 8, 8), (5, 8, 8), (5, 8, 32))
# Workers, jobs and teams; each row varies one of them.
STATE_SIZES = (
    (65, 65, 70),
    (130, 65, 70),
    (260, 65, 70),
    (65, 130, 70),
    (65, 160, 70),
    (65, 65, 140),
    (65, 65, 280),
)
TEAM_COUNTS = (70, 140, 280)
IDLE_WORKERS_PER_DOMAIN = (4, 16)
SAMPLE_EVENT_COUNT = 2_000

_NS_PER_US = 1_000


def measure() -> capacity_plan.Measured:
    """Runs every measurement and returns the results."""
    return capacity_plan.Measured(
        traffic=tuple(_measure_site_traffic(*site) for site in SITE_SIZES),
        costs=capacity_agents.measure_costs(
            failure_domains=5, vms_per_domain=8, workers_per_domain=32
        ),
        state=tuple(
            capacity_agents.measure_state(
                workers=workers, job_count=job_count, teams=teams
            )
            for workers, job_count, teams in STATE_SIZES
        ),
        idle=tuple(map(capacity_daemon.measure_idle, IDLE_WORKERS_PER_DOMAIN)),
        exchange=capacity_daemon.measure_exchange(),
        message_us=capacity_daemon.measure_message_us(_make_heartbeat()),
        change_bytes={
            n: len(records.encode(_make_change(n))) for n in TEAM_COUNTS
        },
        change_us={n: _measure_change_us(n) for n in TEAM_COUNTS},
        event_bytes=_measure_event_bytes(),
    )


def _measure_site_traffic(
    failure_domains: int, vms_per_domain: int, workers_per_domain: int
) -> harness_traffic.TrafficRow:
    return harness_traffic.measure_traffic(
        capacity_agents.make_agent,
        failure_domains=failure_domains,
        vms_per_domain=vms_per_domain,
        workers_per_domain=workers_per_domain,
    )


def _make_heartbeat() -> peer_messages.Heartbeat:
    return peer_messages.Heartbeat(
        failure_domain=ids.FailureDomainId("kr-a"),
        incarnation=1_800_000_000_000,
        sequence=100_000,
        config_version=ids.Version(10_000),
        config_offset=ids.Offset(100_000),
        ready=True,
        draining=False,
        physical_ms=1_800_000_000_000,
    )


def _make_change(teams: int) -> records.ConfigurationChange:
    names = [ids.AccountId(f"team-{number:04}") for number in range(teams)]
    domains = [ids.FailureDomainId(f"kr-{letter}") for letter in "abcde"]
    content = configuration.Configuration(
        failure_domains=tuple(
            configuration.FailureDomain(
                name=name, state=states.FailureDomainState.IN
            )
            for name in domains
        ),
        accounts=tuple(
            configuration.Account(
                name=name, account_class=states.AccountClass.PAYING
            )
            for name in names
        ),
        guarantees=tuple(
            configuration.Guarantee(
                account=name,
                failure_domain=None,
                copies=1,
                tasks=4,
                per_task=jobs.Resources(accelerators=2, cores=8, memory_gb=16),
                adjacency=states.Adjacency.RACK,
            )
            for name in names
        ),
    )
    return records.ConfigurationChange(
        record=ids.RecordId("0123456789abcdef0123456789abcdef"),
        base_version=ids.Version(0),
        author="planner",
        content=content,
    )


def _measure_change_us(teams: int) -> float:
    """Returns the processor time in us for a configuration change.

    It covers decoding and folding the change and the first decision of a
    scheduler with 260 workers under the new configuration.
    """
    encoded_change = records.encode(_make_change(teams))
    domain_scheduler = scheduler.DomainScheduler(
        failure_domain=ids.FailureDomainId("kr-a")
    )
    domain_scheduler.set_workers(
        tuple(
            messages.ListedTarget(
                name=f"w{number:03}",
                address="127.0.0.1:1",
                failure_domain=ids.FailureDomainId("kr-a"),
                rack=ids.RackId(f"r{number // 8}"),
                capacity=jobs.Resources(
                    accelerators=8, cores=64, memory_gb=128
                ),
            )
            for number in range(260)
        )
    )
    page = messages.LogPage(
        records=(
            messages.LogRecord(
                offset=ids.Offset(0),
                record=ids.RecordId("r"),
                data=encoded_change,
            ),
        ),
        oldest=ids.Offset(0),
        end=ids.Offset(1),
    )
    fold = configuration_fold.ConfigurationFold()
    start_ns = time.process_time_ns()
    fold.fold_page(page)
    domain_scheduler.set_configuration(fold.current)
    domain_scheduler.decide(0)
    return round((time.process_time_ns() - start_ns) / _NS_PER_US, 1)


def _measure_event_bytes() -> float:
    sample = [
        timeline_events.TimelineEvent(
            physical_ms=1_800_000_000_000 + number,
            logical=0,
            process="kr-a-1",
            kind=timeline_events.EventKind.JOB_PLACED,
            job=f"kr-a/kr-a-1-19a0b1c2d3e-{number:x}",
            attempt=f"kr-a/kr-a-1-19a0b1c2d3e-{number:x}#1.5",
            account="team-0001",
            count=24,
        )
        for number in range(SAMPLE_EVENT_COUNT)
    ]
    return round(capacity_agents.deep_bytes(sample) / SAMPLE_EVENT_COUNT, 1)


class Output(msgspec.Struct, frozen=True, kw_only=True):
    """JSON output of the script.

    Attributes:
        size: The two-year size.
        budget: Resources that a node may use.
        measured: The measurements.
        plan: Resource needs at the two-year size.
    """

    size: capacity_plan.Size
    budget: capacity_plan.Budget
    measured: capacity_plan.Measured
    plan: capacity_plan.Plan


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--page", type=click.Path(), help="Write the page to this file.")
def main(as_json: bool, page: str | None) -> None:
    """Measures slopes and works out the two-year size."""
    measured = measure()
    plan = capacity_plan.compute_plan(measured)
    page_text = capacity_page.render(measured, plan)
    if page is not None:
        page_path = pathlib.Path(page)
        before = page_path.read_text("utf-8") if page_path.exists() else ""
        preserved = capacity_page.preserved_part(before)
        page_path.write_text(page_text + preserved, encoding="utf-8")
    if as_json:
        output = Output(
            size=capacity_plan.SIZE,
            budget=capacity_plan.BUDGET,
            measured=measured,
            plan=plan,
        )
        click.echo(msgspec.json.encode(output).decode("utf-8"))
    elif page is None:
        click.echo(page_text)


if __name__ == "__main__":
    main()
