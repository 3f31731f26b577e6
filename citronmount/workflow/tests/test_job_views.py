import unittest

from citronmount.core import ids
from citronmount.core import states
from citronmount.workflow import job_views
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

JOB = ids.JobId("5c0e7a21d94b36f8")
TERMS = spec.QueueTerms(
    queue=spec.QueueName("q"), service=spec.ServiceName("s")
)


def submission_record(*steps: spec.Step, **options: int) -> records.Submitted:
    workflow = spec.Workflow(job=JOB, payload="", steps=steps, **options)
    submission = spec.Submission(
        workflow=workflow,
        account=ids.AccountId("a"),
        terms=TERMS,
        accepted_ms=0,
    )
    return records.Submitted(submission=submission)


def finished_record() -> records.Finished:
    return records.Finished(
        job=JOB,
        state=records.FinalState.COMPLETE,
        queue=TERMS.queue,
        account=ids.AccountId("a"),
        finished_ms=10,
    )


def unit_record(
    unit: str, status: records.UnitStatus, run: int = 1
) -> records.UnitChanged:
    return records.UnitChanged(
        unit=units.UnitId(f"{JOB}.{unit}"), status=status, run=run
    )


def open_unit_ids(job_view: job_views.JobView, wall_ms: int = 0) -> list[str]:
    keys = job_view.jobs[JOB].progress.open_units(wall_ms)
    return [key.unit.partition(".")[2] for key in keys]


class JobViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.job_view = job_views.JobView()

    def test_repeated_submission_does_not_replace_the_first(self) -> None:
        self.job_view.apply(1, submission_record(spec.Step(tasks=1)))
        self.assertFalse(
            self.job_view.apply(2, submission_record(spec.Step(tasks=9)))
        )
        self.assertEqual(["0.0.0"], open_unit_ids(self.job_view))

    def test_step_opens_only_after_its_dependencies_are_done(self) -> None:
        first = spec.Step(tasks=2)
        second = spec.Step(tasks=1, gang=True, after=(0,))
        self.job_view.apply(0, submission_record(first, second))
        self.job_view.apply(1, unit_record("0.0.0", records.UnitStatus.DONE))
        self.assertEqual(["0.0.1"], open_unit_ids(self.job_view))
        self.job_view.apply(2, unit_record("0.0.1", records.UnitStatus.DONE))
        self.assertEqual(["0.1"], open_unit_ids(self.job_view))
        self.job_view.apply(3, unit_record("0.1", records.UnitStatus.DONE))
        self.assertTrue(self.job_view.jobs[JOB].progress.complete)

    def test_occurrence_does_not_open_before_it_is_due(self) -> None:
        step = spec.Step(tasks=1)
        submission = submission_record(
            step, occurrences=2, first_due_ms=100, interval_ms=50
        )
        self.job_view.apply(0, submission)
        self.assertEqual([], open_unit_ids(self.job_view, 99))
        self.assertEqual(["0.0.0"], open_unit_ids(self.job_view, 100))
        self.assertEqual(["0.0.0", "1.0.0"], open_unit_ids(self.job_view, 150))

    def test_older_record_does_not_replace_a_newer_one(self) -> None:
        self.job_view.apply(0, submission_record(spec.Step(tasks=1)))
        self.job_view.apply(
            5, unit_record("0.0.0", records.UnitStatus.DONE, run=2)
        )
        placed = unit_record("0.0.0", records.UnitStatus.PLACED, run=1)
        self.assertFalse(self.job_view.apply(3, placed))
        self.assertTrue(self.job_view.jobs[JOB].progress.complete)

    def test_records_folded_before_the_submission_are_not_lost(self) -> None:
        self.job_view.apply(4, unit_record("0.0.0", records.UnitStatus.PLACED))
        self.job_view.apply(5, records.Cancelled(job=JOB))
        self.job_view.apply(9, submission_record(spec.Step(tasks=1)))
        self.assertTrue(self.job_view.jobs[JOB].progress.started)
        self.assertTrue(self.job_view.jobs[JOB].cancelled)

    def test_late_submission_does_not_reopen_a_finished_job(self) -> None:
        self.job_view.apply(0, submission_record(spec.Step(tasks=1)))
        self.job_view.apply(1, finished_record())
        self.job_view.apply(2, submission_record(spec.Step(tasks=1)))
        self.assertIs(states.JobState.DONE, self.job_view.state_of(JOB))
        self.assertEqual([JOB], self.job_view.expired_jobs(11))
        self.job_view.apply_removal(3, records.final_key(JOB))
        self.assertIsNone(self.job_view.state_of(JOB))

    def test_record_appended_after_the_final_state_is_left_over(self) -> None:
        # Was a new job once the final state had been forgotten.
        self.job_view.apply(1, finished_record())
        late = (
            submission_record(spec.Step(tasks=1)),
            records.Cancelled(job=JOB),
            unit_record("0.0.0", records.UnitStatus.PLACED),
        )
        for offset, record in enumerate(late, start=2):
            key = records.key_of(record)
            self.job_view.apply(offset, record)
            self.assertEqual({key}, self.job_view.leftover_keys)
            self.job_view.apply_removal(1, key)
            self.assertEqual({key}, self.job_view.leftover_keys)
            self.job_view.apply_removal(9, key)
            self.assertEqual(set(), self.job_view.leftover_keys)

    def test_keys_of_a_finished_job_are_left_over_until_removed(self) -> None:
        # An owner that ended after the final record has not removed them.
        self.job_view.apply(0, submission_record(spec.Step(tasks=1)))
        self.job_view.apply(1, unit_record("0.0.0", records.UnitStatus.DONE))
        self.job_view.apply(2, finished_record())
        self.assertEqual(
            {f"j/{JOB}", f"u/{JOB}.0.0.0"}, self.job_view.leftover_keys
        )
        self.job_view.apply_removal(3, f"j/{JOB}")
        self.job_view.apply_removal(4, f"u/{JOB}.0.0.0")
        self.assertEqual(set(), self.job_view.leftover_keys)

    def test_started_jobs_are_not_counted_as_queued(self) -> None:
        self.job_view.apply(0, submission_record(spec.Step(tasks=2)))
        self.assertEqual(1, self.job_view.count_queued(TERMS.queue))
        self.job_view.apply(1, unit_record("0.0.1", records.UnitStatus.PLACED))
        self.assertEqual(0, self.job_view.count_queued(TERMS.queue))


class RecordTest(unittest.TestCase):
    def test_decode_restores_encoded_records(self) -> None:
        for record in (
            submission_record(spec.Step(tasks=3, gang=True, image="i")),
            records.Cancelled(job=JOB),
            unit_record("0.0", records.UnitStatus.WAITING),
        ):
            key = records.key_of(record)
            copy = records.decode(key, records.encode(record))
            self.assertEqual(record, copy)

    def test_malformed_bytes_raise_unreadable_record_error(self) -> None:
        for key, value in (("j/x", b"\xc1"), ("u/x", b"[]"), ("j/x", b"")):
            with self.assertRaises(records.UnreadableRecordError):
                records.decode(key, value)

    def test_record_of_another_key_raises_unreadable_record_error(self) -> None:
        value = records.encode(records.Cancelled(job=JOB))
        with self.assertRaises(records.UnreadableRecordError):
            records.decode("c/other", value)


if __name__ == "__main__":
    unittest.main()
