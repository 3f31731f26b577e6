"""Checks whether the guarantees of a configuration fit into a pool."""

import collections

from citronmount.config import configuration as configuration_lib
from citronmount.core import cells
from citronmount.core import ids
from citronmount.core import shapes
from citronmount.core import shares
from citronmount.services import messages

__all__ = ["required_cells", "infeasible_guarantees"]


def required_cells(
    share: shares.Share,
) -> dict[tuple[ids.AccountId, shapes.Shape], int]:
    """Counts the cells that a failure domain must keep reclaimable.

    Args:
        share: What the failure domain has to honour.

    Returns:
        The number of copies for each account and shape.
    """
    wanted: dict[tuple[ids.AccountId, shapes.Shape], int] = (
        collections.Counter()
    )
    for part in share.guarantees:
        wanted[(part.account, part.shape)] += part.copies
    return dict(wanted)


def infeasible_guarantees(
    configuration: configuration_lib.Configuration,
    workers: tuple[messages.ListedTarget, ...],
) -> tuple[int, ...]:
    """Finds the guarantees that cannot all be held at once by a pool.

    The planner is the scheduler's own: first fit decreasing in three orders,
    so it may in rare cases miss a packing that exists, but a configuration
    that passes can be planned by every scheduler.

    Args:
        configuration: The configuration to check.
        workers: The workers of all failure domains.

    Returns:
        Indexes into the guarantees of the configuration, rising; empty if
        every copy of every guarantee has its place.
    """
    faults: set[int] = set()
    for domain, share in shares.split(configuration).items():
        plan = cells.CellPlan()
        for worker in workers:
            if worker.failure_domain == domain:
                plan.set_worker(
                    ids.WorkerId(worker.name), worker.rack, worker.capacity
                )
        plan.require(required_cells(share))
        plan.secure()
        lacking = {(cell.account, cell.shape) for cell in plan.unplanned()}
        faults.update(
            part.row
            for part in share.guarantees
            if (part.account, part.shape) in lacking
        )
    known = {domain.name for domain in configuration.failure_domains}
    faults.update(
        row
        for row, guarantee in enumerate(configuration.guarantees)
        if guarantee.failure_domain not in known | {None}
        or (guarantee.copies and not known)
    )
    return tuple(sorted(faults))
