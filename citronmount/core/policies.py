"""Registry of named scheduling policies."""

from collections.abc import Callable
import enum

import msgspec

from citronmount.core import placement
from citronmount.core import ranking

__all__ = ["Backfill", "Order", "Policy", "get", "register"]


class Backfill(enum.Enum):
    """Which jobs may start while the first job in the queue does not fit."""

    NONE = "none"
    ANY = "any"
    RESERVATION = "reservation"


class Order(enum.Enum):
    """Order in which queued jobs are placed outside guarantees."""

    SUBMISSION = "submission"
    FAIR = "fair"


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Options in which scheduling policies differ.

    Attributes:
        name: Name in the registry.
        guarantees: Whether guaranteed capacity is kept reclaimable and work
            outside guarantees is evicted to reclaim it.
        order: Order of jobs outside guarantees.
        backfill: Which jobs may pass the first one in the queue.
        patient: Whether delay scheduling applies to long trial jobs.
        key: Returns the sort key of workers for one gang, given its ranking
            by fragmentation.
    """

    name: str
    guarantees: bool
    order: Order
    backfill: Backfill
    patient: bool
    key: Callable[[ranking.FragmentationRanking], placement.WorkerKey]


_POLICIES: dict[str, Policy] = {}


def register(factory: Callable[[], Policy]) -> Callable[[], Policy]:
    """Registers the policy that a function returns; used as a decorator."""
    policy = factory()
    _POLICIES[policy.name] = policy
    return factory


def get(name: str) -> Policy:
    """Returns the policy with a given name.

    Raises:
        KeyError: If no policy has the name.
    """
    return _POLICIES[name]


@register
def _citron() -> Policy:
    return Policy(
        name="citron",
        guarantees=True,
        order=Order.FAIR,
        backfill=Backfill.RESERVATION,
        patient=True,
        key=lambda worker_ranking: worker_ranking.key,
    )


@register
def _no_backfill() -> Policy:
    return Policy(
        name="no_backfill",
        guarantees=True,
        order=Order.FAIR,
        backfill=Backfill.NONE,
        patient=True,
        key=lambda worker_ranking: worker_ranking.key,
    )


@register
def _fifo() -> Policy:
    return Policy(
        name="fifo",
        guarantees=False,
        order=Order.SUBMISSION,
        backfill=Backfill.NONE,
        patient=False,
        key=lambda worker_ranking: placement.best_fit,
    )


@register
def _best_fit() -> Policy:
    return Policy(
        name="best_fit",
        guarantees=False,
        order=Order.SUBMISSION,
        backfill=Backfill.ANY,
        patient=False,
        key=lambda worker_ranking: placement.best_fit,
    )
