"""Simulated network between locations, with cuts and faulty links."""

from collections.abc import Callable
import random

import msgspec

from citronmount.bench import harness_clock

__all__ = ["CALLERS", "LinkFault", "Network", "PLATFORM"]

CALLERS = "callers"
PLATFORM = "platform"

_MIN_HOP_US = 1_000
_MAX_HOP_US = 1_500


class LinkFault(msgspec.Struct, kw_only=True):
    """Fault of the links that it matches.

    Attributes:
        matches: Returns whether the fault applies to messages from a source to
            a target endpoint.
        loss: Probability that a message is lost.
        copies: Probability that a message arrives twice.
        delay_ms: Minimum and maximum of the additional delay.
    """

    matches: Callable[[str, str], bool]
    loss: float = 0.0
    copies: float = 0.0
    delay_ms: tuple[int, int] = (0, 0)


class Network:
    """Draws the delay, loss and duplication of messages.

    Attributes:
        cuts: Pairs of locations; every message from the first to the second is
            lost.
        faults: Faults, each applied to every message that it matches.
        locations: Location of each endpoint.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Initializes a network without cuts.

        Args:
            rng: Source of delays, losses and duplicates.
        """
        self.cuts: set[tuple[str, str]] = set()
        self.faults: list[LinkFault] = []
        self._rng = rng
        self.locations: dict[str, str] = {}

    def set_location(self, endpoint: str, location: str) -> None:
        """Sets the location of an endpoint.

        Args:
            endpoint: Name of a VM, target or service, or `CALLERS`.
            location: A failure domain, `PLATFORM` or `CALLERS`.
        """
        self.locations[endpoint] = location

    def reachable(self, source: str, target: str) -> bool:
        """Returns whether no cut separates the source from the target."""
        return (
            self.locations[source],
            self.locations[target],
        ) not in self.cuts

    def delays_us(
        self, source: str, target: str, *, may_duplicate: bool = True
    ) -> tuple[int, ...]:
        """Returns the delay of each copy of a message that arrives.

        Args:
            source: The sending endpoint.
            target: The receiving endpoint.
            may_duplicate: Whether faults may duplicate the message.

        Returns:
            One delay in us for each copy; empty if the message is lost.
        """
        if self.cuts and not self.reachable(source, target):
            return ()
        hop_us = self._rng.randint(_MIN_HOP_US, _MAX_HOP_US)
        if not self.faults:
            return (hop_us,)
        return self._faulty_delays_us(source, target, hop_us, may_duplicate)

    def _faulty_delays_us(
        self, source: str, target: str, hop_us: int, may_duplicate: bool
    ) -> tuple[int, ...]:
        delays_us = [hop_us]
        for fault in self.faults:
            if not fault.matches(source, target):
                continue
            if self._rng.random() < fault.loss:
                return ()
            extra_ms = self._rng.randint(*fault.delay_ms)
            delays_us[0] += extra_ms * harness_clock.US_PER_MS
            if may_duplicate and self._rng.random() < fault.copies:
                extra_ms = self._rng.randint(0, max(50, fault.delay_ms[1]))
                delays_us.append(hop_us + extra_ms * harness_clock.US_PER_MS)
        return tuple(delays_us)
