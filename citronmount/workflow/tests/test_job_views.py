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


def submitted(*steps: spec.Step, **options: int) -> records.Submitted:
    workflow = spec.Workflow(job=JOB, payload="", steps=steps, **options)
    submission = spec.Submission(
        workflow=workflow,
        account=ids.AccountId("a"),
        terms=TERMS,
        accepted_ms=0,
    )
    return records.Submitted(submission=submission)


def changed(
    unit: str, status: records.UnitStatus, run: int = 1
) -> records.UnitChanged:
    return records.UnitChanged(
        unit=units.UnitId(f"{JOB}.{unit}"), status=status, run=run
    )


def open_units(job_view: job_views.JobView, wall_ms: int = 0) -> list[str]:
    keys = job_view.jobs[JOB].progress.open_units(wall_ms)
    return [key.unit.partition(".")[2] for key in keys]


class BookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.job_view = job_views.JobView()

    def test_first_submission_wins(self) -> None:
        self.job_view.apply(1, submitted(spec.Step(tasks=1)))
        self.assertFalse(self.job_view.apply(2, submitted(spec.Step(tasks=9))))
        self.assertEqual(["0.0.0"], open_units(self.job_view))

    def test_step_waits_for_the_steps_before_it(self) -> None:
        first = spec.Step(tasks=2)
        second = spec.Step(tasks=1, gang=True, after=(0,))
        self.job_view.apply(0, submitted(first, second))
        self.job_view.apply(1, changed("0.0.0", records.UnitStatus.DONE))
        self.assertEqual(["0.0.1"], open_units(self.job_view))
        self.job_view.apply(2, changed("0.0.1", records.UnitStatus.DONE))
        self.assertEqual(["0.1"], open_units(self.job_view))
        self.job_view.apply(3, changed("0.1", records.UnitStatus.DONE))
        self.assertTrue(self.job_view.jobs[JOB].progress.complete)

    def test_occurrence_opens_at_its_time(self) -> None:
        step = spec.Step(tasks=1)
        job = submitted(step, occurrences=2, first_due_ms=100, interval_ms=50)
        self.job_view.apply(0, job)
        self.assertEqual([], open_units(self.job_view, 99))
        self.assertEqual(["0.0.0"], open_units(self.job_view, 100))
        self.assertEqual(["0.0.0", "1.0.0"], open_units(self.job_view, 150))

    def test_older_record_never_replaces_a_newer_one(self) -> None:
        self.job_view.apply(0, submitted(spec.Step(tasks=1)))
        self.job_view.apply(5, changed("0.0.0", records.UnitStatus.DONE, run=2))
        placed = changed("0.0.0", records.UnitStatus.PLACED, run=1)
        self.assertFalse(self.job_view.apply(3, placed))
        self.assertTrue(self.job_view.jobs[JOB].progress.complete)

    def test_unit_read_before_its_repeated_submission(self) -> None:
        self.job_view.apply(4, changed("0.0.0", records.UnitStatus.PLACED))
        self.job_view.apply(5, records.Cancelled(job=JOB))
        self.job_view.apply(9, submitted(spec.Step(tasks=1)))
        self.assertTrue(self.job_view.jobs[JOB].progress.started)
        self.assertTrue(self.job_view.jobs[JOB].cancelled)

    def test_final_state_outlasts_a_late_submission(self) -> None:
        self.job_view.apply(0, submitted(spec.Step(tasks=1)))
        self.job_view.apply(
            1,
            records.Finished(
                job=JOB,
                state=records.FinalState.COMPLETE,
                queue=TERMS.queue,
                account=ids.AccountId("a"),
                finished_ms=10,
            ),
        )
        self.job_view.apply(2, submitted(spec.Step(tasks=1)))
        self.assertIs(states.JobState.DONE, self.job_view.state_of(JOB))
        self.assertEqual([JOB], self.job_view.expired_jobs(11))
        self.job_view.apply_removal(3, records.final_key(JOB))
        self.assertIsNone(self.job_view.state_of(JOB))

    def test_pending_counts_jobs_that_have_not_begun(self) -> None:
        self.job_view.apply(0, submitted(spec.Step(tasks=2)))
        self.assertEqual(1, self.job_view.count_queued(TERMS.queue))
        self.job_view.apply(1, changed("0.0.1", records.UnitStatus.PLACED))
        self.assertEqual(0, self.job_view.count_queued(TERMS.queue))


class RecordTest(unittest.TestCase):
    def test_every_kind_survives_encoding(self) -> None:
        for record in (
            submitted(spec.Step(tasks=3, gang=True, image="i")),
            records.Cancelled(job=JOB),
            changed("0.0", records.UnitStatus.WAITING),
        ):
            key = records.key_of(record)
            copy = records.decode(key, records.encode(record))
            self.assertEqual(record, copy)

    def test_foreign_bytes_are_refused(self) -> None:
        for key, value in (("j/x", b"\xc1"), ("u/x", b"[]"), ("j/x", b"")):
            with self.assertRaises(records.UnreadableRecordError):
                records.decode(key, value)

    def test_record_under_another_key_is_refused(self) -> None:
        value = records.encode(records.Cancelled(job=JOB))
        with self.assertRaises(records.UnreadableRecordError):
            records.decode("c/other", value)


if __name__ == "__main__":
    unittest.main()
