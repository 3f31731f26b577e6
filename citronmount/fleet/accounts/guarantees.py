"""Accounting of the client accounts' guaranteed accelerators."""

from collections.abc import Iterable

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import unit_runs
from citronmount.workflow import units

__all__ = ["HIGHEST_PRIORITY", "Guarantees"]

HIGHEST_PRIORITY = 0


class Guarantees:
    """Unused guaranteed accelerators per client account.

    Only runs of the highest priority use a guarantee.

    Attributes:
        guaranteed_units: Units whose runs are inside a guarantee.
    """

    def __init__(
        self,
        *,
        accounts: Iterable[fleet_configuration.Account],
        runs: Iterable[unit_runs.Run],
    ) -> None:
        """Assigns runs to guarantees in the order of their placement.

        Args:
            accounts: The client accounts with their guarantees.
            runs: All runs.
        """
        self._unused = {
            account.account: account.guaranteed_accelerators
            for account in accounts
        }
        self.guaranteed_units: set[units.UnitId] = set()
        for run in sorted(runs, key=lambda each: each.placed_ms):
            if run.submission.terms.priority == HIGHEST_PRIORITY:
                self._count_run(run)

    def covers(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit fits into its account's unused guarantee.

        A guarantee does not cover units without accelerators.
        """
        if unit.submission.terms.priority != HIGHEST_PRIORITY:
            return False
        return self._has_unused(unit.submission.account, unit.accelerators)

    def consume(self, unit: waiting_units.WaitingUnit) -> None:
        """Deducts a starting unit from its account's unused guarantee.

        Does nothing for a unit that the guarantee does not cover.
        """
        if self.covers(unit):
            self._unused[unit.submission.account] -= unit.accelerators

    def _count_run(self, run: unit_runs.Run) -> None:
        used = len(run.members) * run.step.demand.accelerators
        if self._has_unused(run.submission.account, used):
            self._unused[run.submission.account] -= used
            self.guaranteed_units.add(run.unit)

    def _has_unused(self, account: ids.AccountId, accelerators: int) -> bool:
        """Returns whether an account's unused guarantee covers accelerators.

        An account that is not configured has no guarantee: that of a public
        queue's job, or one that a configuration removed.
        """
        return 0 < accelerators <= self._unused.get(account, 0)
