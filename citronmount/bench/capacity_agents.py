"""Measures processor time and memory of agents in the virtual-time harness."""

import collections
import gc
import sys
import time
import types

import msgspec

from citronmount.agent import agent
from citronmount.agent import effects
from citronmount.agent import events
from citronmount.agent import settings as agent_settings
from citronmount.bench import harness
from citronmount.bench import harness_site
from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.peers import peer_messages

__all__ = [
    "EventCost",
    "StateRow",
    "deep_bytes",
    "make_agent",
    "measure_costs",
    "measure_state",
]

WARM_UP_MS = 15_000
RUN_MS = 20_000
SUBMIT_PERIOD_MS = 20
TASKS_PER_JOB = 24
LONG_COMMAND = '{"run_ms": 100000000}'
SEED = 1

_NS_PER_US = 1_000
_UNCOUNTED_TYPES = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    types.CodeType,
)


class EventCost(msgspec.Struct, frozen=True, kw_only=True):
    """Processor time of agents for one kind of event.

    Attributes:
        kind: Class name of the event.
        count: Number of events handled.
        mean_us: Mean processor time of an event.
        per_vm_per_s: Events that a VM handles per second.
    """

    kind: str
    count: int
    mean_us: float
    per_vm_per_s: float


class StateRow(msgspec.Struct, frozen=True, kw_only=True):
    """Memory of the agents of one failure domain.

    Attributes:
        workers: Number of workers.
        jobs: Number of running jobs, of `TASKS_PER_JOB` tasks each.
        teams: Number of paying accounts, with one guarantee each.
        owner_bytes: Memory of the agent that owns the failure domain.
        member_bytes: Memory of the agent that uses least.
    """

    workers: int
    jobs: int
    teams: int
    owner_bytes: int
    member_bytes: int


def make_agent(vm: messages.ListedVm, incarnation_ms: int) -> agent.Agent:
    """Returns an agent with default timing.

    Args:
        vm: Entry of the VM in the platform's list.
        incarnation_ms: Unix time of its start in ms.
    """
    return agent.Agent(
        settings=agent_settings.AgentSettings(
            vm=vm.vm,
            failure_domain=vm.failure_domain,
            incarnation=incarnation_ms,
        )
    )


class _TimedAgent:
    """Wraps an agent and adds up its processor time by kind of event."""

    def __init__(
        self,
        timed_agent: agent.Agent,
        spent_ns: collections.Counter[str],
        counts: collections.Counter[str],
    ) -> None:
        self._agent = timed_agent
        self._spent_ns = spent_ns
        self._counts = counts

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        """Handles an event and records its processor time."""
        start_ns = time.process_time_ns()
        agent_effects = self._agent.handle(event, now_ms, wall_ms)
        spent_ns = time.process_time_ns() - start_ns
        kind = type(event).__name__
        self._spent_ns[kind] += spent_ns
        self._counts[kind] += 1
        return agent_effects


def measure_costs(
    *, failure_domains: int, vms_per_domain: int, workers_per_domain: int
) -> tuple[EventCost, ...]:
    """Simulates an idle site and measures the processor time of its agents.

    Args:
        failure_domains: Number of failure domains.
        vms_per_domain: VMs in each failure domain.
        workers_per_domain: Workers in each failure domain.

    Returns:
        One row for each kind of event, sorted by kind.
    """
    spent_ns: collections.Counter[str] = collections.Counter()
    counts: collections.Counter[str] = collections.Counter()
    simulation = harness.Harness(
        site=harness_site.make_site(
            failure_domains=failure_domains,
            vms_per_domain=vms_per_domain,
            workers_per_domain=workers_per_domain,
        ),
        make_agent=lambda vm, incarnation_ms: _TimedAgent(
            make_agent(vm, incarnation_ms), spent_ns, counts
        ),
        seed=SEED,
    )
    simulation.start_all()
    simulation.run_until_ms(WARM_UP_MS)
    spent_ns.clear()
    counts.clear()
    simulation.run_until_ms(WARM_UP_MS + RUN_MS)
    vms = failure_domains * vms_per_domain
    return tuple(
        EventCost(
            kind=kind,
            count=count,
            mean_us=round(spent_ns[kind] / count / _NS_PER_US, 1),
            per_vm_per_s=round(count * 1_000 / RUN_MS / vms, 2),
        )
        for kind, count in sorted(counts.items())
    )


def measure_state(*, workers: int, job_count: int, teams: int) -> StateRow:
    """Runs jobs in one failure domain and measures the memory of its agents.

    Args:
        workers: Number of workers.
        job_count: Number of jobs to run.
        teams: Number of paying accounts.

    Returns:
        The memory of the agents after all jobs were started.

    Raises:
        RuntimeError: A job was not accepted.
    """
    site = _make_site(workers, teams)
    simulation = harness.Harness(site=site, make_agent=make_agent, seed=SEED)
    simulation.start_all()
    simulation.run_until_ms(WARM_UP_MS)
    vm = next(iter(simulation.processes))
    answers: list[object] = []
    for number in range(job_count):
        simulation.clock.after_ms(
            number * SUBMIT_PERIOD_MS,
            simulation.call,
            vm,
            peer_messages.SubmitJob(spec=_make_job(number, teams)),
            answers.append,
        )
    simulation.run_until_ms(WARM_UP_MS + job_count * SUBMIT_PERIOD_MS + RUN_MS)
    _require_accepted(answers, job_count)
    agent_bytes = sorted(
        deep_bytes(process.agent) for process in simulation.processes.values()
    )
    return StateRow(
        workers=workers,
        jobs=job_count,
        teams=teams,
        owner_bytes=agent_bytes[-1],
        member_bytes=agent_bytes[0],
    )


def _require_accepted(answers: list[object], job_count: int) -> None:
    job_answers = [a for a in answers if isinstance(a, peer_messages.JobAnswer)]
    if len(job_answers) != job_count:
        first_refusal = next((a for a in answers if a not in job_answers), None)
        raise RuntimeError(
            f"{len(job_answers)} of {job_count} jobs accepted; first refusal: "
            f"{first_refusal}"
        )


def _make_site(workers: int, teams: int) -> harness_site.Site:
    site = harness_site.make_site(
        failure_domains=1,
        vms_per_domain=2,
        workers_per_domain=workers,
        runners_per_domain=1,
    )
    names = [ids.AccountId(f"team-{number:03}") for number in range(teams)]
    content = configuration.Configuration(
        failure_domains=site.configuration.failure_domains,
        accounts=tuple(
            configuration.Account(
                name=name, account_class=states.AccountClass.PAYING
            )
            for name in names
        ),
        guarantees=tuple(
            configuration.Guarantee(
                account=name,
                failure_domain=None,
                copies=1,
                tasks=1,
                per_task=jobs.Resources(accelerators=1, cores=1, memory_gb=1),
                adjacency=states.Adjacency.WORKER,
            )
            for name in names[: workers * 4]
        ),
    )
    return msgspec.structs.replace(site, configuration=content)


def _make_job(number: int, teams: int) -> jobs.JobSpec:
    return jobs.JobSpec(
        job=ids.JobId(""),
        account=ids.AccountId(f"team-{number % teams:03}"),
        tasks=TASKS_PER_JOB,
        per_task=jobs.Resources(cores=1, memory_gb=1),
        run_time_s=86_400.0,
        command=LONG_COMMAND,
    )


def deep_bytes(root: object) -> int:
    """Returns the size in bytes of an object and all objects it refers to.

    Classes, functions, code and modules are not counted.

    Args:
        root: The object.

    Returns:
        Sum of the sizes, with every object counted once.
    """
    seen = {id(root)}
    queue = [root]
    total = 0
    while queue:
        item = queue.pop()
        total += sys.getsizeof(item)
        for other in gc.get_referents(item):
            if id(other) not in seen and _is_counted(other):
                seen.add(id(other))
                queue.append(other)
    return total


def _is_counted(item: object) -> bool:
    return not isinstance(item, _UNCOUNTED_TYPES)
