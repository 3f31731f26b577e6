import unittest
from unittest import mock

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service import job_service
from citronmount.fleet_service import owner_loop
from citronmount.fleet_service.tests import pool_fixture
from citronmount.workflow import spec

RUNNING = states.JobState.RUNNING
DONE = states.JobState.DONE


class JobTest(pool_fixture.PoolTestCase):
    def test_job_of_two_steps_completes_in_order(self) -> None:
        first = pool_fixture.make_step(tasks=3)
        second = pool_fixture.make_step(tasks=2, gang=True, after=(0,))
        self.assertIs(
            job_service.RequestOutcome.DONE, self.submit("j", first, second)
        )
        self.run_for(0.5)
        self.assertEqual(3, len(self.pool_workers.running()))
        self.run_for(0.9)
        self.assertEqual({"j.0.1.0", "j.0.1.1"}, self.names_running())
        self.run_for(1.2)
        for vm in range(self.vm_count):
            self.assertIs(DONE, self.state("j", at=vm))

    def test_records_of_a_wide_job_go_out_in_several_appends(self) -> None:
        patch = mock.patch.object(owner_loop, "MAX_APPEND_RECORDS", 4)
        self.enterContext(patch)
        self.submit("j", pool_fixture.make_step(tasks=30))
        self.run_for(2.5)
        self.assertEqual(30, len(self.started("j")))
        self.assertIs(DONE, self.state("j"))

    def test_job_submitted_twice_runs_once(self) -> None:
        self.submit("j", pool_fixture.make_step(), at=0)
        self.submit("j", pool_fixture.make_step(), at=1)
        self.run_for(3)
        self.assertEqual(1, len(self.started("j")))

    def test_late_copy_of_a_finished_job_does_not_run(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(3)
        self.assertIs(
            job_service.RequestOutcome.DONE,
            self.submit("j", pool_fixture.make_step()),
        )
        self.run_for(2)
        self.assertEqual(1, len(self.started("j")))

    def test_failed_task_runs_again_until_its_attempts_are_spent(self) -> None:
        self.fails = lambda task, run: True
        self.submit("j", pool_fixture.make_step())
        self.run_for(6)
        self.assertEqual([1, 2, 3], [run for _, run, _ in self.started("j")])
        self.assertIs(states.JobState.FAILED, self.state("j"))

    def test_gang_fails_as_one(self) -> None:
        self.fails = lambda task, run: task.endswith(".1") and run == 1
        self.run_time_ms = lambda task, run: (
            500 if task.endswith(".1") else 1_000
        )
        self.submit("j", pool_fixture.make_step(tasks=4, gang=True))
        self.run_for(4)
        runs = [run for _, run, _ in self.started("j")]
        self.assertEqual([1] * 4 + [2] * 4, runs)
        self.assertIs(DONE, self.state("j"))

    def test_cancelled_job_stops_and_frees_its_room(self) -> None:
        self.run_time_ms = lambda task, run: 60_000
        self.submit("j", pool_fixture.make_step(tasks=4, accelerators=8))
        self.run_for(0.5)
        self.assertIs(job_service.RequestOutcome.DONE, self.cancel("j", at=1))
        self.assertIs(states.JobState.CANCELLED, self.state("j", at=1))
        self.run_for(0.7)
        self.assertEqual([], self.pool_workers.running())
        self.submit("k", pool_fixture.make_step(tasks=4, accelerators=8))
        self.run_for(0.5)
        self.assertEqual(4, len(self.started("k")))

    def test_cancel_of_an_unknown_job(self) -> None:
        self.assertIs(
            job_service.RequestOutcome.UNKNOWN_JOB, self.cancel("nothing")
        )
        self.assertIsNone(self.state("nothing"))

    def test_job_is_not_told_on_another_queue(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.assertIsNone(self.state("j", to=1))

    def test_occurrences_start_at_their_times(self) -> None:
        due_ms = self.wall() + 1_000
        self.submit(
            "j",
            pool_fixture.make_step(),
            occurrences=2,
            first_due_ms=due_ms,
            interval_ms=1_500,
        )
        self.run_for(0.9)
        self.assertEqual([], self.started("j"))
        self.run_for(0.3)
        self.assertEqual(1, len(self.started("j")))
        self.run_for(1.5)
        names = [task for task, _, _ in self.started("j")]
        self.assertEqual(["j.0.0.0", "j.1.0.0"], names)
        self.run_for(1.5)
        self.assertIs(DONE, self.state("j"))

    def test_lasting_task_starts_again_however_it_ends(self) -> None:
        self.fails = lambda task, run: run == 1
        self.submit("j", pool_fixture.make_step(lasting=True))
        self.run_for(8)
        runs = [run for _, run, _ in self.started("j")]
        self.assertGreater(len(runs), 4)
        self.assertEqual(sorted(set(runs)), runs)
        self.assertIs(RUNNING, self.state("j"))

    def test_pending_counts_jobs_that_have_not_begun(self) -> None:
        batch = self.configuration.queues[0]
        self.submit("big", pool_fixture.make_step(accelerators=9))
        self.run_for(1)
        for node in self.pool_vms:
            self.assertEqual(1, node.job_service.pending(batch))

    def test_final_state_is_told_for_its_time_and_then_dropped(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(100)
        self.assertIs(DONE, self.state("j"))
        self.run_for(90)
        self.assertIsNone(self.state("j"))

    def names_running(self) -> set[str]:
        return {task for task, _ in self.pool_workers.running()}


class PlacementTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 30_000

    def places(self, job: str) -> list[str]:
        return [worker for _, _, worker in self.started(job)]

    def test_label_binds(self) -> None:
        self.submit("j", pool_fixture.make_step(tasks=9, worker_label="rack1"))
        self.run_for(0.5)
        self.assertEqual(9, len(self.places("j")))
        self.assertLessEqual(set(self.places("j")), {"w10", "w11"})

    def test_rack_of_the_data_is_preferred(self) -> None:
        self.submit("j", pool_fixture.make_step(data_rack="rack1"))
        self.run_for(0.5)
        self.assertIn(self.places("j")[0], {"w10", "w11"})

    def test_limit_on_tasks_of_one_worker(self) -> None:
        step = pool_fixture.make_step(tasks=7, max_tasks_per_worker=2)
        self.submit("j", step)
        self.submit("k", step)
        self.run_for(0.5)
        for job in "jk":
            places = self.places(job)
            self.assertEqual(7, len(places))
            self.assertLessEqual(max(map(places.count, places)), 2)

    def test_gang_stays_in_one_rack(self) -> None:
        self.submit("small", pool_fixture.make_step(accelerators=4))
        self.submit(
            "j",
            pool_fixture.make_step(
                tasks=4, accelerators=4, gang=True, one_rack=True
            ),
        )
        self.run_for(0.5)
        self.assertEqual({"w10", "w11"}, set(self.places("j")))

    def test_gang_wider_than_a_rack_is_spread(self) -> None:
        step = pool_fixture.make_step(
            tasks=3, accelerators=8, gang=True, one_rack=True
        )
        self.submit("j", step)
        self.run_for(0.5)
        self.assertEqual(3, len(self.places("j")))

    def test_gang_never_starts_in_part(self) -> None:
        self.submit("small", pool_fixture.make_step(accelerators=8))
        self.submit(
            "j", pool_fixture.make_step(tasks=4, accelerators=8, gang=True)
        )
        self.run_for(1)
        self.assertEqual([], self.places("j"))


class GuaranteeTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.guaranteed_accelerators = {"acme": 16, "beta": 16}
        self.publish_configuration(version=2)
        self.run_time_ms = lambda task, run: (
            60_000 if task.startswith("low") else 1_000
        )

    def test_guaranteed_job_takes_its_room_back(self) -> None:
        self.submit("low", pool_fixture.make_step(tasks=32), account="beta")
        self.run_for(0.5)
        self.assertEqual(32, len(self.pool_workers.running()))
        step = pool_fixture.make_step(tasks=2, accelerators=8, gang=True)
        self.submit("j", step, to="urgent")
        self.run_for(1.0)
        self.assertEqual(2, len(self.started("j")))
        self.run_for(3.0)
        self.assertIs(DONE, self.state("j", to=1))
        self.assertEqual(32, len(self.pool_workers.running()))

    def test_old_runs_are_not_stopped_beyond_the_guarantee(self) -> None:
        self.submit("low", pool_fixture.make_step(tasks=32), account="beta")
        self.run_for(3.0)
        step = pool_fixture.make_step(tasks=3, accelerators=8, gang=True)
        self.submit("j", step, to="urgent")
        self.run_for(2.0)
        self.assertEqual([], self.started("j"))

    def test_young_runs_make_room_for_urgent_work_beyond_it(self) -> None:
        self.submit("low", pool_fixture.make_step(tasks=32), account="beta")
        self.run_for(0.3)
        step = pool_fixture.make_step(tasks=3, accelerators=8, gang=True)
        self.submit("j", step, to="urgent")
        self.run_for(1.0)
        self.assertEqual(3, len(self.started("j")))

    def test_guaranteed_work_is_not_taken_for_another_guarantee(self) -> None:
        eight = pool_fixture.make_step(accelerators=8, tasks=2)
        self.run_time_ms = lambda task, run: 60_000
        for account in ("acme", "beta"):
            self.submit(f"a{account}", eight, to="urgent", account=account)
        self.run_for(0.5)
        before = set(self.pool_workers.running())
        self.submit("more", eight, to="urgent", account="acme")
        self.run_for(2.0)
        self.assertEqual(before, set(self.pool_workers.running()))

    def test_checkpoint_is_handed_to_the_next_run(self) -> None:
        self.submit("low", pool_fixture.make_step(tasks=1, checkpoints=True))
        self.run_for(0.5)
        (worker,) = {w for _, w in self.pool_workers.running()}
        run = self.pool_workers.workers[ids.WorkerId(worker)].running[
            "low.0.0.0"
        ]
        run.saved = "half"
        self.run_for(1.2)
        self.pool_workers.workers[ids.WorkerId(worker)].crash()
        self.add_worker(worker, rack="rack0", life_ms=2)
        self.run_for(2.0)
        ((name, where),) = self.pool_workers.running()
        again = self.pool_workers.workers[ids.WorkerId(where)].running[name]
        self.assertEqual((2, "half"), (again.run, again.saved))


class AdviceTest(pool_fixture.PoolTestCase):
    def test_step_goes_only_where_its_queue_allows(self) -> None:
        advised = pool_fixture.make_queue("advised", needs_advice=True)
        self.publish_configuration(advised, version=2)
        self.run_for(0.5)
        self.pool_workers.allowed = {ids.WorkerId("w11")}
        step = pool_fixture.make_step(tasks=3)
        self.submit("j", step, to="advised")
        self.run_for(3.0)
        self.assertEqual(
            {"w11"}, {worker for _, _, worker in self.started("j")}
        )
        self.assertEqual("j.0.0/w11", self.pool_workers.tickets["j.0.0.0"])
        self.assertEqual(1, self.pool_workers.questions)
        self.assertIs(DONE, self.state("j", to=2))


class SharingTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 60_000

    def places(self, job: str) -> set[str]:
        return {worker for _, _, worker in self.started(job)}

    def test_filling_and_serving_tasks_are_kept_apart(self) -> None:
        serving = pool_fixture.make_step(tasks=2, lasting=True, goal_ms=50)
        self.submit("serve", serving)
        self.run_for(0.5)
        self.submit("fill", pool_fixture.make_step(tasks=8, fills=True))
        self.run_for(0.5)
        self.assertEqual(8, len(self.started("fill")))
        self.assertFalse(self.places("serve") & self.places("fill"))

    def test_lasting_tasks_go_only_as_far_as_their_step_can_spare(
        self,
    ) -> None:
        self.guaranteed_accelerators = {"acme": 32}
        self.publish_configuration(version=2)
        lasting = pool_fixture.make_step(
            tasks=4, accelerators=8, lasting=True, max_unavailable=1
        )
        self.submit("serve", lasting, account="beta")
        self.run_for(0.5)
        two = pool_fixture.make_step(tasks=2, accelerators=8)
        self.submit("j", two, to="urgent")
        self.run_for(3.0)
        self.assertEqual(1, len(self.started("j")))

    def test_task_that_failed_everywhere_still_gets_its_attempts(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 200
        self.fails = lambda task, run: True
        step = pool_fixture.make_step(worker_label="only")
        self.add_worker("single", rack="only")
        self.run_for(1.0)
        self.submit("j", step)
        self.run_for(5.0)
        self.assertEqual(3, len(self.started("j")))


class FillTest(pool_fixture.PoolTestCase):
    def test_filling_task_takes_no_processor_time(self) -> None:
        self.run_time_ms = lambda task, run: 30_000
        whole = spec.Step(tasks=4, demand=spec.Demand(millicores=64_000))
        self.submit("j", whole)
        self.run_for(0.5)
        filling = spec.Step(
            tasks=1, fills=True, demand=spec.Demand(millicores=8_000)
        )
        self.submit("k", filling)
        self.run_for(0.5)
        self.assertEqual(1, len(self.started("k")))
        self.pool_workers.broken.clear()


if __name__ == "__main__":
    unittest.main()
