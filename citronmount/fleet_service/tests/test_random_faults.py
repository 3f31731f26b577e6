"""Faults at random moments: pauses, lost answers, silence, restarts, junk."""

import logging
import random
import unittest

import structlog
from twisted.internet import defer

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service import job_service
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.fleet_service.tests import process_fixture
from citronmount.standins import pool_log
from citronmount.standins import pool_worker

SEEDS = range(1, 9)
FAULTS_PER_SEED = 12
LOG_FAULTS = (
    pool_log.LogFault.REFUSES,
    pool_log.LogFault.SILENT,
    pool_log.LogFault.LOSES_ANSWERS,
)
WORKER_FAULTS = (
    pool_worker.WorkerFault.SILENT,
    pool_worker.WorkerFault.LOSES_NEXT_START,
    pool_worker.WorkerFault.LOSES_NEXT_ANSWER,
    pool_worker.WorkerFault.REFUSING,
)
JUNK = (
    ("u/x", b"\xff"),
    ("j/1", b"\x81\xa1x" + b"\x91" * 3_000 + b"\x01"),
    ("w", b"\x82\xa4type\xa1w"),
    ("", b"[]"),
)


class RandomFaultTest(process_fixture.ProcessTestCase):
    workers_per_rack = 3

    def test_accepted_jobs_complete_and_run_once(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.setUp()  # A new pool, so that a seed repeats the run
                self.run_seed(seed)

    def run_seed(self, seed: int) -> None:
        self.random = random.Random(seed)
        # Skipped records are logged as errors.
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(
                logging.CRITICAL
            )
        )
        self.run_time_ms = lambda task, run: 1_500
        outcomes: dict[str, job_service.RequestOutcome] = {}
        for number in range(FAULTS_PER_SEED):
            job = f"s{seed}n{number}"
            gang = pool_fixture.make_step(tasks=4, gang=True, after=(0,))
            steps = pool_fixture.make_step(tasks=4), gang
            vm = self.random.randrange(self.vm_count)
            if not self.process_of[vm].paused:
                outcomes[job] = self.submit(job, *steps, vm=vm)
            self.begin_fault()
            self.run_for(self.random.choice((0.05, 0.3, 1.0, 2.5)))
            if self.random.random() < 0.6:
                self.end_faults()
                self.run_for(self.random.choice((0.1, 1.0, 3.0)))
        self.end_faults()
        self.run_for(60.0)
        self.check(outcomes)

    def begin_fault(self) -> None:
        vm = self.random.randrange(self.vm_count)
        owners = [n for n, each in enumerate(self.pool_vms) if each.owns_pool]
        if owners and self.random.random() < 0.5:
            vm = owners[0]
        process = self.process_of[vm]
        match self.random.randrange(7):
            case 0:
                process.paused = True
            case 1:
                process.pause_before = self.random.choice(
                    ("start", "append_as_owner", "renew_leases", "join")
                )
            case 2:
                name = ids.VmId(f"vm{vm}")
                self.log.faults[name] = self.random.choice(LOG_FAULTS)
            case 3:
                workers = list(self.pool_workers.workers.values())
                for worker in self.random.sample(workers, 2):
                    worker.fault = self.random.choice(WORKER_FAULTS)
            case 4:
                self.log.append_records(ports.Topic.JOBS, JUNK)
                self.log.append_records(ports.Topic.WORKERS, [("x", b"?")])
            case 5:
                self.stop_and_restart(vm)
            case 6:
                self.crash_and_restart(vm)

    def crash_and_restart(self, vm: int) -> None:
        self.processes.remove(self.process_of[vm])
        self.pool_vms[vm] = self.make_vm(vm)

    def stop_and_restart(self, vm: int) -> None:
        if self.process_of[vm].paused:
            return
        defer.ensureDeferred(self.pool_vms[vm].release_ownership())
        self.pool_vms[vm].stop()
        self.pool_vms[vm] = self.make_vm(vm)

    def end_faults(self) -> None:
        self.log.faults.clear()
        for process in self.processes:
            process.paused = False
            process.pause_before = ""
        for worker in self.pool_workers.workers.values():
            worker.fault = pool_worker.WorkerFault.NONE

    def check(self, outcomes: dict[str, job_service.RequestOutcome]) -> None:
        # A gang runs in part if its owner is paused in the midst of the start.
        violations = [
            each
            for each in self.pool_workers.violations
            if not each.startswith("GANG")
        ]
        self.assertEqual([], violations)
        self.pool_workers.violations.clear()
        vm = self.owner_index()
        for job, outcome in outcomes.items():
            started = bool(self.starts_of(f"{job}."))
            if outcome is job_service.RequestOutcome.DONE:
                state = self.state(job, vm=vm)
                self.assertIs(states.JobState.DONE, state, job)
            if outcome is job_service.RequestOutcome.NOT_DONE:
                self.assertFalse(started, job)


if __name__ == "__main__":
    unittest.main()
