import itertools
import unittest

import msgspec

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.state import job_view
from citronmount.state import records

HOME = ids.FailureDomainId("fd-a")
JOB = ids.JobId("fd-a/1")
ACCEPTED = records.JobAccepted(
    record=ids.RecordId("accept"),
    spec=jobs.JobSpec(job=JOB, account=ids.AccountId("x")),
)
ENDED = records.JobEnded(
    record=ids.RecordId("end"),
    job=JOB,
    account=ids.AccountId("x"),
    token=ids.FenceToken(9),
    result=jobs.JobResult(code=codes.ResultCode.DONE),
    attempts=1,
)
CANCELLED = records.JobCancelled(record=ids.RecordId("cancel"), job=JOB)


def intent(number):
    return records.AttemptIntended(
        record=ids.RecordId(f"intent{number}"),
        job=JOB,
        spec=ACCEPTED.spec,
        token=ids.FenceToken(1),
        attempt=ids.AttemptId(f"{JOB}#{number}.1"),
        number=number,
        placement=jobs.Placement(groups=()),
    )


def claim(name):
    return records.KeyClaimed(
        record=ids.RecordId(name),
        key="k",
        body_digest="",
        vm=ids.VmId(name),
        claimed_ms=5,
    )


def result(name, code):
    return records.KeyResult(
        record=ids.RecordId(f"result-{name}"),
        key="k",
        claim=ids.RecordId(name),
        result=jobs.RequestResult(request=ids.RequestId("r"), code=code),
    )


def moved(to, *, number=1, confirmed=False):
    return records.JobMoved(
        record=ids.RecordId(f"moved-{to}-{number}-{confirmed}"),
        job=JOB,
        number=number,
        to=ids.FailureDomainId(to),
        confirmed=confirmed,
    )


def folded(*entries):
    book = job_view.JobView(failure_domain=HOME)
    for entry in entries:
        book.fold(entry)
    return book


class JobBookTest(unittest.TestCase):
    def test_order_does_not_matter_once_a_job_has_ended(self):
        entries = (ACCEPTED, intent(1), intent(2), CANCELLED, ENDED)
        for order in itertools.permutations(entries):
            book = folded(*order)
            self.assertEqual(book.accepted, {})
            self.assertEqual(book.intents, {})
            self.assertEqual(book.cancelled, set())
            self.assertEqual(list(book.ended), [JOB])

    def test_the_newest_intent_counts(self):
        for order in itertools.permutations((intent(1), intent(3), intent(2))):
            self.assertEqual(folded(*order).intents[JOB].number, 3)

    def test_every_claim_stands_until_its_own_result_frees_it(self):
        refusal = codes.ResultCode.NO_SLOT
        book = folded(claim("a"), claim("b"), claim("a"))
        self.assertEqual([c.vm for c in book.claims_of("k")], ["a", "b"])
        book.fold(result("a", refusal))
        self.assertEqual([c.vm for c in book.claims_of("k")], ["b"])
        book.fold(claim("a"))
        self.assertEqual([c.vm for c in book.claims_of("k")], ["b"])
        book.fold(result("b", refusal))
        self.assertEqual(book.claims_of("k"), ())

    def test_an_end_told_by_a_fenced_owner_does_not_count(self):
        late = msgspec.structs.replace(ENDED, token=ids.FenceToken(1))
        newer = msgspec.structs.replace(intent(1), token=ids.FenceToken(2))
        for order in itertools.permutations((ACCEPTED, late, newer)):
            book = folded(*order)
            self.assertEqual(dict(book.ended), {})
            self.assertEqual(list(book.accepted), [JOB])

    def test_a_result_that_may_have_run_keeps_the_key(self):
        unknown = codes.ResultCode.OUTCOME_UNKNOWN
        book = folded(claim("a"), result("a", unknown))
        self.assertTrue(book.claims_of("k"))
        self.assertIs(book.key_results["k"].result.code, unknown)

    def test_a_confirmed_move_leaves_only_a_pointer(self):
        book = folded(ACCEPTED, moved("fd-b"))
        self.assertIn(JOB, book.accepted)
        book.fold(moved("fd-b", confirmed=True))
        book.fold(ACCEPTED)
        book.fold(moved("fd-b"))
        self.assertNotIn(JOB, book.accepted)
        self.assertTrue(book.moved[JOB].confirmed)

    def test_the_last_move_counts_in_any_order(self):
        moves = (
            moved("fd-b"),
            moved(HOME, number=2),
            moved("fd-c", number=3),
            moved("fd-c", number=3, confirmed=True),
        )
        for order in itertools.permutations(moves):
            book = folded(ACCEPTED, *order)
            self.assertEqual(book.outgoing_move(JOB).to, "fd-c")
            self.assertNotIn(JOB, book.accepted)

    def test_a_job_that_moved_back_home_is_not_away(self):
        book = folded(ACCEPTED, moved("fd-b"), moved(HOME, number=2))
        self.assertIn(JOB, book.accepted)
        self.assertIsNone(book.outgoing_move(JOB))

    def test_a_snapshot_carries_everything(self):
        book = folded(ACCEPTED, intent(2), CANCELLED, claim("a"), moved("b"))
        copy = folded(book.snapshot(ids.RecordId("s")))
        self.assertEqual(copy.accepted, book.accepted)
        self.assertEqual(copy.intents, book.intents)
        self.assertEqual(copy.cancelled, book.cancelled)
        self.assertEqual(copy.claims_of("k"), book.claims_of("k"))
        self.assertEqual(copy.moved, book.moved)

    def test_a_snapshot_leaves_out_claims_past_their_lifetime(self):
        snapshot = folded(claim("a")).snapshot(
            ids.RecordId("s"), claims_since_ms=6
        )
        self.assertEqual(snapshot.claims, ())


if __name__ == "__main__":
    unittest.main()
