from twisted.internet import defer

from citronmount.core import states
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.workflow import records

DONE = states.JobState.DONE
CANCELLED = states.JobState.CANCELLED
# Beyond the time for which final states are kept.
FORGOTTEN_AFTER_S = 200.0


class LateAppendTest(pool_fixture.PoolTestCase):
    """An append without an answer takes effect after the end of its job."""

    def records_of(self, job: str) -> list[tuple[str, bytes]]:
        """Returns what the compacted topic holds of a job."""
        snapshot = self.log.snapshot(ports.Topic.JOBS)
        return [
            (each.key, each.value)
            for each in snapshot.records
            if job in each.key
        ]

    def append_late(self, copies: list[tuple[str, bytes]]) -> None:
        self.log.append_records(ports.Topic.JOBS, copies)

    def restart_vms_in_turn(self) -> None:
        for number, vm in enumerate(self.pool_vms):
            defer.ensureDeferred(vm.release_ownership())
            vm.stop()
            self.run_for(1.0)
            self.pool_vms[number] = self.make_vm(self.vm_count + number)
            self.run_for(1.0)

    def assert_forgotten_for_good(self, job: str) -> None:
        self.run_for(FORGOTTEN_AFTER_S)
        self.assertEqual([], self.records_of(job))
        starts = self.starts_of(job)
        self.restart_vms_in_turn()
        self.run_for(3.0)
        self.assertIsNone(self.state(job))
        self.assertEqual(starts, self.starts_of(job))

    def test_submission(self) -> None:
        # The job ran again once its final state was forgotten (review/3).
        self.submit("j", pool_fixture.make_step())
        copies = self.records_of("j")
        self.run_for(3.0)
        self.assertIs(DONE, self.state("j"))
        self.append_late(copies)
        self.run_for(1.0)
        self.assertEqual(1, len(self.starts_of("j")))
        self.assert_forgotten_for_good("j")

    def test_cancel(self) -> None:
        # Stayed in the topic for good.
        self.submit("j", pool_fixture.make_step())
        self.run_for(0.2)
        self.cancel("j")
        copies = [
            each
            for each in self.records_of("j")
            if each[0] == records.cancel_key("j")
        ]
        self.run_for(3.0)
        self.assertIs(CANCELLED, self.state("j"))
        self.append_late(copies)
        self.assert_forgotten_for_good("j")

    def test_owner_ends_between_a_final_record_and_the_removals(self) -> None:
        # Only one append is all or nothing, and the removals may be in a later
        # one: what they left ran again as well.
        self.submit("j", pool_fixture.make_step())
        copies = self.records_of("j")
        self.run_for(3.0)
        self.assertIs(DONE, self.state("j"))
        (final,) = self.records_of("j")
        self.append_late([*copies, final])
        self.restart_vms_in_turn()
        self.assert_forgotten_for_good("j")
