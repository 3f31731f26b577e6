from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.workflow import spec

DONE = states.JobState.DONE
URGENT_QUEUE = 1
WITHOUT_ACCELERATORS = spec.Step(
    tasks=1,
    demand=spec.Demand(millicores=1_000, memory_mb=100, accelerators=0),
    estimate_ms=3_000,
)


class UnknownAccountTest(pool_fixture.PoolTestCase):
    """Jobs whose account no configuration names must not stop the pool."""

    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 3_000
        self.guaranteed_accelerators = {"acme": 8}
        self.publish_configuration(version=2)
        self.run_for(0.5)

    def assert_pool_works(self, odd_job: str) -> None:
        self.submit("next", pool_fixture.make_step(), queue="urgent")
        self.run_for(5.0)
        self.assertIs(DONE, self.state("next", queue=URGENT_QUEUE))
        self.assertIs(DONE, self.state(odd_job, queue=URGENT_QUEUE))

    def test_public_job_without_accelerators(self) -> None:
        # Ended each owner in turn by a KeyError: no job was started any more.
        self.submit("public", WITHOUT_ACCELERATORS, queue="urgent", account="")
        self.run_for(1.0)
        self.assert_pool_works("public")

    def test_queue_of_a_job_is_removed(self) -> None:
        # Its terms are stored with the job, so nothing looks it up.
        extra = pool_fixture.make_queue("extra", priority=0)
        self.publish_configuration(extra, version=3)
        self.run_for(0.5)
        step = pool_fixture.make_step(8, tasks=6)
        self.submit("job", step, queue="extra")
        self.run_for(1.0)
        self.publish_configuration(version=4)
        self.run_for(9.0)
        self.assertEqual(6, len(self.starts_of("job")))
        self.assertEqual([], self.pool_workers.running())
        self.submit("next", pool_fixture.make_step(), queue="urgent")
        self.run_for(5.0)
        self.assertIs(DONE, self.state("next", queue=URGENT_QUEUE))

    def test_account_of_a_running_job_is_removed(self) -> None:
        # The same KeyError, once a new configuration no longer names it.
        self.submit("job", WITHOUT_ACCELERATORS, queue="urgent")
        self.run_for(1.0)
        self.guaranteed_accelerators = {"other": 8}
        self.publish_configuration(version=3)
        self.run_for(1.0)
        self.assert_pool_works("job")
