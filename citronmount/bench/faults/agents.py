"""Makes the agents that the fault matrix drives."""

from citronmount.agent import agent as agent_lib
from citronmount.agent import settings
from citronmount.clients import messages

__all__ = ["make_agent"]


def make_agent(
    vm: messages.ListedVm, incarnation_ms: int, retention_ms: int
) -> agent_lib.Agent:
    """Makes the agent of a VM.

    Args:
        vm: The VM's entry in the platform's list.
        incarnation_ms: Wall-clock time of its start.
        retention_ms: How long the log keeps records.

    Returns:
        An agent that has handled nothing yet.
    """
    return agent_lib.Agent(
        settings=settings.AgentSettings(
            vm=vm.vm,
            failure_domain=vm.failure_domain,
            incarnation=incarnation_ms,
            retention_ms=retention_ms,
        )
    )
