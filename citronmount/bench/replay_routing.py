"""Chooses failure domains for the submitted and queued jobs of a replay."""

import collections
from collections.abc import Mapping
import itertools

from citronmount.agent import homes
from citronmount.bench import pool_usage
from citronmount.config import configuration as configuration_lib
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import scheduler as scheduler_lib
from citronmount.core import shares

__all__ = ["JobRouter"]

_Schedulers = Mapping[ids.FailureDomainId, scheduler_lib.DomainScheduler]


class JobRouter:
    """Routes jobs to the schedulers of the failure domains.

    A scheduler's refusal to start a shape is cached until something changes
    at that scheduler.

    Attributes:
        configuration: The version in force.
    """

    def __init__(
        self,
        *,
        schedulers: _Schedulers,
        configuration: configuration_lib.Configuration,
    ) -> None:
        """Initializes a router without cached refusals.

        Args:
            schedulers: The scheduler of each failure domain.
            configuration: The first version.
        """
        self.configuration = configuration
        self._schedulers = schedulers
        self._entry_counter = itertools.count()
        self._versions: collections.Counter[str] = collections.Counter()
        self._refused_versions: dict[tuple, int] = {}
        self._ranked_domains: dict[tuple, tuple[ids.FailureDomainId, ...]] = {}
        self._guaranteed_domains = collections.defaultdict(set)
        for row in configuration.guarantees:
            self._guaranteed_domains[row.account].add(row.failure_domain)

    def adopt_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Adopts a version of the configuration and drops cached refusals."""
        self.configuration = configuration
        self._refused_versions.clear()

    def record_change(self, domain: ids.FailureDomainId) -> None:
        """Invalidates the cached refusals of a failure domain's scheduler."""
        self._versions[domain] += 1

    def route(
        self, spec: jobs.JobSpec, now_ms: int
    ) -> ids.FailureDomainId | None:
        """Returns the failure domain to which a job is submitted, if any.

        It is the first in rank that can start the job at once, or else the
        first in rank. Jobs enter through the VMs of each failure domain in
        turn, which affects the ranks.
        """
        names = list(self._schedulers)
        ranked = homes.rank_job_homes(
            self.configuration,
            spec,
            self._capacities(),
            names[next(self._entry_counter) % len(names)],
        )
        for name in ranked:
            if self._would_start(name, spec, now_ms):
                return name
        return ranked[0] if ranked else None

    def find_better_domain(
        self, spec: jobs.JobSpec, domain: ids.FailureDomainId, now_ms: int
    ) -> ids.FailureDomainId | None:
        """Returns another failure domain that can start a queued job now."""
        return next(
            (
                name
                for name in self._candidate_domains(spec, domain)
                if self._would_start(name, spec, now_ms)
            ),
            None,
        )

    def _would_start(
        self, name: ids.FailureDomainId, spec: jobs.JobSpec, now_ms: int
    ) -> bool:
        """Returns whether a scheduler can start a job now; caches refusals.

        The scheduler is not asked again if nothing has changed there since it
        last refused a job of the same account, shape and urgency.
        """
        key = (name, spec.account, pool_usage.shape_of(spec), spec.urgent)
        if self._refused_versions.get(key) == self._versions[name]:
            return False
        can_start = self._schedulers[name].would_start(spec, now_ms)
        if not can_start:
            self._refused_versions[key] = self._versions[name]
        return can_start

    def _capacities(self) -> dict[ids.FailureDomainId, homes.DomainCapacity]:
        return {
            name: homes.DomainCapacity(
                accelerators=self._uncommitted_accelerators(name),
                largest_gang=scheduler.largest_gang(),
            )
            for name, scheduler in self._schedulers.items()
        }

    def _candidate_domains(
        self, spec: jobs.JobSpec, domain: ids.FailureDomainId
    ) -> list[ids.FailureDomainId]:
        """Returns other domains that might start a job, freest first.

        A domain might if the account has a guarantee there or if enough
        accelerators are neither in use nor needed by queued jobs.
        """
        key = (self.configuration.version, spec.account, spec.accelerators)
        if key not in self._ranked_domains:
            self._ranked_domains[key] = shares.rank_homes(
                self.configuration, spec
            )
        guaranteed = self._guaranteed_domains[spec.account]
        uncommitted = {
            name: self._uncommitted_accelerators(name)
            for name in self._ranked_domains[key]
            if name != domain
        }
        return sorted(
            (
                name
                for name, accelerators in uncommitted.items()
                if name in guaranteed or accelerators >= spec.accelerators
            ),
            key=lambda name: (-uncommitted[name], name),
        )

    def _uncommitted_accelerators(self, name: ids.FailureDomainId) -> int:
        scheduler = self._schedulers[name]
        return scheduler.free_accelerators() - scheduler.queued_accelerators()
