import unittest

import msgspec

from citronmount.core import ids
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_health
from citronmount.workflow import spec

SERVICE = spec.ServiceName("s")
WORKER = ids.WorkerId("w")
ENTRY = worker_directory.Worker(
    worker=WORKER,
    life_ms=1,
    machine="m",
    address="",
    failure_domain=ids.FailureDomainId("fd"),
    service=SERVICE,
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
            self.record_success(OTHER, 1_200, 1_000, 0)

    def record_success(self, *args: object, **options: object) -> None:
        self.health.record_success(*args, service=SERVICE, **options)

    def check_overdue(self, *args: object, **options: object) -> float:
        return self.health.check_overdue(*args, service=SERVICE, **options)

    def test_slow_worker_is_detected_by_its_run_times(self) -> None:
        for _ in range(3):
            self.record_success(WORKER, 4_800, 1_000, 0)
        self.assertAlmostEqual(4.0, self.health.assess(ENTRY, 0).slowness)
        self.assertAlmostEqual(1.0, self.health.assess(OTHER_ENTRY, 0).slowness)

    def test_service_whose_estimates_are_low_is_not_slow(self) -> None:
        # Was compared with the run times of all services.
        service = spec.ServiceName("low-estimates")
        worker = msgspec.structs.replace(ENTRY, service=service)
        for _ in range(3):
            self.health.record_success(WORKER, 4_800, 1_000, 0, service=service)
        self.assertAlmostEqual(1.0, self.health.assess(worker, 0).slowness)
        factor = self.health.check_overdue(
            OTHER, 9_600, 1_000, 9_700, service=service
        )
        self.assertAlmostEqual(2.0, factor)

    def test_worker_that_fails_distinct_jobs_is_distrusted_temporarily(
        self,
    ) -> None:
        self.assertFalse(self.health.record_failure(WORKER, ids.JobId("a"), 0))
        self.assertFalse(self.health.record_failure(WORKER, ids.JobId("a"), 1))
        self.assertTrue(self.health.record_failure(WORKER, ids.JobId("b"), 2))
        self.assertTrue(self.health.assess(ENTRY, 3).distrusted)
        later_ms = 3 + worker_health.DISTRUST_MS
        self.assertFalse(self.health.assess(ENTRY, later_ms).distrusted)

    def test_success_between_failures_prevents_distrust(self) -> None:
        self.health.record_failure(WORKER, ids.JobId("a"), 0)
        self.record_success(WORKER, 1_000, 1_000, 1)
        self.assertFalse(self.health.record_failure(WORKER, ids.JobId("b"), 2))

    def test_overdue_run_counts_only_if_the_worker_completes_no_others(
        self,
    ) -> None:
        self.check_overdue(WORKER, 3_000, 1_000, 3_000)
        self.assertFalse(self.health.assess(ENTRY, 3_001).distrusted)
        factor = self.check_overdue(WORKER, 9_000, 1_000, 9_000)
        self.assertAlmostEqual(7.5, factor)
        self.assertTrue(self.health.assess(ENTRY, 9_001).distrusted)
        self.record_success(OTHER, 1_000, 1_000, 5_000)
        self.assertEqual(0, self.check_overdue(OTHER, 9_000, 1_000, 9_000))
        self.assertFalse(self.health.assess(OTHER_ENTRY, 9_001).distrusted)

    def test_learned_times_may_only_extend_the_overdue_limit(self) -> None:
        # Learned times that are longer than the declared ones lower the ratios
        # to which they are the reference; the limit must not follow.
        for _ in range(9):
            self.record_success(OTHER, 1_200, 1_000, 0, expected_ms=3_000)
        for learned_ms, factor in ((0, 7.5), (500, 7.5), (3_000, 3.0)):
            self.assertAlmostEqual(
                factor,
                self.check_overdue(
                    WORKER, 9_000, 1_000, 9_000, min_typical_ms=learned_ms
                ),
            )

    def test_machine_with_flapping_workers_is_distrusted(self) -> None:
        self.health.record_incarnation_end(ENTRY, 1_000)
        self.assertFalse(self.health.assess(ENTRY, 1_001).distrusted)
        self.health.record_incarnation_end(ENTRY, 3_000)
        self.assertTrue(self.health.assess(ENTRY, 3_001).distrusted)
        self.assertFalse(self.health.assess(OTHER_ENTRY, 3_001).distrusted)
        later_ms = 3_000 + worker_health.FLAP_DISTRUST_MS
        self.assertFalse(self.health.assess(ENTRY, later_ms).distrusted)


if __name__ == "__main__":
    unittest.main()
