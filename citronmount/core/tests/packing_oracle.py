"""Packs gangs into small pools by exhaustive search, to check the planner."""

import collections

from citronmount.core import resources
from citronmount.core import states


def fits(capacities, racks, gangs):
    """Returns whether all gangs fit at once.

    Args:
        capacities: Capacity of each worker.
        racks: Rack of each worker.
        gangs: Shape of each gang.
    """
    ordered_gangs = sorted(
        gangs,
        key=lambda gang: (gang.adjacency.value, -gang.accelerators, repr(gang)),
    )
    return _pack(dict(capacities), racks, tuple(ordered_gangs), {})


def _pack(capacities, racks, gangs, results):
    if not gangs:
        return True
    key = (tuple(sorted(capacities.items(), key=repr)), len(gangs))
    if key not in results:
        results[key] = any(
            _pack(
                _subtract(capacities, gangs[0], slots),
                racks,
                gangs[1:],
                results,
            )
            for slots in _slot_choices(capacities, racks, gangs[0])
        )
    return results[key]


def _slot_choices(capacities, racks, gang):
    workers_by_scope = collections.defaultdict(list)
    for worker in capacities:
        scope = {
            states.Adjacency.WORKER: worker,
            states.Adjacency.RACK: racks[worker],
        }.get(gang.adjacency)
        workers_by_scope[scope].append(worker)
    for workers in workers_by_scope.values():
        yield from _distributions(capacities, workers, gang, gang.tasks)


def _distributions(capacities, workers, gang, tasks):
    if not tasks:
        yield {}
        return
    if not workers:
        return
    worker, *others = workers
    max_tasks = min(
        resources.task_capacity(capacities[worker], gang.per_task), tasks
    )
    for tasks_here in range(max_tasks, -1, -1):
        for slots in _distributions(
            capacities, others, gang, tasks - tasks_here
        ):
            yield {worker: tasks_here, **slots} if tasks_here else slots


def _subtract(capacities, gang, slots):
    used = {
        worker: resources.scaled(gang.per_task, tasks)
        for worker, tasks in slots.items()
    }
    return {
        worker: resources.minus(available, used.get(worker, resources.ZERO))
        for worker, available in capacities.items()
    }
