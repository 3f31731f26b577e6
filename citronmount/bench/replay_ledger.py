"""What a replay's jobs hold and wait for, and what they may use."""

import collections
from collections.abc import Iterable

from citronmount.bench import accounting
from citronmount.bench import pool_usage
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.config import configuration as configuration_lib
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = ["COMPARED_ACCOUNTS", "Ledger", "mix_of", "paying_accounts"]

COMPARED_ACCOUNTS = 16


class Ledger:
    """Use and capacity of each failure domain over time.

    Attributes:
        usage: What is free on each worker.
        capacity: Accelerators that may be used, over time.
        served: What each compared account got, by failure domain.
        configuration: The version in force.
    """

    def __init__(self, *, site: sites.Site) -> None:
        """Initializes a ledger of an idle site.

        Args:
            site: The pool and the first configuration.
        """
        self.usage = pool_usage.PoolUsage(workers=site.workers)
        self.capacity = accounting.StepFunction()
        self.served = {
            d: accounting.ServedShares(guaranteed=_guaranteed(site, d))
            for d in site.domains
        }
        self.configuration = site.configuration
        self._capacity_now = dict.fromkeys(site.domains, 0)

    def advance(self, now_ms: int) -> None:
        """Brings every account's share up to date."""
        for served in self.served.values():
            served.advance(now_ms)

    def queue(
        self,
        domain: ids.FailureDomainId,
        spec: jobs.JobSpec,
        sign: int,
        now_ms: int,
    ) -> None:
        """Notes that a job waits, or waits no more.

        Args:
            domain: Where.
            spec: The job.
            sign: 1 if it begins to wait, else -1.
            now_ms: The time.
        """
        served = self.served[domain]
        served.advance(now_ms)
        served.queue(spec.account, spec.accelerators, sign)

    def take(
        self,
        domain: ids.FailureDomainId,
        spec: jobs.JobSpec,
        placement: jobs.Placement,
    ) -> None:
        """Notes that a job holds its placement."""
        self.usage.take(spec, placement, 1)
        self.served[domain].hold(spec.account, spec.accelerators)

    def give_back(
        self,
        domain: ids.FailureDomainId,
        spec: jobs.JobSpec,
        placement: jobs.Placement,
        now_ms: int,
    ) -> None:
        """Notes that a job holds its placement no more."""
        served = self.served[domain]
        served.advance(now_ms)
        served.hold(spec.account, -spec.accelerators)
        self.usage.take(spec, placement, -1)
        if self.is_out(domain):
            self.set_capacity(domain, now_ms)

    def is_out(self, domain: ids.FailureDomainId) -> bool:
        """Returns whether operators took a failure domain out of service."""
        return any(
            each.name == domain and each.state is states.FailureDomainState.OUT
            for each in self.configuration.failure_domains
        )

    def set_capacity(self, domain: ids.FailureDomainId, now_ms: int) -> None:
        """Notes what may be used; out of service, only what is still held."""
        total = self.usage.capacity(domain)
        if self.is_out(domain):
            total -= sum(
                self.usage.free[name].accelerators
                for name in self.usage.by_domain[domain]
            )
        self.served[domain].advance(now_ms)
        self.served[domain].capacity(total)
        self.capacity.add(now_ms, total - self._capacity_now[domain])
        self._capacity_now[domain] = total


def mix_of(
    trace: Iterable[workload.TracedJob],
) -> dict[pool_usage.Shape, float]:
    """Returns the shapes of jobs, weighted by accelerator time.

    Args:
        trace: The jobs.

    Returns:
        Seconds of work by shape.
    """
    mix: dict[pool_usage.Shape, float] = collections.defaultdict(float)
    for job in trace:
        if job.spec.accelerators:
            mix[pool_usage.shape_of(job.spec)] += job.work_s
    return dict(mix)


def _guaranteed(
    site: sites.Site, domain: ids.FailureDomainId
) -> dict[ids.AccountId, int]:
    """Returns what each compared account is guaranteed in a domain."""
    paying = paying_accounts(site.configuration)
    if len(paying) > COMPARED_ACCOUNTS:
        return {}
    return {
        account: sum(
            row.copies * row.tasks * row.per_task.accelerators
            for row in site.configuration.guarantees
            if row.account == account and row.failure_domain == domain
        )
        for account in paying
    }


def paying_accounts(
    configuration: configuration_lib.Configuration,
) -> list[ids.AccountId]:
    """Returns the paying accounts, in the order of the configuration."""
    return [
        account.name
        for account in configuration.accounts
        if account.account_class is states.AccountClass.PAYING
    ]
