import unittest

import msgspec

from citronmount.fleet.accounts import guarantees
from citronmount.fleet.estimates import run_time
from citronmount.fleet.queueing import urgency
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.tests import planning_fixture
from citronmount.workflow import spec

LEARNED = run_time.RunTime(low_ms=3_000, median_ms=5_000, high_ms=8_000)


def make_unit(
    learned: run_time.RunTime | None = None,
) -> waiting_units.WaitingUnit:
    step = spec.Step(tasks=1, estimate_ms=2_000)
    (unit,) = planning_fixture.make_waiting_units("j", step, slack_factor=1.5)
    submission = msgspec.structs.replace(unit.submission, accepted_ms=0)
    return msgspec.structs.replace(
        unit,
        submission=submission,
        learned_run_time=learned,
        step_medians_ms=(learned.median_ms,) if learned else (),
    )


class LearnedRunTimesTest(unittest.TestCase):
    def latest_start_ms(self, unit: waiting_units.WaitingUnit) -> int:
        """Returns the last Unix time at which a unit is not certainly late."""
        return max(
            wall_ms
            for wall_ms in range(0, 10_000, 100)
            if not urgency.Urgency(
                guaranteed=guarantees.Guarantees(accounts=(), runs=()),
                wall_ms=wall_ms,
            ).is_late(unit)
        )

    def test_declared_times_count_without_learned_ones(self) -> None:
        unit = make_unit()
        self.assertEqual(1_000, waiting_units.slack_ms(unit))
        self.assertEqual(2_000, self.latest_start_ms(unit))

    def test_objective_and_slack_follow_the_median(self) -> None:
        unit = make_unit(LEARNED)
        self.assertEqual(2_500, waiting_units.slack_ms(unit))
        self.assertEqual(
            7_500, waiting_units.objective_end_ms(unit.submission, 0, (5_000,))
        )

    def test_unit_is_certainly_late_only_by_its_low_quantile(self) -> None:
        self.assertEqual(4_500, self.latest_start_ms(make_unit(LEARNED)))

    def test_objective_sums_the_medians_along_the_critical_path(self) -> None:
        steps = tuple(
            spec.Step(tasks=1, estimate_ms=1_000, after=after)
            for after in ((), (0,), (0,))
        )
        unit = make_unit()
        workflow = msgspec.structs.replace(
            unit.submission.workflow, steps=steps
        )
        submission = msgspec.structs.replace(unit.submission, workflow=workflow)
        self.assertEqual(
            1.5 * 7_000,
            waiting_units.objective_ms(submission, (3_000, 4_000, 2_000)),
        )
