"""Shows an agent to the shell: its state as the HTTP API tells it."""

from citronmount.agent import agent as agent_lib
from citronmount.agent import effects
from citronmount.agent import events
from citronmount.config import configuration as configuration_lib
from citronmount.membership import membership_view
from citronmount.service import bodies

__all__ = ["AgentBrain"]


class AgentBrain:
    """The `brain.Brain` that is an agent."""

    def __init__(self, *, agent: agent_lib.Agent) -> None:
        """Initializes the brain.

        Args:
            agent: The agent.
        """
        self._agent = agent

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        """Passes an event to the agent.

        Args:
            event: What happened.
            now_ms: Monotonic time.
            wall_ms: Wall-clock time since the epoch.

        Returns:
            What the shell has to do, in order.
        """
        return self._agent.handle(event, now_ms, wall_ms)

    @property
    def configuration(self) -> configuration_lib.Configuration | None:
        """The configuration in force, or None without a trustworthy one."""
        keeper = self._agent.configuration
        return keeper.fold.current if keeper.fold.trusted else None

    @property
    def ready(self) -> bool:
        """Whether the VM takes new work."""
        return self._agent.ready

    @property
    def draining(self) -> bool:
        """Whether the VM is stopping."""
        return self._agent.view.draining

    def members(self, now_ms: int) -> tuple[bodies.Member, ...]:
        """Returns the VMs that the agent knows.

        Args:
            now_ms: Monotonic time.

        Returns:
            One entry for each VM, sorted by name.
        """
        view = self._agent.view
        others = (_member(view, peer, now_ms) for peer in view.peers.values())
        return tuple(sorted((self._own(now_ms), *others), key=_by_name))

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued work cannot use.

        It is 0 at a VM that owns no failure domain.
        """
        domain = self._agent.ownership.domain
        return 0.0 if domain is None else domain.fragmentation()

    def _own(self, now_ms: int) -> bodies.Member:
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


def _member(
    view: membership_view.MembershipView,
    peer: membership_view.Peer,
    now_ms: int,
) -> bodies.Member:
    last = peer.heartbeat
    return bodies.Member(
        vm=peer.vm,
        failure_domain=peer.failure_domain,
        listed=peer.listed,
        alive=view.is_alive(peer.vm, now_ms),
        ready=last is not None and last.ready,
        draining=last is not None and last.draining,
        owner=view.owner(peer.failure_domain, now_ms) == peer.vm,
        config_version=last.config_version if last is not None else 0,
    )


def _by_name(member: bodies.Member) -> str:
    return member.vm
