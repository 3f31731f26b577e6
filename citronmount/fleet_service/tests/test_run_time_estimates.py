from unittest import mock

import msgspec
from twisted.internet import defer

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.estimates import prediction
from citronmount.fleet.estimates import run_time_recorder
from citronmount.fleet.estimates import run_times
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.workflow import records
from citronmount.workflow import spec


class EstimatesTestCase(pool_fixture.PoolTestCase):
    features = frozenset({fleet_configuration.Feature.RUN_TIME_ESTIMATES})

    def learn(self, run_ms: int, declared_ms: int, count: int = 8) -> None:
        """Runs jobs of a queue until their run time is known."""
        self.run_time_ms = lambda task, run: run_ms
        for number in range(count):
            self.submit(
                f"learn{number}",
                pool_fixture.make_step(estimate_ms=declared_ms),
            )
        self.run_for(run_ms / 1_000 + 1.0)

    def estimates(self) -> run_times.RunTimes:
        """Returns the learned run times of the current owner."""
        return self.pool_vms[self.owner_index()].run_times


class RunTimeEstimatesTest(EstimatesTestCase):
    def test_runs_are_learned_by_the_owner(self) -> None:
        self.learn(run_ms=1_000, declared_ms=3_000)
        self.assertEqual(8, self.estimates().observed_count)

    def test_short_learned_time_does_not_end_a_run_that_would_complete(
        self,
    ) -> None:
        # Stalled and overdue limits follow the declared 40 s, although the
        # usual run of the queue takes 0.5 s.
        self.learn(run_ms=500, declared_ms=40_000)
        self.run_time_ms = lambda task, run: 30_000
        self.submit("j", pool_fixture.make_step(estimate_ms=40_000))
        self.run_for(32.0)
        self.assertEqual(1, len(self.starts_of("j")))
        self.assertEqual("done", self.state("j").value)


class RecordedEstimatesTest(EstimatesTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.learn(run_ms=1_000, declared_ms=3_000)

    def replace_owner(self) -> None:
        owner = self.owner_index()
        stopped = defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        self.wait_for(stopped)
        self.run_for(1.0)
        self.assertNotEqual(owner, self.owner_index())

    def recorded(self) -> list[records.RunTimesLearned]:
        return [
            records.decode(each.key, each.value)
            for each in self.log.topics[ports.Topic.JOBS]
            if each.key == records.RUN_TIMES_KEY
        ]

    def median_ms(self) -> int:
        """Returns the median run time of a job that declares 3 s."""
        step = pool_fixture.make_step(estimate_ms=3_000)
        submission = spec.Submission(
            workflow=spec.Workflow(
                job=ids.JobId("x"), payload="", steps=(step,)
            ),
            account=ids.AccountId("acme"),
            terms=pool_fixture.make_queue().terms,
            accepted_ms=0,
        )
        return self.estimates().quantile_ms(
            submission, step, prediction.Quantile.MEDIAN
        )

    def assert_jobs_complete(self) -> None:
        self.submit("after", pool_fixture.make_step())
        self.run_for(3.0)
        self.assertEqual("done", self.state("after").value)

    def test_next_owner_continues_from_the_record(self) -> None:
        self.run_for(5.0)
        before_ms = self.median_ms()
        self.assertLess(before_ms, 2_500)
        self.replace_owner()
        self.assertAlmostEqual(before_ms, self.median_ms(), delta=300)

    def test_next_owner_without_a_record_uses_declared_times(self) -> None:
        self.assertEqual([], self.recorded())
        self.replace_owner()
        self.assertEqual(3_000, self.median_ms())
        self.assert_jobs_complete()

    def replace_all_vms(self) -> None:
        """Replaces all VMs by one that starts from a snapshot of the log."""
        earlier = self.pool_vms
        for vm in earlier:
            self.wait_for(defer.ensureDeferred(vm.release_ownership()))
            vm.stop()
        self.pool_vms = [self.make_vm(self.vm_count)]
        self.run_for(6.0)
        self.assertEqual(0, self.owner_index())

    def test_unreadable_record_is_ignored(self) -> None:
        self.run_for(5.0)
        for value in (b"\xc1", b"", b"\x80"):
            self.log.append_records(ports.Topic.JOBS, [("t", value)])
        self.replace_all_vms()
        self.assertEqual(3_000, self.median_ms())
        self.assert_jobs_complete()

    def test_record_of_another_version_is_ignored(self) -> None:
        self.run_for(5.0)
        other = msgspec.structs.replace(self.recorded()[-1], version=2)
        with mock.patch.object(
            run_time_recorder, "_has_changed", return_value=False
        ):
            self.log.append_records(
                ports.Topic.JOBS, [("t", records.encode(other))]
            )
            self.run_for(2.0)
            self.replace_owner()
        self.assertEqual(3_000, self.median_ms())
        self.assert_jobs_complete()

    def test_owner_with_older_code_skips_the_record(self) -> None:
        self.run_for(5.0)
        self.assertTrue(self.recorded())
        older = msgspec.msgpack.Decoder(
            records.Submitted
            | records.Cancelled
            | records.Finished
            | records.OwnershipTaken
            | records.SpeedsLearned
        )
        with mock.patch.object(records, "_RECORD_DECODER", older):
            self.replace_all_vms()
            self.assertEqual(3_000, self.median_ms())
            self.assert_jobs_complete()

    def test_record_is_rare_small_and_written_only_on_change(self) -> None:
        accounts = [f"account-{number}" for number in range(100)]
        for account in accounts:
            self.submit(account, pool_fixture.make_step(), account=account)
        self.run_for(12.0)
        written = self.recorded()
        self.assertLessEqual(len(written), 4)
        self.assertEqual(
            run_time_recorder.MAX_RECORDED_KEYS, len(written[-1].estimates)
        )
        self.assertLess(len(records.encode(written[-1])), 8_192)
        self.run_for(20.0)
        self.assertEqual(len(written), len(self.recorded()))

    def test_silent_log_delays_a_single_record(self) -> None:
        self.log.faults = {
            ids.VmId(f"vm{number}"): pool_log.LogFault.SILENT
            for number in range(self.vm_count)
        }
        self.run_for(4.0)
        self.log.faults = {}
        self.run_for(8.0)
        self.assertEqual(1, len(self.recorded()))


class DisabledEstimatesTest(pool_fixture.PoolTestCase):
    def test_nothing_is_learned_by_default(self) -> None:
        self.submit("j", pool_fixture.make_step())
        self.run_for(2.0)
        vm = self.pool_vms[self.owner_index()]
        self.assertEqual(0, vm.run_times.observed_count)

    def test_record_of_an_earlier_owner_is_not_used(self) -> None:
        learned = records.RunTimesLearned(
            version=run_time_recorder.FORMAT_VERSION,
            recorded_ms=0,
            estimates={"q|batch": (9_000, 1_000, 100) * 5},
        )
        self.log.append_records(
            ports.Topic.JOBS, [("t", records.encode(learned))]
        )
        self.run_for(1.0)
        owner = self.owner_index()
        stopped = defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        self.wait_for(stopped)
        self.run_for(6.0)
        vm = self.pool_vms[self.owner_index()]
        self.assertEqual(0, len(vm.run_times))
