import random

import msgspec

from citronmount.fleet import fleet_configuration
from citronmount.fleet_service.tests import pool_fixture
from citronmount.workflow import spec
from citronmount.workflow import units

SPEEDS = (1.6, 0.6, 1.0)
URGENT_MS = 2_100
BATCH_MS = 5_200
URGENT_GOAL_S = 3.4
BATCH_GOAL_S = 16.6


class MixedSpeedsTest(pool_fixture.PoolTestCase):
    """A replay of urgent gangs and batch tasks on three mixed speeds."""

    features = frozenset({fleet_configuration.Feature.WORKER_SPEEDS})
    workers_per_rack = 8
    racks = 3

    def setUp(self) -> None:
        super().setUp()
        self.random = random.Random(5)
        self.set_speeds(*SPEEDS)
        self.work: dict[units.TaskName, float] = {}
        self.run_time_ms = self.task_run_time_ms
        tight = pool_fixture.make_queue("tight", priority=0, slack_factor=1.5)
        terms = msgspec.structs.replace(tight.terms, objective_ms=250)
        self.publish_configuration(
            msgspec.structs.replace(tight, terms=terms), version=2
        )
        self.run_for(0.5)
        self.submitted_s: dict[str, float] = {}
        self.took_s: dict[str, float] = {}

    def set_speeds(self, *speeds: float) -> None:
        for number, worker in enumerate(self.pool_workers.workers.values()):
            worker.slowdown = 1 / speeds[number % len(speeds)]

    def task_run_time_ms(self, name: units.TaskName, run: int) -> int:
        del run
        step = self.steps[name.split(".")[0], 0]
        if step.gang:
            return step.estimate_ms
        factor = self.work.setdefault(name, self.random.uniform(0.75, 1.3))
        return int(step.estimate_ms * factor)

    def submit_job(self, job: str, step: spec.Step, queue: str) -> None:
        self.submit(job, step, queue=queue)
        self.submitted_s[job] = self.clock.seconds()

    def note_completions(self, time_s: float) -> None:
        end_s = self.clock.seconds() + time_s
        while self.clock.seconds() < end_s:
            self.run_for(0.1)
            for job, submitted_s in self.submitted_s.items():
                done = sum(
                    name.startswith(f"{job}.")
                    for name in self.pool_workers.finished_tasks
                )
                if job not in self.took_s and done == self.steps[job, 0].tasks:
                    self.took_s[job] = self.clock.seconds() - submitted_s

    def replay(self, rounds: int) -> None:
        for number in range(rounds):
            urgent = pool_fixture.make_step(
                tasks=(3, 2, 5, 3)[number % 4],
                accelerators=(8, 4, 8, 8)[number % 4],
                gang=True,
                estimate_ms=URGENT_MS,
            )
            self.submit_job(f"u{number}", urgent, "tight")
            if number % 3 == 0:
                batch = pool_fixture.make_step(tasks=39, estimate_ms=BATCH_MS)
                self.submit_job(f"b{number}", batch, "batch")
            self.note_completions(0.8)
        self.note_completions(15.0)

    def on_time_share(self, prefix: str, objective_s: float) -> float:
        jobs = [job for job in self.submitted_s if job.startswith(prefix)]
        on_time = sum(
            self.took_s.get(job, objective_s + 1) <= objective_s for job in jobs
        )
        return on_time / len(jobs)

    def test_gangs_are_on_time_and_few_runs_restart(self) -> None:
        # Before, gangs on mixed sets were restarted as slow, and half of the
        # batch jobs were late.
        self.replay(30)
        self.assertGreaterEqual(self.on_time_share("u", URGENT_GOAL_S), 0.85)
        self.assertGreaterEqual(self.on_time_share("b", BATCH_GOAL_S), 0.9)
        restarted = sum(run > 1 for _, run, _ in self.pool_workers.starts)
        self.assertLess(restarted, 100)
