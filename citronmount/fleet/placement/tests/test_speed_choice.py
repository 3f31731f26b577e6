import msgspec

from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.tests import planning_fixture
from citronmount.fleet.workers import speed_range
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

SPEEDS = (0.6, 1.0, 1.6)
LATE_MS = 3_000


def known(speed: float) -> speed_range.SpeedRange:
    return speed_range.SpeedRange(low=speed, expected=speed, high=speed)


class SpeedChoiceTest(planning_fixture.PlanningTestCase):
    """A pool of 12 whole workers of three speeds in two racks."""

    def setUp(self) -> None:
        super().setUp()
        self.pool = [
            planning_fixture.make_worker(f"w{n:02}", rack=f"r{n // 6}")
            for n in range(12)
        ]

    def speed(self, worker: worker_directory.Worker) -> speed_range.SpeedRange:
        return known(SPEEDS[int(worker.worker[1:]) % 3])

    def decide_by_speed(
        self, *waiting: waiting_units.WaitingUnit, now_ms: int = 0
    ) -> dict[str, list[float]]:
        """Returns the speeds of the workers of each job that starts."""
        planner = planning.Planner(
            workers=self.pool,
            table=self.table,
            accounts=(),
            bounds=fleet_configuration.Bounds(),
            now_ms=now_ms,
            wall_ms=planning_fixture.WALL_MS,
            speed=self.speed,
        )
        speeds: dict[str, list[float]] = {}
        for decision in planner.decide(waiting):
            speeds.setdefault(str(decision.waiting.key.job), []).extend(
                sorted(self.speed(each).expected for each in decision.workers)
            )
        return speeds

    def relaxed(
        self, job: str, step: spec.Step, waited_ms: int = 0
    ) -> list[waiting_units.WaitingUnit]:
        accepted_ms = planning_fixture.WALL_MS - waited_ms
        return planning_fixture.make_waiting_units(
            job, step, accepted_ms=accepted_ms
        )

    def occupy(self, *numbers: int) -> None:
        gang = planning_fixture.make_gang(1)
        for number in numbers:
            self.add_run(
                chr(1_000 + number),
                gang,
                self.pool[number],
                started_ms=0,
                urgent=True,
            )

    def test_urgent_gangs_take_the_fastest_sets_of_like_speed(self) -> None:
        gangs = (
            planning_fixture.make_urgent(job, planning_fixture.make_gang(4))
            for job in "ab"
        )
        self.assertEqual(
            {"a": [1.6] * 4, "b": [1.0] * 4}, self.decide_by_speed(*gangs)
        )

    def test_urgent_gang_does_not_start_where_it_is_late(self) -> None:
        self.occupy(1, 2, 4, 5, 7, 8, 10, 11)
        gang = planning_fixture.make_urgent("a", planning_fixture.make_gang(4))
        self.assertEqual({}, self.decide_by_speed(gang))
        # Its slack is over, so that it is late wherever it starts.
        started = self.decide_by_speed(gang, now_ms=LATE_MS)
        self.assertEqual({"a": [0.6] * 4}, started)

    def test_work_with_slack_takes_the_slow_workers(self) -> None:
        gang = self.relaxed("a", planning_fixture.make_gang(4))
        tasks = self.relaxed("b", planning_fixture.SINGLE)
        self.assertEqual({"a": [0.6] * 4}, self.decide_by_speed(*gang))
        self.assertEqual({"b": [0.6]}, self.decide_by_speed(*tasks))

    def test_work_that_waited_takes_workers_on_which_it_is_on_time(
        self,
    ) -> None:
        gang = self.relaxed("a", planning_fixture.make_gang(4), 4_000)
        self.assertEqual({"a": [1.0] * 4}, self.decide_by_speed(*gang))

    def test_urgent_gang_that_missed_its_objective_leaves_fast_workers(
        self,
    ) -> None:
        gang = planning_fixture.make_urgent("a", planning_fixture.make_gang(4))
        accepted_ms = planning_fixture.WALL_MS - 4_000
        submission = msgspec.structs.replace(
            gang.submission, accepted_ms=accepted_ms
        )
        gang = msgspec.structs.replace(gang, submission=submission)
        self.assertEqual({"a": [0.6] * 4}, self.decide_by_speed(gang))

    def test_large_gang_accepts_a_mixed_set(self) -> None:
        gang = self.relaxed("a", planning_fixture.make_gang(6))
        started = self.decide_by_speed(*gang)
        self.assertEqual({"a": [0.6] * 4 + [1.0] * 2}, started)

    def test_data_rack_is_weighed_against_speed(self) -> None:
        # In the rack, the slowest worker needs 1.7 times the declared time; on
        # another rack, the fastest one needs 1.9 times.
        self.occupy(1, 2, 4, 5)
        step = msgspec.structs.replace(
            planning_fixture.make_gang(1), data_rack="r0"
        )
        late = self.relaxed("a", step, waited_ms=20_000)
        started = self.decide_by_speed(*late, now_ms=20_000)
        self.assertEqual({"a": [0.6]}, started)

    def test_small_tasks_leave_whole_workers_of_their_speed_free(self) -> None:
        self.add_run("x", planning_fixture.SINGLE, self.pool[6], started_ms=0)
        planner = planning.Planner(
            workers=self.pool,
            table=self.table,
            accounts=(),
            bounds=fleet_configuration.Bounds(),
            now_ms=0,
            wall_ms=planning_fixture.WALL_MS,
            speed=self.speed,
        )
        step = msgspec.structs.replace(planning_fixture.SINGLE, tasks=7)
        decisions = planner.decide(self.relaxed("a", step))
        used = {each.worker for d in decisions for each in d.workers}
        self.assertEqual({"w06"}, used)


class EqualSpeedsTest(planning_fixture.PlanningTestCase):
    def test_equal_or_unknown_speeds_decide_as_before(self) -> None:
        self.pool = [
            planning_fixture.make_worker(f"w{n:02}", rack=f"r{n // 8}")
            for n in range(24)
        ]
        for number in range(20):
            self.add_run(
                chr(1_000 + number),
                planning_fixture.SINGLE,
                self.pool[number * 7 % 24],
                started_ms=0,
            )
        in_rack = msgspec.structs.replace(
            planning_fixture.make_gang(3, 4), one_rack=True
        )
        waiting = [
            planning_fixture.make_urgent("a", planning_fixture.make_gang(2)),
            planning_fixture.make_urgent("b", in_rack),
            *planning_fixture.make_waiting_units("c", in_rack),
            *planning_fixture.make_waiting_units(
                "d", msgspec.structs.replace(planning_fixture.SINGLE, tasks=50)
            ),
            planning_fixture.make_urgent("e", planning_fixture.make_gang(8)),
        ]
        before = self.decide(*waiting)
        self.assertGreater(len(before), 10)
        for likely in (speed_range.UNKNOWN, known(1.0)):
            planner = planning.Planner(
                workers=self.pool,
                table=self.table,
                accounts=(),
                bounds=fleet_configuration.Bounds(),
                now_ms=planning_fixture.NOW_MS,
                wall_ms=planning_fixture.WALL_MS,
                speed=lambda worker, likely=likely: likely,
            )
            self.assertEqual(before, planner.decide(waiting))
