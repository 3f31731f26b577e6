import unittest
from unittest import mock

from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet.placement import fitting
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_table
from citronmount.fleet.tests import planning_fixture
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec


class PlanningTest(unittest.TestCase):
    def decide(
        self,
        pool: list[worker_directory.Worker],
        waiting: list[waiting_units.WaitingUnit],
        now_ms: int = 0,
        slow: str = "",
    ) -> list[waiting_units.Decision]:
        planner = planning.Planner(
            workers=pool,
            slowdown=lambda each: 1.3 if each.worker in slow.split() else 1.0,
            table=run_table.RunTable(),
            accounts=(),
            bounds=fleet_configuration.Bounds(),
            now_ms=now_ms,
        )
        return planner.decide(waiting)

    def test_equal_tasks_do_not_examine_each_worker_repeatedly(self) -> None:
        pool = [planning_fixture.make_worker(f"w{n}") for n in range(60)]
        waiting = planning_fixture.make_waiting_units(
            "a", spec.Step(tasks=600, demand=planning_fixture.TASK_DEMAND)
        )
        with mock.patch.object(
            fitting, "suits", wraps=fitting.suits
        ) as suits_mock:
            decisions = self.decide(pool, waiting)
        self.assertEqual(480, len(decisions))
        self.assertLessEqual(suits_mock.call_count, 2 * len(pool))

    def test_equal_tasks_share_one_set_of_requirements(self) -> None:
        # Each round decides on hundreds of them.
        pool = [planning_fixture.make_worker(f"w{n}") for n in range(60)]
        waiting = planning_fixture.make_waiting_units(
            "a", spec.Step(tasks=600, demand=planning_fixture.TASK_DEMAND)
        )
        with mock.patch.object(
            fitting, "Requirements", wraps=fitting.Requirements
        ) as requirements_mock:
            self.decide(pool, waiting)
        self.assertLessEqual(requirements_mock.call_count, 3)

    def test_equal_tasks_fill_one_worker_before_the_next(self) -> None:
        pool = [planning_fixture.make_worker(f"w{n}") for n in range(3)]
        waiting = planning_fixture.make_waiting_units(
            "a", spec.Step(tasks=16, demand=planning_fixture.TASK_DEMAND)
        )
        decisions = self.decide(pool, waiting)
        self.assertEqual(
            ["w0"] * 8 + ["w1"] * 8,
            [d.workers[0].worker for d in decisions],
        )

    def test_gang_between_equal_tasks_does_not_share_their_capacity(
        self,
    ) -> None:
        pool = [planning_fixture.make_worker(f"w{n}") for n in range(3)]
        single = spec.Step(tasks=6, demand=planning_fixture.TASK_DEMAND)
        gang = spec.Step(
            tasks=18, demand=planning_fixture.TASK_DEMAND, gang=True
        )
        waiting = [
            *planning_fixture.make_waiting_units("a", single),
            *planning_fixture.make_waiting_units("b", gang),
            *planning_fixture.make_waiting_units("c", single),
        ]
        decisions = self.decide(pool, waiting)
        self.assertEqual(
            ["a"] * 6 + ["b"],
            [str(d.waiting.key.job) for d in decisions],
        )

    def test_equal_tasks_respect_the_limit_per_worker(self) -> None:
        pool = [planning_fixture.make_worker(f"w{n}") for n in range(3)]
        step = spec.Step(
            tasks=9, demand=planning_fixture.TASK_DEMAND, max_tasks_per_worker=2
        )
        decisions = self.decide(
            pool, planning_fixture.make_waiting_units("a", step)
        )
        self.assertEqual(
            ["w0", "w0", "w1", "w1", "w2", "w2"],
            [d.workers[0].worker for d in decisions],
        )

    def test_tasks_leave_the_rack_of_their_data_only_after_a_delay(
        self,
    ) -> None:
        pool = [
            planning_fixture.make_worker("w0"),
            planning_fixture.make_worker("w1", rack="r1"),
        ]
        step = spec.Step(
            tasks=12,
            demand=planning_fixture.TASK_DEMAND,
            estimate_ms=5_000,
            data_rack="r1",
        )
        waiting = planning_fixture.make_waiting_units("a", step)
        in_rack = self.decide(pool, waiting)
        self.assertEqual({"w1"}, {d.workers[0].worker for d in in_rack})
        self.assertEqual(8, len(in_rack))
        delayed = self.decide(pool, waiting, now_ms=20_000)
        self.assertEqual(
            ["w1"] * 8 + ["w0"] * 4, [d.workers[0].worker for d in delayed]
        )

    def test_urgent_gang_gets_fast_workers_and_other_work_slow_ones(
        self,
    ) -> None:
        pool = [planning_fixture.make_worker(f"w{n}") for n in range(4)]
        gang = spec.Step(
            tasks=16, demand=planning_fixture.TASK_DEMAND, gang=True
        )
        urgent = planning_fixture.make_waiting_units(
            "a", gang, slack_factor=1.5
        )
        relaxed = planning_fixture.make_waiting_units(
            "b", spec.Step(tasks=8, demand=planning_fixture.TASK_DEMAND)
        )
        decisions = self.decide(pool, urgent + relaxed, slow="w0 w2")
        chosen = {
            str(decision.waiting.key.job): {w.worker for w in decision.workers}
            for decision in decisions
        }
        self.assertEqual({"w1", "w3"}, chosen["a"])
        self.assertLessEqual(chosen["b"], {"w0", "w2"})

    def test_urgent_gang_starts_on_slow_workers_if_there_are_no_others(
        self,
    ) -> None:
        pool = [planning_fixture.make_worker(f"w{n}") for n in range(3)]
        gang = spec.Step(
            tasks=24, demand=planning_fixture.TASK_DEMAND, gang=True
        )
        urgent = planning_fixture.make_waiting_units(
            "a", gang, slack_factor=1.5
        )
        decisions = self.decide(pool, urgent, slow="w0 w2")
        self.assertEqual(1, len(decisions))

    def test_gang_finds_the_rack_with_enough_fast_workers(self) -> None:
        pool = [
            *(planning_fixture.make_worker(f"a{n}") for n in range(2)),
            *(
                planning_fixture.make_worker(f"b{n}", rack="r1")
                for n in range(4)
            ),
        ]
        gang = spec.Step(
            tasks=16,
            demand=planning_fixture.TASK_DEMAND,
            gang=True,
            one_rack=True,
        )
        urgent = planning_fixture.make_waiting_units(
            "a", gang, slack_factor=1.5
        )
        decisions = self.decide(pool, urgent, slow="a0 b1")
        names = {w.worker for w in decisions[0].workers}
        self.assertEqual(2, len(names))
        self.assertLessEqual(names, {"b0", "b2", "b3"})
