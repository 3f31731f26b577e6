"""Decisions to hold a unit back."""

import enum

import msgspec

from citronmount.workflow import units

__all__ = ["Hold", "HoldReason"]


class HoldReason(enum.Enum):
    """Why a unit is held back although it may fit.

    BACK_OFF: it was stopped before, and units of higher priority wait.
    HEADROOM: arrivals of the highest priority are expected to need its place.
    """

    BACK_OFF = "back_off"
    HEADROOM = "headroom"


class Hold(msgspec.Struct, frozen=True, kw_only=True):
    """Decision to hold a unit back, with its inputs.

    Attributes:
        unit: The unit.
        reason: Why it is held back.
        priority: Its priority.
        free_accelerators: Free accelerators at that point of the round.
        headroom_accelerators: Accelerators that are kept free.
    """

    unit: units.UnitId
    reason: HoldReason
    priority: int
    free_accelerators: int
    headroom_accelerators: int
