"""Hybrid logical clock, which orders events over all processes."""

__all__ = ["HybridLogicalClock"]


class HybridLogicalClock:
    """A clock that never goes back and follows every message received.

    Notes:
        Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in
        Globally Distributed Databases", OPODIS 2014.
    """

    def __init__(self) -> None:
        """Initializes the clock at the epoch."""
        self.physical_ms = 0
        self.logical = 0

    def tick(self, wall_ms: int) -> tuple[int, int]:
        """Returns the time of a local event.

        Args:
            wall_ms: Wall-clock time in ms since the epoch.

        Returns:
            Physical and logical part, greater than any returned before.

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
        """Notes the time of a message received.

        Args:
            physical_ms: Physical part of the sender's time.
            logical: Logical part of the sender's time.
        """
        if (physical_ms, logical) > (self.physical_ms, self.logical):
            self.physical_ms = physical_ms
            self.logical = logical
