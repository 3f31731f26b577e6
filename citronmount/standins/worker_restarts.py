"""Crashes of in-memory workers, which start again some seconds later."""

import collections
from collections.abc import Callable

import msgspec

from citronmount.core import ids
from citronmount.fleet.workers import worker_directory
from citronmount.standins import pool_worker
from citronmount.standins import pool_workers
from citronmount.workflow import units

__all__ = ["WorkerRestarts"]

CRASH_DELAY_S = 0.01
RESTART_DELAY_S = 3.3
# Time from a restart under another id until the former entry is removed.
ENTRY_TTL_S = 4.5
CRASHES_BEFORE_LIMIT = 3
STARTS_BEYOND_LIMIT = 3


class WorkerRestarts:
    """Crashes the workers of a pool, by hand or when a deadly task starts.

    Appends a violation to those of the pool when a deadly task is started
    `STARTS_BEYOND_LIMIT` times more after it has crashed `CRASHES_BEFORE_LIMIT`
    workers (BUDGET).

    Attributes:
        crash_counts: Number of workers that each deadly task has crashed.
        former_ids: Ids that a worker no longer has.
        on_crash: Called with each worker before its crash.
        keeps_id: Returns whether a worker starts again under its former id.
        crash_delay_s: Time between the start of a deadly task and the crash.
        delay_s: Time between a crash and the next incarnation.
        publish_delay_s: Time until the entry of the next incarnation is
            published.
    """

    def __init__(
        self,
        *,
        pool: pool_workers.PoolWorkers,
        publish: Callable[[worker_directory.Worker], None],
        withdraw: Callable[[ids.WorkerId], None],
        is_deadly: Callable[[units.TaskName], bool],
    ) -> None:
        """Initializes the restarts of a pool.

        Args:
            pool: The workers.
            publish: Publishes the entry of a worker.
            withdraw: Removes the entry of a worker.
            is_deadly: Returns whether a task crashes its worker.
        """
        self.crash_counts: collections.Counter[units.TaskName] = (
            collections.Counter()
        )
        self.former_ids: set[ids.WorkerId] = set()
        self.on_crash: Callable[[pool_worker.PoolWorker], None] = (
            lambda worker: None
        )
        self.keeps_id: Callable[[], bool] = lambda: False
        self.crash_delay_s = CRASH_DELAY_S
        self.delay_s = RESTART_DELAY_S
        self.publish_delay_s = 0.0
        self._pool = pool
        self._publish = publish
        self._withdraw = withdraw
        self._is_deadly = is_deadly
        pool.on_start.append(self._task_started)

    def crash(self, worker: pool_worker.PoolWorker) -> None:
        """Crashes a worker that is up; it starts again after `delay_s`."""
        if self._pool.workers.get(worker.entry.worker) is not worker:
            return
        self.on_crash(worker)
        worker.crash()
        self._pool.clock.callLater(
            self.delay_s, self._restart, worker.entry, self.keeps_id()
        )

    def _task_started(
        self, worker: pool_worker.PoolWorker, task: units.TaskName
    ) -> None:
        if not self._is_deadly(task):
            return
        self.crash_counts[task] += 1
        starts_beyond = self.crash_counts[task] - CRASHES_BEFORE_LIMIT
        if starts_beyond == STARTS_BEYOND_LIMIT:
            self._pool.violations.append(
                f"BUDGET: {task} started {starts_beyond} times more after "
                f"{CRASHES_BEFORE_LIMIT} crashes"
            )
        self._pool.clock.callLater(self.crash_delay_s, self.crash, worker)

    def _restart(self, former: worker_directory.Worker, keeps_id: bool) -> None:
        life_ms = max(self._pool.now_ms(), former.life_ms + 1)
        worker_id = former.worker
        if not keeps_id:
            self.former_ids.add(former.worker)
            name = former.worker.partition("#")[0]
            worker_id = ids.WorkerId(f"{name}#{life_ms}")
            self._pool.clock.callLater(
                ENTRY_TTL_S, self._withdraw, former.worker
            )
        entry = msgspec.structs.replace(
            former,
            worker=worker_id,
            life_ms=life_ms,
            state=worker_directory.WorkerState.READY,
        )
        worker = self._pool.add(entry)
        self._pool.clock.callLater(
            self.publish_delay_s, self._publish_if_up, worker
        )

    def _publish_if_up(self, worker: pool_worker.PoolWorker) -> None:
        if self._pool.workers.get(worker.entry.worker) is worker:
            self._publish(worker.entry)
