"""Records allocations, queued demand and capacity during a job replay."""

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

__all__ = [
    "MAX_COMPARED_ACCOUNTS",
    "UsageRecorder",
    "paying_accounts",
    "work_by_shape",
]

MAX_COMPARED_ACCOUNTS = 16


class UsageRecorder:
    """Records use and capacity of each failure domain over time.

    Attributes:
        usage: Free resources of each worker.
        capacity: Accelerators that jobs may use, over time.
        fair_shares: Due and received shares of the accounts, by failure
            domain.
        configuration: The version in force.
    """

    def __init__(self, *, site: sites.Site) -> None:
        """Initializes the record of an idle site.

        Args:
            site: The pool and the first configuration.
        """
        self.usage = pool_usage.PoolUsage(workers=site.workers)
        self.capacity = accounting.StepFunction()
        self.fair_shares = {
            d: accounting.FairShareTracker(guaranteed=_guaranteed(site, d))
            for d in site.domains
        }
        self.configuration = site.configuration
        self._capacity_now = dict.fromkeys(site.domains, 0)

    def advance(self, now_ms: int) -> None:
        """Accounts for the time up to now in every failure domain."""
        for shares in self.fair_shares.values():
            shares.advance(now_ms)

    def record_queued(
        self,
        domain: ids.FailureDomainId,
        spec: jobs.JobSpec,
        sign: int,
        now_ms: int,
    ) -> None:
        """Records that a job enters or leaves the queue.

        Args:
            domain: Failure domain of the queue.
            spec: The job.
            sign: 1 if it enters, -1 if it leaves.
            now_ms: The time.
        """
        shares = self.fair_shares[domain]
        shares.advance(now_ms)
        shares.record_queued(spec.account, spec.accelerators, sign)

    def record_placed(
        self,
        domain: ids.FailureDomainId,
        spec: jobs.JobSpec,
        placement: jobs.Placement,
    ) -> None:
        """Records that a job takes the resources of its placement."""
        self.usage.update_allocation(spec, placement, 1)
        self.fair_shares[domain].record_allocated(
            spec.account, spec.accelerators
        )

    def record_freed(
        self,
        domain: ids.FailureDomainId,
        spec: jobs.JobSpec,
        placement: jobs.Placement,
        now_ms: int,
    ) -> None:
        """Records that a job returns the resources of its placement."""
        shares = self.fair_shares[domain]
        shares.advance(now_ms)
        shares.record_allocated(spec.account, -spec.accelerators)
        self.usage.update_allocation(spec, placement, -1)
        if self.is_out_of_service(domain):
            self.update_capacity(domain, now_ms)

    def is_out_of_service(self, domain: ids.FailureDomainId) -> bool:
        """Returns whether operators took a failure domain out of service."""
        return any(
            row.name == domain and row.state is states.FailureDomainState.OUT
            for row in self.configuration.failure_domains
        )

    def update_capacity(self, domain: ids.FailureDomainId, now_ms: int) -> None:
        """Sets a domain's capacity; if it is out, to what jobs still hold."""
        total = self.usage.usable_accelerators(domain)
        if self.is_out_of_service(domain):
            total -= sum(
                self.usage.free[name].accelerators
                for name in self.usage.workers_by_domain[domain]
            )
        self.fair_shares[domain].advance(now_ms)
        self.fair_shares[domain].set_capacity(total)
        self.capacity.add(now_ms, total - self._capacity_now[domain])
        self._capacity_now[domain] = total


def work_by_shape(
    trace: Iterable[workload.TracedJob],
) -> dict[pool_usage.GangShape, float]:
    """Returns the work of jobs that need accelerators, by gang shape.

    Args:
        trace: The jobs.

    Returns:
        Accelerator seconds by shape.
    """
    work_s: dict[pool_usage.GangShape, float] = collections.defaultdict(float)
    for job in trace:
        if job.spec.accelerators:
            work_s[pool_usage.shape_of(job.spec)] += job.work_s
    return dict(work_s)


def _guaranteed(
    site: sites.Site, domain: ids.FailureDomainId
) -> dict[ids.AccountId, int]:
    """Returns the accelerators guaranteed to each paying account in a domain.

    It is empty if there are more than MAX_COMPARED_ACCOUNTS paying accounts.
    """
    paying = paying_accounts(site.configuration)
    if len(paying) > MAX_COMPARED_ACCOUNTS:
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
