"""Accounting of what the client accounts have running against their quotas."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.accounts import quota_limits
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.workflow import spec
from citronmount.workflow import units

__all__ = [
    "Quotas",
    "runs_beyond_quota",
    "used_by_account",
]

_UNSENT_PHASES = (
    run_states.RunPhase.CLEARING,
    run_states.RunPhase.RECORDING,
)


def used_by_account(
    runs: Iterable[unit_runs.Run], accounts: Iterable[ids.AccountId]
) -> dict[ids.AccountId, spec.Demand]:
    """Returns what accounts may have running.

    Args:
        runs: All runs.
        accounts: The accounts to count.

    Returns:
        The full demand of the live members of each account's runs.
    """
    used = dict.fromkeys(accounts, worker_allocations.NO_DEMAND)
    for run in runs:
        account = run.submission.account
        if account in used:
            used[account] = worker_allocations.add_demands(
                used[account], run.live_demand
            )
    return used


def runs_beyond_quota(
    accounts: Iterable[fleet_configuration.Account],
    runs: Iterable[unit_runs.Run],
    victims_by_unit: Mapping[units.UnitId, Sequence[unit_runs.Run]],
) -> list[unit_runs.Run]:
    """Returns the placed runs that must not start under changed quotas.

    Runs whose `Start` commands may have been sent are not affected. Of the
    others, those that were placed first are kept.

    Args:
        accounts: The client accounts with their quotas.
        runs: All runs.
        victims_by_unit: Runs that must end before a unit's run may start.

    Returns:
        The runs to withdraw.
    """
    ordered = sorted(
        runs, key=lambda run: (run.phase in _UNSENT_PHASES, run.placed_ms)
    )
    quotas = Quotas(accounts=accounts, runs=())
    beyond = []
    for run in ordered:
        if run.phase in _UNSENT_PHASES and not quotas.admits(
            run.submission.account,
            run.live_demand,
            victims_by_unit.get(run.unit, ()),
        ):
            beyond.append(run)
        else:
            quotas.add(run.submission.account, run.live_demand)
    return beyond


class Quotas:
    """Quotas and usage of the accounts in one planning round.

    A run that is being stopped counts until it has ended. A victim is left out
    only for the decision that stops it: the run of that decision starts after
    its victims have ended, but runs of other decisions may start before.

    Attributes:
        limits: Why an account could not start a unit, by account.
        never_fitting: Units that exceed their account's quota on their own.
    """

    def __init__(
        self,
        *,
        accounts: Iterable[fleet_configuration.Account],
        runs: Iterable[unit_runs.Run],
    ) -> None:
        """Counts the runs of the accounts that have a quota.

        Args:
            accounts: The client accounts with their quotas.
            runs: All runs.
        """
        self._quotas = {
            each.account: each.quota
            for each in accounts
            if each.quota != fleet_configuration.NO_QUOTA
        }
        self._used = used_by_account(runs, self._quotas) if self._quotas else {}
        self._stopped_units: set[units.UnitId] = set()
        self.limits: dict[ids.AccountId, quota_limits.Limit] = {}
        self.never_fitting: dict[units.UnitId, quota_limits.Limit] = {}

    def admits(
        self,
        account: ids.AccountId,
        demand: spec.Demand,
        victims: Iterable[unit_runs.Run] = (),
    ) -> bool:
        """Returns whether an account may start tasks after victims ended.

        Args:
            account: The client account.
            demand: Full demand of the tasks.
            victims: Runs that end before the tasks start.
        """
        quota = self._quotas.get(account)
        if quota is None:
            return True
        return quota_limits.fits(quota, self._total(account, demand, victims))

    def add(self, account: ids.AccountId, demand: spec.Demand) -> None:
        """Counts tasks of an account that may run from now on."""
        if account in self._used:
            self._used[account] = worker_allocations.add_demands(
                self._used[account], demand
            )

    def consume(self, decision: waiting_units.Decision) -> None:
        """Counts the unit that a decision starts."""
        unit = decision.waiting
        self.add(unit.submission.account, unit.demand)
        self._stopped_units.update(victim.unit for victim in decision.victims)

    def cap(self, account: ids.AccountId, demand: spec.Demand) -> spec.Demand:
        """Returns the part of a demand that an account may still start."""
        quota = self._quotas.get(account)
        if quota is None:
            return demand
        used = self._used[account]
        capped = {
            resource.value: min(
                quota_limits.amount_of(demand, resource),
                max(
                    quota_limits.limit_of(quota, resource)
                    - quota_limits.amount_of(used, resource),
                    0,
                ),
            )
            if quota_limits.limit_of(quota, resource) > 0
            else quota_limits.amount_of(demand, resource)
            for resource in quota_limits.Resource
        }
        return spec.Demand(**capped)

    def victims_for(
        self,
        unit: waiting_units.WaitingUnit,
        stoppable: Iterable[unit_runs.Run],
        cost: Callable[[unit_runs.Run], float],
    ) -> tuple[unit_runs.Run, ...] | None:
        """Returns the runs to stop so that a unit fits into a used-up quota.

        Args:
            unit: The unit.
            stoppable: Runs that the unit may stop; only those of its account
                matter. Runs that are being stopped already cost nothing.
            cost: Returns the cost of stopping a run.

        Returns:
            The runs, or None if the unit may not start.
        """
        account = unit.submission.account
        own_runs = [
            run for run in stoppable if run.submission.account == account
        ]
        if not own_runs or not self.admits(account, unit.demand, own_runs):
            self.note_limit(unit)
            return None
        return self._cheapest_victims(unit, own_runs, cost)

    def with_victims(
        self,
        decision: waiting_units.Decision,
        victims: Sequence[unit_runs.Run],
        lost_work: Callable[[unit_runs.Run], float],
    ) -> waiting_units.Decision:
        """Adds the runs to stop for the quota to a decision.

        Args:
            decision: The decision, with the runs to stop for its capacity.
            victims: The result of `victims_for`.
            lost_work: Returns the work in core-seconds that a run loses.

        Returns:
            The decision, unchanged if the runs that it stops are enough.
        """
        unit = decision.waiting
        if self.admits(unit.submission.account, unit.demand, decision.victims):
            return decision
        known = {victim.unit for victim in decision.victims}
        added = [victim for victim in victims if victim.unit not in known]
        lost_core_s = sum(self._cost(victim, lost_work) for victim in added)
        return msgspec.structs.replace(
            decision,
            victims=(*decision.victims, *added),
            lost_core_s=decision.lost_core_s + lost_core_s,
        )

    def _total(
        self,
        account: ids.AccountId,
        demand: spec.Demand,
        victims: Iterable[unit_runs.Run],
    ) -> spec.Demand:
        """Returns what an account has running after a start."""
        total = worker_allocations.add_demands(self._used[account], demand)
        for victim in victims:
            if victim.submission.account == account:
                total = worker_allocations.subtract_demands(
                    total, victim.live_demand
                )
        return total

    def _cheapest_victims(
        self,
        unit: waiting_units.WaitingUnit,
        own_runs: Sequence[unit_runs.Run],
        cost: Callable[[unit_runs.Run], float],
    ) -> tuple[unit_runs.Run, ...]:
        """Greedy search: adds the runs that cost least for what they free.

        Finally the most expensive ones that are not needed are spared.
        """
        account = unit.submission.account
        quota = self._quotas[account]
        total = self._total(account, unit.demand, ())
        excess = {
            resource: quota_limits.amount_of(total, resource)
            - quota_limits.limit_of(quota, resource)
            for resource in quota_limits.Resource
            if 0
            < quota_limits.limit_of(quota, resource)
            < quota_limits.amount_of(total, resource)
        }

        def freed_share(run: unit_runs.Run) -> float:
            demand = run.live_demand
            return sum(
                min(quota_limits.amount_of(demand, resource) / amount, 1.0)
                for resource, amount in excess.items()
            )

        useful = sorted(
            (run for run in own_runs if freed_share(run) > 0),
            key=lambda run: self._cost(run, cost) / freed_share(run),
        )
        victims: list[unit_runs.Run] = []
        for run in useful:
            if self.admits(account, unit.demand, victims):
                break
            victims.append(run)
        for run in sorted(
            victims, key=lambda run: self._cost(run, cost), reverse=True
        ):
            others = [each for each in victims if each is not run]
            if self.admits(account, unit.demand, others):
                victims = others
        return tuple(victims)

    def _cost(
        self, run: unit_runs.Run, cost: Callable[[unit_runs.Run], float]
    ) -> float:
        """Returns the cost of stopping a run, 0 if it is stopped anyway."""
        stopped = (
            run.phase is run_states.RunPhase.ENDING
            or run.unit in self._stopped_units
        )
        return 0.0 if stopped else cost(run)

    def note_limit(self, unit: waiting_units.WaitingUnit) -> None:
        """Notes that the quota of its account holds back a unit."""
        account = unit.submission.account
        quota = self._quotas[account]
        if account in self.limits and quota_limits.fits(quota, unit.demand):
            return
        used = self._used[account]
        total = worker_allocations.add_demands(used, unit.demand)
        resource = quota_limits.exceeded_resource(
            quota, unit.demand
        ) or quota_limits.exceeded_resource(quota, total)
        limit = quota_limits.Limit(
            resource=resource,
            used=quota_limits.amount_of(used, resource),
            needed=quota_limits.amount_of(unit.demand, resource),
            quota=quota_limits.limit_of(quota, resource),
        )
        self.limits.setdefault(account, limit)
        if limit.is_permanent:
            self.never_fitting[unit.key.unit] = limit
