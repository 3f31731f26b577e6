import contextlib
from unittest import mock

from twisted.internet import defer
from twisted.python import failure

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log

DONE = states.JobState.DONE


def losing_cancelled_reads() -> contextlib.AbstractContextManager:
    """Lets a cancelled read fail as one without an answer, as over HTTP."""
    read = pool_log.PoolLogClient.read

    async def read_or_lose(*args: object) -> ports.LogPage:
        try:
            return await read(*args)
        except defer.CancelledError as error:
            raise ports.UnknownOutcomeError(
                "cancelled", code=codes.ResultCode.UNREACHABLE
            ) from error

    return mock.patch.object(pool_log.PoolLogClient, "read", read_or_lose)


class FailedTakeoverTest(pool_fixture.PoolTestCase):
    """A VM that cannot take over must let another one do it."""

    def assert_another_vm_takes_over(self, error: Exception) -> None:
        # Tried again for ever, as the candidate that it remained.
        owner = self.owner_index()
        *failing, sound = (n for n in range(self.vm_count) if n != owner)
        for number in failing:
            tail = self.pool_vms[number]._worker_tail
            tail.catch_up = mock.AsyncMock(side_effect=error)
        self.log.faults[ids.VmId(f"vm{owner}")] = pool_log.LogFault.SILENT
        self.run_for(6.0)
        self.submit("j", pool_fixture.make_step(), vm=sound)
        self.run_for(2.0)
        self.assertIs(DONE, self.state("j", vm=sound))

    def test_known_error(self) -> None:
        self.assert_another_vm_takes_over(ports.LogTruncatedError())

    def test_unexpected_error(self) -> None:
        self.assert_another_vm_takes_over(KeyError("odd"))

    def test_error_of_the_only_vm(self) -> None:
        for number in range(1, self.vm_count):
            vm = self.pool_vms[number]
            self.wait_for(defer.ensureDeferred(vm.release_ownership()))
            vm.stop()
        self.run_for(2.0)
        tail = self.pool_vms[0]._worker_tail
        with mock.patch.object(tail, "catch_up", side_effect=KeyError("odd")):
            self.pool_vms[0]._owner._on_fault(failure.Failure(KeyError("odd")))
            self.run_for(3.0)
        self.run_for(2.5)
        self.assertEqual(0, self.owner_index())


class FormerOwnerTest(pool_fixture.PoolTestCase):
    """A VM that owned the pool before must be able to take it over again."""

    vm_count = 2

    def change_owner(self) -> None:
        """Reassigns all partitions, which hides the owner from the group."""
        owner = self.owner_index()
        with mock.patch.object(self.log, "members", return_value=frozenset()):
            self.log.prefer_newest_member()
            self.run_for(0.6)
        self.run_for(2.0)
        self.assertEqual(1 - owner, self.owner_index())

    def test_history_has_expired_since_the_vm_owned_the_pool(self) -> None:
        # Each takeover failed for ever, and no other VM took over (review/2).
        with losing_cancelled_reads():
            for number in range(8):
                self.change_owner()
                self.publish_entry(next(iter(self.entries.values())))
                self.log.drop_history(ports.Topic.WORKERS)
                self.submit(f"j{number}", pool_fixture.make_step())
                self.run_for(1.5 + number % 3 * 0.2)
                self.assertIs(DONE, self.state(f"j{number}"))
