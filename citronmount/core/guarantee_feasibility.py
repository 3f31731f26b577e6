"""Checks that the guarantees of a configuration fit into a pool together."""

import collections

from citronmount.clients import messages
from citronmount.config import configuration as configuration_lib
from citronmount.core import cells
from citronmount.core import ids
from citronmount.core import shapes
from citronmount.core import shares

__all__ = ["infeasible_guarantees", "required_cells"]


def required_cells(
    share: shares.DomainShare,
) -> dict[tuple[ids.AccountId, shapes.Shape], int]:
    """Counts the cells that a failure domain must provide.

    Args:
        share: The failure domain's share of the configuration.

    Returns:
        Number of cells for each account and shape.
    """
    copies: dict[tuple[ids.AccountId, shapes.Shape], int] = (
        collections.Counter()
    )
    for part in share.guarantees:
        copies[(part.account, part.shape)] += part.copies
    return dict(copies)


def infeasible_guarantees(
    configuration: configuration_lib.Configuration,
    workers: tuple[messages.ListedTarget, ...],
) -> tuple[int, ...]:
    """Finds guarantees for which the pool has no capacity beside the others.

    Uses the schedulers' own planner, which places cells greedily in three
    decreasing orders. In rare cases it misses a packing that exists, but every
    scheduler can plan a configuration that passes.

    Args:
        configuration: The configuration to check.
        workers: The workers of all failure domains.

    Returns:
        Indexes into the guarantees of the configuration, ascending; empty if
        all copies of all guarantees fit together.
    """
    infeasible: set[int] = set()
    for domain, share in shares.split(configuration).items():
        plan = cells.CellPlan()
        for worker in workers:
            if worker.failure_domain == domain:
                plan.slots.set_worker(
                    ids.WorkerId(worker.name), worker.rack, worker.capacity
                )
        plan.set_required(required_cells(share))
        plan.plan_cells()
        unplanned = {(cell.account, cell.shape) for cell in plan.unplanned()}
        infeasible.update(
            part.row
            for part in share.guarantees
            if (part.account, part.shape) in unplanned
        )
    domain_names = {domain.name for domain in configuration.failure_domains}
    infeasible.update(
        row
        for row, guarantee in enumerate(configuration.guarantees)
        if guarantee.failure_domain not in domain_names | {None}
        or (guarantee.copies and not domain_names)
    )
    return tuple(sorted(infeasible))
