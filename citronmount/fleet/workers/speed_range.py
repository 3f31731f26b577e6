"""Likely relative speeds of a machine."""

import msgspec

__all__ = ["MAX_SPEED", "MIN_SPEED", "UNKNOWN", "SpeedRange"]

# Permanent speeds that pools have, relative to their mean.
MIN_SPEED = 0.6
MAX_SPEED = 1.6
CAUTION = 0.25


class SpeedRange(msgspec.Struct, frozen=True, kw_only=True):
    """Relative speed of a machine with its uncertainty.

    Attributes:
        low: A speed that the machine almost certainly reaches.
        expected: The expected speed.
        high: A speed that the machine almost certainly does not exceed.
    """

    low: float
    expected: float
    high: float

    @property
    def cautious(self) -> float:
        """A speed somewhat below the expected one if that is uncertain."""
        return self.expected * (self.low / self.expected) ** CAUTION


UNKNOWN = SpeedRange(low=MIN_SPEED, expected=1.0, high=MAX_SPEED)
