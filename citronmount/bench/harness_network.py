"""A network between named places with cuts and faulty links."""

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
    """What happens to the messages of some links.

    Attributes:
        matches: Whether the fault applies to a message from one end point to
            another.
        loss: Share of messages that are lost.
        copies: Share of messages that arrive twice.
        delay_ms: Least and most extra delay.
    """

    matches: Callable[[str, str], bool]
    loss: float = 0.0
    copies: float = 0.0
    delay_ms: tuple[int, int] = (0, 0)


class Network:
    """Decides when, and how often, a message arrives.

    Attributes:
        cuts: Pairs of places; no message goes from the first to the second.
        faults: Faults of links, applied to every message that they match.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Initializes a network without cuts.

        Args:
            rng: Source of latencies and losses.
        """
        self.cuts: set[tuple[str, str]] = set()
        self.faults: list[LinkFault] = []
        self._rng = rng
        self._locations: dict[str, str] = {}

    def set_location(self, endpoint: str, location: str) -> None:
        """Sets the location of an endpoint.

        Args:
            endpoint: Name of a VM, target or service, or `CALLERS`.
            location: A failure domain, `PLATFORM` or `CALLERS`.
        """
        self._locations[endpoint] = location

    def reachable(self, source: str, target: str) -> bool:
        """Returns whether no cut lies on the way from source to target."""
        return (
            self._locations[source],
            self._locations[target],
        ) not in self.cuts

    def delays_us(
        self, source: str, target: str, *, repeatable: bool = True
    ) -> tuple[int, ...]:
        """Returns the delay of each copy of a message that arrives.

        Args:
            source: The end point that sends.
            target: The end point that receives.
            repeatable: Whether the network may double the message.

        Returns:
            One delay for each copy; none if the message is lost.
        """
        if self.cuts and not self.reachable(source, target):
            return ()
        hop_us = self._rng.randint(_MIN_HOP_US, _MAX_HOP_US)
        if not self.faults:
            return (hop_us,)
        return self._faulty_delays_us(source, target, hop_us, repeatable)

    def _faulty_delays_us(
        self, source: str, target: str, hop_us: int, repeatable: bool
    ) -> tuple[int, ...]:
        delays_us = [hop_us]
        for fault in self.faults:
            if not fault.matches(source, target):
                continue
            if self._rng.random() < fault.loss:
                return ()
            extra_ms = self._rng.randint(*fault.delay_ms)
            delays_us[0] += extra_ms * harness_clock.US_PER_MS
            if repeatable and self._rng.random() < fault.copies:
                extra_ms = self._rng.randint(0, max(50, fault.delay_ms[1]))
                delays_us.append(hop_us + extra_ms * harness_clock.US_PER_MS)
        return tuple(delays_us)
