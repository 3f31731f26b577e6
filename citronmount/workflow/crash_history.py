"""Crashes of workers that count against a unit."""

from collections.abc import Collection

import msgspec

__all__ = ["NO_CRASHES", "CrashHistory"]


class CrashHistory(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Runs of a unit that may have crashed a worker.

    Attributes:
        crashes: Number of these runs.
        start_crashes: Number of these in which the worker crashed soon after a
            start of the unit.
        positions: Positions among the unit's tasks of those that lost their
            worker in all of these runs.
        last_run: Number of the newest of these runs, or 0.
    """

    crashes: int = 0
    start_crashes: int = 0
    positions: tuple[int, ...] = ()
    last_run: int = 0

    def with_run(
        self, run: int, positions: Collection[int], at_start: bool
    ) -> "CrashHistory":
        """Returns the history after one more run.

        If no task lost its worker in all runs, none of them can have crashed
        them all, and the history begins with the new run.

        Args:
            run: Number of the run.
            positions: Positions of the tasks that lost their worker in it.
            at_start: Whether a worker crashed soon after the start.
        """
        common = set(positions).intersection(self.positions or positions)
        earlier = self if common else NO_CRASHES
        return CrashHistory(
            crashes=earlier.crashes + 1,
            start_crashes=earlier.start_crashes + at_start,
            positions=tuple(sorted(common or positions)),
            last_run=run,
        )


NO_CRASHES = CrashHistory()
