"""Workers of a soak that restart, crash under tasks and change their capacity.

Workers restart under their former id or under another one, and their entries
are published late. The tasks of every `DEADLY_JOB_PERIOD`th job crash their
workers; it must be given up. Another job may only be if two workers have
crashed under one of its tasks.
"""

import collections
from collections.abc import Callable
import random

import msgspec
from twisted.internet import reactor

from citronmount.core import ids
from citronmount.fleet.workers import worker_directory
from citronmount.platform.tests import loopback_site
from citronmount.standins import pool_worker
from citronmount.standins import pool_workers
from citronmount.standins import worker_restarts
from citronmount.workflow import spec
from citronmount.workflow import units

DEADLY_JOB_PERIOD = 25
MIN_CRASHES_TO_FAIL = 2
FAULT_GAP_S = (0.5, 3.0)
RESTART_DELAY_S = (0.05, 4.0)
PUBLISH_DELAY_S = (0.0, 1.5)
CAPACITY_SHARES = (0.5, 0.75, 1.0)


class WorkerSoak:
    """Injects the faults of workers.

    Attributes:
        faults: Description of each fault.
        crash_counts: Number of workers that crashed under each task.
        last_fault_s: Time until which the last fault lasts.
    """

    def __init__(
        self,
        *,
        pool: pool_workers.PoolWorkers,
        rng: random.Random,
        capacity: spec.Demand,
        publish: Callable[[worker_directory.Worker], None],
        withdraw: Callable[[ids.WorkerId], None],
    ) -> None:
        self.faults: list[str] = []
        self.last_fault_s = 0.0
        self.restarts = worker_restarts.WorkerRestarts(
            pool=pool,
            publish=publish,
            withdraw=withdraw,
            is_deadly=lambda task: is_deadly(task.partition(".")[0]),
        )
        self.restarts.on_crash = self.prepare_restart
        self.crash_counts: collections.Counter[str] = collections.Counter()
        self._pool = pool
        self._rng = rng
        self._capacity = capacity
        self._publish = publish

    def may_fail(self, job: str) -> bool:
        """Returns whether two workers have crashed under a task of a job."""
        return any(
            count >= MIN_CRASHES_TO_FAIL
            for task, count in self.crash_counts.items()
            if task.startswith(job)
        )

    def prepare_restart(self, worker: pool_worker.PoolWorker) -> None:
        self.crash_counts.update(list(worker.running))
        keeps_id = self._rng.random() < 0.6
        self.restarts.keeps_id = lambda: keeps_id
        self.restarts.delay_s = loopback_site.draw(self._rng, *RESTART_DELAY_S)
        self.restarts.publish_delay_s = loopback_site.draw(
            self._rng, *PUBLISH_DELAY_S
        )
        self.last_fault_s = reactor.seconds() + self.restarts.delay_s
        self.faults.append(
            f"crash of {worker.entry.worker} for {self.restarts.delay_s:.2f} s"
        )

    async def run(self, duration_s: float) -> None:
        end_s = reactor.seconds() + duration_s
        while reactor.seconds() < end_s:
            await loopback_site.sleep(
                loopback_site.draw(self._rng, *FAULT_GAP_S)
            )
            worker = self._rng.choice(list(self._pool.workers.values()))
            fault = self._rng.choice((self.restarts.crash, self.change))
            fault(worker)
        for worker in list(self._pool.workers.values()):
            self.set_capacity(worker, 1.0)

    def change(self, worker: pool_worker.PoolWorker) -> None:
        share = self._rng.choice(CAPACITY_SHARES)
        self.faults.append(f"capacity {share} of {worker.entry.worker}")
        self.set_capacity(worker, share)

    def set_capacity(
        self, worker: pool_worker.PoolWorker, share: float
    ) -> None:
        amounts = msgspec.structs.asdict(self._capacity)
        worker.change_capacity(
            spec.Demand(**{k: int(n * share) for k, n in amounts.items()})
        )
        self._publish(worker.entry)


def is_deadly(job: units.TaskName) -> bool:
    return int(job, 16) % DEADLY_JOB_PERIOD == 7
