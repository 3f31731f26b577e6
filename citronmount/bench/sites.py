"""Pools and configurations on which workloads are replayed."""

import itertools

import msgspec

from citronmount.clients import messages
from citronmount.config import configuration as configuration_lib
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = [
    "Site",
    "hanbit",
    "perchero",
    "private_pool_site",
    "set_domain_state",
    "two_year",
]

WORKERS_PER_RACK = 8
HANBIT_WORKER = jobs.Resources(accelerators=8, cores=64, memory_gb=128)
PERCHERO_WORKER = jobs.Resources(accelerators=8, cores=32, memory_gb=64)


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """A pool and the configuration at the start of a replay.

    Attributes:
        configuration: The initial configuration.
        workers: All workers.
    """

    configuration: configuration_lib.Configuration
    workers: tuple[messages.ListedTarget, ...]

    @property
    def domains(self) -> tuple[ids.FailureDomainId, ...]:
        """The failure domains, in the order of the configuration."""
        return tuple(d.name for d in self.configuration.failure_domains)


def _make_workers(
    domain: str, capacities: list[jobs.Resources]
) -> tuple[messages.ListedTarget, ...]:
    return tuple(
        messages.ListedTarget(
            name=f"{domain}-w{number:04d}",
            address="127.0.0.1:1",
            failure_domain=ids.FailureDomainId(domain),
            rack=ids.RackId(f"{domain}-r{number // WORKERS_PER_RACK:03d}"),
            capacity=capacity,
        )
        for number, capacity in enumerate(capacities)
    )


def _make_domains(
    names: tuple[str, ...],
) -> tuple[configuration_lib.FailureDomain, ...]:
    return tuple(
        configuration_lib.FailureDomain(
            name=ids.FailureDomainId(name),
            state=states.FailureDomainState.IN,
        )
        for name in names
    )


def _make_account(
    name: str, account_class: states.AccountClass = states.AccountClass.PAYING
) -> configuration_lib.Account:
    return configuration_lib.Account(
        name=ids.AccountId(name), account_class=account_class
    )


def _make_guarantee(
    account: str,
    domain: str | None,
    copies: int,
    tasks: int,
    per_task: jobs.Resources,
    adjacency: states.Adjacency,
) -> configuration_lib.Guarantee:
    return configuration_lib.Guarantee(
        account=ids.AccountId(account),
        failure_domain=ids.FailureDomainId(domain) if domain else None,
        copies=copies,
        tasks=tasks,
        per_task=per_task,
        adjacency=adjacency,
    )


def _worker_share(worker: jobs.Resources, accelerators: int) -> jobs.Resources:
    return jobs.Resources(
        accelerators=accelerators,
        cores=worker.cores * accelerators // worker.accelerators,
        memory_gb=worker.memory_gb * accelerators // worker.accelerators,
    )


def _make_three_domain_site(
    names: tuple[str, ...],
    members: tuple[str, ...],
    trial: str,
    allowance: int,
    worker: jobs.Resources,
) -> Site:
    """Returns 25 workers in three failure domains and equal guarantees.

    Each member is guaranteed one gang of four whole workers of one rack, in
    one failure domain, and four single accelerators in each domain but the
    first. Members get the domains of their gangs in turn.
    """
    domains = itertools.cycle(names)
    gangs = tuple(
        _make_guarantee(member, domain, 1, 4, worker, states.Adjacency.RACK)
        for member, domain in zip(members, domains, strict=False)
    )
    singles = tuple(
        _make_guarantee(
            member,
            domain,
            4,
            1,
            _worker_share(worker, 1),
            states.Adjacency.WORKER,
        )
        for member in members
        for domain in names[1:]
    )
    configuration = configuration_lib.Configuration(
        version=ids.Version(1),
        failure_domains=_make_domains(names),
        accounts=tuple(
            sorted(
                (
                    *(_make_account(member) for member in members),
                    _make_account(trial, states.AccountClass.TRIAL),
                ),
                key=lambda account: account.name,
            )
        ),
        guarantees=gangs + singles,
        allowances=(
            configuration_lib.Allowance(
                account=ids.AccountId(trial), accelerators=allowance
            ),
        ),
    )
    sizes = (9, 8, 8)
    workers = itertools.chain.from_iterable(
        _make_workers(name, [worker] * size)
        for name, size in zip(names, sizes, strict=True)
    )
    return Site(configuration=configuration, workers=tuple(workers))


def hanbit() -> Site:
    """Returns the worker pool of the Hanbit consortium of four members."""
    return _make_three_domain_site(
        ("kr-central-a", "kr-central-b", "kr-central-c"),
        ("ara", "bora", "chorok", "dalbit"),
        "newcomer",
        64,
        HANBIT_WORKER,
    )


def perchero() -> Site:
    """Returns the worker pool of Perchero Abierto."""
    return _make_three_domain_site(
        ("gt-central-a", "gt-central-b", "gt-central-c"),
        ("feria", "marimba", "teatro", "templo"),
        "visita",
        48,
        PERCHERO_WORKER,
    )


TWO_YEAR_DOMAINS = ("r1-a", "r1-b", "r1-c", "r2-a", "r2-b")
TWO_YEAR_TEAMS = 280
_LARGE_WORKER = jobs.Resources(accelerators=8, cores=96, memory_gb=512)
_MEDIUM_WORKER = jobs.Resources(accelerators=2, cores=64, memory_gb=256)
_SMALL_WORKER = jobs.Resources(accelerators=1, cores=48, memory_gb=128)
_TEAM_GANG = (1, 8, jobs.Resources(accelerators=2, cores=16, memory_gb=48))
_TEAM_SINGLES = (6, 1, jobs.Resources(accelerators=1, cores=8, memory_gb=24))


def two_year(scale: float = 1.0, team_scale: float | None = None) -> Site:
    """Returns the pool of the two-year plan.

    At full scale it has 1,300 workers with 2,900 accelerators in five
    failure domains and 280 teams, of which one in ten has a trial account.

    Args:
        scale: Share of workers and teams to keep.
        team_scale: Share of teams to keep, if it differs from that of
            workers.

    Returns:
        The site.
    """
    per_domain = (
        [_LARGE_WORKER] * round(40 * scale)
        + [_MEDIUM_WORKER] * round(40 * scale)
        + [_SMALL_WORKER] * round(180 * scale)
    )
    count = round(
        TWO_YEAR_TEAMS * (scale if team_scale is None else team_scale)
    )
    teams = [f"team-{n:03d}" for n in range(count)]
    trials = teams[::10]
    paying = [team for team in teams if team not in set(trials)]
    guarantees = [
        _make_guarantee(
            team,
            TWO_YEAR_DOMAINS[number % len(TWO_YEAR_DOMAINS)],
            *(_TEAM_GANG if number % 8 == 0 else _TEAM_SINGLES),
            states.Adjacency.FAILURE_DOMAIN,
        )
        for number, team in enumerate(paying)
    ]
    classes = dict.fromkeys(trials, states.AccountClass.TRIAL)
    configuration = configuration_lib.Configuration(
        version=ids.Version(1),
        failure_domains=_make_domains(TWO_YEAR_DOMAINS),
        accounts=tuple(
            _make_account(team, classes.get(team, states.AccountClass.PAYING))
            for team in teams
        ),
        guarantees=tuple(guarantees),
        allowances=tuple(
            configuration_lib.Allowance(
                account=ids.AccountId(team), accelerators=16
            )
            for team in trials
        ),
    )
    workers = itertools.chain.from_iterable(
        _make_workers(name, per_domain) for name in TWO_YEAR_DOMAINS
    )
    return Site(configuration=configuration, workers=tuple(workers))


def private_pool_site(site: Site, account: ids.AccountId) -> Site:
    """Returns a pool of exactly the shapes guaranteed to one account.

    Each copy of a guarantee gets a rack of its own, with one worker of the
    size of a task for each task.

    Args:
        site: The shared site.
        account: The account.

    Returns:
        A site with that account alone.
    """
    guarantees = tuple(
        g for g in site.configuration.guarantees if g.account == account
    )
    workers = []
    for row, guarantee in enumerate(guarantees):
        for copy in range(guarantee.copies):
            workers.extend(_make_private_workers(guarantee, row, copy))
    configuration = msgspec.structs.replace(
        site.configuration,
        accounts=tuple(
            a for a in site.configuration.accounts if a.name == account
        ),
        guarantees=guarantees,
        allowances=(),
    )
    return Site(configuration=configuration, workers=tuple(workers))


def _make_private_workers(
    guarantee: configuration_lib.Guarantee, row: int, copy: int
) -> list[messages.ListedTarget]:
    domain = guarantee.failure_domain or ids.FailureDomainId("any")
    return [
        messages.ListedTarget(
            name=f"{domain}-p{row}-{copy}-{task}",
            address="127.0.0.1:1",
            failure_domain=domain,
            rack=ids.RackId(f"{domain}-p{row}-{copy}"),
            capacity=guarantee.per_task,
        )
        for task in range(guarantee.tasks)
    ]


def set_domain_state(
    configuration: configuration_lib.Configuration,
    domain: ids.FailureDomainId,
    state: states.FailureDomainState,
) -> configuration_lib.Configuration:
    """Returns the next configuration version, with one domain's state set.

    Args:
        configuration: The version in force.
        domain: The failure domain.
        state: Its new state.

    Returns:
        The new version.
    """
    return msgspec.structs.replace(
        configuration,
        version=ids.Version(configuration.version + 1),
        failure_domains=tuple(
            msgspec.structs.replace(d, state=state) if d.name == domain else d
            for d in configuration.failure_domains
        ),
    )
