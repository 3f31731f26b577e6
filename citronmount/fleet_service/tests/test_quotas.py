from twisted.internet import defer

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service import job_service
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.standins import pool_worker

DONE = states.JobState.DONE
RECLAIM_S = 2.9


class QuotaTest(pool_fixture.PoolTestCase):
    """A pool of 32 accelerators on 4 workers; job names begin with "a"."""

    def set_quota(self, accelerators: int, version: int) -> None:
        self.quotas = {
            "acme": fleet_configuration.Quota(max_accelerators=accelerators)
        }
        self.publish_configuration(version=version)
        self.run_for(0.1)

    def accelerators_in_use(self) -> int:
        """Returns what tasks of jobs whose name begins with "a" really use."""
        return sum(
            run.plan.demand.accelerators
            for worker in self.pool_workers.workers.values()
            for run in worker.running.values()
            if run.task.startswith("a")
        )

    def peak_use(self, time_s: float) -> int:
        """Lets time pass and returns the largest use seen."""
        peak = 0
        for _ in range(round(time_s / pool_fixture.STEP_S)):
            self.clock.advance(pool_fixture.STEP_S)
            peak = max(peak, self.accelerators_in_use())
        return peak

    def set_fault(self, fault: pool_worker.WorkerFault, *names: str) -> None:
        for name in names:
            self.pool_workers.workers[ids.WorkerId(name)].fault = fault

    def crash_owner(self) -> int:
        owner = self.owner_index()
        self.log.faults[ids.VmId(f"vm{owner}")] = pool_log.LogFault.SILENT
        defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        self.pool_vms[owner].stop()
        return owner

    def test_quota_holds_through_lost_commands_and_a_takeover(self) -> None:
        # A task whose start was not answered, or that an earlier owner started,
        # may run and has to count.
        self.set_quota(10, version=2)
        vm = (self.owner_index() + 1) % self.vm_count
        gang = pool_fixture.make_step(tasks=3, accelerators=2, gang=True)
        single = pool_fixture.make_step(tasks=40)
        faults = pool_worker.WorkerFault
        self.set_fault(faults.LOSES_NEXT_START, "w00", "w01")
        self.set_fault(faults.LOSES_NEXT_ANSWER, "w10")
        self.pool_workers.workers[ids.WorkerId("w11")].start_delay_s = 1.0
        self.set_fault(faults.LATE, "w11")
        for job in ("a1", "a2"):
            self.submit(job, single, gang, vm=vm)
        self.submit("b", single, account="other", vm=vm)
        peaks = [self.peak_use(1.5)]
        self.set_fault(faults.NONE, "w11")
        self.run_time_ms = lambda task, run: 6_000
        peaks.append(self.peak_use(1.0))
        self.crash_owner()
        peaks += [self.peak_use(8.0), self.peak_use(60.0)]
        self.assertLessEqual(max(peaks), 10, peaks)
        self.assertEqual(10, peaks[-1], "the quota is not used")
        for job in ("a1", "a2", "b"):
            self.assertIs(DONE, self.state(job, vm=vm))

    def test_job_inside_its_guarantee_preempts_its_own_account(self) -> None:
        self.guaranteed_accelerators = {"acme": 8}
        self.set_quota(10, version=2)
        self.run_time_ms = lambda task, run: 60_000 if "low" in task else 1_000
        single = pool_fixture.make_step(tasks=16)
        self.submit("alow", single)
        self.submit("other", single, account="beta")
        self.run_for(1.0)
        urgent = pool_fixture.make_step(tasks=4, accelerators=2, gang=True)
        self.submit("aurgent", urgent, queue="urgent")
        self.assertEqual(10, self.peak_use(RECLAIM_S))
        self.assertEqual(4, len(self.starts_of("aurgent")))
        self.assertEqual(16, len(self.starts_of("other")))
        self.run_for(3.0)
        self.assertEqual(10, self.accelerators_in_use())

    def test_placed_job_does_not_start_after_the_quota_was_lowered(
        self,
    ) -> None:
        # Its placement is decided, but it waits for the runs that it preempts.
        self.guaranteed_accelerators = {"acme": 8}
        self.set_quota(10, version=2)
        self.run_time_ms = lambda task, run: 60_000 if "low" in task else 1_000
        self.submit("alow", pool_fixture.make_step(tasks=16))
        self.run_for(1.0)
        urgent = pool_fixture.make_step(tasks=4, accelerators=2, gang=True)
        self.submit("aurgent", urgent, queue="urgent", vm=self.owner_index())
        self.run_for(0.02)
        self.set_quota(7, version=3)
        self.run_for(2.0)
        self.assertEqual([], self.starts_of("aurgent"))
        self.set_quota(10, version=4)
        self.run_for(RECLAIM_S)
        self.assertEqual(4, len(self.starts_of("aurgent")))

    def test_lowered_quota_applies_to_starts_and_stops_nothing(self) -> None:
        self.set_quota(8, version=2)
        self.run_time_ms = lambda task, run: 3_000 + 100 * int(task[-1])
        self.submit("a", pool_fixture.make_step(tasks=20))
        gang = pool_fixture.make_step(tasks=6, gang=True)
        self.submit("again", gang, queue="urgent")
        self.run_for(0.5)
        self.set_quota(3, version=3)
        self.assertEqual(8, self.accelerators_in_use())
        self.run_for(5.0)
        self.assertEqual(3, self.peak_use(5.0))
        self.assertEqual(
            len(self.starts_of("a")),
            len(set(self.starts_of("a"))),
            "a task was started again",
        )

    def test_gang_accepted_before_the_quota_was_lowered_waits(self) -> None:
        self.set_quota(8, version=2)
        self.run_time_ms = lambda task, run: 4_000
        gang = pool_fixture.make_step(tasks=6, gang=True)
        jobs = ("a1", "a2")
        for job in jobs:
            self.submit(job, gang)
        self.set_quota(5, version=3)
        self.run_for(8.0)
        self.assertIs(states.JobState.QUEUED, self.state("a2"))
        self.set_quota(6, version=4)
        self.run_for(6.0)
        self.assertEqual([DONE, DONE], [self.state(job) for job in jobs])

    def test_retry_of_an_accepted_gang_is_not_refused_by_a_lower_quota(
        self,
    ) -> None:
        # A VM that has not read the submission yet must not answer that the
        # job never runs.
        owner = self.owner_index()
        vm, other_vm = (n for n in range(self.vm_count) if n != owner)
        gang = pool_fixture.make_step(tasks=6, gang=True)
        for number in range(4):
            self.set_quota(8, version=2 + 2 * number)
            self.submit(f"a{number}", gang, vm=vm)
            self.set_quota(5, version=3 + 2 * number)
            outcome = self.submit(f"a{number}", gang, vm=other_vm)
            self.assertIs(job_service.RequestOutcome.DONE, outcome)
            self.run_for(0.13)

    def test_refused_gang_leaves_no_record(self) -> None:
        self.set_quota(5, version=2)
        gang = pool_fixture.make_step(tasks=6, gang=True)
        outcome = self.submit("a", pool_fixture.make_step(), gang)
        self.assertIs(job_service.RequestOutcome.EXCEEDS_QUOTA, outcome)
        self.run_for(1.0)
        self.assertIsNone(self.state("a"))
        self.set_quota(6, version=3)
        self.submit("a", pool_fixture.make_step(), gang)
        self.run_for(5.0)
        self.assertIs(DONE, self.state("a"))


class MissingConfigurationTest(pool_fixture.PoolTestCase):
    """The pool's VMs have read no configuration yet."""

    published = False

    def publish_configuration(
        self, *more: fleet_configuration.Queue, version: int = 1
    ) -> None:
        self.configuration = fleet_configuration.FleetConfiguration(
            version=version, queues=(pool_fixture.make_queue(),), accounts=()
        )
        if self.published:
            super().publish_configuration(*more, version=version)

    def test_nothing_starts_before_the_quotas_are_known(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(2.0)
        self.assertEqual([], self.pool_workers.starts)
        self.published = True
        self.publish_configuration()
        self.run_for(1.0)
        self.assertEqual(1, len(self.starts_of("j")))
