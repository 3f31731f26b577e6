import unittest

import msgspec

from citronmount.fleet import fleet_configuration
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.tests import planning_fixture
from citronmount.fleet.workers import service_use

LONG_ESTIMATE_MS = 600_000


def make_unit(*, lasting: bool) -> waiting_units.WaitingUnit:
    step = msgspec.structs.replace(
        planning_fixture.SINGLE, lasting=lasting, estimate_ms=LONG_ESTIMATE_MS
    )
    (unit,) = planning_fixture.make_waiting_units("j", step)
    return unit


def make_policy(waited_ms: int, *, busy: bool) -> delay_scheduling.DelayPolicy:
    used = 1.0 if busy else 0.0
    use = service_use.ServiceUse(accelerators=used, millicores=used, cores=used)
    return delay_scheduling.DelayPolicy(
        now_ms=waited_ms,
        bounds=fleet_configuration.Bounds(),
        service_uses={planning_fixture.SERVICE: use},
    )


class AvoidedWorkersTest(unittest.TestCase):
    def test_they_are_accepted_where_no_attempts_are_wasted(self) -> None:
        # In a busy service a worker that fails all it starts is free again at
        # once: a unit would use up its attempts there.
        for busy, lasting, expected in (
            (True, False, False),
            (True, True, True),
            (False, False, True),
        ):
            with self.subTest(busy=busy, lasting=lasting):
                unit = make_unit(lasting=lasting)
                policy = make_policy(LONG_ESTIMATE_MS, busy=busy)
                self.assertIs(expected, policy.accepts_avoided(unit))
                policy = make_policy(100, busy=busy)
                self.assertFalse(policy.accepts_avoided(unit))


class LastingUnitTest(unittest.TestCase):
    """A lasting unit has to be restored soon, however full its service is."""

    def test_estimate_of_a_lasting_unit_does_not_delay_it(self) -> None:
        # Waited as long as the estimate for a slow worker or another rack.
        waited_ms = delay_scheduling.MAX_LASTING_DELAY_MS
        policy = make_policy(waited_ms, busy=True)
        for accepts in (policy.accepts_slow, policy.accepts_other_racks):
            with self.subTest(accepts=accepts.__name__):
                self.assertTrue(accepts(make_unit(lasting=True), False))
                self.assertFalse(accepts(make_unit(lasting=False), False))
