from unittest import mock

import msgspec

from citronmount.fleet.placement import fitting
from citronmount.fleet.runs import run_states
from citronmount.fleet.tests import planning_fixture
from citronmount.workflow import spec


class PreemptionTest(planning_fixture.PlanningTestCase):
    """An urgent burst arrives while other work fills the pool."""

    def test_burst_stops_the_runs_that_lose_least(self) -> None:
        self.fill()
        (decision,) = self.decide(
            planning_fixture.make_urgent("a", planning_fixture.make_gang(2))
        )
        self.assertEqual(
            {"w28", "w29"}, {each.worker for each in decision.workers}
        )
        self.assertEqual(16, len(decision.victims))

    def test_burst_examines_each_worker_only_a_few_times(self) -> None:
        self.fill()
        burst = [
            planning_fixture.make_urgent(
                chr(2_000 + n), planning_fixture.make_gang(2)
            )
            for n in range(10)
        ]
        with mock.patch.object(
            fitting, "choose_workers", wraps=fitting.choose_workers
        ) as choose_mock:
            decisions = self.decide(*burst, guaranteed=1_000)
        self.assertEqual(10, len(decisions))
        self.assertLessEqual(choose_mock.call_count, 3 * len(burst))

    def test_units_of_a_burst_share_the_workers_of_one_stopped_gang(
        self,
    ) -> None:
        self.add_run(
            "g",
            planning_fixture.make_gang(15),
            *self.pool[:15],
            started_ms=planning_fixture.NOW_MS - 500,
        )
        self.add_run(
            "h",
            planning_fixture.make_gang(15),
            *self.pool[15:],
            started_ms=planning_fixture.NOW_MS - 1_000,
        )
        decisions = self.decide(
            *(
                planning_fixture.make_urgent(job, planning_fixture.make_gang(3))
                for job in "abc"
            ),
            guaranteed=100,
        )
        self.assertEqual(
            [["g"]] * 3,
            [[str(run.job) for run in each.victims] for each in decisions],
        )
        used = [w.worker for each in decisions for w in each.workers]
        self.assertEqual(9, len(set(used)))

    def test_burst_waits_for_runs_that_are_already_being_stopped(self) -> None:
        ending = self.add_run(
            "g",
            planning_fixture.make_gang(15),
            *self.pool[:15],
            started_ms=planning_fixture.NOW_MS - 3_000,
        )
        ending.end(run_states.EndCause.PREEMPTED)
        self.add_run(
            "h",
            planning_fixture.make_gang(15),
            *self.pool[15:],
            started_ms=planning_fixture.NOW_MS - 100,
        )
        (decision,) = self.decide(
            planning_fixture.make_urgent("a", planning_fixture.make_gang(3))
        )
        self.assertEqual(["g"], [str(run.job) for run in decision.victims])

    def test_burst_does_not_wait_for_runs_that_end_by_a_fault(self) -> None:
        ending = self.add_run(
            "g",
            planning_fixture.make_gang(15),
            *self.pool[:15],
            started_ms=planning_fixture.NOW_MS - 3_000,
        )
        ending.end(run_states.EndCause.MEMBER_NOT_STARTED)
        self.add_run(
            "h",
            planning_fixture.make_gang(15),
            *self.pool[15:],
            started_ms=planning_fixture.NOW_MS - 100,
        )
        urgent = planning_fixture.make_urgent(
            "a", planning_fixture.make_gang(3)
        )
        (decision,) = self.decide(urgent)
        self.assertEqual(["h"], [str(run.job) for run in decision.victims])

    def test_runs_that_are_not_needed_are_spared(self) -> None:
        self.pool = self.pool[:1]
        self.add_run(
            "s",
            planning_fixture.SINGLE,
            self.pool[0],
            started_ms=planning_fixture.NOW_MS - 100,
        )
        large = spec.Step(
            tasks=1, demand=planning_fixture.make_demand(7), estimate_ms=9_000
        )
        self.add_run(
            "l", large, self.pool[0], started_ms=planning_fixture.NOW_MS - 2_000
        )
        urgent = planning_fixture.make_urgent(
            "a", planning_fixture.make_gang(1, accelerators=4)
        )
        (decision,) = self.decide(urgent, guaranteed=8)
        self.assertEqual(["l"], [str(run.job) for run in decision.victims])

    # Seen on two days: gangs of 1.7 and 2.2 s of work were stopped, and late.
    def test_gang_that_would_be_late_is_spared_beside_one_with_slack(
        self,
    ) -> None:
        self.pool = self.pool[:4]
        urgent_run = self.add_run(
            "u",
            planning_fixture.make_gang(2),
            *self.pool[:2],
            started_ms=planning_fixture.NOW_MS - 1_700,
            urgent=True,
        )
        urgent_run.submission = msgspec.structs.replace(
            urgent_run.submission,
            accepted_ms=planning_fixture.WALL_MS - 1_700,
        )
        self.add_run(
            "l",
            planning_fixture.make_gang(2),
            *self.pool[2:],
            started_ms=planning_fixture.NOW_MS - 2_400,
        )
        starter = planning_fixture.make_urgent(
            "a", planning_fixture.make_gang(1)
        )
        (decision,) = self.decide(starter, guaranteed=8)
        self.assertEqual(["l"], [str(run.job) for run in decision.victims])
