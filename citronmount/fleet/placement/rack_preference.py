"""Whether units may leave the rack that they prefer."""

from collections.abc import Sequence

from citronmount.fleet.placement import fitting
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.workers import worker_directory

__all__ = ["RackPreference", "basic_requirements"]


def basic_requirements(
    unit: waiting_units.WaitingUnit,
) -> fitting.Requirements:
    """Returns a unit's requirements without workers to avoid or use last.

    Args:
        unit: The unit.

    Returns:
        The requirements.
    """
    return fitting.Requirements(
        tasks=unit.tasks,
        step=unit.step,
        service=unit.submission.terms.service,
    )


class RackPreference:
    """Rack preferences of the units of one planning round."""

    def __init__(
        self,
        *,
        workers: Sequence[worker_directory.Worker],
        delays: delay_scheduling.DelayPolicy,
    ) -> None:
        """Initializes a round.

        Args:
            workers: The workers that are not distrusted.
            delays: Decides how long units wait for their rack.
        """
        self._workers = workers
        self._delays = delays
        self._fits: dict[tuple, bool] = {}

    def spread(
        self, unit: waiting_units.WaitingUnit, guaranteed: bool
    ) -> fitting.Spread:
        """Returns whether a unit may be placed outside its preferred rack."""
        if not unit.step.one_rack and not unit.step.data_rack:
            return fitting.Spread.PREFERRED
        other_racks = self._delays.accepts_other_racks(unit, guaranteed)
        if other_racks or not self._fits_preferred_rack(unit):
            return fitting.Spread.ANYWHERE
        return fitting.Spread.PREFERRED

    def _fits_preferred_rack(self, unit: waiting_units.WaitingUnit) -> bool:
        """Returns whether a unit would fit into its preferred rack if empty."""
        shape = (unit.submission.terms.service, unit.step, unit.tasks)
        cached = self._fits.get(shape)
        if cached is None:
            chosen = fitting.choose_workers(
                basic_requirements(unit),
                self._workers,
                lambda worker: worker.capacity,
                fitting.Spread.PREFERRED,
            )
            cached = chosen is not None
            self._fits[shape] = cached
        return cached
