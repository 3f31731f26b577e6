"""A hybrid logical clock, which orders events across processes."""

__all__ = ["HybridLogicalClock"]


class HybridLogicalClock:
    """A hybrid logical clock: monotonic and close to wall-clock time.

    Local events and received messages advance it, so that the time of an
    event is greater than that of every event which may have caused it.

    Attributes:
        physical_ms: Physical part of the newest time, as Unix time in ms.
        logical: Logical part, which orders times of the same ms.

    References:
        Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in
        Globally Distributed Databases", OPODIS 2014.
    """

    def __init__(self) -> None:
        """Initializes the clock at the Unix epoch."""
        self.physical_ms = 0
        self.logical = 0

    def tick(self, wall_ms: int) -> tuple[int, int]:
        """Advances the clock for a local event and returns its time.

        Args:
            wall_ms: Unix time in ms. It may go backwards.

        Returns:
            Physical part in ms and logical part; as a pair greater than every
            time returned or merged before.

        Example:
            >>> clock = HybridLogicalClock()
            >>> clock.tick(5), clock.tick(4)
            ((5, 0), (5, 1))
        """
        if wall_ms > self.physical_ms:
            self.physical_ms = wall_ms
            self.logical = 0
        else:
            self.logical += 1
        return self.physical_ms, self.logical

    def merge(self, physical_ms: int, logical: int) -> None:
        """Advances the clock to the time of a received message if it is later.

        Args:
            physical_ms: Physical part of the sender's time in ms.
            logical: Logical part of the sender's time.
        """
        if (physical_ms, logical) > (self.physical_ms, self.logical):
            self.physical_ms = physical_ms
            self.logical = logical
