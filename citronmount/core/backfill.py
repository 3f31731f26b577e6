"""Backfilling: starts later jobs early if they do not delay the queue head.

The first job that does not fit gets a reservation, as in EASY backfilling
(Lifka, "The ANL/IBM SP Scheduling System", JSSPP 1995).
"""

from collections.abc import Iterable

import msgspec

from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import job_queue
from citronmount.core import jobs
from citronmount.core import policies
from citronmount.core import pool
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import states

__all__ = ["CellBackfill", "Reservation", "reserve"]


class CellBackfill:
    """Decides which jobs of an account may pass a blocked one in its cells.

    The first job of the account that finds no free capacity in the account's
    cells is the blocked one. Under `policies.Backfill.RESERVATION` a later job
    may use the cells only if it is expected to end before the blocked job can
    start.
    """

    def __init__(
        self,
        domain: domain_state.DomainState,
        account: ids.AccountId,
        now_ms: int,
    ) -> None:
        """Initializes the check with no blocked job.

        Args:
            domain: State of the failure domain.
            account: The account that owns the cells.
            now_ms: Monotonic time.
        """
        self._domain = domain
        self._account = account
        self._now_ms = now_ms
        self._blocked: job_queue.JobEntry | None = None
        self._start_ms: int | None = None

    def set_blocked(self, entry: job_queue.JobEntry) -> None:
        """Records a blocked job, unless an earlier one is blocked already."""
        if self._blocked is None:
            self._blocked = entry

    def allows(self, entry: job_queue.JobEntry) -> bool:
        """Returns whether a later job may use the account's cells now."""
        if self._blocked is None:
            return True
        backfill = self._domain.policy.backfill
        if backfill is not policies.Backfill.RESERVATION:
            return backfill is policies.Backfill.ANY
        if self._start_ms is None:
            self._start_ms = self._blocked_start_ms()
        run_ms = self._domain.estimator.expected_run_ms(
            entry.spec, entry.progress
        )
        return self._now_ms + run_ms <= self._start_ms

    def _blocked_start_ms(self) -> int:
        """Returns when the blocked job is expected to fit into the cells.

        Bisects over the expected end times of the jobs in the cells for the
        fewest that must end first.
        """
        domain = self._domain
        end_times = sorted(
            (domain.expected_end_ms(domain.placed[job], self._now_ms), job)
            for cell in domain.plan.cells(self._account)
            for job in cell.jobs
            if job in domain.placed
        )
        low, high = 0, len(end_times)
        while low < high:
            mid = (low + high) // 2
            remaining_jobs = {job for _, job in end_times[mid:]}
            shape = self._blocked.shape
            if domain.plan.could_fit(self._account, shape, remaining_jobs):
                high = mid
            else:
                low = mid + 1
        return end_times[low - 1][0] if low else self._now_ms


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity reserved for the first blocked job in the queue.

    Attributes:
        job: The blocked job.
        start_ms: Monotonic time at which it is expected to fit.
        need: Resources that it will use on each worker.
    """

    job: ids.JobId
    start_ms: int
    need: dict[ids.WorkerId, jobs.Resources]

    def available_to_long_job(
        self,
        domain: domain_state.DomainState,
        worker: ids.WorkerId,
        now_ms: int,
    ) -> jobs.Resources:
        """Returns the capacity that a job may use beyond `start_ms`.

        Args:
            domain: State of the failure domain.
            worker: The worker.
            now_ms: Monotonic time.

        Returns:
            The free capacity of a worker without a reservation. Otherwise the
            capacity expected to be free at `start_ms` minus the reserved
            resources. The latter includes resources of jobs that end only by
            `start_ms`, so it may exceed the capacity that is free now.
        """
        available = domain.pool.free.available(worker)
        need = self.need.get(worker)
        if need is None:
            return available
        for job, tasks in domain.pool.jobs_on(worker).items():
            placed = domain.placed.get(job)
            if (
                placed
                and domain.expected_end_ms(placed, now_ms) <= self.start_ms
            ):
                freed = resources.scaled(placed.entry.spec.per_task, tasks)
                available = resources.plus(available, freed)
        return resources.minus(available, need)


def reserve(
    domain: domain_state.DomainState, entry: job_queue.JobEntry, now_ms: int
) -> Reservation | None:
    """Finds when and where a blocked job can start.

    Placed jobs are assumed to end one after the other at their expected end
    times, until the blocked job fits.

    Args:
        domain: State of the failure domain.
        entry: The blocked job.
        now_ms: Monotonic time.

    Returns:
        The reservation, or None if the job does not fit even after all placed
        jobs have ended.
    """
    future = _FutureCapacity(domain.pool.free, entry.shape)
    end_times = sorted(
        (
            (domain.expected_end_ms(placed, now_ms), job)
            for job, placed in _placed_jobs(domain)
        ),
    )
    for end_ms, job in end_times:
        placed = domain.placed[job]
        for group in placed.groups:
            freed = resources.scaled(placed.entry.spec.per_task, group.tasks)
            future.free(group.worker, freed)
        tasks_by_worker = future.find_tasks_by_worker(
            group.worker for group in placed.groups
        )
        if tasks_by_worker is not None:
            need = {
                worker: resources.scaled(entry.spec.per_task, tasks)
                for worker, tasks in tasks_by_worker.items()
            }
            return Reservation(job=entry.spec.job, start_ms=end_ms, need=need)
    return None


def _placed_jobs(
    domain: domain_state.DomainState,
) -> Iterable[tuple[ids.JobId, domain_state.PlacedJob]]:
    return domain.placed.items()


class _FutureCapacity:
    """Free capacity as it will be after some placed jobs have ended."""

    def __init__(self, index: pool.CapacityIndex, shape: shapes.Shape) -> None:
        self._index = index
        self._shape = shape
        self._freed: dict[ids.WorkerId, jobs.Resources] = {}
        self._total_tasks: int | None = None

    def free(self, worker: ids.WorkerId, amount: jobs.Resources) -> None:
        if worker not in self._index:
            return
        before = self._tasks_on(worker)
        freed = self._freed.get(worker, resources.ZERO)
        self._freed[worker] = resources.plus(freed, amount)
        if self._total_tasks is not None:
            self._total_tasks += self._tasks_on(worker) - before

    def find_tasks_by_worker(
        self, workers: Iterable[ids.WorkerId]
    ) -> dict[ids.WorkerId, int] | None:
        """Returns the gang's tasks by worker, or None if it does not fit.

        A gang confined to one worker or rack is tried only on the given
        workers or their racks: nothing has been freed elsewhere.

        Args:
            workers: The workers on which capacity was freed last.
        """
        if self._shape.adjacency is states.Adjacency.FAILURE_DOMAIN:
            return self._find_anywhere()
        for worker in workers:
            if worker not in self._index:
                continue
            scope = [worker]
            if self._shape.adjacency is states.Adjacency.RACK:
                scope = self._index.workers_of_rack(self._index.rack(worker))
            tasks_by_worker = self._fill_workers(scope)
            if tasks_by_worker is not None:
                return tasks_by_worker
        return None

    def _find_anywhere(self) -> dict[ids.WorkerId, int] | None:
        if self._total_tasks is None:
            self._total_tasks = sum(
                self._tasks_on(worker) for worker in self._index
            )
        if self._total_tasks < self._shape.tasks:
            return None
        return self._fill_workers([*self._freed, *self._index])

    def _fill_workers(
        self, workers: Iterable[ids.WorkerId]
    ) -> dict[ids.WorkerId, int] | None:
        remaining = self._shape.tasks
        tasks_by_worker: dict[ids.WorkerId, int] = {}
        for worker in workers:
            tasks = min(self._tasks_on(worker), remaining)
            if tasks and worker not in tasks_by_worker:
                tasks_by_worker[worker] = tasks
                remaining -= tasks
            if not remaining:
                return tasks_by_worker
        return None

    def _tasks_on(self, worker: ids.WorkerId) -> int:
        available = self._index.available(worker)
        freed = self._freed.get(worker, resources.ZERO)
        return resources.task_capacity(
            resources.plus(available, freed), self._shape.per_task
        )
