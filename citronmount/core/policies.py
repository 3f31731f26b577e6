"""Named scheduling policies, filled in by decorators."""

from collections.abc import Callable
import enum

import msgspec

from citronmount.core import placement
from citronmount.core import ranking

__all__ = ["Backfill", "Order", "Policy", "get", "names", "register"]


class Backfill(enum.Enum):
    """What may start while the first job in line does not fit."""

    NONE = "none"
    ANY = "any"
    RESERVATION = "reservation"


class Order(enum.Enum):
    """How queued jobs that run outside guarantees are ordered."""

    SUBMISSION = "submission"
    FAIR = "fair"


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """What a scheduler consults where policies differ.

    Attributes:
        name: Its name in the registry.
        guarantees: Whether guarantees are kept reclaimable and work outside
            them is evicted for them.
        order: The order outside guarantees.
        backfill: What may pass the first job in line.
        patient: Whether trials may wait a little for a less scattered place.
        key: Makes the ranking of workers for one gang.
    """

    name: str
    guarantees: bool
    order: Order
    backfill: Backfill
    patient: bool
    key: Callable[[ranking.FragmentationRanking], placement.WorkerKey]


_POLICIES: dict[str, Policy] = {}


def register(factory: Callable[[], Policy]) -> Callable[[], Policy]:
    """Adds the policy that a function makes to the registry."""
    policy = factory()
    _POLICIES[policy.name] = policy
    return factory


def get(name: str) -> Policy:
    """Returns a policy by its name.

    Args:
        name: The name.

    Returns:
        The policy.

    Raises:
        KeyError: If no policy has the name.
    """
    return _POLICIES[name]


def names() -> tuple[str, ...]:
    """Returns the names of all policies."""
    return tuple(_POLICIES)


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
