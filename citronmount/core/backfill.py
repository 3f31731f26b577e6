"""Lets later jobs start early when they cannot delay the first in line.

The reservation for the first job that does not fit follows EASY backfilling
(Lifka, "The ANL/IBM SP Scheduling System", JSSPP 1995).
"""

from collections.abc import Iterable

import msgspec

from citronmount.core import domain_state
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import policy as policy_lib
from citronmount.core import pool
from citronmount.core import queueing
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import states

__all__ = ["OwnRoom", "Reservation", "reserve"]


class OwnRoom:
    """Guards the first blocked job of an account inside its own cells."""

    def __init__(
        self,
        domain: domain_state.DomainState,
        account: ids.AccountId,
        now_ms: int,
    ) -> None:
        """Initializes a guard with no job blocked."""
        self._domain = domain
        self._account = account
        self._now_ms = now_ms
        self._blocked: queueing.Entry | None = None
        self._start_ms: int | None = None

    def block(self, entry: queueing.Entry) -> None:
        """Notes a job that waits for room in the cells of its account."""
        if self._blocked is None:
            self._blocked = entry

    def lets(self, entry: queueing.Entry) -> bool:
        """Returns whether a later job may use the cells now."""
        if self._blocked is None:
            return True
        backfill = self._domain.policy.backfill
        if backfill is not policy_lib.Backfill.RESERVATION:
            return backfill is policy_lib.Backfill.ANY
        if self._start_ms is None:
            self._start_ms = self._start_of_blocked()
        run_ms = self._domain.estimator.run_ms(entry.spec, entry.progress)
        return self._now_ms + run_ms <= self._start_ms

    def _start_of_blocked(self) -> int:
        """Finds by bisection how many ends the blocked job waits for."""
        domain = self._domain
        ends = sorted(
            (domain.end_of(domain.placed[job], self._now_ms), job)
            for cell in domain.plan.cells(self._account)
            for job in cell.jobs
            if job in domain.placed
        )
        low, high = 0, len(ends)
        while low < high:
            middle = (low + high) // 2
            staying = {job for _, job in ends[middle:]}
            shape = self._blocked.shape
            if domain.plan.could_hold(self._account, shape, staying):
                high = middle
            else:
                low = middle + 1
        return ends[low - 1][0] if low else self._now_ms


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """Room kept for the first job in line from a time on.

    Attributes:
        job: The job.
        start_ms: When enough room is expected to be free.
        need: What it will use of each worker.
    """

    job: ids.JobId
    start_ms: int
    need: dict[ids.WorkerId, jobs.Resources]

    def limit(
        self,
        domain: domain_state.DomainState,
        worker: ids.WorkerId,
        now_ms: int,
    ) -> jobs.Resources:
        """Returns the room of a worker that a long job may take.

        Args:
            domain: The failure domain.
            worker: The worker.
            now_ms: Monotonic time.

        Returns:
            The free room, or what the reservation leaves of the room that is
            expected to be free at its start.
        """
        room = domain.pool.free.room(worker)
        need = self.need.get(worker)
        if need is None:
            return room
        for job, tasks in domain.pool.jobs_on(worker).items():
            placed = domain.placed.get(job)
            if placed and domain.end_of(placed, now_ms) <= self.start_ms:
                freed = resources.scaled(placed.entry.spec.per_task, tasks)
                room = resources.plus(room, freed)
        return resources.minus(room, need)


def reserve(
    domain: domain_state.DomainState, entry: queueing.Entry, now_ms: int
) -> Reservation | None:
    """Finds when and where a blocked job can start.

    Args:
        domain: The failure domain.
        entry: The job.
        now_ms: Monotonic time.

    Returns:
        The reservation, or None if it does not fit even when all placed jobs
        have ended.
    """
    ahead = _Ahead(domain.pool.free, entry.shape)
    ends = sorted(
        (
            (domain.end_of(placed, now_ms), job)
            for job, placed in _ending(domain)
        ),
    )
    for end_ms, job in ends:
        placed = domain.placed[job]
        for group in placed.groups:
            freed = resources.scaled(placed.entry.spec.per_task, group.tasks)
            ahead.free(group.worker, freed)
        found = ahead.fits_on(group.worker for group in placed.groups)
        if found is not None:
            need = {
                worker: resources.scaled(entry.spec.per_task, tasks)
                for worker, tasks in found.items()
            }
            return Reservation(job=entry.spec.job, start_ms=end_ms, need=need)
    return None


def _ending(
    domain: domain_state.DomainState,
) -> Iterable[tuple[ids.JobId, domain_state.PlacedJob]]:
    return domain.placed.items()


class _Ahead:
    """Free room as it will be when some jobs have ended."""

    def __init__(self, index: pool.RoomIndex, shape: shapes.Shape) -> None:
        self._index = index
        self._shape = shape
        self._freed: dict[ids.WorkerId, jobs.Resources] = {}
        self._total: int | None = None

    def free(self, worker: ids.WorkerId, amount: jobs.Resources) -> None:
        if worker not in self._index:
            return
        before = self._count(worker)
        freed = self._freed.get(worker, resources.NONE)
        self._freed[worker] = resources.plus(freed, amount)
        if self._total is not None:
            self._total += self._count(worker) - before

    def fits_on(
        self, workers: Iterable[ids.WorkerId]
    ) -> dict[ids.WorkerId, int] | None:
        """Returns the gang's groups if room freed on workers lets it fit."""
        if self._shape.adjacency is states.Adjacency.FAILURE_DOMAIN:
            return self._fits_anywhere()
        for worker in workers:
            if worker not in self._index:
                continue
            scope = [worker]
            if self._shape.adjacency is states.Adjacency.RACK:
                scope = self._index.members(self._index.rack(worker))
            groups = self._fill(scope)
            if groups is not None:
                return groups
        return None

    def _fits_anywhere(self) -> dict[ids.WorkerId, int] | None:
        if self._total is None:
            self._total = sum(self._count(worker) for worker in self._index)
        if self._total < self._shape.tasks:
            return None
        return self._fill([*self._freed, *self._index])

    def _fill(
        self, workers: Iterable[ids.WorkerId]
    ) -> dict[ids.WorkerId, int] | None:
        left = self._shape.tasks
        groups: dict[ids.WorkerId, int] = {}
        for worker in workers:
            tasks = min(self._count(worker), left)
            if tasks and worker not in groups:
                groups[worker] = tasks
                left -= tasks
            if not left:
                return groups
        return None

    def _count(self, worker: ids.WorkerId) -> int:
        room = self._index.room(worker)
        freed = self._freed.get(worker, resources.NONE)
        return resources.count(
            resources.plus(room, freed), self._shape.per_task
        )
