import unittest

import msgspec

from citronmount.fleet.tests import planning_fixture
from citronmount.fleet.workers import service_use
from citronmount.fleet.workers import worker_allocations
from citronmount.workflow import spec

ACCELERATED = spec.Demand(millicores=1_000, accelerators=1)
PLAIN = spec.Demand(millicores=1_000)


def use_of(used: spec.Demand, accelerators: int = 8) -> service_use.ServiceUse:
    """Returns the use of a service of one worker with 16 cores."""
    worker = msgspec.structs.replace(
        planning_fixture.make_worker("w"),
        capacity=spec.Demand(millicores=16_000, accelerators=accelerators),
    )
    allocations = worker_allocations.WorkerAllocations()
    allocations.allocate(worker.worker, used)
    uses = service_use.service_uses([worker], [worker], allocations)
    return uses[planning_fixture.SERVICE]


class ServiceUseTest(unittest.TestCase):
    def test_capacity_counts_an_accelerator_as_several_cores(self) -> None:
        use = use_of(spec.Demand(millicores=16_000, accelerators=2))
        self.assertEqual(32 / 80, use.cores)

    def test_scarce_other_resource_does_not_make_a_service_busy(self) -> None:
        # A job of one accelerator waited for its rack although three quarters
        # of the accelerators were idle.
        processors = use_of(spec.Demand(millicores=15_000, accelerators=2))
        self.assertEqual(2 / 8, processors.for_demand(ACCELERATED))
        accelerators = use_of(spec.Demand(millicores=4_000, accelerators=8))
        self.assertEqual(4 / 16, accelerators.for_demand(PLAIN))

    def test_own_resource_makes_a_service_busy_in_proportion(self) -> None:
        use = use_of(spec.Demand(millicores=0, accelerators=8))
        self.assertEqual(64 / 80, use.for_demand(ACCELERATED))
        use = use_of(spec.Demand(millicores=16_000, accelerators=8))
        self.assertEqual(1.0, use.for_demand(ACCELERATED))

    def test_service_without_accelerators_is_judged_by_its_processors(
        self,
    ) -> None:
        use = use_of(spec.Demand(millicores=12_000), accelerators=0)
        self.assertEqual(12 / 16, use.for_demand(PLAIN))
