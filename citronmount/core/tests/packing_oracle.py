"""Exhaustive packing of gangs into small pools, to check the planner."""

import collections

from citronmount.core import resources
from citronmount.core import states


def fits(rooms, racks, gangs):
    """Returns whether all gangs fit at once.

    Args:
        rooms: Room of each worker.
        racks: Rack of each worker.
        gangs: Shapes, one for each gang.
    """
    order = sorted(
        gangs,
        key=lambda g: (g.adjacency.value, -g.accelerators, repr(g)),
    )
    return _pack(dict(rooms), racks, tuple(order), {})


def _pack(rooms, racks, gangs, seen):
    if not gangs:
        return True
    key = (tuple(sorted(rooms.items(), key=repr)), len(gangs))
    if key not in seen:
        seen[key] = any(
            _pack(_less(rooms, gangs[0], slots), racks, gangs[1:], seen)
            for slots in _ways(rooms, racks, gangs[0])
        )
    return seen[key]


def _ways(rooms, racks, gang):
    enclosures = collections.defaultdict(list)
    for worker in rooms:
        scope = {
            states.Adjacency.WORKER: worker,
            states.Adjacency.RACK: racks[worker],
        }.get(gang.adjacency)
        enclosures[scope].append(worker)
    for workers in enclosures.values():
        yield from _spread(rooms, workers, gang, gang.tasks)


def _spread(rooms, workers, gang, tasks):
    if not tasks:
        yield {}
        return
    if not workers:
        return
    first, *others = workers
    most = min(resources.count(rooms[first], gang.per_task), tasks)
    for here in range(most, -1, -1):
        for slots in _spread(rooms, others, gang, tasks - here):
            yield {first: here, **slots} if here else slots


def _less(rooms, gang, slots):
    taken = {
        worker: resources.scaled(gang.per_task, tasks)
        for worker, tasks in slots.items()
    }
    return {
        worker: resources.minus(room, taken.get(worker, resources.NONE))
        for worker, room in rooms.items()
    }
