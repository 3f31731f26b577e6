"""Tasks that crash each worker that starts them, and workers that restart."""

from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import worker_restarts
from citronmount.workflow import units

DONE = states.JobState.DONE
FAILED = states.JobState.FAILED


def is_deadly(task: units.TaskName) -> bool:
    return task.startswith("deadly") and task.endswith(".0")


class WorkerCrashTest(pool_fixture.PoolTestCase):
    workers_per_rack = 3

    def setUp(self) -> None:
        super().setUp()
        self.restarts = worker_restarts.WorkerRestarts(
            pool=self.pool_workers,
            publish=self.publish_entry,
            withdraw=self.remove_entry,
            is_deadly=is_deadly,
        )

    # BUDGET: a task was started again for ever after crashing its workers.
    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        for keeps_id in (False, True):
            self.restarts.keeps_id = lambda keeps_id=keeps_id: keeps_id
            job = f"deadly{int(keeps_id)}"
            self.submit(job, pool_fixture.make_step())
            self.run_for(25.0)
            self.assertIs(FAILED, self.state(job))
            self.assertEqual(3, len(self.starts_of(job)))
