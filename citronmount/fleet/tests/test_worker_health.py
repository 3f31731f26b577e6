import unittest

import msgspec

from citronmount.core import ids
from citronmount.fleet import worker_directory
from citronmount.fleet import worker_health
from citronmount.workflow import spec

WORKER = ids.WorkerId("w")
ENTRY = worker_directory.Worker(
    worker=WORKER,
    life_ms=1,
    machine="m",
    address="",
    failure_domain=ids.FailureDomainId("fd"),
    service=spec.ServiceName("s"),
    state=worker_directory.WorkerState.READY,
    capacity=spec.Demand(),
    labels=frozenset(),
    rack=ids.RackId("r"),
)
OTHER = ids.WorkerId("other")
OTHER_ENTRY = msgspec.structs.replace(ENTRY, worker=OTHER, machine="n")


class WorkerHealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = worker_health.WorkerHealth()
        for _ in range(20):
            self.health.done(OTHER, 1_200, 1_000, 0)

    def test_slow_worker_is_told_by_its_run_times(self) -> None:
        for _ in range(3):
            self.health.done(WORKER, 4_800, 1_000, 0)
        self.assertAlmostEqual(4.0, self.health.trust(ENTRY, 0).slowness)
        self.assertAlmostEqual(1.0, self.health.trust(OTHER_ENTRY, 0).slowness)

    def test_worker_that_fails_distinct_jobs_loses_trust_for_a_while(
        self,
    ) -> None:
        self.assertFalse(self.health.failed(WORKER, ids.JobId("a"), 0))
        self.assertFalse(self.health.failed(WORKER, ids.JobId("a"), 1))
        self.assertTrue(self.health.failed(WORKER, ids.JobId("b"), 2))
        self.assertTrue(self.health.trust(ENTRY, 3).distrusted)
        later_ms = 3 + worker_health.DISTRUST_MS
        self.assertFalse(self.health.trust(ENTRY, later_ms).distrusted)

    def test_success_between_failures_keeps_the_trust(self) -> None:
        self.health.failed(WORKER, ids.JobId("a"), 0)
        self.health.done(WORKER, 1_000, 1_000, 1)
        self.assertFalse(self.health.failed(WORKER, ids.JobId("b"), 2))

    def test_overdue_run_tells_only_where_nothing_else_ends(self) -> None:
        self.health.overdue(WORKER, 3_000, 1_000, 3_000)
        self.assertFalse(self.health.trust(ENTRY, 3_001).distrusted)
        factor = self.health.overdue(WORKER, 9_000, 1_000, 9_000)
        self.assertAlmostEqual(7.5, factor)
        self.assertTrue(self.health.trust(ENTRY, 9_001).distrusted)
        self.health.done(OTHER, 1_000, 1_000, 5_000)
        self.assertEqual(0, self.health.overdue(OTHER, 9_000, 1_000, 9_000))
        self.assertFalse(self.health.trust(OTHER_ENTRY, 9_001).distrusted)

    def test_machine_whose_workers_come_and_go_gets_no_work(self) -> None:
        self.health.life_over(ENTRY, 1_000)
        self.assertFalse(self.health.trust(ENTRY, 1_001).distrusted)
        self.health.life_over(ENTRY, 3_000)
        self.assertTrue(self.health.trust(ENTRY, 3_001).distrusted)
        self.assertFalse(self.health.trust(OTHER_ENTRY, 3_001).distrusted)
        later_ms = 3_000 + worker_health.FLAP_DISTRUST_MS
        self.assertFalse(self.health.trust(ENTRY, later_ms).distrusted)


if __name__ == "__main__":
    unittest.main()
