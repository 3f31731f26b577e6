from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture

MAX_ATTEMPTS = 4


class FailingGangTest(pool_fixture.PoolTestCase):
    """A gang that fails wherever it runs must be given up, not forgotten."""

    def setUp(self) -> None:
        super().setUp()
        self.queue = pool_fixture.make_queue(
            "patient", max_attempts=MAX_ATTEMPTS
        )
        self.publish_configuration(self.queue, version=2)
        self.run_for(0.5)

    def assert_given_up(self, **options: object) -> None:
        # After three runs on four workers it waited for good (review/4).
        step = pool_fixture.make_step(8, gang=True, **options)
        self.submit("j", step, queue="patient")
        self.run_for(25.0)
        self.assertIs(states.JobState.FAILED, self.state("j", queue=2))
        runs = {run for _, run, _ in self.starts_of("j")}
        self.assertEqual(set(range(1, MAX_ATTEMPTS + 1)), runs)

    def test_gang_that_fails_on_most_workers(self) -> None:
        self.run_fails = lambda task, run: task.endswith(".0")
        self.assert_given_up(tasks=2)

    def test_gang_whose_members_fail_in_its_rack(self) -> None:
        self.run_fails = lambda task, run: task.endswith(".0")
        self.assert_given_up(tasks=2, one_rack=True)

    def test_gang_that_needs_all_workers(self) -> None:
        self.run_fails = lambda task, run: True
        self.assert_given_up(tasks=4)
