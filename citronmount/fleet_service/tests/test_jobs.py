import unittest
from unittest import mock

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service import job_service
from citronmount.fleet_service import owner_loop
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_worker
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
        self.assertEqual({"j.0.1.0", "j.0.1.1"}, self.running_tasks())
        self.run_for(1.2)
        for vm in range(self.vm_count):
            self.assertIs(DONE, self.state("j", vm=vm))

    def test_records_of_a_wide_job_are_split_into_several_appends(self) -> None:
        patch = mock.patch.object(owner_loop, "MAX_APPEND_RECORDS", 4)
        self.enterContext(patch)
        self.submit("j", pool_fixture.make_step(tasks=30))
        self.run_for(2.5)
        self.assertEqual(30, len(self.starts_of("j")))
        self.assertIs(DONE, self.state("j"))

    def test_job_submitted_twice_runs_once(self) -> None:
        self.submit("j", pool_fixture.make_step(), vm=0)
        self.submit("j", pool_fixture.make_step(), vm=1)
        self.run_for(3)
        self.assertEqual(1, len(self.starts_of("j")))

    def test_resubmission_of_a_finished_job_does_not_run(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(3)
        self.assertIs(
            job_service.RequestOutcome.DONE,
            self.submit("j", pool_fixture.make_step()),
        )
        self.run_for(2)
        self.assertEqual(1, len(self.starts_of("j")))

    def test_failed_task_is_retried_until_max_attempts(self) -> None:
        self.run_fails = lambda task, run: True
        self.submit("j", pool_fixture.make_step())
        self.run_for(6)
        self.assertEqual([1, 2, 3], [run for _, run, _ in self.starts_of("j")])
        self.assertIs(states.JobState.FAILED, self.state("j"))

    def test_gang_is_rerun_as_a_whole_when_one_task_fails(self) -> None:
        self.run_fails = lambda task, run: task.endswith(".1") and run == 1
        self.run_time_ms = lambda task, run: (
            500 if task.endswith(".1") else 1_000
        )
        self.submit("j", pool_fixture.make_step(tasks=4, gang=True))
        self.run_for(4)
        runs = [run for _, run, _ in self.starts_of("j")]
        self.assertEqual([1] * 4 + [2] * 4, runs)
        self.assertIs(DONE, self.state("j"))

    def test_cancelled_job_stops_and_frees_its_capacity(self) -> None:
        self.run_time_ms = lambda task, run: 60_000
        self.submit("j", pool_fixture.make_step(tasks=4, accelerators=8))
        self.run_for(0.5)
        self.assertIs(job_service.RequestOutcome.DONE, self.cancel("j", vm=1))
        self.assertIs(states.JobState.CANCELLED, self.state("j", vm=1))
        self.run_for(0.7)
        self.assertEqual([], self.pool_workers.running())
        self.submit("k", pool_fixture.make_step(tasks=4, accelerators=8))
        self.run_for(0.5)
        self.assertEqual(4, len(self.starts_of("k")))

    def test_cancelling_an_unknown_job_is_reported(self) -> None:
        self.assertIs(
            job_service.RequestOutcome.UNKNOWN_JOB, self.cancel("nothing")
        )
        self.assertIsNone(self.state("nothing"))

    def test_job_is_not_visible_on_another_queue(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.assertIsNone(self.state("j", queue=1))

    def test_occurrences_start_at_their_due_times(self) -> None:
        due_ms = self.wall_ms() + 1_000
        self.submit(
            "j",
            pool_fixture.make_step(),
            occurrences=2,
            first_due_ms=due_ms,
            interval_ms=1_500,
        )
        self.run_for(0.9)
        self.assertEqual([], self.starts_of("j"))
        self.run_for(0.3)
        self.assertEqual(1, len(self.starts_of("j")))
        self.run_for(1.5)
        names = [task for task, _, _ in self.starts_of("j")]
        self.assertEqual(["j.0.0.0", "j.1.0.0"], names)
        self.run_for(1.5)
        self.assertIs(DONE, self.state("j"))

    def test_lasting_task_is_restarted_after_success_and_failure(self) -> None:
        self.run_fails = lambda task, run: run == 1
        self.submit("j", pool_fixture.make_step(lasting=True))
        self.run_for(8)
        runs = [run for _, run, _ in self.starts_of("j")]
        self.assertGreater(len(runs), 4)
        self.assertEqual(sorted(set(runs)), runs)
        self.assertIs(RUNNING, self.state("j"))

    def test_pending_counts_jobs_that_have_not_started(self) -> None:
        batch = self.configuration.queues[0]
        self.submit("big", pool_fixture.make_step(accelerators=9))
        self.run_for(1)
        for vm in self.pool_vms:
            self.assertEqual(1, vm.job_service.pending(batch))

    def test_final_state_is_kept_for_its_retention_time_only(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(100)
        self.assertIs(DONE, self.state("j"))
        self.run_for(90)
        self.assertIsNone(self.state("j"))

    def running_tasks(self) -> set[str]:
        return {task for task, _ in self.pool_workers.running()}


class PlacementTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 30_000

    def places(self, job: str) -> list[str]:
        return [worker for _, _, worker in self.starts_of(job)]

    def test_tasks_run_only_on_workers_with_the_label(self) -> None:
        self.submit("j", pool_fixture.make_step(tasks=9, worker_label="rack1"))
        self.run_for(0.5)
        self.assertEqual(9, len(self.places("j")))
        self.assertLessEqual(set(self.places("j")), {"w10", "w11"})

    def test_rack_that_holds_the_data_is_preferred(self) -> None:
        self.submit("j", pool_fixture.make_step(data_rack="rack1"))
        self.run_for(0.5)
        self.assertIn(self.places("j")[0], {"w10", "w11"})

    def test_limit_of_tasks_per_worker_is_respected(self) -> None:
        step = pool_fixture.make_step(tasks=7, max_tasks_per_worker=2)
        self.submit("j", step)
        self.submit("k", step)
        self.run_for(0.5)
        for job in "jk":
            places = self.places(job)
            self.assertEqual(7, len(places))
            self.assertLessEqual(max(map(places.count, places)), 2)

    def test_one_rack_gang_is_placed_in_one_rack(self) -> None:
        self.submit("small", pool_fixture.make_step(accelerators=4))
        self.submit(
            "j",
            pool_fixture.make_step(
                tasks=4, accelerators=4, gang=True, one_rack=True
            ),
        )
        self.run_for(0.5)
        self.assertEqual({"w10", "w11"}, set(self.places("j")))

    def test_one_rack_gang_wider_than_a_rack_is_spread(self) -> None:
        step = pool_fixture.make_step(
            tasks=3, accelerators=8, gang=True, one_rack=True
        )
        self.submit("j", step)
        self.run_for(0.5)
        self.assertEqual(3, len(self.places("j")))

    def test_gang_never_starts_partially(self) -> None:
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

    def test_guaranteed_job_reclaims_its_capacity(self) -> None:
        self.submit("low", pool_fixture.make_step(tasks=32), account="beta")
        self.run_for(0.5)
        self.assertEqual(32, len(self.pool_workers.running()))
        step = pool_fixture.make_step(tasks=2, accelerators=8, gang=True)
        self.submit("j", step, queue="urgent")
        self.run_for(1.0)
        self.assertEqual(2, len(self.starts_of("j")))
        self.run_for(3.0)
        self.assertIs(DONE, self.state("j", queue=1))
        self.assertEqual(32, len(self.pool_workers.running()))

    def test_lost_renewal_does_not_delay_the_end_of_preempted_runs(
        self,
    ) -> None:
        self.submit("low", pool_fixture.make_step(tasks=32), account="beta")
        self.run_for(0.5)
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_worker.WorkerFault.LOSES_WAITING_RENEWALS
        step = pool_fixture.make_step(tasks=2, accelerators=8, gang=True)
        self.submit("j", step, queue="urgent")
        self.run_for(1.0)
        self.assertEqual(2, len(self.starts_of("j")))

    def test_long_running_tasks_are_not_preempted_beyond_the_guarantee(
        self,
    ) -> None:
        self.submit("low", pool_fixture.make_step(tasks=32), account="beta")
        self.run_for(3.0)
        step = pool_fixture.make_step(tasks=3, accelerators=8, gang=True)
        self.submit("j", step, queue="urgent")
        self.run_for(2.0)
        self.assertEqual([], self.starts_of("j"))

    def test_recent_runs_are_preempted_for_urgent_work_beyond_the_guarantee(
        self,
    ) -> None:
        self.submit("low", pool_fixture.make_step(tasks=32), account="beta")
        self.run_for(0.3)
        step = pool_fixture.make_step(tasks=3, accelerators=8, gang=True)
        self.submit("j", step, queue="urgent")
        self.run_for(1.0)
        self.assertEqual(3, len(self.starts_of("j")))

    def test_guaranteed_work_is_not_preempted_for_another_guarantee(
        self,
    ) -> None:
        two_workers = pool_fixture.make_step(accelerators=8, tasks=2)
        self.run_time_ms = lambda task, run: 60_000
        for account in ("acme", "beta"):
            self.submit(
                f"a{account}", two_workers, queue="urgent", account=account
            )
        self.run_for(0.5)
        running = set(self.pool_workers.running())
        self.submit("more", two_workers, queue="urgent", account="acme")
        self.run_for(2.0)
        self.assertEqual(running, set(self.pool_workers.running()))

    def test_checkpoint_is_passed_to_the_next_run(self) -> None:
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
        ((name, new_worker),) = self.pool_workers.running()
        next_run = self.pool_workers.workers[ids.WorkerId(new_worker)].running[
            name
        ]
        self.assertEqual((2, "half"), (next_run.run, next_run.saved))


class AdviceTest(pool_fixture.PoolTestCase):
    def test_step_runs_only_on_workers_that_the_policy_allows(self) -> None:
        advised = pool_fixture.make_queue("advised", needs_advice=True)
        self.publish_configuration(advised, version=2)
        self.run_for(0.5)
        self.pool_workers.allowed_workers = {ids.WorkerId("w11")}
        step = pool_fixture.make_step(tasks=3)
        self.submit("j", step, queue="advised")
        self.run_for(3.0)
        self.assertEqual(
            {"w11"}, {worker for _, _, worker in self.starts_of("j")}
        )
        self.assertEqual("j.0.0/w11", self.pool_workers.tickets["j.0.0.0"])
        self.assertEqual(1, self.pool_workers.advice_request_count)
        self.assertIs(DONE, self.state("j", queue=2))


class SharingTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_time_ms = lambda task, run: 60_000

    def places(self, job: str) -> set[str]:
        return {worker for _, _, worker in self.starts_of(job)}

    def test_filling_and_serving_tasks_do_not_share_a_worker(self) -> None:
        serving = pool_fixture.make_step(tasks=2, lasting=True, goal_ms=50)
        self.submit("serve", serving)
        self.run_for(0.5)
        self.submit("fill", pool_fixture.make_step(tasks=8, fills=True))
        self.run_for(0.5)
        self.assertEqual(8, len(self.starts_of("fill")))
        self.assertFalse(self.places("serve") & self.places("fill"))

    def test_preemption_of_lasting_tasks_respects_max_unavailable(
        self,
    ) -> None:
        self.guaranteed_accelerators = {"acme": 32}
        self.publish_configuration(version=2)
        lasting = pool_fixture.make_step(
            tasks=4, accelerators=8, lasting=True, max_unavailable=1
        )
        self.submit("serve", lasting, account="beta")
        self.run_for(0.5)
        step = pool_fixture.make_step(tasks=2, accelerators=8)
        self.submit("j", step, queue="urgent")
        self.run_for(3.0)
        self.assertEqual(1, len(self.starts_of("j")))

    def test_task_that_failed_on_every_worker_gets_all_its_attempts(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 200
        self.run_fails = lambda task, run: True
        step = pool_fixture.make_step(worker_label="only")
        self.add_worker("single", rack="only")
        self.run_for(1.0)
        self.submit("j", step)
        self.run_for(5.0)
        self.assertEqual(3, len(self.starts_of("j")))


class FillTest(pool_fixture.PoolTestCase):
    def test_filling_task_needs_no_free_processor_time(self) -> None:
        self.run_time_ms = lambda task, run: 30_000
        full = spec.Step(tasks=4, demand=spec.Demand(millicores=64_000))
        self.submit("j", full)
        self.run_for(0.5)
        filling = spec.Step(
            tasks=1, fills=True, demand=spec.Demand(millicores=8_000)
        )
        self.submit("k", filling)
        self.run_for(0.5)
        self.assertEqual(1, len(self.starts_of("k")))
        self.pool_workers.violations.clear()


if __name__ == "__main__":
    unittest.main()
