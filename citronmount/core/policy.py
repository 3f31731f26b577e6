"""Named scheduling policies, filled in by decorators."""

from collections.abc import Callable
import enum

import msgspec

from citronmount.core import fragmentation
from citronmount.core import placement

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
        key: Makes the ranking of workers from the mix of gangs.
    """

    name: str
    guarantees: bool
    order: Order
    backfill: Backfill
    key: Callable[[fragmentation.Mix], placement.Key]


_POLICIES: dict[str, Policy] = {}


def register(make: Callable[[], Policy]) -> Callable[[], Policy]:
    """Adds the policy that a function makes to the registry."""
    made = make()
    _POLICIES[made.name] = made
    return make


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
        key=lambda mix: mix.key,
    )


@register
def _no_backfill() -> Policy:
    return Policy(
        name="no_backfill",
        guarantees=True,
        order=Order.FAIR,
        backfill=Backfill.NONE,
        key=lambda mix: mix.key,
    )


@register
def _fifo() -> Policy:
    return Policy(
        name="fifo",
        guarantees=False,
        order=Order.SUBMISSION,
        backfill=Backfill.NONE,
        key=lambda mix: placement.best_fit,
    )


@register
def _best_fit() -> Policy:
    return Policy(
        name="best_fit",
        guarantees=False,
        order=Order.SUBMISSION,
        backfill=Backfill.ANY,
        key=lambda mix: placement.best_fit,
    )
