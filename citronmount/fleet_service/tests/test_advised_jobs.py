"""Jobs of queues whose policy decides which workers may run a step."""

from unittest import mock

from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_workers


class AdvisedJobsTest(pool_fixture.PoolTestCase):
    workers_per_rack = 32

    def setUp(self) -> None:
        self.guaranteed_accelerators = {"acme": 64}
        super().setUp()
        self.guaranteed_accelerators = {"acme": 64}
        urgent = pool_fixture.make_queue(
            "advised", priority=0, needs_advice=True, slack_factor=1.5
        )
        other = pool_fixture.make_queue(
            "other", needs_advice=True, slack_factor=60.0
        )
        self.publish_configuration(urgent, other, version=2)
        self.run_for(0.5)
        self.pool_workers.allowed_workers = set(self.pool_workers.workers)
        self.run_time_ms = lambda task, run: 60_000

    # LOST: the tickets of a step that waited for capacity were renewed again
    # and again, and no other step was asked about.
    def test_waiting_step_does_not_keep_others_from_advice(self) -> None:
        self.submit("held", pool_fixture.make_step(accelerators=8))
        wide = pool_fixture.make_step(tasks=64, accelerators=8, gang=True)
        self.submit("wide", wide, queue="other")
        self.run_for(0.1)
        with mock.patch.object(pool_workers, "ADVICE_DELAY_S", 1.5):
            self.run_for(4.0)
            self.submit("j", pool_fixture.make_step(), queue="other")
            self.run_for(10.0)
        self.assertEqual(1, len(self.starts_of("j")))

    # RECLAIM: only workers with free capacity were asked about.
    def test_guaranteed_job_reclaims_its_capacity(self) -> None:
        low = pool_fixture.make_step(tasks=512, estimate_ms=60_000)
        self.submit("low", low, account="beta")
        self.run_for(2.0)
        step = pool_fixture.make_step(tasks=2, accelerators=8, gang=True)
        self.submit("j", step, queue="advised")
        self.run_for(2.0)
        self.assertEqual(2, len(self.starts_of("j")))
