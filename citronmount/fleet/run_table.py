"""All runs of an owner, with the room that they hold."""

import collections
from collections.abc import Iterator

from citronmount.core import ids
from citronmount.fleet import unit_runs
from citronmount.fleet import worker_allocations
from citronmount.workflow import units

__all__ = ["RunTable"]


class RunTable:
    """Runs by unit, job, worker and task.

    Attributes:
        room: What the runs hold of each worker.
    """

    def __init__(self) -> None:
        """Initializes an empty table."""
        self.room = worker_allocations.WorkerAllocations()
        self._by_unit: dict[units.UnitId, unit_runs.Run] = {}
        self._by_job: dict[ids.JobId, dict[units.UnitId, unit_runs.Run]] = {}
        self._by_task: dict[
            units.TaskName, tuple[unit_runs.Run, unit_runs.Member]
        ] = {}
        self._on_worker: dict[
            ids.WorkerId, dict[units.TaskName, unit_runs.Run]
        ] = collections.defaultdict(dict)

    def __iter__(self) -> Iterator[unit_runs.Run]:
        """Iterates over all runs."""
        return iter(list(self._by_unit.values()))

    def __len__(self) -> int:
        """Returns the number of runs."""
        return len(self._by_unit)

    def get(self, unit: units.UnitId) -> unit_runs.Run | None:
        """Returns the run of a unit, if it has one."""
        return self._by_unit.get(unit)

    def of_job(self, job: ids.JobId) -> list[unit_runs.Run]:
        """Returns the runs of a job."""
        return list(self._by_job.get(job, {}).values())

    def of_task(
        self, task: units.TaskName, number: int
    ) -> tuple[unit_runs.Run, unit_runs.Member] | None:
        """Returns the run and member of a task, if it is that run."""
        found = self._by_task.get(task)
        if found is None or found[0].number != number:
            return None
        return found

    def on_worker(
        self, worker: ids.WorkerId
    ) -> list[tuple[unit_runs.Run, unit_runs.Member]]:
        """Returns what a worker may hold."""
        return [self._by_task[task] for task in self._on_worker.get(worker, ())]

    def count_on(self, worker: ids.WorkerId) -> int:
        """Returns how many tasks a worker may hold."""
        return len(self._on_worker.get(worker, ()))

    def add(self, run: unit_runs.Run) -> None:
        """Adds a run and takes the room of its members."""
        self._by_unit[run.unit] = run
        self._by_job.setdefault(run.job, {})[run.unit] = run
        demand = worker_allocations.allocated_demand(run.step)
        for member in run.members:
            self._by_task[member.task] = (run, member)
            self._on_worker[member.place.worker][member.task] = run
            self.room.take(member.place.worker, demand)

    def gone(self, run: unit_runs.Run, member: unit_runs.Member) -> None:
        """Notes that a member does not run and cannot start any more."""
        if member.state is unit_runs.MemberState.GONE:
            return
        member.state = unit_runs.MemberState.GONE
        worker = member.place.worker
        self._on_worker[worker].pop(member.task, None)
        if not self._on_worker[worker]:
            del self._on_worker[worker]
        self._by_task.pop(member.task, None)
        self.room.give_back(
            worker, worker_allocations.allocated_demand(run.step)
        )

    def remove(self, run: unit_runs.Run) -> None:
        """Removes a run that is over."""
        del self._by_unit[run.unit]
        of_job = self._by_job[run.job]
        del of_job[run.unit]
        if not of_job:
            del self._by_job[run.job]
