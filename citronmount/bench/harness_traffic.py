"""Measures the messages and bytes per second of the VMs of idle sites."""

from collections.abc import Callable

import msgspec

from citronmount.bench import harness
from citronmount.bench import harness_process
from citronmount.bench import harness_site
from citronmount.clients import messages

__all__ = ["TrafficRow", "measure_traffic", "slope"]

WARM_UP_MS = 15_000
_MS_PER_S = 1_000


class TrafficRow(msgspec.Struct, frozen=True, kw_only=True):
    """Traffic of the average and the busiest VM of a site.

    Attributes:
        vms: VMs of the site.
        failure_domains: Failure domains of the site.
        workers: Workers of the site.
        mean_bytes_per_s: Bytes of an average VM, both directions.
        most_bytes_per_s: Bytes of the busiest VM, both directions.
        mean_messages_per_s: Messages of an average VM, both directions.
        most_messages_per_s: Messages of the busiest VM, both directions.
        bytes_per_s_by_kind: Bytes of an average VM for each kind.
    """

    vms: int
    failure_domains: int
    workers: int
    mean_bytes_per_s: float
    most_bytes_per_s: float
    mean_messages_per_s: float
    most_messages_per_s: float
    bytes_per_s_by_kind: dict[str, float]


def measure_traffic(
    make_agent: Callable[[messages.ListedVm, int], harness_process.AgentLike],
    *,
    failure_domains: int,
    vms_per_domain: int,
    workers_per_domain: int,
    runners_per_domain: int = 2,
    seconds: int = 30,
    seed: int = 1,
) -> TrafficRow:
    """Simulates an idle site and counts the traffic of its VMs.

    Args:
        make_agent: Creates the agent of a VM from its list entry and the Unix
            time of its start in ms.
        failure_domains: Number of failure domains.
        vms_per_domain: VMs in each failure domain.
        workers_per_domain: Workers in each failure domain.
        runners_per_domain: Runners in each failure domain.
        seconds: Virtual time to count for after the warm-up.
        seed: Seed of all random numbers.

    Returns:
        The traffic per second of virtual time.
    """
    simulation = harness.Harness(
        site=harness_site.make_site(
            failure_domains=failure_domains,
            vms_per_domain=vms_per_domain,
            workers_per_domain=workers_per_domain,
            runners_per_domain=runners_per_domain,
        ),
        make_agent=make_agent,
        seed=seed,
        count_traffic=True,
    )
    simulation.start_all()
    simulation.run_until_ms(WARM_UP_MS)
    for process in simulation.processes.values():
        process.traffic = harness_process.Traffic()
    simulation.run_until_ms(WARM_UP_MS + seconds * _MS_PER_S)
    traffic = [process.traffic for process in simulation.processes.values()]
    byte_counts = [t.bytes.total() / seconds for t in traffic]
    message_counts = [t.messages.total() / seconds for t in traffic]
    kinds = sorted({kind for t in traffic for kind in t.bytes})
    return TrafficRow(
        vms=len(traffic),
        failure_domains=failure_domains,
        workers=len(simulation.services.workers),
        mean_bytes_per_s=sum(byte_counts) / len(traffic),
        most_bytes_per_s=max(byte_counts),
        mean_messages_per_s=sum(message_counts) / len(traffic),
        most_messages_per_s=max(message_counts),
        bytes_per_s_by_kind={
            kind: sum(t.bytes[kind] for t in traffic) / len(traffic) / seconds
            for kind in kinds
        },
    )


def slope(points: list[tuple[float, float]]) -> float:
    """Returns the least-squares slope of a line through points.

    Args:
        points: Pairs of x and y, with at least two distinct values of x.

    Examples:
        >>> slope([(1, 3.0), (2, 5.0), (3, 7.0)])
        2.0
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)
