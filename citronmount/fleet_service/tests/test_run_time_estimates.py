from unittest import mock

import msgspec
from twisted.internet import defer

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.estimates import run_time_recorder
from citronmount.fleet_service import ports
from citronmount.fleet_service import run_time_metrics
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.telemetry import metrics_registry
from citronmount.workflow import records
from citronmount.workflow import spec

STEP = pool_fixture.make_step(estimate_ms=3_000)


class EstimatesTestCase(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_jobs("learn", STEP, count=8)

    def run_jobs(self, name: str, step: spec.Step, count: int = 1) -> None:
        for number in range(count):
            self.submit(f"{name}{number}", step)
        self.run_for(1.8)
        self.assertEqual("done", self.state(f"{name}0").value)

    def replace_vms(self, *vms: int) -> None:
        """Replaces VMs by new ones, which start from a snapshot of the log."""
        for vm in vms:
            leaving = self.pool_vms[vm].release_ownership()
            self.wait_for(defer.ensureDeferred(leaving))
            self.pool_vms[vm].stop()
        for vm in vms:
            self.pool_vms[vm] = self.make_vm(vm + self.vm_count)
        self.run_for(4.0)

    def median_ms(self) -> int:
        """Returns the median that the owner expects for `STEP`."""
        job = spec.Submission(
            workflow=spec.Workflow(
                job=ids.JobId("x"), payload="", steps=(STEP,)
            ),
            account=ids.AccountId("acme"),
            terms=pool_fixture.make_queue().terms,
            accepted_ms=0,
        )
        learned = self.pool_vms[self.owner_index()].run_times
        expected = learned.run_time(job, STEP)
        return expected.median_ms if expected else STEP.estimate_ms

    def recorded(self) -> list[records.RunTimesLearned]:
        return [
            records.decode(each.key, each.value)
            for each in self.log.topics[ports.Topic.JOBS]
            if each.key == records.RUN_TIMES_KEY
        ]

    def gauges(self, vm: int) -> dict[str, float]:
        registry = metrics_registry.MetricsRegistry()
        run_time_metrics.register(registry, lambda: self.pool_vms[vm].run_times)
        return registry.snapshot().gauges


class RunTimeEstimatesTest(EstimatesTestCase):
    features = frozenset({fleet_configuration.Feature.RUN_TIME_ESTIMATES})

    def test_short_learned_time_does_not_end_a_run_that_would_complete(
        self,
    ) -> None:
        # Stalled and overdue limits follow the declared 40 s, although the
        # usual run of the queue takes 0.5 s.
        declared = pool_fixture.make_step(estimate_ms=40_000)
        self.run_time_ms = lambda task, run: 500
        self.run_jobs("short", declared, count=8)
        self.run_time_ms = lambda task, run: 30_000
        self.submit("j", declared)
        self.run_for(32.0)
        self.assertEqual(1, len(self.starts_of("j")))
        self.assertEqual("done", self.state("j").value)

    def test_next_owner_continues_from_the_record(self) -> None:
        self.run_for(5.0)
        before_ms = self.median_ms()
        self.assertLess(before_ms, 2_500)
        self.replace_vms(self.owner_index())
        self.assertAlmostEqual(before_ms, self.median_ms(), delta=300)

    def test_next_owner_without_a_record_uses_declared_times(self) -> None:
        self.assertEqual([], self.recorded())
        self.replace_vms(self.owner_index())
        self.assertEqual(3_000, self.median_ms())
        self.run_jobs("after", STEP)

    def test_unusable_records_are_ignored(self) -> None:
        self.run_for(5.0)
        other_version = msgspec.structs.replace(self.recorded()[-1], version=2)
        for value in (b"\xc1", b"", records.encode(other_version)):
            with self.subTest(value=value[:1]):
                self.log.append_records(ports.Topic.JOBS, [("t", value)])
                self.replace_vms(*range(self.vm_count))
                self.assertEqual(3_000, self.median_ms())
        self.run_jobs("after", STEP)

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
            self.replace_vms(*range(self.vm_count))
            self.assertEqual(3_000, self.median_ms())
            self.run_jobs("after", STEP)

    def test_record_is_rare_small_and_written_only_on_change(self) -> None:
        for number in range(100):
            self.submit(f"j{number}", STEP, account=f"account-{number}")
        self.run_for(12.0)
        written = self.recorded()
        self.assertLessEqual(len(written), 4)
        self.assertEqual(
            run_time_recorder.MAX_RECORDED_KEYS, len(written[-1].estimates)
        )
        self.assertLess(len(records.encode(written[-1])), 8_192)
        self.run_for(20.0)
        self.assertEqual(len(written), len(self.recorded()))

    def test_records_do_not_pile_up_while_the_log_is_silent(self) -> None:
        vms = [ids.VmId(f"vm{number}") for number in range(self.vm_count)]
        self.log.faults = dict.fromkeys(vms, pool_log.LogFault.SILENT)
        with mock.patch.object(
            run_time_recorder, "_has_changed", return_value=True
        ):
            self.run_for(30.0)
            self.log.faults = {}
            self.run_for(1.0)
        self.assertLessEqual(len(self.recorded()), 3)

    def test_owner_reports_runs_and_errors_and_others_report_nothing(
        self,
    ) -> None:
        owner = self.owner_index()
        gauges = self.gauges(owner)
        self.assertEqual(8, gauges["run_times.runs"])
        self.assertEqual(3, gauges["run_times.keys"])
        self.assertLess(
            gauges["run_times.learned_error"],
            gauges["run_times.declared_error"],
        )
        other = self.gauges((owner + 1) % self.vm_count)
        self.assertEqual({0.0}, set(other.values()))


class DisabledEstimatesTest(EstimatesTestCase):
    def test_nothing_is_learned_recorded_or_restored(self) -> None:
        learned = records.RunTimesLearned(
            version=run_time_recorder.FORMAT_VERSION,
            recorded_ms=0,
            estimates={"q|batch": (9_000, 1_000, 100) * 5},
        )
        value = records.encode(learned)
        self.log.append_records(ports.Topic.JOBS, [("t", value)])
        self.replace_vms(self.owner_index())
        self.run_jobs("after", STEP, count=5)
        self.assertEqual(0, self.gauges(self.owner_index())["run_times.keys"])
        self.assertEqual([learned], self.recorded())
