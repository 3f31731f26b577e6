import unittest

import msgspec

from citronmount.fleet import fleet_configuration
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.tests import planning_fixture

LONG_ESTIMATE_MS = 600_000


class LastingUnitTest(unittest.TestCase):
    """A lasting unit has to be restored soon, however full its service is."""

    def make_unit(self, lasting: bool) -> waiting_units.WaitingUnit:
        step = msgspec.structs.replace(
            planning_fixture.SINGLE,
            lasting=lasting,
            estimate_ms=LONG_ESTIMATE_MS,
        )
        (unit,) = planning_fixture.make_waiting_units("j", step)
        return unit

    def test_estimate_of_a_lasting_unit_does_not_delay_it(self) -> None:
        # Waited as long as the estimate for a slow worker or another rack.
        policy = delay_scheduling.DelayPolicy(
            now_ms=delay_scheduling.MAX_LASTING_DELAY_MS,
            bounds=fleet_configuration.Bounds(),
            busy_services=frozenset({planning_fixture.SERVICE}),
        )
        for accepts in (
            policy.accepts_slow,
            policy.accepts_avoided,
            policy.accepts_other_racks,
        ):
            with self.subTest(accepts=accepts.__name__):
                self.assertTrue(accepts(self.make_unit(True), False))
                self.assertFalse(accepts(self.make_unit(False), False))
