"""Splits guarantees and allowances over failure domains.

The split is a pure function of the accepted configuration. Every VM computes
the same one, so failure domains that are cut off from each other never
promise the same copy twice (escrow, as in O'Neil, "The Escrow Transactional
Method", TODS 1986). Failure domains out of service get no share while another
is in service.
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
        account: The paying account.
        shape: The shape of one copy.
        copies: How many copies.
    """

    row: int
    account: ids.AccountId
    shape: shapes.Shape
    copies: int


class DomainShare(msgspec.Struct, frozen=True, kw_only=True):
    """What one failure domain has to honour.

    Attributes:
        guarantees: Its part of each guarantee, parts without copies left out.
        allowances: The most accelerators of each trial account.
    """

    guarantees: tuple[GuaranteeShare, ...] = ()
    allowances: dict[ids.AccountId, int] = {}


def split(
    configuration: configuration_lib.Configuration,
) -> dict[ids.FailureDomainId, DomainShare]:
    """Splits all guarantees and allowances.

    Copies bound to a failure domain stay there. The others are divided by
    largest remainder; a remaining copy goes to a failure domain whose load is
    not above the mean, chosen by rendezvous hashing (bounded loads, as in
    Mirrokni et al., "Consistent Hashing with Bounded Loads", SODA 2018).

    Args:
        configuration: The accepted configuration.

    Returns:
        The share of every failure domain of the configuration.
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
        configuration: The accepted configuration.
        failure_domain: The failure domain.

    Returns:
        Its share; empty if the configuration does not name it.
    """
    return split(configuration).get(failure_domain, DomainShare())


def rank_homes(
    configuration: configuration_lib.Configuration, spec: jobs.JobSpec
) -> tuple[ids.FailureDomainId, ...]:
    """Ranks the failure domains in service as homes of a new job.

    Args:
        configuration: The accepted configuration.
        spec: The job; its id is not read.

    Returns:
        Failure domains that hold more of the account's guarantee or allowance
        first; those whose allowance share is too small for the job are left
        out. Ties are in the order of the configuration.
    """
    by_domain = split(configuration)
    trial = any(
        account.name == spec.account
        and account.account_class is states.AccountClass.TRIAL
        for account in configuration.accounts
    )
    held = {
        domain: _held(by_domain[domain], spec, trial)
        for domain in _in_service(configuration)
    }
    return tuple(
        sorted(
            (d for d, amount in held.items() if amount is not None),
            key=lambda d: -held[d],
        )
    )


def _held(part: DomainShare, spec: jobs.JobSpec, trial: bool) -> int | None:
    if trial:
        allowed = part.allowances.get(spec.account, 0)
        return allowed if allowed >= spec.accelerators else None
    return sum(
        shared.copies * shared.shape.accelerators
        for shared in part.guarantees
        if shared.account == spec.account
        and shared.copies * shared.shape.accelerators >= spec.accelerators
    )


def _in_service(
    configuration: configuration_lib.Configuration,
) -> list[ids.FailureDomainId]:
    return [
        domain.name
        for domain in configuration.failure_domains
        if domain.state is states.FailureDomainState.IN
    ]


def _sharing(
    configuration: configuration_lib.Configuration,
) -> list[ids.FailureDomainId]:
    return _in_service(configuration) or [
        domain.name for domain in configuration.failure_domains
    ]


def _split_guarantees(
    configuration: configuration_lib.Configuration,
) -> dict[ids.FailureDomainId, dict[int, int]]:
    domains = _sharing(configuration)
    copies: dict[ids.FailureDomainId, dict[int, int]] = {
        domain.name: {} for domain in configuration.failure_domains
    }
    load = dict.fromkeys(copies, 0)
    spread = []
    for row, guarantee in enumerate(configuration.guarantees):
        if guarantee.failure_domain is None:
            spread.append((row, guarantee))
        elif guarantee.failure_domain in copies:
            copies[guarantee.failure_domain][row] = guarantee.copies
            load[guarantee.failure_domain] += _weight(guarantee) * (
                guarantee.copies
            )
    for row, guarantee in spread:
        key = f"{guarantee.account}/{row}"
        parts = _divide(
            guarantee.copies, key, _weight(guarantee), domains, load
        )
        for domain, part in parts.items():
            copies[domain][row] = part
    return copies


def _weight(guarantee: configuration_lib.Guarantee) -> int:
    return max(1, shapes.of_guarantee(guarantee).accelerators)


def _split_allowances(
    configuration: configuration_lib.Configuration,
) -> dict[ids.FailureDomainId, dict[ids.AccountId, int]]:
    domains = _sharing(configuration)
    result: dict[ids.FailureDomainId, dict[ids.AccountId, int]] = {
        domain.name: {} for domain in configuration.failure_domains
    }
    load = dict.fromkeys(result, 0)
    for allowance in configuration.allowances:
        units, rest = divmod(
            allowance.accelerators, ALLOWANCE_UNIT_ACCELERATORS
        )
        parts = _divide(
            units, allowance.account, ALLOWANCE_UNIT_ACCELERATORS, domains, load
        )
        for domain, part in parts.items():
            result[domain][allowance.account] = (
                part * ALLOWANCE_UNIT_ACCELERATORS
            )
        if rest and domains:
            domain = _lightest(allowance.account + "/rest", domains, load)
            load[domain] += rest
            before = result[domain].get(allowance.account, 0)
            result[domain][allowance.account] = before + rest
    return result


def _divide(
    copies: int,
    key: str,
    weight: int,
    domains: Sequence[ids.FailureDomainId],
    load: dict[ids.FailureDomainId, int],
) -> dict[ids.FailureDomainId, int]:
    if not domains:
        return {}
    each, remainder = divmod(copies, len(domains))
    parts = dict.fromkeys(domains, each)
    for domain in domains:
        load[domain] += each * weight
    left = list(domains)
    for number in range(remainder):
        domain = _lightest(f"{key}/{number}", left, load)
        left.remove(domain)
        parts[domain] += 1
        load[domain] += weight
    return {domain: part for domain, part in parts.items() if part}


def _lightest(
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
