import unittest

import msgspec

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.estimates import learning
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.tests import planning_fixture
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_speeds
from citronmount.workflow import records
from citronmount.workflow import spec

STEP = spec.Step(tasks=2, gang=True, estimate_ms=4_000)


class LearningTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speeds = worker_speeds.WorkerSpeeds()
        self.pool = [
            planning_fixture.make_worker(f"w{n}", rack=f"r{n // 4}")
            for n in range(8)
        ]
        directory = worker_directory.WorkerDirectory()
        directory.replace(tuple(self.pool))
        self.learned = learning.RunTimeLearning(
            enabled=True, directory=directory, speeds=self.speeds
        )
        self.now_ms = 0

    def make_run(self, step: spec.Step, **options: object) -> unit_runs.Run:
        unit = planning_fixture.make_waiting_units("j", step)[0]
        run = unit_runs.Run(
            key=unit.key,
            step=step,
            submission=unit.submission,
            number=1,
            places=[records.Place(worker=ids.WorkerId("w0"), life_ms=1)] * 2,
            phase=run_states.RunPhase.ACTIVE,
            **options,
        )
        run.started_ms = self.now_ms
        return run

    def finish(
        self,
        took_ms: int,
        count: int = 1,
        step: spec.Step = STEP,
        workers: slice = slice(0, 2),
        outcome: commands.EndKind | None = None,
        **options: object,
    ) -> None:
        for _ in range(count):
            run = self.make_run(step, **options)
            run.outcome = outcome
            self.now_ms += took_ms
            self.learned.run_done(run, self.pool[workers], self.now_ms)

    def stop(self, took_ms: int, cause: run_states.EndCause) -> None:
        run = self.make_run(STEP)
        run.end(cause)
        for member in run.members:
            member.stop_answered = True
            member.settled_ms = self.now_ms + took_ms
        self.now_ms += took_ms + 6_000
        self.learned.run_over(run, self.pool[:2], self.now_ms)

    def median_ms(self, step: spec.Step = STEP) -> int:
        (unit, *_) = planning_fixture.make_waiting_units("j", step)
        self.now_ms += learning.ESTIMATE_TTL_MS
        estimate = self.learned.estimate(unit.submission, self.now_ms)
        return estimate.medians_ms[0]

    def test_only_whole_runs_at_ordinary_conditions_count(self) -> None:
        local = msgspec.structs.replace(STEP, one_rack=True)
        data = msgspec.structs.replace(STEP, data_rack="r1")
        self.finish(2_000, saved="checkpoint")
        self.finish(2_000, restored=True)
        self.finish(2_000, outcome=commands.EndKind.DONE)
        self.finish(2_000, outcome=commands.EndKind.FAILED)
        self.finish(9_000, step=local, workers=slice(3, 5))
        self.finish(9_000, step=data)
        self.assertEqual(0, self.learned.run_times.observed_count)
        self.finish(3_000, step=data, workers=slice(4, 6))
        self.assertEqual(1, self.learned.run_times.observed_count)

    def test_time_on_slow_workers_counts_less(self) -> None:
        rates = {each.speed_key: 1.0 for each in self.pool}
        for _ in range(5):
            self.speeds.observe({**rates, self.pool[0].speed_key: 0.625}, 0)
        self.finish(3_200, count=30)
        self.assertAlmostEqual(2_000, self.median_ms(), delta=200)

    def test_tasks_of_one_step_weigh_like_one_run(self) -> None:
        single = msgspec.structs.replace(STEP, gang=False, tasks=40)
        self.finish(1_000, count=40, step=single)
        self.assertEqual(4_000, self.median_ms(single))

    def test_stopped_run_only_lengthens_an_estimate(self) -> None:
        self.finish(2_000, count=10)
        before_ms = self.median_ms()
        self.stop(100, run_states.EndCause.PREEMPTED)
        self.stop(9_000, run_states.EndCause.SLOW_MEMBER)
        self.assertEqual(before_ms, self.median_ms())
        self.stop(9_000, run_states.EndCause.PREEMPTED)
        self.assertGreater(self.median_ms(), before_ms)

    def test_run_past_its_high_quantile_counts_once(self) -> None:
        self.finish(2_000, count=10)
        before_ms = self.median_ms()
        run = self.make_run(STEP)
        self.assertFalse(self.learned.is_news(run, self.now_ms))
        self.now_ms += 4_500
        self.assertTrue(self.learned.is_news(run, self.now_ms))
        self.learned.run_continues(run, self.pool[:2], self.now_ms)
        self.assertFalse(self.learned.is_news(run, self.now_ms))
        self.assertGreater(self.median_ms(), before_ms)
