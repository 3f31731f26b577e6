import unittest

import msgspec

from citronmount.core import ids
from citronmount.workflow import job_limits
from citronmount.workflow import spec

JOB = spec.Workflow(
    job=ids.JobId("5c0e7a21d94b36f8"),
    payload="",
    steps=(spec.Step(tasks=1), spec.Step(tasks=2, after=(0,))),
)


def with_step(**changes: object) -> spec.Workflow:
    """Returns the job with changes of its second step."""
    first, second = JOB.steps
    changed = msgspec.structs.replace(second, **changes)
    return msgspec.structs.replace(JOB, steps=(first, changed))


class JobLimitsTest(unittest.TestCase):
    def test_a_job_within_the_ranges_is_accepted(self) -> None:
        job_limits.check(JOB)

    def test_errors_name_the_field_and_the_step(self) -> None:
        cases = (
            ("payload", None, msgspec.structs.replace(JOB, payload="x" * 4001)),
            ("steps", None, msgspec.structs.replace(JOB, steps=())),
            ("occurrences", None, msgspec.structs.replace(JOB, occurrences=-1)),
            ("tasks", 1, with_step(tasks=0)),
            ("estimate_ms", 1, with_step(estimate_ms=1 << 63)),
            ("after", 1, with_step(after=(1,))),
            ("memory_mb", 1, with_step(demand=spec.Demand(memory_mb=-1))),
        )
        for field, step, workflow in cases:
            with self.subTest(field):
                with self.assertRaises(job_limits.JobRangeError) as caught:
                    job_limits.check(workflow)
                error = caught.exception
                self.assertEqual((field, step), (error.field, error.step))

    def test_occurrences_due_at_once_count_together(self) -> None:
        many = msgspec.structs.replace(JOB, occurrences=100_000)
        with self.assertRaises(job_limits.JobRangeError):
            job_limits.check(many)
        job_limits.check(msgspec.structs.replace(many, interval_ms=1_000))


if __name__ == "__main__":
    unittest.main()
