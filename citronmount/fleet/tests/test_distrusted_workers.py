"""A guarantee is honoured also where no worker is trusted."""

import msgspec

from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.tests import planning_fixture

GANG = planning_fixture.make_gang(tasks=2)


def make_guaranteed(waited_ms: int) -> waiting_units.WaitingUnit:
    unit = planning_fixture.make_urgent("g", GANG)
    since_ms = planning_fixture.NOW_MS - waited_ms
    return msgspec.structs.replace(unit, since_ms=since_ms)


class DistrustedWorkersTest(planning_fixture.PlanningTestCase):
    """A full pool, in which jobs that can't be done have failed everywhere."""

    def setUp(self) -> None:
        super().setUp()
        self.fill()
        self.ids = [worker.worker for worker in self.pool]
        self.waited = make_guaranteed(delay_scheduling.DISTRUSTED_DELAY_MS)

    def test_guarantee_reclaims_distrusted_workers_if_there_are_no_others(
        self,
    ) -> None:
        # Waited as long as the workers were distrusted (RECLAIM).
        (decision,) = self.decide(
            self.waited, guaranteed=16, distrusted=self.ids
        )
        self.assertTrue(decision.victims)

    def test_guarantee_reclaims_trusted_workers_first(self) -> None:
        # The run on the last worker has lost the least work.
        (decision,) = self.decide(
            self.waited, guaranteed=16, distrusted=self.ids[2:]
        )
        chosen = {worker.worker for worker in decision.workers}
        self.assertEqual(set(self.ids[:2]), chosen)

    def test_others_stop_nothing_on_distrusted_workers(self) -> None:
        fresh = make_guaranteed(0)
        self.assertEqual(
            [], self.decide(fresh, guaranteed=16, distrusted=self.ids)
        )
        self.assertEqual([], self.decide(self.waited, distrusted=self.ids))
