"""What the shell needs of the state machine that it drives."""

import typing

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.config import configuration as configuration_lib
from citronmount.service import bodies

__all__ = ["Brain"]


class Brain(typing.Protocol):
    """The state machine of one VM, without I/O or clock."""

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        """Takes in one event.

        Args:
            event: What happened.
            now_ms: Monotonic time.
            wall_ms: Wall-clock time since the epoch.

        Returns:
            What the shell has to do, in order.
        """

    @property
    def configuration(self) -> configuration_lib.Configuration | None:
        """The configuration in force, or None without a trustworthy one."""

    @property
    def ready(self) -> bool:
        """Whether the VM takes new work."""

    @property
    def draining(self) -> bool:
        """Whether the VM is stopping."""

    def members(self, now_ms: int) -> tuple[bodies.Member, ...]:
        """Returns the VMs that this VM knows.

        Args:
            now_ms: Monotonic time.

        Returns:
            One entry for each VM, this one included.
        """

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued work cannot use.

        It is 0 at a VM that owns no failure domain.
        """
