"""Splits guarantees and allowances across failure domains.

The split is a pure function of the accepted configuration. All VMs compute
the same split, so partitioned failure domains never promise the same copy
twice (escrow, as in O'Neil, "The Escrow Transactional Method", TODS 1986).
Failure domains that are out of service get no share while another one is in
service.
"""

from collections.abc import Sequence
import hashlib

import msgspec

from citronmount.config import configuration as configuration_lib
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import shapes
from citronmount.core import states

__all__ = [
    "DomainShare",
    "GuaranteeShare",
    "rank_homes",
    "share_of",
    "split",
]

ALLOWANCE_UNIT_ACCELERATORS = 8


class GuaranteeShare(msgspec.Struct, frozen=True, kw_only=True):
    """Copies of a guarantee that one failure domain must keep reclaimable.

    Attributes:
        row: Index into the guarantees of the configuration.
        account: Paying account that owns the guarantee.
        shape: Gang shape of each copy.
        copies: Number of copies.
    """

    row: int
    account: ids.AccountId
    shape: shapes.Shape
    copies: int


class DomainShare(msgspec.Struct, frozen=True, kw_only=True):
    """Guarantees and allowances assigned to one failure domain.

    Attributes:
        guarantees: Guarantees with at least one copy in the failure domain.
        allowances: Maximum number of accelerators by trial account.
    """

    guarantees: tuple[GuaranteeShare, ...] = ()
    allowances: dict[ids.AccountId, int] = {}


def split(
    configuration: configuration_lib.Configuration,
) -> dict[ids.FailureDomainId, DomainShare]:
    """Splits all guarantees and allowances.

    Copies bound to a failure domain stay there. The others are divided by the
    largest remainder method; each remaining copy goes to a failure domain
    whose load does not exceed the mean, chosen by rendezvous hashing (bounded
    loads, as in Mirrokni et al., "Consistent Hashing with Bounded Loads",
    SODA 2018).

    Args:
        configuration: Accepted configuration.

    Returns:
        Share of each failure domain in the configuration.
    """
    copies = _split_guarantees(configuration)
    allowances = _split_allowances(configuration)
    return {
        domain.name: DomainShare(
            guarantees=tuple(
                GuaranteeShare(
                    row=row,
                    account=guarantee.account,
                    shape=shapes.of_guarantee(guarantee),
                    copies=copies[domain.name][row],
                )
                for row, guarantee in enumerate(configuration.guarantees)
                if copies[domain.name].get(row)
            ),
            allowances=allowances[domain.name],
        )
        for domain in configuration.failure_domains
    }


def share_of(
    configuration: configuration_lib.Configuration,
    failure_domain: ids.FailureDomainId,
) -> DomainShare:
    """Returns the share of one failure domain.

    Args:
        configuration: Accepted configuration.
        failure_domain: Failure domain.

    Returns:
        The share, which is empty if the configuration does not contain the
        failure domain.
    """
    return split(configuration).get(failure_domain, DomainShare())


def rank_homes(
    configuration: configuration_lib.Configuration, spec: jobs.JobSpec
) -> tuple[ids.FailureDomainId, ...]:
    """Ranks the failure domains in service as homes of a new job.

    Args:
        configuration: Accepted configuration.
        spec: Job; its id is not read.

    Returns:
        Failure domains by decreasing share of the account's allowance or of
        its guarantees that are large enough for the job, ties in the order of
        the configuration. For a trial account, failure domains whose share is
        too small for the job are omitted.
    """
    by_domain = split(configuration)
    trial = any(
        account.name == spec.account
        and account.account_class is states.AccountClass.TRIAL
        for account in configuration.accounts
    )
    amounts = {
        domain: _home_amount(by_domain[domain], spec, trial)
        for domain in _in_service(configuration)
    }
    return tuple(
        sorted(
            (home for home, amount in amounts.items() if amount is not None),
            key=lambda home: -amounts[home],
        )
    )


def _home_amount(
    domain_share: DomainShare, spec: jobs.JobSpec, trial: bool
) -> int | None:
    if trial:
        allowed = domain_share.allowances.get(spec.account, 0)
        return allowed if allowed >= spec.accelerators else None
    return sum(
        part.copies * part.shape.accelerators
        for part in domain_share.guarantees
        if part.account == spec.account
        and part.copies * part.shape.accelerators >= spec.accelerators
    )


def _in_service(
    configuration: configuration_lib.Configuration,
) -> list[ids.FailureDomainId]:
    return [
        domain.name
        for domain in configuration.failure_domains
        if domain.state is states.FailureDomainState.IN
    ]


def _share_holders(
    configuration: configuration_lib.Configuration,
) -> list[ids.FailureDomainId]:
    return _in_service(configuration) or [
        domain.name for domain in configuration.failure_domains
    ]


def _split_guarantees(
    configuration: configuration_lib.Configuration,
) -> dict[ids.FailureDomainId, dict[int, int]]:
    domains = _share_holders(configuration)
    copies: dict[ids.FailureDomainId, dict[int, int]] = {
        domain.name: {} for domain in configuration.failure_domains
    }
    load = dict.fromkeys(copies, 0)
    unbound = []
    for row, guarantee in enumerate(configuration.guarantees):
        if guarantee.failure_domain is None:
            unbound.append((row, guarantee))
        elif guarantee.failure_domain in copies:
            copies[guarantee.failure_domain][row] = guarantee.copies
            load[guarantee.failure_domain] += _copy_weight(guarantee) * (
                guarantee.copies
            )
    for row, guarantee in unbound:
        key = f"{guarantee.account}/{row}"
        parts = _divide(
            guarantee.copies, key, _copy_weight(guarantee), domains, load
        )
        for domain, amount in parts.items():
            copies[domain][row] = amount
    return copies


def _copy_weight(guarantee: configuration_lib.Guarantee) -> int:
    return max(1, shapes.of_guarantee(guarantee).accelerators)


def _split_allowances(
    configuration: configuration_lib.Configuration,
) -> dict[ids.FailureDomainId, dict[ids.AccountId, int]]:
    domains = _share_holders(configuration)
    result: dict[ids.FailureDomainId, dict[ids.AccountId, int]] = {
        domain.name: {} for domain in configuration.failure_domains
    }
    load = dict.fromkeys(result, 0)
    for allowance in configuration.allowances:
        units, remainder = divmod(
            allowance.accelerators, ALLOWANCE_UNIT_ACCELERATORS
        )
        parts = _divide(
            units, allowance.account, ALLOWANCE_UNIT_ACCELERATORS, domains, load
        )
        for domain, amount in parts.items():
            result[domain][allowance.account] = (
                amount * ALLOWANCE_UNIT_ACCELERATORS
            )
        if remainder and domains:
            domain = _choose_underloaded(
                allowance.account + "/rest", domains, load
            )
            load[domain] += remainder
            before = result[domain].get(allowance.account, 0)
            result[domain][allowance.account] = before + remainder
    return result


def _divide(
    units: int,
    key: str,
    weight: int,
    domains: Sequence[ids.FailureDomainId],
    load: dict[ids.FailureDomainId, int],
) -> dict[ids.FailureDomainId, int]:
    if not domains:
        return {}
    base, remainder = divmod(units, len(domains))
    parts = dict.fromkeys(domains, base)
    for domain in domains:
        load[domain] += base * weight
    candidates = list(domains)
    for number in range(remainder):
        domain = _choose_underloaded(f"{key}/{number}", candidates, load)
        candidates.remove(domain)
        parts[domain] += 1
        load[domain] += weight
    return {domain: amount for domain, amount in parts.items() if amount}


def _choose_underloaded(
    key: str,
    domains: Sequence[ids.FailureDomainId],
    load: dict[ids.FailureDomainId, int],
) -> ids.FailureDomainId:
    mean = sum(load[domain] for domain in domains) / len(domains)
    return max(
        (domain for domain in domains if load[domain] <= mean),
        key=lambda domain: hashlib.blake2b(
            f"{key}@{domain}".encode(), digest_size=8
        ).digest(),
    )
