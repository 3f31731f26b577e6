from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture

FILLER_TASKS = 320


class OverloadTest(pool_fixture.PoolTestCase):
    """More work arrives than the pool of 4 workers can run."""

    def setUp(self) -> None:
        super().setUp()
        self.filler = pool_fixture.make_queue("filler", priority=2)
        self.publish_configuration(self.filler)
        self.run_for(0.5)
        self.run_time_ms = self.uneven_run_time_ms

    def uneven_run_time_ms(self, task: str, run: int) -> int:
        """Returns run times after which single tasks do not end together."""
        del run
        if not task.startswith("filler"):
            return 2_000
        return 2_000 + 130 * (int(task.rpartition(".")[2]) % 16)

    def submit_fillers(self) -> None:
        step = pool_fixture.make_step(tasks=FILLER_TASKS, estimate_ms=3_000)
        self.submit("filler", step, queue="filler", account="beta")
        self.run_for(2.0)

    def start_time_s(self, job: str, limit_s: float) -> float:
        started_s = self.clock.seconds()
        while self.clock.seconds() < started_s + limit_s:
            self.run_for(0.1)
            if self.starts_of(job):
                break
        return self.clock.seconds() - started_s

    def test_gang_starts_while_single_tasks_fill_each_free_worker(
        self,
    ) -> None:
        self.submit_fillers()
        gang = pool_fixture.make_step(
            tasks=4, accelerators=8, gang=True, estimate_ms=2_000
        )
        self.submit("gang", gang)
        self.assertLess(self.start_time_s("gang", limit_s=15.0), 6.0)
        self.run_for(60.0)
        self.assertIs(states.JobState.DONE, self.state("gang"))
        self.assertIs(states.JobState.DONE, self.state("filler", queue=2))
