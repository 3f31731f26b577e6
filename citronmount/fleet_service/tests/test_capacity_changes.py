"""Workers whose capacity shrinks and grows while they run tasks."""

from citronmount.core import states
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_worker
from citronmount.workflow import spec

DONE = states.JobState.DONE
HALF = spec.Demand(millicores=32_000, memory_mb=65_536, accelerators=4)


class CapacityChangeTest(pool_fixture.PoolTestCase):
    racks = 1

    def setUp(self) -> None:
        super().setUp()
        self.first, self.second = self.pool_workers.workers.values()

    def change_capacity(
        self, worker: pool_worker.PoolWorker, capacity: spec.Demand
    ) -> None:
        worker.change_capacity(capacity)
        self.publish_entry(worker.entry)

    def place_gang_that_waits(self) -> None:
        """Places a gang that waits for a silent worker to stop a run."""
        self.run_time_ms = lambda task, run: (
            20_000 if task.startswith("low") else 1_000
        )
        low = pool_fixture.make_step(
            tasks=2, accelerators=8, max_tasks_per_worker=1
        )
        self.submit("low", low)
        self.run_for(1.0)
        self.first.fault = pool_worker.WorkerFault.SILENT
        gang = pool_fixture.make_step(tasks=2, accelerators=8, gang=True)
        self.submit("urgent", gang, queue="urgent")
        self.run_for(0.3)

    # EVAC: a gang placed before was started long after the domain was emptied.
    def test_placed_run_does_not_start_in_a_domain_out_of_service(self) -> None:
        self.place_gang_that_waits()
        self.log.append_records(
            ports.Topic.CONFIGURATION, [("out/fd-rack0", b"x")]
        )
        self.run_for(4.0)
        self.first.fault = pool_worker.WorkerFault.NONE
        self.run_for(15.0)
        self.assertEqual([], self.starts_of("urgent"))

    # LIMIT: a placed gang was started on the capacity that it was placed by.
    def test_placed_run_does_not_start_beyond_a_capacity_that_shrank(
        self,
    ) -> None:
        self.place_gang_that_waits()
        self.change_capacity(self.second, HALF)
        self.run_for(4.0)
        self.first.fault = pool_worker.WorkerFault.NONE
        self.run_for(15.0)
        self.assertEqual([], self.starts_of("urgent"))
        self.change_capacity(self.second, pool_fixture.CAPACITY)
        self.run_for(30.0)
        self.assertIs(DONE, self.state("urgent", queue=1))
        self.assertIs(DONE, self.state("low"))

    def test_smaller_capacity_is_filled_only_up_to_it(self) -> None:
        self.change_capacity(self.first, HALF)
        self.run_for(5.0)
        self.submit("j", pool_fixture.make_step(tasks=30))
        self.run_for(0.5)
        self.assertEqual(4, len(self.first.running))
        self.change_capacity(self.first, pool_fixture.CAPACITY)
        self.run_for(0.3)
        self.assertEqual(8, len(self.first.running))
        self.run_for(10.0)
        self.assertIs(DONE, self.state("j"))
