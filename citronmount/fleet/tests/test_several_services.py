"""What is decided for a unit depends on the workers of its service only."""

import msgspec

from citronmount.core import ids
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.tests import planning_fixture
from citronmount.workflow import spec

OTHER_SERVICE = spec.ServiceName("other")
WAITED_MS = delay_scheduling.MAX_IDLE_SERVICE_DELAY_MS + 1
FULL_WORKER = planning_fixture.make_gang(tasks=1)
HALF_PROCESSORS = spec.Demand(
    millicores=planning_fixture.CAPACITY.millicores // 2
)


def in_service(
    unit: waiting_units.WaitingUnit, service: spec.ServiceName
) -> waiting_units.WaitingUnit:
    terms = msgspec.structs.replace(unit.submission.terms, service=service)
    submission = msgspec.structs.replace(unit.submission, terms=terms)
    return msgspec.structs.replace(unit, submission=submission)


def on_time(unit: waiting_units.WaitingUnit) -> waiting_units.WaitingUnit:
    """Returns a unit that has used a part of its slack and is not late."""
    submission = msgspec.structs.replace(
        unit.submission, accepted_ms=planning_fixture.WALL_MS - WAITED_MS
    )
    since_ms = planning_fixture.NOW_MS - WAITED_MS
    return msgspec.structs.replace(
        unit, submission=submission, since_ms=since_ms
    )


class SeveralServicesTest(planning_fixture.PlanningTestCase):
    """A service of one worker in rack r0 and three in r1, and another one."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = [
            planning_fixture.make_worker(f"w{n}", rack="r1" if n else "r0")
            for n in range(4)
        ]
        self.others = [
            msgspec.structs.replace(
                planning_fixture.make_worker(f"o{n}"), service=OTHER_SERVICE
            )
            for n in range(4)
        ]
        self.pool += self.others

    def occupy(
        self,
        *workers: str,
        lasting: bool = True,
        demand: spec.Demand = FULL_WORKER.demand,
    ) -> None:
        step = msgspec.structs.replace(
            FULL_WORKER, lasting=lasting, demand=demand
        )
        for number, worker in enumerate(self.pool):
            if worker.worker in workers:
                self.add_run(f"{number}", step, worker, started_ms=0)

    def waiting(self, **changes: object) -> waiting_units.WaitingUnit:
        step = msgspec.structs.replace(FULL_WORKER, **changes)
        (unit,) = planning_fixture.make_waiting_units("j", step)
        since_ms = planning_fixture.NOW_MS - WAITED_MS
        return msgspec.structs.replace(unit, since_ms=since_ms)

    def test_unit_leaves_a_full_rack_although_another_service_is_busy(
        self,
    ) -> None:
        # Waited for as long as the other service was busy (review/5).
        self.occupy("w0", "o0", "o1", "o2", "o3", lasting=False)
        unit = self.waiting(data_rack=ids.RackId("r0"), estimate_ms=60_000)
        (decision,) = self.decide(unit)
        self.assertEqual("r1", decision.workers[0].rack)

    def test_unit_leaves_a_full_rack_although_processors_are_scarce(
        self,
    ) -> None:
        # Waited although a quarter of the accelerators was used, since the
        # processors were a little over half used.
        self.occupy("w0", lasting=False)
        self.occupy("w1", "w2", "w3", lasting=False, demand=HALF_PROCESSORS)
        unit = self.waiting(
            data_rack=ids.RackId("r0"),
            estimate_ms=60_000,
            demand=planning_fixture.TASK_DEMAND,
        )
        (decision,) = self.decide(unit)
        self.assertEqual("r1", decision.workers[0].rack)

    def test_unit_leaves_a_full_rack_although_idle_workers_drain(self) -> None:
        # Waited although a quarter of its service was used, since half of the
        # workers that were left for tasks were.
        self.occupy("w0", lasting=False)
        unit = self.waiting(data_rack=ids.RackId("r0"), estimate_ms=60_000)
        (decision,) = self.decide(unit, draining=["w2", "w3"])
        self.assertEqual("w1", decision.workers[0].worker)

    def test_gangs_of_another_service_leave_reservations_to_a_gang(
        self,
    ) -> None:
        # Long tasks took each worker before the gang, since gangs of the other
        # service had made all reservations of the round.
        self.occupy("w0", "w1", "w2", "o0", "o1", "o2", lasting=False)
        gang = self.waiting(tasks=4)
        others = [
            in_service(unit, OTHER_SERVICE)
            for job, estimate_ms in (("a", 2_400), ("b", 2_500))
            for unit in planning_fixture.make_waiting_units(
                job,
                msgspec.structs.replace(
                    planning_fixture.make_gang(2), estimate_ms=estimate_ms
                ),
            )
        ]
        (small,) = planning_fixture.make_waiting_units(
            "z",
            msgspec.structs.replace(
                planning_fixture.SINGLE, estimate_ms=60_000
            ),
            accepted_ms=planning_fixture.WALL_MS,
        )
        waiting = [on_time(each) for each in (*others, gang)]
        self.assertEqual([], self.decide(*waiting, on_time(small)))

    def test_unit_of_a_busy_service_stays_although_another_one_is_idle(
        self,
    ) -> None:
        self.occupy("w0", "w1", lasting=False)
        unit = self.waiting(data_rack=ids.RackId("r0"), estimate_ms=60_000)
        self.assertEqual([], self.decide(unit))
