import unittest

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.tests import planning_fixture
from citronmount.fleet.workers import lease_sessions

NOW_MS = 1_000
POLICY = lease_sessions.LeasePolicy(
    lease_ms=5_000, max_lease_ms=6_000, stop_ms=400
)


class RenewalAfterEndTest(unittest.TestCase):
    """A worker answers each renewal at once while an end is unresolved."""

    def setUp(self) -> None:
        self.session = lease_sessions.LeaseSession(
            worker=planning_fixture.make_worker("w0"),
            policy=POLICY,
            token=ids.FenceToken(1),
            now_ms=NOW_MS,
        )
        self.session.task_count = 1
        self.session.next_renewal(NOW_MS)
        report = commands.LeaseReport(
            clock_ms=7, life_ms=1, running=(), ended=()
        )
        self.session.renewal_answered(report, NOW_MS)
        self.session.register_end(1, NOW_MS)

    def test_renewal_waits_for_the_record_of_an_end(self) -> None:
        # Otherwise the same end is reported again for each open record.
        self.assertIsNone(self.session.next_renewal(NOW_MS + 1))
        self.session.resolve_end(1, NOW_MS + 20)
        renewal = self.session.next_renewal(NOW_MS + 20)
        self.assertEqual(1, renewal.last_seen)

    def test_renewal_does_not_wait_for_a_log_that_does_not_answer(self) -> None:
        # The lease of the other tasks has to be renewed all the same.
        renewal = self.session.next_renewal(NOW_MS + POLICY.retry_ms)
        self.assertEqual(0, renewal.last_seen)
        self.assertIsNotNone(renewal.until_ms)

    def test_ends_are_acknowledged_only_to_a_worker_that_answered(self) -> None:
        self.session.resolve_end(1, NOW_MS)
        self.session.next_renewal(NOW_MS)
        self.session.renewal_failed(NOW_MS)
        sent = []
        for _ in range(3):
            now_ms = NOW_MS + POLICY.retry_ms
            sent.append(self.session.next_renewal(now_ms).last_seen)
            report = commands.LeaseReport(
                clock_ms=8, life_ms=1, running=(), ended=()
            )
            self.session.renewal_answered(report, now_ms)
        self.assertEqual([0, 1, 0], sent)


if __name__ == "__main__":
    unittest.main()
