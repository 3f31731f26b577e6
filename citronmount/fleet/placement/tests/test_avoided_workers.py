"""A unit avoids workers on which it failed, but no more than it can spare."""

import msgspec

from citronmount.core import ids
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.tests import planning_fixture
from citronmount.workflow import spec

GANG = planning_fixture.make_gang(tasks=2)
RECENTLY_MS = planning_fixture.NOW_MS - 100
LONG_AGO_MS = (
    planning_fixture.NOW_MS - delay_scheduling.MAX_IDLE_SERVICE_DELAY_MS - 1
)


def make_unit(
    step: spec.Step, avoid: str, since_ms: int = RECENTLY_MS
) -> waiting_units.WaitingUnit:
    unit, *_ = planning_fixture.make_waiting_units("j", step)
    return msgspec.structs.replace(
        unit, avoid=tuple(map(ids.WorkerId, avoid.split())), since_ms=since_ms
    )


class AvoidedWorkersTest(planning_fixture.PlanningTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = [
            planning_fixture.make_worker(f"w{n}", rack=f"r{n // 4}")
            for n in range(8)
        ]

    def occupy(self, *numbers: int, lasting: bool = True) -> None:
        step = msgspec.structs.replace(
            planning_fixture.make_gang(tasks=1), lasting=lasting
        )
        for number in numbers:
            self.add_run(f"{number}", step, self.pool[number], started_ms=0)

    def workers_for(self, unit: waiting_units.WaitingUnit) -> set[str]:
        decisions = self.decide(unit)
        return {w.worker for each in decisions for w in each.workers}

    def test_all_are_avoided_while_enough_others_remain(self) -> None:
        self.occupy(0, 1, 2, 3)
        unit = make_unit(GANG, "w4 w5")
        self.assertEqual({"w6", "w7"}, self.workers_for(unit))

    def test_gang_whose_other_workers_are_too_few(self) -> None:
        # Neither ran again nor failed (review/4); the longest avoided return.
        unit = make_unit(GANG, "w3 w0 w1 w2 w4 w5 w7")
        self.assertEqual({"w6", "w3"}, self.workers_for(unit))

    def test_workers_with_the_label_of_the_step_are_too_few(self) -> None:
        label = frozenset({"b"})
        for number in (4, 5, 6):
            self.pool[number] = msgspec.structs.replace(
                self.pool[number], labels=label
            )
        step = msgspec.structs.replace(GANG, worker_label="b")
        unit = make_unit(step, "w5 w4")
        self.assertEqual({"w5", "w6"}, self.workers_for(unit))

    def test_no_rack_is_left_with_enough_others(self) -> None:
        step = msgspec.structs.replace(
            planning_fixture.make_gang(tasks=4), one_rack=True
        )
        unit = make_unit(step, "w0 w4")
        self.assertEqual({"w0", "w1", "w2", "w3"}, self.workers_for(unit))

    def test_rack_of_the_data_is_left_with_too_few(self) -> None:
        step = msgspec.structs.replace(GANG, data_rack=ids.RackId("r1"))
        unit = make_unit(step, "w4 w5 w6")
        self.assertEqual({"w4", "w7"}, self.workers_for(unit))

    def test_others_hold_as_many_tasks_of_the_step_as_they_may(self) -> None:
        step = msgspec.structs.replace(
            planning_fixture.SINGLE, tasks=8, max_tasks_per_worker=1
        )
        first, *others = planning_fixture.make_waiting_units("j", step)
        for unit, worker in zip(others, self.pool[1:], strict=True):
            self.add_unit_run(unit, worker, started_ms=0)
        first = msgspec.structs.replace(
            first, avoid=(ids.WorkerId("w0"),), since_ms=RECENTLY_MS
        )
        self.assertEqual({"w0"}, self.workers_for(first))

    def test_others_are_held_by_lasting_units(self) -> None:
        # Waited for as long as these lasted.
        self.occupy(0, 1, 2)
        unit = make_unit(GANG, "w3 w4 w5 w6")
        self.assertEqual({"w3", "w7"}, self.workers_for(unit))

    def test_others_are_held_by_runs_that_end(self) -> None:
        self.occupy(0, 1, 2, lasting=False)
        avoid = "w3 w4 w5 w6 w7"
        single = planning_fixture.make_gang(tasks=1)
        for step in (single, GANG):
            with self.subTest(tasks=step.tasks):
                unit = make_unit(step, avoid)
                self.assertEqual(set(), self.workers_for(unit))
                unit = make_unit(step, avoid, since_ms=LONG_AGO_MS)
                self.assertEqual(step.tasks, len(self.workers_for(unit)))
