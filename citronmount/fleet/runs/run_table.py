"""Index of all runs of an owner and the resources they allocate."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

from citronmount.core import ids
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.workflow import units

__all__ = ["RunTable", "workers_of"]


def workers_of(runs: Iterable[unit_runs.Run]) -> set[ids.WorkerId]:
    """Returns the workers that hold live tasks of the runs."""
    return {member.place.worker for run in runs for member in run.live_members}


class RunTable:
    """Index of runs by unit, job, worker and task.

    Attributes:
        allocations: Resources that the runs allocate on each worker.
    """

    def __init__(self) -> None:
        """Initializes an empty table."""
        self.allocations = worker_allocations.WorkerAllocations()
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
        """Returns the run of a unit, or None if it has none."""
        return self._by_unit.get(unit)

    def runs_of_job(self, job: ids.JobId) -> list[unit_runs.Run]:
        """Returns the runs of a job."""
        return list(self._by_job.get(job, {}).values())

    def find_task(
        self, task: units.TaskName, number: int
    ) -> tuple[unit_runs.Run, unit_runs.Member] | None:
        """Returns the run and member of a task.

        Args:
            task: The task.
            number: Number of the run within its unit, counted from 1.

        Returns:
            The run and its member, or None if the unit has no run, its run has
            another number, or the task was marked as gone.
        """
        found = self._by_task.get(task)
        if found is None or found[0].number != number:
            return None
        return found

    def worker_ids(self) -> set[ids.WorkerId]:
        """Returns the workers that may hold tasks."""
        return set(self._on_worker)

    def tasks_on_worker(
        self, worker: ids.WorkerId
    ) -> list[tuple[unit_runs.Run, unit_runs.Member]]:
        """Returns the runs and members that a worker may hold."""
        return [self._by_task[task] for task in self._on_worker.get(worker, ())]

    def task_count_on(self, worker: ids.WorkerId) -> int:
        """Returns the number of tasks that a worker may hold."""
        return len(self._on_worker.get(worker, ()))

    def tasks_per_worker(
        self, key: units.UnitKey
    ) -> collections.Counter[ids.WorkerId]:
        """Returns how many live tasks of a unit's step each worker holds."""
        return collections.Counter(
            member.place.worker
            for run in self.runs_of_job(key.job)
            if run.key.step_key == key.step_key
            for member in run.live_members
        )

    def add(self, run: unit_runs.Run) -> None:
        """Adds a run and allocates the resources of its members."""
        self._by_unit[run.unit] = run
        self._by_job.setdefault(run.job, {})[run.unit] = run
        demand = worker_allocations.allocated_demand(run.step)
        for member in run.members:
            self._by_task[member.task] = (run, member)
            self._on_worker[member.place.worker][member.task] = run
            self.allocations.allocate(member.place.worker, demand)

    def lasting_allocations(self) -> worker_allocations.WorkerAllocations:
        """Returns the resources that lasting runs allocate on each worker.

        Unlike those of other runs, they do not become free with time.
        """
        allocations = worker_allocations.WorkerAllocations()
        for run in self._by_unit.values():
            if not run.step.lasting:
                continue
            demand = worker_allocations.allocated_demand(run.step)
            for member in run.live_members:
                allocations.allocate(member.place.worker, demand)
        return allocations

    def mark_gone(self, run: unit_runs.Run, member: unit_runs.Member) -> None:
        """Marks a member as gone and releases its resources; idempotent."""
        if member.state is run_states.MemberState.GONE:
            return
        member.state = run_states.MemberState.GONE
        worker = member.place.worker
        self._on_worker[worker].pop(member.task, None)
        if not self._on_worker[worker]:
            del self._on_worker[worker]
        self._by_task.pop(member.task, None)
        self.allocations.release(
            worker, worker_allocations.allocated_demand(run.step)
        )

    def remove(self, run: unit_runs.Run) -> None:
        """Removes a run whose members are all gone."""
        del self._by_unit[run.unit]
        runs_of_job = self._by_job[run.job]
        del runs_of_job[run.unit]
        if not runs_of_job:
            del self._by_job[run.job]
