"""Where a replay submits jobs, and where queued ones may move."""

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

    Attributes:
        configuration: The version in force.
    """

    def __init__(
        self,
        *,
        schedulers: _Schedulers,
        configuration: configuration_lib.Configuration,
    ) -> None:
        """Initializes a router that has asked no scheduler yet.

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

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Takes in a version of the configuration."""
        self.configuration = configuration
        self._refused_versions.clear()

    def record_change(self, domain: ids.FailureDomainId) -> None:
        """Notes that a scheduler may answer otherwise than before."""
        self._versions[domain] += 1

    def route(
        self, spec: jobs.JobSpec, now_ms: int
    ) -> ids.FailureDomainId | None:
        """Returns where a VM of any failure domain would submit a job.

        The first failure domain that could start it at once gets it, or else
        the one that ranks first.
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
        """Returns another failure domain that would start a queued job."""
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
        """Asks a scheduler, unless nothing changed there since its last no."""
        key = (name, spec.account, pool_usage.shape_of(spec), spec.urgent)
        if self._refused_versions.get(key) == self._versions[name]:
            return False
        able = self._schedulers[name].would_start(spec, now_ms)
        if not able:
            self._refused_versions[key] = self._versions[name]
        return able

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
        """Returns other homes with a guarantee or room, most room first."""
        key = (self.configuration.version, spec.account, spec.accelerators)
        if key not in self._ranked_domains:
            self._ranked_domains[key] = shares.rank_homes(
                self.configuration, spec
            )
        holding = self._guaranteed_domains[spec.account]
        rooms = {
            name: self._uncommitted_accelerators(name)
            for name in self._ranked_domains[key]
            if name != domain
        }
        return sorted(
            (
                name
                for name, room in rooms.items()
                if name in holding or room >= spec.accelerators
            ),
            key=lambda name: (-rooms[name], name),
        )

    def _uncommitted_accelerators(self, name: ids.FailureDomainId) -> int:
        scheduler = self._schedulers[name]
        return scheduler.free_accelerators() - scheduler.queued_accelerators()
