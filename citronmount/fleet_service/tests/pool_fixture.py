"""A whole pool in virtual time: VMs, log and workers in memory."""

from collections.abc import Callable
import logging
import unittest

import msgspec
import structlog
from twisted.internet import defer
from twisted.python import failure

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet import fleet_configuration
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet.workers import worker_directory
from citronmount.fleet_service import job_service
from citronmount.fleet_service import pool_vm
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import heap_clock
from citronmount.standins import pool_log
from citronmount.standins import pool_worker
from citronmount.standins import pool_workers
from citronmount.workflow import spec
from citronmount.workflow import units

SERVICE = spec.ServiceName("runners")
CAPACITY = spec.Demand(millicores=64_000, memory_mb=131_072, accelerators=8)
STEP_S = 0.005


def make_queue(
    name: str = "batch",
    priority: int = 1,
    max_attempts: int = 3,
    needs_advice: bool = False,
    slack_factor: float = 3.0,
) -> fleet_configuration.Queue:
    return fleet_configuration.Queue(
        terms=spec.QueueTerms(
            queue=spec.QueueName(name),
            service=SERVICE,
            priority=priority,
            max_attempts=max_attempts,
            slack_factor=slack_factor,
            objective_ms=1_000,
            needs_advice=needs_advice,
        ),
        host="",
        path_prefix=f"/{name}/",
        timeout_ms=3_000,
    )


def make_step(accelerators: int = 1, **options: object) -> spec.Step:
    demand = spec.Demand(
        millicores=1_000 * accelerators,
        memory_mb=1_000,
        accelerators=accelerators,
    )
    options = {"tasks": 1, "estimate_ms": 1_000, **options}
    return spec.Step(demand=demand, **options)


class PoolTestCase(unittest.TestCase):
    """Runs tests on an in-memory pool of VMs and workers in virtual time."""

    features: frozenset[fleet_configuration.Feature] = frozenset()
    vm_count = 3
    workers_per_rack = 2
    racks = 2

    def setUp(self) -> None:
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
        )
        self.addCleanup(structlog.reset_defaults)
        self.clock = heap_clock.HeapClock()
        self.wall_offset_ms = 1_000_000
        self.log = pool_log.PoolLog(clock=self.clock)
        self.plans: dict[str, pool_worker.TaskPlan] = {}
        self.pool_workers = pool_workers.PoolWorkers(
            clock=self.clock, plan_task=self.task_plan
        )
        self.steps: dict[tuple[str, int], spec.Step] = {}
        self.run_time_ms: Callable[[units.TaskName, int], int] = (
            lambda task, run: 1_000
        )
        self.run_fails: Callable[[units.TaskName, int], bool] = (
            lambda task, run: False
        )
        self.entries: dict[str, worker_directory.Worker] = {}
        self.guaranteed_accelerators: dict[str, int] = {}
        self.quotas: dict[str, fleet_configuration.Quota] = {}
        self.weights: dict[str, float] = {}
        for rack in range(self.racks):
            for number in range(self.workers_per_rack):
                self.add_worker(f"w{rack}{number}", rack=f"rack{rack}")
        self.pool_vms = [self.make_vm(n) for n in range(self.vm_count)]
        self.publish_configuration()
        self.run_for(3.0)

    def tearDown(self) -> None:
        self.assertEqual([], self.pool_workers.violations)

    def make_vm(
        self, number: int, sized_for_ownership: bool = True
    ) -> pool_vm.PoolVm:
        vm_id = ids.VmId(f"vm{number}")
        vm = pool_vm.PoolVm(
            clock=self.clock,
            log=pool_log.PoolLogClient(log=self.log, vm=vm_id),
            worker_commands=self.pool_workers,
            decode=self.decode,
            bounds=fleet_configuration.Bounds(max_lease_ms=6_000),
            policy=lease_sessions.LeasePolicy(
                lease_ms=5_000, max_lease_ms=6_000
            ),
            sized_for_ownership=sized_for_ownership,
            wall_clock=self.wall_ms,
            features=self.features,
        )
        vm.start()
        return vm

    def wall_ms(self) -> int:
        return int(self.clock.seconds() * 1_000) + self.wall_offset_ms

    def add_worker(
        self, name: str, rack: str, life_ms: int = 1, **changes: object
    ) -> pool_worker.PoolWorker:
        entry = worker_directory.Worker(
            worker=ids.WorkerId(name),
            life_ms=life_ms,
            machine=f"m-{name}",
            address=name,
            failure_domain=ids.FailureDomainId(f"fd-{rack}"),
            service=SERVICE,
            state=worker_directory.WorkerState.READY,
            capacity=CAPACITY,
            labels=frozenset({"a", rack}),
            rack=ids.RackId(rack),
        )
        entry = msgspec.structs.replace(entry, **changes)
        worker = self.pool_workers.add(entry)
        self.publish_entry(entry)
        return worker

    def publish_entry(self, entry: worker_directory.Worker) -> None:
        """Publishes a worker's entry by a record with its key in `entries`."""
        entry_key = f"{entry.worker}/{len(self.entries)}"
        self.entries[entry_key] = entry
        self.log.append_records(
            ports.Topic.WORKERS, [(entry.worker, entry_key.encode("ascii"))]
        )

    def remove_entry(self, name: str) -> None:
        self.log.append_records(ports.Topic.WORKERS, [(name, None)])

    def publish_configuration(
        self, *more: fleet_configuration.Queue, version: int = 1
    ) -> None:
        accounts = tuple(
            fleet_configuration.Account(
                account=ids.AccountId(name),
                keys=frozenset({f"key-{name}"}),
                guaranteed_accelerators=self.guaranteed_accelerators.get(
                    name, 0
                ),
                quota=self.quotas.get(name, fleet_configuration.NO_QUOTA),
                weight=self.weights.get(name, 0.0),
            )
            for name in {
                **self.guaranteed_accelerators,
                **self.quotas,
                **self.weights,
            }
        )
        self.configuration = fleet_configuration.FleetConfiguration(
            version=version,
            queues=(make_queue(), make_queue("urgent", priority=0), *more),
            accounts=accounts,
        )
        self.log.append_records(ports.Topic.CONFIGURATION, [("config", b"x")])

    def decode(
        self, topic: ports.Topic, record: ports.LogRecord
    ) -> ports.LogEvent | None:
        if topic is ports.Topic.CONFIGURATION:
            if record.key.startswith("out/"):
                return ports.DomainServiceChanged(
                    domain=ids.FailureDomainId(record.key[4:]),
                    out=record.value is not None,
                )
            return ports.ConfigurationChanged(configuration=self.configuration)
        entry_key = (
            None if record.value is None else record.value.decode("ascii")
        )
        entry = self.entries[entry_key] if entry_key else None
        return ports.WorkerChanged(worker=record.key, entry=entry)

    def task_plan(self, name: units.TaskName, run: int) -> pool_worker.TaskPlan:
        job, _, number, _ = name.split(".")
        step = self.steps[job, int(number)]
        return pool_worker.TaskPlan(
            run_time_ms=self.run_time_ms(name, run),
            demand=step.demand,
            gang=step.tasks if step.gang else 1,
            fails=self.run_fails(name, run),
            lasting=step.lasting,
        )

    def run_for(self, time_s: float) -> None:
        for _ in range(round(time_s / STEP_S)):
            self.clock.advance(STEP_S)

    def wait_for(self, deferred: defer.Deferred, limit_s: float = 5.0):
        results: list[object] = []
        deferred.addBoth(results.append)
        end_s = self.clock.seconds() + limit_s
        while not results and self.clock.seconds() < end_s:
            self.clock.advance(STEP_S)
        self.assertTrue(results, "call not answered within the time limit")
        if isinstance(results[0], failure.Failure):
            results[0].raiseException()
        return results[0]

    def submit(
        self,
        job: str,
        *steps: spec.Step,
        queue: str = "batch",
        account: str = "acme",
        vm: int = 0,
        **options: int,
    ) -> job_service.RequestOutcome:
        for number, step in enumerate(steps):
            self.steps[job, number] = step
        workflow = spec.Workflow(
            job=ids.JobId(job), payload="", steps=steps, **options
        )
        queues = self.configuration.queues
        target = next(q for q in queues if q.terms.queue == queue)
        call = self.pool_vms[vm].job_service.submit(
            target, ids.AccountId(account), workflow, 3_000
        )
        return self.wait_for(defer.ensureDeferred(call)).verdict

    def cancel(self, job: str, vm: int = 0) -> job_service.RequestOutcome:
        call = self.pool_vms[vm].job_service.cancel(
            self.configuration.queues[0], ids.JobId(job), 3_000
        )
        return self.wait_for(defer.ensureDeferred(call)).verdict

    def state(
        self, job: str, vm: int = 0, queue: int = 0
    ) -> states.JobState | None:
        call = self.pool_vms[vm].job_service.state(
            self.configuration.queues[queue], ids.JobId(job)
        )
        return self.wait_for(defer.ensureDeferred(call))

    def owner_index(self) -> int:
        active = [n for n, vm in enumerate(self.pool_vms) if vm.owns_pool]
        self.assertEqual(1, len(active), "exactly one VM must own the pool")
        return active[0]

    def starts_of(self, job: str) -> list[tuple[str, int, str]]:
        return [
            each for each in self.pool_workers.starts if each[0].startswith(job)
        ]
