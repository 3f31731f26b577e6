import msgspec

from citronmount.core import ids
from citronmount.fleet.queueing import delay_scheduling
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_table
from citronmount.fleet.tests import planning_fixture
from citronmount.workflow import spec


def accepted(
    unit: waiting_units.WaitingUnit, accepted_ms: int, waited_ms: int = 0
) -> waiting_units.WaitingUnit:
    submission = msgspec.structs.replace(
        unit.submission, accepted_ms=accepted_ms
    )
    return msgspec.structs.replace(
        unit,
        submission=submission,
        since_ms=planning_fixture.NOW_MS - waited_ms,
    )


class OverloadTest(planning_fixture.PlanningTestCase):
    """More work is ready than the pool can start."""

    def test_units_that_can_be_on_time_come_before_late_ones(self) -> None:
        self.pool = self.pool[:2]
        step = planning_fixture.make_gang(1)
        ages_ms = {"a": 9_000, "b": 500, "c": 1_000, "d": 7_000}
        decisions = self.decide(
            *(
                accepted(
                    planning_fixture.make_urgent(job, step),
                    planning_fixture.WALL_MS - age_ms,
                )
                for job, age_ms in ages_ms.items()
            )
        )
        self.assertEqual(
            ["c", "b"], [str(each.waiting.key.job) for each in decisions]
        )

    def test_late_unit_stops_no_run_beyond_its_guarantee(self) -> None:
        self.fill()
        step = planning_fixture.make_gang(1)
        unit = accepted(
            planning_fixture.make_urgent("a", step),
            planning_fixture.WALL_MS - 9_000,
        )
        self.assertEqual([], self.decide(unit))
        self.assertEqual(1, len(self.decide(unit, guaranteed=8)))


class RackTest(planning_fixture.PlanningTestCase):
    """A busy pool, with a unit whose preferred rack is full."""

    def decide_beside(self, *, lasting: bool, **changes: object) -> int:
        self.pool = [
            planning_fixture.make_worker(f"w{n}", rack=f"r{n // 2}")
            for n in range(4)
        ]
        self.table = run_table.RunTable()
        full = planning_fixture.make_gang(1)
        held = msgspec.structs.replace(full, lasting=lasting)
        for number in (0, 2):
            self.add_run(f"{number}", held, self.pool[number], started_ms=0)
        step = msgspec.structs.replace(full, **changes)
        (unit,) = planning_fixture.make_waiting_units("j", step)
        return len(self.decide(accepted(unit, 0, waited_ms=100)))

    def test_distrusted_workers_count_as_capacity_of_their_service(
        self,
    ) -> None:
        # Without them the service was busy, and the rack waited for.
        self.pool = [
            planning_fixture.make_worker(f"w{n}", rack="r1" if n else "r0")
            for n in range(5)
        ]
        full = planning_fixture.make_gang(1)
        for number in (0, 1):
            self.add_run(f"{number}", full, self.pool[number], started_ms=0)
        step = msgspec.structs.replace(
            full, data_rack=ids.RackId("r0"), estimate_ms=60_000
        )
        (unit,) = planning_fixture.make_waiting_units("j", step)
        unit = accepted(unit, 0, waited_ms=1_600)
        (decision,) = self.decide(unit, distrusted=["w2", "w3", "w4"])
        self.assertEqual("r1", decision.workers[0].rack)

    def test_rack_held_by_lasting_units_is_not_waited_for(self) -> None:
        # Was waited for as long as these lasted.
        for step in (
            {"tasks": 2, "data_rack": ids.RackId("r0")},
            {"tasks": 2, "one_rack": True},
        ):
            with self.subTest(**step):
                self.assertEqual(0, self.decide_beside(lasting=False, **step))
                self.assertEqual(1, self.decide_beside(lasting=True, **step))


class ReservationTest(planning_fixture.PlanningTestCase):
    """Small tasks take each worker that becomes free."""

    def waiting(
        self, job: str, step: spec.Step, waited_ms: int
    ) -> list[waiting_units.WaitingUnit]:
        return [
            accepted(unit, planning_fixture.WALL_MS - waited_ms, waited_ms)
            for unit in planning_fixture.make_waiting_units(job, step)
        ]

    def fill_halves(self) -> None:
        """Fills workers 2 to 5, of which 2 and 3 are free again first."""
        self.pool = self.pool[:6]
        for number, worker in enumerate(self.pool[2:]):
            started_ms = planning_fixture.NOW_MS - (
                7_000 if number < 2 else 1_000
            )
            for slot in range(8):
                job = chr(1_000 + 8 * number + slot)
                self.add_run(
                    job, planning_fixture.SINGLE, worker, started_ms=started_ms
                )

    def names(self, *waiting: waiting_units.WaitingUnit) -> list[str]:
        return [str(d.waiting.key.job) for d in self.decide(*waiting)]

    def test_small_tasks_leave_workers_to_a_gang_that_has_waited(self) -> None:
        self.fill_halves()
        gang = self.waiting("g", planning_fixture.make_gang(4), 4_000)
        small = self.waiting("s", planning_fixture.SINGLE, 3_000)
        self.assertEqual([], self.names(*gang, *small))

    def test_small_tasks_use_free_workers_while_a_gang_has_much_slack(
        self,
    ) -> None:
        self.fill_halves()
        gang = self.waiting("g", planning_fixture.make_gang(4), 100)
        small = self.waiting("s", planning_fixture.SINGLE, 50)
        self.assertEqual(["s"], self.names(*gang, *small))

    def test_short_tasks_run_until_the_reserved_start(self) -> None:
        self.fill_halves()
        gang = self.waiting("g", planning_fixture.make_gang(4), 4_000)
        short = msgspec.structs.replace(
            planning_fixture.SINGLE, estimate_ms=1_000
        )
        small = self.waiting("s", short, 3_000)
        self.assertEqual(["s"], self.names(*gang, *small))

    def test_small_tasks_use_workers_that_are_not_reserved(self) -> None:
        self.fill_halves()
        gang = self.waiting("g", planning_fixture.make_gang(4), 4_000)
        small = self.waiting("s", planning_fixture.SINGLE, 3_000)
        self.pool.append(planning_fixture.make_worker("w90"))
        self.pool.append(planning_fixture.make_worker("w91"))
        self.assertEqual(["g"], self.names(*gang, *small))

    def test_gang_keeps_no_unit_from_a_mostly_idle_service_for_long(
        self,
    ) -> None:
        # Waited for as long as a run on one worker kept a gang from its start,
        # with all other workers idle (LOST).
        self.pool = self.pool[:4]
        step = planning_fixture.make_gang(1)
        started_ms = planning_fixture.NOW_MS - 100
        self.add_run("x", step, self.pool[0], started_ms=started_ms)
        gang = self.waiting("g", planning_fixture.make_gang(4), 4_000)
        long = msgspec.structs.replace(
            planning_fixture.SINGLE, estimate_ms=60_000
        )
        limit_ms = delay_scheduling.MAX_IDLE_SERVICE_DELAY_MS
        self.assertEqual([], self.names(*gang, *self.waiting("s", long, 0)))
        waited = self.waiting("s", long, limit_ms)
        self.assertEqual(["s"], self.names(*gang, *waited))

    def test_gang_waits_for_one_rack_while_the_pool_is_busy(self) -> None:
        self.pool = [
            planning_fixture.make_worker(f"w{n}", rack=f"r{n % 2}")
            for n in range(8)
        ]
        gang = msgspec.structs.replace(
            planning_fixture.make_gang(3), one_rack=True
        )
        waiting = self.waiting("g", gang, 12_000)
        for number, worker in enumerate(self.pool[:4]):
            self.add_run(
                chr(1_000 + number),
                planning_fixture.make_gang(1),
                worker,
                started_ms=planning_fixture.NOW_MS - 500,
            )
        self.assertEqual([], self.names(*waiting))
        self.table = run_table.RunTable()
        self.assertEqual(["g"], self.names(*waiting))

    def test_lasting_task_leaves_its_rack_and_uses_reserved_workers(
        self,
    ) -> None:
        self.fill_halves()
        gang = self.waiting("g", planning_fixture.make_gang(4), 4_000)
        lasting = msgspec.structs.replace(
            planning_fixture.SINGLE, lasting=True, data_rack="r9"
        )
        self.pool[2] = planning_fixture.make_worker("w02", rack="r9")
        restored = self.waiting("s", lasting, 60_000)
        self.assertEqual(["s"], self.names(*gang, *restored))


class ScheduledOccurrenceTest(planning_fixture.PlanningTestCase):
    def test_occurrence_is_late_only_after_its_own_objective(self) -> None:
        self.pool = self.pool[:1]
        step = planning_fixture.make_gang(1)
        (unit,) = planning_fixture.make_waiting_units("s", step)
        workflow = msgspec.structs.replace(
            unit.submission.workflow,
            occurrences=2,
            first_due_ms=planning_fixture.WALL_MS - 20_000,
            interval_ms=19_000,
        )
        submission = msgspec.structs.replace(unit.submission, workflow=workflow)
        key = msgspec.structs.replace(unit.key, occurrence=1)
        second = msgspec.structs.replace(unit, key=key, submission=submission)
        (late,) = planning_fixture.make_waiting_units(
            "l", step, accepted_ms=planning_fixture.WALL_MS - 30_000
        )
        (decision,) = self.decide(late, second)
        self.assertEqual(1, decision.waiting.key.occurrence)


class GuaranteeTest(planning_fixture.PlanningTestCase):
    def test_guaranteed_unit_uses_reserved_workers(self) -> None:
        self.pool = self.pool[:6]
        for job, worker in zip("pq", self.pool, strict=False):
            self.add_run(
                job,
                planning_fixture.make_gang(1),
                worker,
                started_ms=planning_fixture.NOW_MS - 500,
                urgent=True,
            )
        large, small = (
            accepted(
                planning_fixture.make_urgent(
                    job, planning_fixture.make_gang(tasks)
                ),
                planning_fixture.WALL_MS - 2_000,
                waited_ms=2_000,
            )
            for job, tasks in (("a", 5), ("b", 4))
        )
        self.assertEqual([], self.decide(large, small, guaranteed=16))
        (decision,) = self.decide(large, small, guaranteed=100)
        self.assertEqual("b", decision.waiting.key.job)

    def test_slack_does_not_depend_on_the_time_until_an_occurrence(
        self,
    ) -> None:
        step = planning_fixture.make_gang(2)
        (unit,) = planning_fixture.make_waiting_units("s", step)
        workflow = msgspec.structs.replace(
            unit.submission.workflow, occurrences=2, first_due_ms=90_000
        )
        submission = msgspec.structs.replace(unit.submission, workflow=workflow)
        scheduled = msgspec.structs.replace(unit, submission=submission)
        self.assertEqual(
            waiting_units.slack_ms(unit), waiting_units.slack_ms(scheduled)
        )
