"""Counts what is left of each client account's guarantee."""

from collections.abc import Iterable

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import unit_runs
from citronmount.fleet import waiting_units
from citronmount.workflow import units

__all__ = ["FIRST_PRIORITY", "Guarantees"]

FIRST_PRIORITY = 0


class Guarantees:
    """The guaranteed accelerators that no run of the first priority uses.

    Attributes:
        inside: Runs that count as their account's guarantee.
    """

    def __init__(
        self,
        *,
        accounts: Iterable[fleet_configuration.Account],
        runs: Iterable[unit_runs.Run],
    ) -> None:
        """Counts the runs inside guarantees, the oldest first.

        Args:
            accounts: The client accounts with their guarantees.
            runs: All runs.
        """
        self._left = {
            account.account: account.guaranteed_accelerators
            for account in accounts
        }
        self.inside: set[units.UnitId] = set()
        for run in sorted(runs, key=lambda each: each.placed_ms):
            if run.submission.terms.priority == FIRST_PRIORITY:
                self._count(run)

    def covers(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit fits into what is left."""
        if unit.submission.terms.priority != FIRST_PRIORITY:
            return False
        left = self._left.get(unit.submission.account, 0)
        return 0 < unit.accelerators <= left

    def use(self, unit: waiting_units.WaitingUnit) -> None:
        """Counts a unit that starts, if it is inside the guarantee."""
        if self.covers(unit):
            self._left[unit.submission.account] -= unit.accelerators

    def _count(self, run: unit_runs.Run) -> None:
        account: ids.AccountId = run.submission.account
        used = len(run.members) * run.step.demand.accelerators
        if used <= self._left.get(account, 0):
            self._left[account] -= used
            self.inside.add(run.unit)
