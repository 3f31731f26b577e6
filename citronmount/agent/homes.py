"""Selects the home failure domain of jobs and idempotency keys."""

import hashlib

import msgspec

from citronmount.config import configuration
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import shares
from citronmount.core import states
from citronmount.membership import rendezvous

__all__ = [
    "DomainCapacity",
    "home_of_key",
    "in_service",
    "keyed_job_id",
    "rank_job_homes",
]

KEY_DIGEST_BYTES = 12


class DomainCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of a failure domain as known to one VM.

    Attributes:
        accelerators: Free accelerators minus those requested by queued jobs.
        largest_gang: Accelerators of the largest gang that fits into the
            failure domain when it is empty.
    """

    accelerators: int
    largest_gang: int


def in_service(
    current: configuration.Configuration,
    failure_domain: ids.FailureDomainId,
) -> bool:
    """Returns whether tasks may start in a failure domain.

    Args:
        current: The configuration in force.
        failure_domain: The failure domain.

    Returns:
        Whether the configuration lists it as in service.
    """
    return any(
        domain.name == failure_domain
        and domain.state is states.FailureDomainState.IN
        for domain in current.failure_domains
    )


def home_of_key(
    current: configuration.Configuration, account: ids.AccountId, key: str
) -> ids.FailureDomainId | None:
    """Returns the failure domain that grants claims of an idempotency key.

    The home does not change when a failure domain goes out of service or
    returns.

    Args:
        current: The configuration in force.
        account: The account that uses the key.
        key: The key.

    Returns:
        The home of the key, or None if no failure domain is configured.
    """
    names = [domain.name for domain in current.failure_domains]
    chosen = rendezvous.choose(f"{account}\0{key}", names)
    return None if chosen is None else ids.FailureDomainId(chosen)


def keyed_job_id(
    home: ids.FailureDomainId, account: ids.AccountId, key: str
) -> ids.JobId:
    """Returns the job id of submissions with an idempotency key.

    Args:
        home: The home of the key.
        account: The account that uses the key.
        key: The key.

    Returns:
        A job id derived from the arguments, so that every submission with the
        key has the same one.
    """
    digest = hashlib.blake2b(
        f"{account}\0{key}".encode(), digest_size=KEY_DIGEST_BYTES
    )
    return ids.job_id(home, f"k{digest.hexdigest()}")


def rank_job_homes(
    current: configuration.Configuration,
    spec: jobs.JobSpec,
    capacities: dict[ids.FailureDomainId, DomainCapacity],
    own: ids.FailureDomainId,
) -> list[ids.FailureDomainId]:
    """Ranks the failure domains that may schedule a job, preferred first.

    For a trial account, failure domains whose share of its allowance is too
    small are excluded, unless no other remains. The criteria of the order are,
    by decreasing weight: the gang could ever fit, the account has a guarantee
    there, the job fits now, the most capacity is free after queued jobs, and
    the failure domain is the local one.

    Args:
        current: The configuration in force.
        spec: The job.
        capacities: The capacity of each failure domain that has an owner.
        own: The failure domain of the local VM.

    Returns:
        Failure domains in service that have an owner.
    """
    allowed = shares.rank_homes(current, spec) or tuple(
        domain.name
        for domain in current.failure_domains
        if domain.state is states.FailureDomainState.IN
    )
    candidates = [name for name in allowed if name in capacities]
    guaranteed_domains = {
        guarantee.failure_domain
        for guarantee in current.guarantees
        if guarantee.account == spec.account
    }

    def preference(
        name: ids.FailureDomainId,
    ) -> tuple[bool, bool, bool, int, bool]:
        capacity = capacities[name]
        fits = capacity.largest_gang >= spec.accelerators
        guaranteed = name in guaranteed_domains or None in guaranteed_domains
        fits_now = capacity.accelerators >= spec.accelerators
        return fits, guaranteed, fits_now, capacity.accelerators, name == own

    return sorted(candidates, key=preference, reverse=True)
