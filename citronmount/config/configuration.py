"""Data model of the configuration.

Every process derives the same versions from the configuration stream of the
log, see `configuration_fold`.
"""

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
        name: Name of the failure domain.
        state: In or out of service. No task starts in a failure domain that
            is out of service.
    """

    name: ids.FailureDomainId
    state: states.FailureDomainState


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account.

    Attributes:
        name: Name of the account.
        account_class: Paying accounts may hold guarantees, trial accounts an
            allowance.
    """

    name: ids.AccountId
    account_class: states.AccountClass


class Guarantee(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity for gangs of one shape that an account can always reclaim.

    Attributes:
        account: The paying account.
        failure_domain: The failure domain that provides the capacity, or
            None if any of them may.
        copies: Number of gangs of the shape that the guarantee covers at once.
        tasks: Number of tasks of one gang.
        per_task: Resources of one task.
        adjacency: The scope (worker, rack or failure domain) within which all
            tasks of one gang must be placed.
    """

    account: ids.AccountId
    failure_domain: ids.FailureDomainId | None
    copies: int
    tasks: int
    per_task: jobs.Resources
    adjacency: states.Adjacency


class Allowance(msgspec.Struct, frozen=True, kw_only=True):
    """Limit on the accelerators that a trial account may use at once.

    Attributes:
        account: The trial account.
        accelerators: Maximum number over all failure domains.
    """

    account: ids.AccountId
    accelerators: int


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration.

    Attributes:
        version: Number of accepted changes; 0 is the empty configuration.
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
