"""Decides whether a unit may be placed outside its preferred rack."""

from collections.abc import Sequence

from citronmount.fleet.placement import fitting
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.workers import worker_directory

__all__ = ["RackPreference"]


class RackPreference:
    """The preferred racks of one planning round."""

    def __init__(
        self,
        *,
        workers: Sequence[worker_directory.Worker],
        attainable: fitting.FreeCapacity,
        delay_policy: delay_scheduling.DelayPolicy,
    ) -> None:
        """Initializes the round.

        Args:
            workers: The workers that are not distrusted.
            attainable: Returns the capacity of a worker that no lasting run
                allocates.
            delay_policy: Limits the time that units wait for their rack.
        """
        self._workers = workers
        self._attainable = attainable
        self._delay_policy = delay_policy
        self._fits: dict[tuple, bool] = {}

    def spread(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> fitting.Spread:
        """Returns whether a unit may be placed outside its preferred rack."""
        if not unit.step.one_rack and not unit.step.data_rack:
            return fitting.Spread.PREFERRED
        other_racks = self._delay_policy.accepts_other_racks(unit, guaranteed)
        if other_racks or not self._may_ever_fit(unit):
            return fitting.Spread.ANYWHERE
        return fitting.Spread.PREFERRED

    def _may_ever_fit(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit fits into its rack without other runs.

        Lasting runs stay, since waiting for their end is in vain.
        """
        shape = (unit.submission.terms.service, unit.step, unit.tasks)
        cached = self._fits.get(shape)
        if cached is None:
            chosen = fitting.choose_workers(
                waiting_units.basic_requirements(unit),
                self._workers,
                self._attainable,
                fitting.Spread.PREFERRED,
            )
            cached = chosen is not None
            self._fits[shape] = cached
        return cached
