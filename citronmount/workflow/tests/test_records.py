import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from citronmount.core import ids
from citronmount.workflow import job_views
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

LEARNED = records.RunTimesLearned(
    version=1, recorded_ms=5, estimates={"q|batch": (1_000, -20, 3)}
)

# MessagePack of an unknown field with 3,000 nested arrays.
NESTED = b"\x81\xa1x" + b"\x91" * 3_000 + b"\x01"
JOB = ids.JobId("5c0e7a21d94b36f8")
UNIT = units.UnitId(f"{JOB}.0.0")
STEP = spec.Step(
    tasks=2, demand=spec.Demand(millicores=1), estimate_ms=5, gang=True
)
RECORDS = (
    records.Submitted(
        submission=spec.Submission(
            workflow=spec.Workflow(job=JOB, payload="x", steps=(STEP,)),
            account=ids.AccountId("a"),
            terms=spec.QueueTerms(
                queue=spec.QueueName("q"), service=spec.ServiceName("s")
            ),
            accepted_ms=1,
        )
    ),
    records.Cancelled(job=JOB),
    records.UnitChanged(
        unit=UNIT,
        status=records.UnitStatus.PLACED,
        run=1,
        places=(records.Place(worker=ids.WorkerId("w"), life_ms=1),),
        task_positions=(0,),
    ),
    records.Finished(
        job=JOB,
        state=records.FinalState.COMPLETE,
        queue=spec.QueueName("q"),
        account=ids.AccountId("a"),
        finished_ms=1,
    ),
    records.OwnershipTaken(epoch=1, member="vm/1"),
    records.SpeedsLearned(logs={"m": 0.5}),
)
KEYS = strategies.sampled_from([records.key_of(each) for each in RECORDS])
VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(1 << 63), (1 << 64) - 1),
        strategies.floats(),
        strategies.text(max_size=8),
        strategies.binary(max_size=8),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3),
    ),
    max_leaves=6,
)


def replace_one(data: strategies.DataObject, value: object) -> object:
    """Replaces one part of a document at any depth."""
    if data.draw(strategies.booleans()) and value:
        if isinstance(value, dict):
            name = data.draw(strategies.sampled_from(sorted(value)))
            return {**value, name: replace_one(data, value[name])}
        if isinstance(value, list):
            index = data.draw(strategies.integers(0, len(value) - 1))
            changed = replace_one(data, value[index])
            return [*value[:index], changed, *value[index + 1 :]]
    return data.draw(VALUES)


def damage(data: strategies.DataObject, value: bytes) -> bytes:
    """Replaces a part of the bytes."""
    start = data.draw(strategies.integers(0, len(value)))
    end = data.draw(strategies.integers(start, len(value)))
    return (
        value[:start] + data.draw(strategies.binary(max_size=4)) + value[end:]
    )


class UnreadableRecordTest(unittest.TestCase):
    def test_deep_nesting_is_an_unreadable_record(self) -> None:
        for key in ("j/5c0e7a21d94b36f8", "u/5c0e7a21d94b36f8.0.0", "o", "w"):
            with self.assertRaises(records.UnreadableRecordError, msg=key):
                records.decode(key, NESTED)

    def test_every_record_decodes_to_itself(self) -> None:
        for record in RECORDS:
            key = records.key_of(record)
            value = records.encode(record)
            self.assertEqual(record, records.decode(key, value))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=1_000)
    @hypothesis.given(strategies.data())
    def test_any_bytes_are_a_record_of_the_key_or_unreadable(
        self, data: strategies.DataObject
    ) -> None:
        record = data.draw(strategies.sampled_from(RECORDS))
        valid = records.encode(record)
        value = data.draw(
            strategies.one_of(
                strategies.builds(
                    lambda: msgspec.msgpack.encode(
                        replace_one(data, msgspec.msgpack.decode(valid))
                    )
                ),
                strategies.builds(lambda: damage(data, valid)),
                strategies.binary(max_size=64),
            )
        )
        key = data.draw(
            strategies.one_of(
                strategies.just(records.key_of(record)),
                KEYS,
                strategies.text(max_size=20),
            )
        )
        try:
            decoded = records.decode(key, value)
        except records.UnreadableRecordError:
            return
        self.assertEqual(key, records.key_of(decoded))
        again = records.decode(key, records.encode(decoded))
        self.assertEqual(records.encode(decoded), records.encode(again))


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


if __name__ == "__main__":
    unittest.main()
