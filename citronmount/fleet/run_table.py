"""All runs of an owner, with the room that they hold."""

import collections
from collections.abc import Iterator

from citronmount.core import ids
from citronmount.fleet import room as room_lib
from citronmount.fleet import runs
from citronmount.workflow import units

__all__ = ["RunTable"]


class RunTable:
    """Runs by unit, job, worker and task.

    Attributes:
        room: What the runs hold of each worker.
    """

    def __init__(self) -> None:
        """Initializes an empty table."""
        self.room = room_lib.Room()
        self._by_unit: dict[units.UnitId, runs.Run] = {}
        self._by_job: dict[ids.JobId, dict[units.UnitId, runs.Run]] = {}
        self._by_task: dict[units.TaskName, tuple[runs.Run, runs.Member]] = {}
        self._on_worker: dict[ids.WorkerId, dict[units.TaskName, runs.Run]] = (
            collections.defaultdict(dict)
        )

    def __iter__(self) -> Iterator[runs.Run]:
        """Iterates over all runs."""
        return iter(list(self._by_unit.values()))

    def __len__(self) -> int:
        """Returns the number of runs."""
        return len(self._by_unit)

    def get(self, unit: units.UnitId) -> runs.Run | None:
        """Returns the run of a unit, if it has one."""
        return self._by_unit.get(unit)

    def of_job(self, job: ids.JobId) -> list[runs.Run]:
        """Returns the runs of a job."""
        return list(self._by_job.get(job, {}).values())

    def of_task(
        self, task: units.TaskName, number: int
    ) -> tuple[runs.Run, runs.Member] | None:
        """Returns the run and member of a task, if it is that run."""
        found = self._by_task.get(task)
        if found is None or found[0].number != number:
            return None
        return found

    def on_worker(
        self, worker: ids.WorkerId
    ) -> list[tuple[runs.Run, runs.Member]]:
        """Returns what a worker may hold."""
        return [self._by_task[task] for task in self._on_worker.get(worker, ())]

    def count_on(self, worker: ids.WorkerId) -> int:
        """Returns how many tasks a worker may hold."""
        return len(self._on_worker.get(worker, ()))

    def add(self, run: runs.Run) -> None:
        """Adds a run and takes the room of its members."""
        self._by_unit[run.unit] = run
        self._by_job.setdefault(run.job, {})[run.unit] = run
        demand = room_lib.charged(run.step)
        for member in run.members:
            self._by_task[member.task] = (run, member)
            self._on_worker[member.place.worker][member.task] = run
            self.room.take(member.place.worker, demand)

    def gone(self, run: runs.Run, member: runs.Member) -> None:
        """Notes that a member does not run and cannot start any more."""
        if member.state is runs.MemberState.GONE:
            return
        member.state = runs.MemberState.GONE
        worker = member.place.worker
        self._on_worker[worker].pop(member.task, None)
        if not self._on_worker[worker]:
            del self._on_worker[worker]
        self._by_task.pop(member.task, None)
        self.room.give_back(worker, room_lib.charged(run.step))

    def remove(self, run: runs.Run) -> None:
        """Removes a run that is over."""
        del self._by_unit[run.unit]
        of_job = self._by_job[run.job]
        del of_job[run.unit]
        if not of_job:
            del self._by_job[run.job]
