import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet.queueing import demand_history
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.tests import load_replay
from citronmount.fleet.tests import planning_fixture


def at_priority(
    unit: waiting_units.WaitingUnit, priority: int, age_ms: int = 0
) -> waiting_units.WaitingUnit:
    terms = msgspec.structs.replace(unit.submission.terms, priority=priority)
    submission = msgspec.structs.replace(
        unit.submission,
        terms=terms,
        accepted_ms=planning_fixture.WALL_MS - age_ms,
    )
    return msgspec.structs.replace(unit, submission=submission)


class PreemptionWorthTest(planning_fixture.PlanningTestCase):
    """A pool that is full of single tasks of priority 1."""

    def setUp(self) -> None:
        super().setUp()
        self.demand = demand_history.DemandHistory()
        self.pool = self.pool[:3]

    def names(
        self, *waiting: waiting_units.WaitingUnit
    ) -> list[tuple[str, list[str]]]:
        planner = planning.Planner(
            workers=self.pool,
            table=self.table,
            accounts=(
                fleet_configuration.Account(
                    account=ids.AccountId("a"), keys=frozenset()
                ),
            ),
            bounds=fleet_configuration.Bounds(),
            now_ms=planning_fixture.NOW_MS,
            wall_ms=planning_fixture.WALL_MS,
            demand=self.demand,
            holds_back=True,
        )
        return [
            (str(d.waiting.key.job), [str(run.job) for run in d.victims])
            for d in planner.decide(waiting)
        ]

    def single(self, job: str, age_ms: int = 0) -> waiting_units.WaitingUnit:
        (unit,) = planning_fixture.make_waiting_units(
            job, planning_fixture.SINGLE
        )
        return at_priority(unit, 2, age_ms)

    def test_a_run_that_was_stopped_before_is_stopped_last(self) -> None:
        """Guards against the same task being stopped again and again."""
        self.fill()
        for run in self.table:
            if run.members[0].place.worker == self.pool[2].worker:
                self.demand.note_stop(run.unit)
        urgent = planning_fixture.make_urgent(
            "a", planning_fixture.make_gang(1)
        )
        ((_, victims),) = self.names(urgent)
        young = [run for run in self.table if str(run.job) in victims]
        self.assertEqual(
            {"w01"}, {run.members[0].place.worker for run in young}
        )

    def test_a_stopped_unit_waits_until_the_burst_has_a_place(self) -> None:
        """Guards against starts on capacity that the burst takes back."""
        for worker in self.pool[:2]:
            self.add_run(
                worker.worker[-1],
                planning_fixture.make_gang(1),
                worker,
                started_ms=0,
                urgent=True,
            )
        gang = planning_fixture.make_urgent("g", planning_fixture.make_gang(4))
        stopped = self.single("s")
        self.assertEqual([("s", [])], self.names(gang, stopped))
        self.demand.note_stop(stopped.key.unit)
        self.assertEqual([], self.names(gang, stopped))
        pressed = self.single("s", age_ms=20_000)
        self.assertEqual([("s", [])], self.names(gang, pressed))

    def test_headroom_is_kept_in_a_busy_pool_only(self) -> None:
        """Guards against idle capacity that nobody may use."""
        self.demand.observe((), 0)
        burst = [
            msgspec.structs.replace(unit, since_ms=50)
            for unit in planning_fixture.make_waiting_units(
                "b", planning_fixture.make_gang(4)
            )
        ]
        self.demand.observe([at_priority(unit, 0) for unit in burst], 100)
        single = self.single("s")
        self.assertEqual([("s", [])], self.names(single))
        for worker in self.pool[:2]:
            self.add_run(
                worker.worker[-1],
                planning_fixture.make_gang(1),
                worker,
                started_ms=planning_fixture.NOW_MS,
            )
        self.assertEqual([], self.names(single))
        lasting = msgspec.structs.replace(planning_fixture.SINGLE, lasting=True)
        (restored,) = planning_fixture.make_waiting_units("l", lasting)
        self.assertEqual([("l", [])], self.names(at_priority(restored, 2)))

    def test_a_gang_reserves_against_lower_priority_at_once(self) -> None:
        """Guards against single tasks that take each worker that is free."""
        for worker in self.pool[:2]:
            self.add_run(
                worker.worker[-1],
                planning_fixture.make_gang(1),
                worker,
                started_ms=planning_fixture.NOW_MS,
            )
        (gang,) = planning_fixture.make_waiting_units(
            "g", planning_fixture.make_gang(2)
        )
        gang = at_priority(gang, 1)
        self.assertEqual([], self.names(gang, self.single("s")))
        same = at_priority(self.single("t"), 1)
        self.assertEqual([("t", [])], self.names(gang, same))


class OverloadReplayTest(planning_fixture.PlanningTestCase):
    def test_lowest_priority_is_served_after_the_burst(self) -> None:
        """Guards against starvation of the lowest priority."""
        *_, lowest = load_replay.replay(workers=48, seconds=8, on=True)
        self.assertGreater(lowest.earned, 0.5 * lowest.value)
