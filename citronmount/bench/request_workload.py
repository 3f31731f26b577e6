"""Workload of short requests with their true service times."""

import random

import msgspec

from citronmount.bench import workload
from citronmount.clients import messages
from citronmount.core import ids

__all__ = ["RequestSite", "TracedRequest", "make_requests", "perchero_site"]

SLOTS = 8
CONNECTIONS = 60
RUNNERS = {"gt-central-a": 9, "gt-central-b": 8, "gt-central-c": 8}
VMS = {"gt-central-a": 3, "gt-central-b": 3, "gt-central-c": 2}
ACCOUNTS = ("feria", "marimba", "teatro", "templo")
_KINDS = (
    ("door", 0.6, 30.0, 0.4),
    ("coordinator", 0.3, 60.0, 0.5),
    ("reconciliation", 0.1, 150.0, 0.6),
)
IDEMPOTENT_SHARE = 0.5
MEAN_SAMPLES = 20_000


class TracedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One short request.

    Attributes:
        request: Id of the request.
        account: Client account.
        kind: Class of work in reports.
        domain: Failure domain that the load balancer chose.
        vm: VM that the load balancer chose.
        arrival_ms: Time of arrival at the VM.
        service_ms: Service time on a runner of normal speed.
        idempotent: Whether the request may be sent more than once.
    """

    request: ids.RequestId
    account: ids.AccountId
    kind: str
    domain: str
    vm: ids.VmId
    arrival_ms: int
    service_ms: int
    idempotent: bool


class RequestSite(msgspec.Struct, frozen=True, kw_only=True):
    """The runners and VMs of a site, by failure domain.

    Attributes:
        runners: The runners.
        vms: The VMs.
    """

    runners: dict[str, tuple[messages.ListedTarget, ...]]
    vms: dict[str, tuple[ids.VmId, ...]]

    @property
    def slots(self) -> int:
        """Total number of slots."""
        return sum(r.slots for group in self.runners.values() for r in group)


def perchero_site() -> RequestSite:
    """Returns the runners and VMs of Perchero Abierto."""
    return RequestSite(
        runners={
            domain: tuple(
                messages.ListedTarget(
                    name=f"{domain}-r{number:02d}",
                    address="127.0.0.1:1",
                    failure_domain=ids.FailureDomainId(domain),
                    slots=SLOTS,
                    connections=CONNECTIONS,
                )
                for number in range(count)
            )
            for domain, count in RUNNERS.items()
        },
        vms={
            domain: tuple(
                ids.VmId(f"{domain}-vm{number}") for number in range(count)
            )
            for domain, count in VMS.items()
        },
    )


def make_requests(
    site: RequestSite, seed: int, *, load: float, seconds: float
) -> tuple[TracedRequest, ...]:
    """Returns requests at a share of what all slots can serve.

    The load balancer spreads them over the failure domains in proportion to
    their runners and evenly over the VMs of each domain.

    Args:
        site: The site.
        seed: Seed of the bench.
        load: Offered work as a share of the capacity of all slots.
        seconds: Time over which requests arrive.

    Returns:
        The requests in the order of arrival.
    """
    rng = workload.make_rng("requests", seed)
    mean_ms = (
        sum(_sample_request(rng)[1] for _ in range(MEAN_SAMPLES)) / MEAN_SAMPLES
    )
    count = load * site.slots * seconds * 1_000 / mean_ms
    domains = list(site.runners)
    weights = [len(site.runners[domain]) for domain in domains]
    trace = []
    end_ms = round(seconds * 1_000)
    for number, at_ms in enumerate(
        workload.poisson_arrivals_ms(rng, 0, end_ms, count)
    ):
        kind, service_ms = _sample_request(rng)
        domain = rng.choices(domains, weights)[0]
        trace.append(
            TracedRequest(
                request=ids.RequestId(f"q{number}"),
                account=ids.AccountId(rng.choice(ACCOUNTS)),
                kind=kind,
                domain=domain,
                vm=rng.choice(site.vms[domain]),
                arrival_ms=at_ms,
                service_ms=service_ms,
                idempotent=rng.random() < IDEMPOTENT_SHARE,
            )
        )
    return tuple(trace)


def _sample_request(rng: random.Random) -> tuple[str, int]:
    kind, _, median_ms, sigma = rng.choices(
        _KINDS, [kind[1] for kind in _KINDS]
    )[0]
    return kind, max(
        1, round(workload.sample_log_normal(rng, median_ms, sigma))
    )
