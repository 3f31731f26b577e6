"""Synthetic sites: failure domains with VMs, workers and runners."""

import itertools

import msgspec

from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = ["Site", "make_site"]

PAYING = ids.AccountId("paying")
TRIAL = ids.AccountId("trial")


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """Initial platform list and initial configuration of a site.

    Attributes:
        view: All VMs, workers and runners.
        configuration: Content of the first published configuration.
    """

    view: messages.PlatformView
    configuration: configuration.Configuration

    @property
    def failure_domains(self) -> tuple[ids.FailureDomainId, ...]:
        """Names of the failure domains."""
        return tuple(d.name for d in self.configuration.failure_domains)


def make_site(
    *,
    failure_domains: int = 3,
    vms_per_domain: int = 2,
    workers_per_domain: int = 2,
    runners_per_domain: int = 2,
    accelerators: int = 8,
    workers_per_rack: int = 8,
    slots: int = 8,
) -> Site:
    """Creates a site of equal failure domains.

    In every failure domain, one paying account is guaranteed a gang of up to
    two tasks, each of which takes all accelerators of a worker. One trial
    account has an allowance of all accelerators of the site.

    Args:
        failure_domains: Number of failure domains.
        vms_per_domain: VMs of the system in each failure domain.
        workers_per_domain: Workers in each failure domain.
        runners_per_domain: Runners in each failure domain.
        accelerators: Accelerators of each worker.
        workers_per_rack: Workers in each rack.
        slots: Slots of each runner.

    Returns:
        The site.
    """
    names = [
        ids.FailureDomainId(f"fd-{chr(ord('a') + index)}")
        for index in range(failure_domains)
    ]
    ports = itertools.count(20_000)
    vms = tuple(
        messages.ListedVm(
            vm=ids.VmId(f"{name}.vm{index}"),
            failure_domain=name,
            peer_address=f"127.0.0.1:{next(ports)}",
        )
        for name in names
        for index in range(vms_per_domain)
    )
    workers = tuple(
        messages.ListedTarget(
            name=f"{name}.w{index:03}",
            address=f"127.0.0.1:{next(ports)}",
            failure_domain=name,
            rack=ids.RackId(f"{name}.rack{index // workers_per_rack}"),
            capacity=jobs.Resources(
                accelerators=accelerators, cores=64, memory_gb=128
            ),
        )
        for name in names
        for index in range(workers_per_domain)
    )
    runners = tuple(
        messages.ListedTarget(
            name=f"{name}.r{index:03}",
            address=f"127.0.0.1:{next(ports)}",
            failure_domain=name,
            slots=slots,
            connections=60,
        )
        for name in names
        for index in range(runners_per_domain)
    )
    return Site(
        view=messages.PlatformView(vms=vms, workers=workers, runners=runners),
        configuration=_configuration(names, workers_per_domain, accelerators),
    )


def _configuration(
    names: list[ids.FailureDomainId], workers_per_domain: int, accelerators: int
) -> configuration.Configuration:
    return configuration.Configuration(
        failure_domains=tuple(
            configuration.FailureDomain(
                name=name, state=states.FailureDomainState.IN
            )
            for name in names
        ),
        accounts=(
            configuration.Account(
                name=PAYING, account_class=states.AccountClass.PAYING
            ),
            configuration.Account(
                name=TRIAL, account_class=states.AccountClass.TRIAL
            ),
        ),
        guarantees=tuple(
            configuration.Guarantee(
                account=PAYING,
                failure_domain=name,
                copies=1,
                tasks=min(2, workers_per_domain),
                per_task=jobs.Resources(
                    accelerators=accelerators, cores=8, memory_gb=16
                ),
                adjacency=states.Adjacency.RACK,
            )
            for name in names
        ),
        allowances=(
            configuration.Allowance(
                account=TRIAL,
                accelerators=len(names) * workers_per_domain * accelerators,
            ),
        ),
    )
