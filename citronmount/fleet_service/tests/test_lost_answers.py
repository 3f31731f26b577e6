"""After a lost answer nothing runs again and nothing is reported as not run."""

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service import job_service
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.standins import pool_worker

DONE = states.JobState.DONE
LOST_S = (0.05, 0.3, 0.9, 2.0)


class LostAnswerTest(pool_fixture.PoolTestCase):
    def lose_answers_of_the_log(self, vm: int, time_s: float) -> None:
        name = ids.VmId(f"vm{vm}")
        self.log.faults[name] = pool_log.LogFault.LOSES_ANSWERS
        self.run_for(time_s)
        del self.log.faults[name]

    def submit_work(self, job: str, vm: int) -> None:
        self.submit(
            job,
            pool_fixture.make_step(tasks=3),
            pool_fixture.make_step(tasks=4, gang=True, after=(0,)),
            vm=vm,
        )

    def assert_ran_once(self, job: str) -> None:
        self.assertEqual(7, len(self.starts_of(job)), job)
        for vm in range(self.vm_count):
            self.assertIs(DONE, self.state(job, vm=vm), job)

    def test_lost_answers_to_appends_of_the_owner(self) -> None:
        self.run_time_ms = lambda task, run: 300
        owner = self.owner_index()
        for number, lost_s in enumerate(LOST_S):
            for later, delay_s in enumerate((0.0, 0.01, 0.3, 0.6)):
                with self.subTest(lost_s=lost_s, delay_s=delay_s):
                    job = f"j{number}x{later}"
                    self.submit_work(job, (owner + 1) % self.vm_count)
                    self.run_for(delay_s)
                    self.lose_answers_of_the_log(owner, lost_s)
                    self.run_for(6.0)
                    self.assert_ran_once(job)

    def test_lost_answers_to_starts_while_the_append_is_unanswered(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 300
        owner = self.owner_index()
        for number, lost_s in enumerate(LOST_S):
            with self.subTest(lost_s=lost_s):
                job = f"j{number}"
                for worker in self.pool_workers.workers.values():
                    worker.fault = pool_worker.WorkerFault.LOSES_NEXT_ANSWER
                self.submit_work(job, (owner + 1) % self.vm_count)
                self.lose_answers_of_the_log(owner, lost_s)
                self.run_for(6.0)
                for worker in self.pool_workers.workers.values():
                    worker.fault = pool_worker.WorkerFault.NONE
                self.run_for(4.0)
                self.assert_ran_once(job)

    def test_lost_answer_to_a_submission_is_never_told_as_not_run(
        self,
    ) -> None:
        for vm in range(self.vm_count):
            with self.subTest(vm=vm):
                name = ids.VmId(f"vm{vm}")
                self.log.faults[name] = pool_log.LogFault.LOSES_ANSWERS
                step = pool_fixture.make_step()
                outcome = self.submit(f"j{vm}", step, vm=vm)
                self.assertIs(job_service.RequestOutcome.UNCERTAIN, outcome)
                outcome = self.submit(f"j{vm}", step, vm=vm)
                self.assertIsNot(job_service.RequestOutcome.NOT_DONE, outcome)
                self.log.faults.clear()
                self.run_for(4.0)
                self.assertIs(DONE, self.state(f"j{vm}", vm=vm))
                outcome = self.submit(f"j{vm}", step, vm=vm)
                self.assertIs(job_service.RequestOutcome.DONE, outcome)
                self.run_for(3.0)
                self.assertEqual(1, len(self.starts_of(f"j{vm}")))
