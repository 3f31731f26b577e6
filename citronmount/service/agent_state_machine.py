"""Adapts an agent to the state machine interface of the daemon."""

from citronmount.agent import agent as agent_lib
from citronmount.agent import effects
from citronmount.agent import events
from citronmount.config import configuration as configuration_lib
from citronmount.membership import membership_view
from citronmount.service import bodies

__all__ = ["AgentStateMachine"]


class AgentStateMachine:
    """Implements `vm_state_machine.VmStateMachine` with an agent."""

    def __init__(self, *, agent: agent_lib.Agent) -> None:
        """Initializes the state machine.

        Args:
            agent: The agent to adapt.
        """
        self._agent = agent

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        """Passes an event to the agent.

        Args:
            event: The event.
            now_ms: Monotonic time.
            wall_ms: Unix time.

        Returns:
            The effects to execute, in order.
        """
        return self._agent.handle(event, now_ms, wall_ms)

    @property
    def configuration(self) -> configuration_lib.Configuration | None:
        """The configuration in force.

        None until the log or a peer has provided it.
        """
        manager = self._agent.configuration
        return manager.fold.current if manager.fold.trusted else None

    @property
    def ready(self) -> bool:
        """Whether the VM accepts new work."""
        return self._agent.ready

    @property
    def draining(self) -> bool:
        """Whether the VM is stopping."""
        return self._agent.view.draining

    def members(self, now_ms: int) -> tuple[bodies.Member, ...]:
        """Returns this VM and the peers that the agent knows.

        Args:
            now_ms: Monotonic time.

        Returns:
            One entry per VM, sorted by VM id.
        """
        view = self._agent.view
        others = (
            _peer_member(view, peer, now_ms) for peer in view.peers.values()
        )
        return tuple(sorted((self._own_member(now_ms), *others), key=_vm_id))

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued work cannot use.

        The share is 0 on a VM that owns no failure domain.
        """
        domain = self._agent.ownership.domain
        return 0.0 if domain is None else domain.fragmentation()

    def _own_member(self, now_ms: int) -> bodies.Member:
        view = self._agent.view
        return bodies.Member(
            vm=view.vm,
            failure_domain=view.failure_domain,
            listed=True,
            alive=True,
            ready=view.ready,
            draining=view.draining,
            owner=view.owner(view.failure_domain, now_ms) == view.vm,
            config_version=self._agent.configuration.fold.current.version,
        )


def _peer_member(
    view: membership_view.MembershipView,
    peer: membership_view.Peer,
    now_ms: int,
) -> bodies.Member:
    last_heartbeat = peer.heartbeat
    return bodies.Member(
        vm=peer.vm,
        failure_domain=peer.failure_domain,
        listed=peer.listed,
        alive=view.is_alive(peer.vm, now_ms),
        ready=last_heartbeat is not None and last_heartbeat.ready,
        draining=last_heartbeat is not None and last_heartbeat.draining,
        owner=view.owner(peer.failure_domain, now_ms) == peer.vm,
        config_version=last_heartbeat.config_version
        if last_heartbeat is not None
        else 0,
    )


def _vm_id(member: bodies.Member) -> str:
    return member.vm
