from unittest import mock

from twisted.internet import defer

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log


class UnreadableGroupAnswerTest(pool_fixture.PoolTestCase):
    """An unreadable answer of the log must not end a VM's candidacy."""

    def test_a_pool_has_an_owner_after_unreadable_answers(self) -> None:
        first_owner = self.owner_index()
        for method in ("join", "members"):
            with mock.patch.object(
                self.log, method, side_effect=RecursionError("nested")
            ):
                self.run_for(2.0)
        name = ids.VmId(f"vm{first_owner}")
        self.log.faults[name] = pool_log.LogFault.SILENT
        self.run_for(5.0)
        self.log.faults.clear()
        self.run_for(2.0)
        self.assertNotEqual(first_owner, self.owner_index())
        vm = self.owner_index()
        self.submit("j", pool_fixture.make_step(), vm=vm)
        self.run_for(2.0)
        self.assertIs(states.JobState.DONE, self.state("j", vm=vm))

    def test_a_planned_stop_ends_after_an_unreadable_answer(self) -> None:
        owner = self.owner_index()
        with mock.patch.object(
            self.log, "leave", side_effect=RecursionError("nested")
        ):
            self.wait_for(
                defer.ensureDeferred(self.pool_vms[owner].release_ownership())
            )
        self.run_for(3.0)
        self.assertNotEqual(owner, self.owner_index())
