"""Creates the agents that the fault matrix runs."""

from citronmount.agent import agent
from citronmount.agent import settings
from citronmount.clients import messages

__all__ = ["make_agent"]


def make_agent(
    vm: messages.ListedVm, incarnation_ms: int, retention_ms: int
) -> agent.Agent:
    """Creates the agent of a VM.

    Args:
        vm: The VM's entry in the platform's list.
        incarnation_ms: Incarnation of the VM: the Unix time of its start in ms.
        retention_ms: Retention time of the log in ms.

    Returns:
        An agent that has handled no event yet.
    """
    return agent.Agent(
        settings=settings.AgentSettings(
            vm=vm.vm,
            failure_domain=vm.failure_domain,
            incarnation=incarnation_ms,
            retention_ms=retention_ms,
        )
    )
