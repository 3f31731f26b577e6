"""The accepted configuration as every process folds it from the log."""

import msgspec

from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = [
    "Account",
    "Allowance",
    "Configuration",
    "FailureDomain",
    "Guarantee",
]


class FailureDomain(msgspec.Struct, frozen=True, kw_only=True):
    """A failure domain and whether tasks may start in it.

    Attributes:
        name: The failure domain.
        state: In or out of service.
    """

    name: ids.FailureDomainId
    state: states.FailureDomainState


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account.

    Attributes:
        name: The account.
        account_class: Paying or trial.
    """

    name: ids.AccountId
    account_class: states.AccountClass


class Guarantee(msgspec.Struct, frozen=True, kw_only=True):
    """A shape that an account can always reclaim.

    Attributes:
        account: The paying account.
        failure_domain: Where it holds, or None for anywhere.
        copies: How many gangs of the shape at once.
        tasks: Tasks of one gang.
        per_task: Resources of one task.
        adjacency: The smallest enclosure that must hold one gang.
    """

    account: ids.AccountId
    failure_domain: ids.FailureDomainId | None
    copies: int
    tasks: int
    per_task: jobs.Resources
    adjacency: states.Adjacency


class Allowance(msgspec.Struct, frozen=True, kw_only=True):
    """The most accelerators that a trial account may use at once.

    Attributes:
        account: The trial account.
        accelerators: The bound over all failure domains.
    """

    account: ids.AccountId
    accelerators: int


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration.

    Attributes:
        version: Counts accepted changes; 0 is the empty configuration.
        failure_domains: All failure domains, sorted by name.
        accounts: All client accounts, sorted by name.
        guarantees: All guarantees, in the order of the sheet.
        allowances: All trial allowances, sorted by account.
    """

    version: ids.Version = ids.Version(0)
    failure_domains: tuple[FailureDomain, ...] = ()
    accounts: tuple[Account, ...] = ()
    guarantees: tuple[Guarantee, ...] = ()
    allowances: tuple[Allowance, ...] = ()
