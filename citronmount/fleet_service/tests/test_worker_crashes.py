"""Tasks that crash each worker that starts them, and workers that restart."""

import msgspec

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet.workers import worker_directory
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.standins import pool_worker
from citronmount.standins import worker_restarts
from citronmount.workflow import units

DONE = states.JobState.DONE
FAILED = states.JobState.FAILED


def is_deadly(task: units.TaskName) -> bool:
    return task.startswith("deadly") and task.endswith(".0")


class WorkerCrashTest(pool_fixture.PoolTestCase):
    workers_per_rack = 3

    def setUp(self) -> None:
        super().setUp()
        self.restarts = worker_restarts.WorkerRestarts(
            pool=self.pool_workers,
            publish=self.publish_entry,
            withdraw=self.remove_entry,
            is_deadly=is_deadly,
        )

    # BUDGET: a task was started again for ever after crashing its workers.
    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        for keeps_id in (False, True):
            self.restarts.keeps_id = lambda keeps_id=keeps_id: keeps_id
            job = f"deadly{int(keeps_id)}"
            self.submit(job, pool_fixture.make_step())
            self.run_for(25.0)
            self.assertIs(FAILED, self.state(job))
            self.assertEqual(3, len(self.starts_of(job)))

    def test_takeovers_right_after_the_crashes_do_not_hide_them(self) -> None:
        takeovers = []

        def replace_owner(worker: pool_worker.PoolWorker, task: str) -> None:
            if is_deadly(task) and len(takeovers) < 2:
                takeovers.append(task)
                self.clock.callLater(0.02, self.silence_owners)

        self.pool_workers.on_start.append(replace_owner)
        self.submit("deadly", pool_fixture.make_step())
        self.run_for(40.0)
        vm = self.owner_index()
        self.assertIs(FAILED, self.state("deadly", vm=vm))
        self.assertLessEqual(len(self.starts_of("deadly")), 4)

    def silence_owners(self) -> None:
        for number, vm in enumerate(self.pool_vms):
            if vm.owns_pool:
                name = ids.VmId(f"vm{number}")
                self.log.faults[name] = pool_log.LogFault.SILENT
                self.clock.callLater(5.0, self.log.faults.pop, name, None)

    def test_units_on_the_crashed_workers_complete(self) -> None:
        self.run_time_ms = lambda task, run: 4_000
        self.submit("good", pool_fixture.make_step(tasks=12))
        self.run_for(0.5)
        self.submit("deadly", pool_fixture.make_step(tasks=4))
        self.submit("late", pool_fixture.make_step(tasks=4))
        self.run_for(60.0)
        self.assertIs(FAILED, self.state("deadly"))
        self.assertIs(DONE, self.state("good"))
        self.assertIs(DONE, self.state("late"))

    def test_tasks_that_crash_their_workers_together_are_given_up(
        self,
    ) -> None:
        for number in range(4):
            step = pool_fixture.make_step(accelerators=8)
            self.submit(f"deadly{number}", step)
        self.run_for(40.0)
        for number in range(4):
            self.assertIs(FAILED, self.state(f"deadly{number}"))

    def test_task_that_crashes_its_workers_after_a_while_is_given_up(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 20_000
        self.restarts.crash_delay_s = 5.0
        self.submit("deadly", pool_fixture.make_step())
        self.run_for(60.0)
        self.assertIs(FAILED, self.state("deadly"))

    def test_units_on_workers_that_often_crash_together_complete(self) -> None:
        self.run_time_ms = lambda task, run: 60_000 if run < 9 else 1_000
        self.submit(
            "j", pool_fixture.make_step(tasks=6, max_tasks_per_worker=1)
        )
        for _ in range(8):
            self.run_for(9.0)
            workers = list(self.pool_workers.workers.values())
            for number, worker in enumerate(workers):
                self.clock.callLater(0.1 * number, self.restarts.crash, worker)
        self.run_for(20.0)
        self.assertIs(DONE, self.state("j"))

    # BUDGET: crashes of idle workers excused those of a deadly task.
    def test_deadly_task_among_workers_that_crash_is_given_up(self) -> None:
        self.submit("deadly", pool_fixture.make_step())
        for number in range(25):
            idle = [
                worker
                for worker in self.pool_workers.workers.values()
                if not worker.running
            ]
            if idle:
                self.restarts.crash(idle[number % len(idle)])
            self.run_for(1.5)
        self.assertIs(FAILED, self.state("deadly"))

    # BUDGET: one worker that never answers excused all late crashes.
    def test_late_crashes_count_beside_a_worker_that_never_answers(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 20_000
        self.submit("held", pool_fixture.make_step(accelerators=8))
        self.run_for(0.5)
        ((_, name),) = self.pool_workers.running()
        silent = self.pool_workers.workers[name]
        silent.fault = pool_worker.WorkerFault.SILENT
        self.run_for(15.0)
        self.restarts.crash_delay_s = 5.0
        self.submit("deadly", pool_fixture.make_step())
        self.run_for(80.0)
        self.assertIs(FAILED, self.state("deadly"))

    def test_gang_that_crashes_its_workers_is_given_up(self) -> None:
        step = pool_fixture.make_step(tasks=4, accelerators=4, gang=True)
        self.submit("deadly", step)
        self.run_for(25.0)
        self.assertIs(FAILED, self.state("deadly"))
        runs = {run for _, run, _ in self.starts_of("deadly")}
        self.assertEqual(3, len(runs))
        self.ignore_lone_members()

    # LOST: each new owner counted the same run of a gang again.
    def test_run_that_loses_several_workers_counts_once_across_takeovers(
        self,
    ) -> None:
        step = pool_fixture.make_step(tasks=3, accelerators=8, gang=True)
        self.submit("g", step)
        self.run_for(0.3)
        busy = [w for w in self.pool_workers.workers.values() if w.running]
        for worker, delay_s in zip(busy, (0.5, 3.0, 5.0), strict=True):
            self.restarts.delay_s = delay_s
            self.restarts.crash(worker)
        for _ in range(2):
            self.run_for(1.2)
            self.silence_owners()
            self.run_for(1.3)
        self.run_for(25.0)
        self.assertIs(DONE, self.state("g", vm=self.owner_index()))

    # LOST: a gang was given up although no task of it had lost two workers.
    def test_gang_whose_tasks_lose_their_workers_in_turn_completes(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 60_000 if run < 5 else 1_000
        step = pool_fixture.make_step(tasks=3, accelerators=8, gang=True)
        self.submit("g", step)
        for number in range(4):
            self.run_for(0.5)
            name = next(
                worker
                for task, worker in self.pool_workers.running()
                if task == f"g.0.0.{number % 3}"
            )
            self.restarts.crash(self.pool_workers.workers[name])
            self.run_for(4.5)
        self.run_for(10.0)
        self.assertIs(DONE, self.state("g"))
        self.ignore_lone_members()

    def test_lasting_task_that_crashes_its_workers_is_given_up(self) -> None:
        self.run_time_ms = lambda task, run: 10**9
        self.submit("deadly", pool_fixture.make_step(lasting=True))
        self.run_for(25.0)
        self.assertIs(FAILED, self.state("deadly"))

    def test_lasting_task_outlives_rare_crashes_of_its_workers(self) -> None:
        self.run_time_ms = lambda task, run: 10**9
        self.submit("j", pool_fixture.make_step(lasting=True))
        for _ in range(6):
            self.run_for(45.0)
            ((_, name),) = self.pool_workers.running()
            self.restarts.crash(self.pool_workers.workers[name])
        self.run_for(10.0)
        self.assertEqual(1, len(self.pool_workers.running()))

    def test_task_that_crashes_workers_by_late_starts_is_given_up(
        self,
    ) -> None:
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_worker.WorkerFault.LATE
            worker.start_delay_s = 1.0
        self.submit("deadly", pool_fixture.make_step())
        self.run_for(60.0)
        self.assertIs(FAILED, self.state("deadly"))

    def test_ends_of_incarnations_that_are_no_crashes_do_not_count(
        self,
    ) -> None:
        self.run_time_ms = lambda task, run: 60_000 if run < 9 else 1_000
        self.submit(
            "j", pool_fixture.make_step(tasks=6, max_tasks_per_worker=1)
        )
        for end in (self.cut, self.drain, self.lose_domain, self.lapse) * 2:
            self.run_for(0.5)
            end([w for w in self.pool_workers.workers.values() if w.running])
            self.run_for(12.0)
        self.run_time_ms = lambda task, run: 1_000
        self.run_for(80.0)
        self.assertIs(DONE, self.state("j", vm=self.owner_index()))

    def test_workers_that_drain_and_restart_under_their_id_do_not_count(
        self,
    ) -> None:
        self.restarts.keeps_id = lambda: True
        self.run_time_ms = lambda task, run: 60_000 if run < 5 else 1_000
        self.submit("j", pool_fixture.make_step())
        for _ in range(4):
            self.run_for(1.5)
            self.drain(
                [w for w in self.pool_workers.workers.values() if w.running]
            )
            self.run_for(6.0)
        self.assertIs(DONE, self.state("j"))

    def ignore_lone_members(self) -> None:
        """Members of a gang are alone while a crashed worker is not noticed."""
        self.pool_workers.violations = [
            each
            for each in self.pool_workers.violations
            if not each.startswith("GANG")
        ]

    def cut(self, busy: list[pool_worker.PoolWorker]) -> None:
        busy[0].fault = pool_worker.WorkerFault.SILENT

    def drain(self, busy: list[pool_worker.PoolWorker]) -> None:
        entry = msgspec.structs.replace(
            busy[0].entry, state=worker_directory.WorkerState.DRAINING
        )
        self.publish_entry(entry)
        self.run_for(0.5)
        self.restarts.crash(busy[0])

    def lose_domain(self, busy: list[pool_worker.PoolWorker]) -> None:
        domain = busy[0].entry.failure_domain
        for worker in list(self.pool_workers.workers.values()):
            if worker.entry.failure_domain == domain:
                self.restarts.crash(worker)

    def lapse(self, busy: list[pool_worker.PoolWorker]) -> None:
        self.remove_entry(busy[0].entry.worker)
        busy[0].crash()
