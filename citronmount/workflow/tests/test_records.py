import unittest

import msgspec

from citronmount.workflow import job_views
from citronmount.workflow import records

LEARNED = records.RunTimesLearned(
    version=1, recorded_ms=5, estimates={"q|batch": (1_000, -20, 3)}
)


class RunTimesLearnedTest(unittest.TestCase):
    def test_record_is_decoded_by_its_key_only(self) -> None:
        value = records.encode(LEARNED)
        self.assertEqual(LEARNED, records.decode("t", value))
        with self.assertRaises(records.UnreadableRecordError):
            records.decode("w", value)

    def test_older_record_does_not_replace_a_newer_one(self) -> None:
        job_view = job_views.JobView()
        job_view.apply(8, LEARNED)
        job_view.apply(7, msgspec.structs.replace(LEARNED, estimates={}))
        self.assertEqual(LEARNED, job_view.run_times)
