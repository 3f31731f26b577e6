"""The interface of the state machine that the daemon drives."""

import typing

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.config import configuration as configuration_lib
from citronmount.service import bodies

__all__ = ["VmStateMachine"]


class VmStateMachine(typing.Protocol):
    """The state machine of one VM; it does no I/O and reads no clock."""

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        """Handles one event.

        Args:
            event: The event.
            now_ms: Monotonic time.
            wall_ms: Unix time.

        Returns:
            The effects to execute, in order.
        """

    @property
    def configuration(self) -> configuration_lib.Configuration | None:
        """The configuration in force.

        None until the log or a peer has provided it.
        """

    @property
    def ready(self) -> bool:
        """Whether the VM accepts new work."""

    @property
    def draining(self) -> bool:
        """Whether the VM is stopping."""

    def members(self, now_ms: int) -> tuple[bodies.Member, ...]:
        """Returns this VM and the peers that it knows.

        Args:
            now_ms: Monotonic time.

        Returns:
            One entry per VM.
        """

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued work cannot use.

        The share is 0 on a VM that owns no failure domain.
        """
