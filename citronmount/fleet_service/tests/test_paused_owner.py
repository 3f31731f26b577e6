"""A paused owner acts on no permission that has expired meanwhile."""

import itertools

from citronmount.core import states
from citronmount.fleet import commands
from citronmount.fleet_service.tests import pool_fixture
from citronmount.fleet_service.tests import process_fixture

DONE = states.JobState.DONE
# Leases last 5 s, a membership 1.1 s.
PAUSES_S = (0.3, 1.0, 1.6, 3.0, 5.5, 9.0)


class PausedOwnerTest(process_fixture.ProcessTestCase):
    def pause_owner_before(self, call: str, pause_s: float, job: str) -> bool:
        """Pauses the owner before one of its calls, while a job is submitted.

        Returns:
            Whether another VM became owner meanwhile.
        """
        owner = self.owner_index()
        process = self.processes[owner]
        vm = (owner + 1) % self.vm_count
        process.pause_before = call
        self.submit(
            job,
            pool_fixture.make_step(tasks=4),
            pool_fixture.make_step(tasks=4, gang=True, after=(0,)),
            vm=vm,
        )
        for _ in range(400):
            if process.paused:
                break
            self.run_for(pool_fixture.STEP_S)
        self.assertTrue(process.paused, f"no call of {call}")
        self.run_for(pause_s)
        taken_over = any(
            other.owns_pool
            for number, other in enumerate(self.pool_vms)
            if number != owner
        )
        process.paused = False
        return taken_over

    def assert_job_ran_once(self, job: str) -> None:
        vm = self.owner_index()
        self.assertIs(DONE, self.state(job, vm=vm))
        self.assertEqual(8, len(self.starts_of(job)))

    def test_commands_and_records_of_a_paused_owner_have_no_late_effect(
        self,
    ) -> None:
        takeovers = 0
        calls = ("start", "append_as_owner", "renew_leases")
        for number, (call, pause_s) in enumerate(
            itertools.product(calls, PAUSES_S)
        ):
            with self.subTest(call=call, pause_s=pause_s):
                job = f"j{number}"
                takeovers += self.pause_owner_before(call, pause_s, job)
                self.run_for(14.0)
                self.assert_job_ran_once(job)
                self.assertEqual([], self.pool_workers.violations)
        self.assertGreaterEqual(takeovers, 9)
        late_starts = [
            answer
            for process in self.processes
            for call, answer in process.answers
            if call == "start" and answer[0] is commands.StartOutcome.FENCED
        ]
        self.assertGreaterEqual(len(late_starts), 3)

    def test_stop_of_a_paused_owner_does_not_stop_a_later_run(self) -> None:
        self.guaranteed_accelerators = {"acme": 32}
        self.publish_configuration(version=2)
        self.run_for(0.5)
        for number, pause_s in enumerate(PAUSES_S):
            with self.subTest(pause_s=pause_s):
                self.run_time_ms = lambda task, run: 3_000
                job, urgent = f"j{number}", f"u{number}"
                full = pool_fixture.make_step(tasks=4, accelerators=8)
                owner = self.owner_index()
                vm = (owner + 1) % self.vm_count
                self.submit(job, full, account="other", vm=vm)
                self.run_for(0.5)
                process = self.processes[owner]
                process.pause_before = "stop"
                gang = pool_fixture.make_step(
                    tasks=2, accelerators=8, gang=True
                )
                self.submit(urgent, gang, queue="urgent", vm=vm)
                self.run_for(0.3)
                self.assertTrue(process.paused)
                self.run_for(pause_s)
                process.paused = False
                self.run_for(20.0)
                vm = self.owner_index()
                self.assertIs(DONE, self.state(job, vm=vm))
                self.assertIs(DONE, self.state(urgent, vm=vm, queue=1))
                self.assertLessEqual(len(self.starts_of(job)), 6)
                self.assertEqual(2, len(self.starts_of(urgent)))
                self.assertEqual([], self.pool_workers.violations)
