"""No record of another writer may stop a VM or the owner of the pool."""

import logging
from unittest import mock

import msgspec
import structlog
from twisted.internet import defer

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.workflow import job_views
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

DONE = states.JobState.DONE
PLACE = records.Place(worker=ids.WorkerId("w00"), life_ms=1)


def make_submission(
    job: str, slack_factor: float = 1.0, **changes: object
) -> records.Submitted:
    step = pool_fixture.make_step(**changes)
    queue = pool_fixture.make_queue(slack_factor=slack_factor)
    return records.Submitted(
        submission=spec.Submission(
            workflow=spec.Workflow(
                job=ids.JobId(job), payload="", steps=(step,)
            ),
            account=ids.AccountId("acme"),
            terms=queue.terms,
            accepted_ms=0,
        )
    )


def make_unit_record(unit: str, **changes: object) -> records.UnitChanged:
    record = records.UnitChanged(
        unit=units.UnitId(unit),
        status=records.UnitStatus.PLACED,
        run=1,
        places=(PLACE,),
    )
    return msgspec.structs.replace(record, **changes)


class MalformedRecordTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        # The skipped records are logged as errors.
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(
                logging.CRITICAL
            )
        )

    def append(self, record: records.Record) -> None:
        entry = (records.key_of(record), records.encode(record))
        self.log.append_records(ports.Topic.JOBS, [entry])

    def change_owner(self) -> None:
        owner = self.owner_index()
        defer.ensureDeferred(self.pool_vms[owner].release_ownership())
        self.run_for(2.0)
        self.assertNotEqual(owner, self.owner_index())

    def assert_pool_works(self) -> None:
        """Runs a job under the owner and another one under the next owner."""
        for job in ("before", "after"):
            vm = self.owner_index()
            self.submit(job, pool_fixture.make_step(tasks=4), vm=vm)
            self.run_for(4.0)
            self.assertIs(DONE, self.state(job, vm=vm))
            if job == "before":
                self.change_owner()

    def test_submissions_that_cannot_be_planned_are_ignored(self) -> None:
        changes = (
            {"after": (99,)},
            {"after": (0,)},
            {"slack_factor": float("nan")},
            {"slack_factor": 1e308},
        )
        for number, change in enumerate(changes):
            self.steps[f"bad{number}", 0] = pool_fixture.make_step()
            self.append(make_submission(f"bad{number}", **change))
        self.assert_pool_works()
        self.assertEqual([], self.starts_of("bad"))

    def test_records_of_impossible_units_are_ignored(self) -> None:
        self.run_time_ms = lambda task, run: 3_000
        gang = pool_fixture.make_step(tasks=2, gang=True)
        self.submit("j", pool_fixture.make_step(tasks=2), gang)
        for record in (
            make_unit_record("j.0.-1.0"),
            make_unit_record("j.1.0.0"),
            make_unit_record("j.0.0"),
            make_unit_record("j.0.0.2"),
            make_unit_record("j.0.1.0"),
            make_unit_record("j.0.0.\u0661"),
            make_unit_record("j.0.1", places=(PLACE,) * 3),
            make_unit_record("j.0.1", task_positions=(7,)),
        ):
            done = msgspec.structs.replace(
                record, status=records.UnitStatus.DONE
            )
            self.append(record)
            self.append(done)
        self.run_for(0.5)
        self.assertIs(states.JobState.RUNNING, self.state("j"))
        self.change_owner()
        self.run_for(8.0)
        self.assertIs(DONE, self.state("j", vm=self.owner_index()))
        self.assertEqual(4, len(self.starts_of("j")))

    def test_speeds_out_of_range_are_ignored(self) -> None:
        for number, log_speed in enumerate(
            (-1e308, 1e308, float("nan"), float("inf"))
        ):
            machines = {f"m-{name}": log_speed for name in ("w00", "w01")}
            self.append(records.SpeedsLearned(logs=machines))
            for vm in self.pool_vms:
                vm.stop()
                defer.ensureDeferred(vm.release_ownership())
            self.run_for(1.0)
            self.pool_vms = [self.make_vm(n) for n in range(self.vm_count)]
            self.run_for(4.0)
            vm = self.owner_index()
            self.submit(f"j{number}", pool_fixture.make_step(tasks=4), vm=vm)
            self.run_for(3.0)
            self.assertIs(DONE, self.state(f"j{number}", vm=vm))

    def test_error_in_the_fold_of_a_record_skips_that_record_only(
        self,
    ) -> None:
        apply = job_views.JobView.apply

        def fail_for_bad_jobs(
            view: job_views.JobView, offset: int, record: records.Record
        ) -> bool:
            if records.key_of(record) == "j/bad":
                raise KeyError("odd")
            return apply(view, offset, record)

        with mock.patch.object(job_views.JobView, "apply", fail_for_bad_jobs):
            self.steps["good", 0] = pool_fixture.make_step()
            page = map(make_submission, ("bad", "good"))
            self.log.append_records(
                ports.Topic.JOBS,
                [(records.key_of(each), records.encode(each)) for each in page],
            )
            self.run_for(3.0)
            self.assertIs(DONE, self.state("good", vm=self.owner_index()))
            self.assert_pool_works()

    def test_error_in_the_decoding_of_an_entry_skips_that_entry_only(
        self,
    ) -> None:
        self.log.append_records(
            ports.Topic.WORKERS, [("odd", b"unknown"), ("odd2", b"\xff")]
        )
        self.add_worker("w99", rack="rack9")
        self.run_for(1.0)
        self.submit("j", pool_fixture.make_step(data_rack="rack9"))
        self.run_for(2.0)
        self.assertEqual(["w99"], [each for *_, each in self.starts_of("j")])
        self.change_owner()
        self.assert_pool_works()
