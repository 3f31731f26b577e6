from citronmount.core import ids
from citronmount.fleet_service import job_service
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log


class LogOutageTest(pool_fixture.PoolTestCase):
    def submit_everywhere(
        self, name: str
    ) -> list[tuple[job_service.RequestOutcome, float]]:
        """Returns the outcome at each VM and the time it took in seconds."""
        answers = []
        for vm in range(self.vm_count):
            started_s = self.clock.seconds()
            outcome = self.submit(
                f"{name}{vm}", pool_fixture.make_step(), vm=vm
            )
            answers.append((outcome, self.clock.seconds() - started_s))
        return answers

    def test_outage_of_one_topic_is_detected_while_others_answer(
        self,
    ) -> None:
        self.log.silent_topics.add(ports.Topic.JOBS)
        self.run_for(3.0)
        for outcome, took_s in self.submit_everywhere("j"):
            self.assertIs(job_service.RequestOutcome.NOT_DONE, outcome)
            self.assertLess(took_s, 0.05)

    def test_uncertain_submission_is_answered_within_about_a_second(
        self,
    ) -> None:
        for vm in range(self.vm_count):
            name = ids.VmId(f"vm{vm}")
            self.submit(f"first{vm}", pool_fixture.make_step(), vm=vm)
            self.log.faults[name] = pool_log.LogFault.SILENT
            started_s = self.clock.seconds()
            outcome = self.submit(f"j{vm}", pool_fixture.make_step(), vm=vm)
            took_s = self.clock.seconds() - started_s
            self.assertIs(job_service.RequestOutcome.UNCERTAIN, outcome)
            self.assertLess(took_s, 1.1)

    def test_recovery_of_the_log_is_detected_soon(self) -> None:
        for outage_s in (3.5, 4.0, 4.5, 5.0, 5.5):
            with self.subTest(outage_s=outage_s):
                for vm in range(self.vm_count):
                    name = ids.VmId(f"vm{vm}")
                    self.log.faults[name] = pool_log.LogFault.SILENT
                self.run_for(outage_s)
                self.log.faults.clear()
                self.run_for(0.85)
                self.assertTrue(all(pool_vm.ready for pool_vm in self.pool_vms))
                for outcome, _ in self.submit_everywhere(
                    f"j{int(outage_s * 10)}x"
                ):
                    self.assertIs(job_service.RequestOutcome.DONE, outcome)


class CompactionTest(pool_fixture.PoolTestCase):
    """The log compacts its topics while urgent jobs arrive."""

    # Seen on a day with a compaction: 0.84 s, the limit of one read.
    def test_jobs_hardly_wait_while_the_log_holds_waiting_reads(self) -> None:
        self.log.holds_waiting_reads = True
        caller = (self.owner_index() + 1) % self.vm_count
        for number in range(8):
            job = f"j{number}"
            self.submit(job, pool_fixture.make_step(), vm=caller)
            self.run_for(0.32)
            self.assertEqual(1, len(self.starts_of(job)), job)
        self.assertTrue(all(vm.ready for vm in self.pool_vms))
