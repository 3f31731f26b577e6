from citronmount.core import ids
from citronmount.fleet_service import job_service
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log


class LogOutageTest(pool_fixture.PoolTestCase):
    def submit_everywhere(
        self, name: str
    ) -> list[tuple[job_service.RequestOutcome, float]]:
        """Returns the verdict of each VM and how long it took in seconds."""
        answers = []
        for vm in range(self.vm_count):
            began_s = self.clock.seconds()
            verdict = self.submit(
                f"{name}{vm}", pool_fixture.make_step(), at=vm
            )
            answers.append((verdict, self.clock.seconds() - began_s))
        return answers

    def test_silence_of_one_topic_is_known_although_others_answer(
        self,
    ) -> None:
        self.log.silent_topics.add(ports.Topic.JOBS)
        self.run_for(3.0)
        for verdict, took_s in self.submit_everywhere("j"):
            self.assertIs(job_service.RequestOutcome.NOT_DONE, verdict)
            self.assertLess(took_s, 0.05)

    def test_uncertain_submission_is_told_so_within_a_second(self) -> None:
        for vm in range(self.vm_count):
            name = ids.VmId(f"vm{vm}")
            self.submit(f"first{vm}", pool_fixture.make_step(), at=vm)
            self.log.faults[name] = pool_log.LogFault.SILENT
            began_s = self.clock.seconds()
            verdict = self.submit(f"j{vm}", pool_fixture.make_step(), at=vm)
            took_s = self.clock.seconds() - began_s
            self.assertIs(job_service.RequestOutcome.UNCERTAIN, verdict)
            self.assertLess(took_s, 1.1)

    def test_return_of_the_log_is_noticed_soon(self) -> None:
        for outage_s in (3.5, 4.0, 4.5, 5.0, 5.5):
            with self.subTest(outage_s=outage_s):
                for vm in range(self.vm_count):
                    name = ids.VmId(f"vm{vm}")
                    self.log.faults[name] = pool_log.LogFault.SILENT
                self.run_for(outage_s)
                self.log.faults.clear()
                self.run_for(0.85)
                self.assertTrue(all(node.ready for node in self.pool_vms))
                for verdict, _ in self.submit_everywhere(
                    f"j{int(outage_s * 10)}x"
                ):
                    self.assertIs(job_service.RequestOutcome.DONE, verdict)
