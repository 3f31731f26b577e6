import itertools
import unittest

import msgspec

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.state import job_views
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


def fold_all(*folded):
    view = job_views.JobView(failure_domain=HOME)
    for record in folded:
        view.fold(record)
    return view


class JobViewTest(unittest.TestCase):
    def test_fold_order_does_not_matter_once_a_job_has_ended(self):
        job_records = (ACCEPTED, intent(1), intent(2), CANCELLED, ENDED)
        for order in itertools.permutations(job_records):
            view = fold_all(*order)
            self.assertEqual(view.accepted, {})
            self.assertEqual(view.intents, {})
            self.assertEqual(view.cancelled, set())
            self.assertEqual(list(view.ended), [JOB])

    def test_the_newest_intent_wins_in_any_order(self):
        for order in itertools.permutations((intent(1), intent(3), intent(2))):
            self.assertEqual(fold_all(*order).intents[JOB].number, 3)

    def test_a_claim_is_kept_until_its_own_result_frees_it(self):
        refusal = codes.ResultCode.NO_SLOT
        view = fold_all(claim("a"), claim("b"), claim("a"))
        self.assertEqual([c.vm for c in view.claims_of("k")], ["a", "b"])
        view.fold(result("a", refusal))
        self.assertEqual([c.vm for c in view.claims_of("k")], ["b"])
        view.fold(claim("a"))
        self.assertEqual([c.vm for c in view.claims_of("k")], ["b"])
        view.fold(result("b", refusal))
        self.assertEqual(view.claims_of("k"), ())

    def test_a_result_of_a_fenced_owner_is_ignored(self):
        fenced_end = msgspec.structs.replace(ENDED, token=ids.FenceToken(1))
        newer_intent = msgspec.structs.replace(
            intent(1), token=ids.FenceToken(2)
        )
        for order in itertools.permutations(
            (ACCEPTED, fenced_end, newer_intent)
        ):
            view = fold_all(*order)
            self.assertEqual(dict(view.ended), {})
            self.assertEqual(list(view.accepted), [JOB])

    def test_an_unknown_outcome_keeps_the_claim(self):
        unknown = codes.ResultCode.OUTCOME_UNKNOWN
        view = fold_all(claim("a"), result("a", unknown))
        self.assertTrue(view.claims_of("k"))
        self.assertIs(view.key_results["k"].result.code, unknown)

    def test_a_confirmed_move_removes_the_job_and_keeps_the_move(self):
        view = fold_all(ACCEPTED, moved("fd-b"))
        self.assertIn(JOB, view.accepted)
        view.fold(moved("fd-b", confirmed=True))
        view.fold(ACCEPTED)
        view.fold(moved("fd-b"))
        self.assertNotIn(JOB, view.accepted)
        self.assertTrue(view.moved[JOB].confirmed)

    def test_the_last_move_wins_in_any_order(self):
        moves = (
            moved("fd-b"),
            moved(HOME, number=2),
            moved("fd-c", number=3),
            moved("fd-c", number=3, confirmed=True),
        )
        for order in itertools.permutations(moves):
            view = fold_all(ACCEPTED, *order)
            self.assertEqual(view.outgoing_move(JOB).to, "fd-c")
            self.assertNotIn(JOB, view.accepted)

    def test_a_returned_job_is_not_moved_away(self):
        view = fold_all(ACCEPTED, moved("fd-b"), moved(HOME, number=2))
        self.assertIn(JOB, view.accepted)
        self.assertIsNone(view.outgoing_move(JOB))

    def test_a_snapshot_restores_the_whole_view(self):
        view = fold_all(ACCEPTED, intent(2), CANCELLED, claim("a"), moved("b"))
        restored = fold_all(view.snapshot(ids.RecordId("s")))
        self.assertEqual(restored.accepted, view.accepted)
        self.assertEqual(restored.intents, view.intents)
        self.assertEqual(restored.cancelled, view.cancelled)
        self.assertEqual(restored.claims_of("k"), view.claims_of("k"))
        self.assertEqual(restored.moved, view.moved)

    def test_a_snapshot_omits_claims_past_their_lifetime(self):
        snapshot = fold_all(claim("a")).snapshot(
            ids.RecordId("s"), claims_since_ms=6
        )
        self.assertEqual(snapshot.claims, ())


if __name__ == "__main__":
    unittest.main()
