"""Chooses the home failure domain of jobs and keys."""

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
    """What is known of the room in a failure domain.

    Attributes:
        accelerators: Free ones less those that queued jobs ask for.
        largest_gang: The largest gang that it could ever hold.
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
        Whether it is listed as in service.
    """
    return any(
        domain.name == failure_domain
        and domain.state is states.FailureDomainState.IN
        for domain in current.failure_domains
    )


def home_of_key(
    current: configuration.Configuration, account: ids.AccountId, key: str
) -> ids.FailureDomainId | None:
    """Returns the failure domain that arbitrates an idempotency key.

    It stays the same while failure domains go out of service and come back.

    Args:
        current: The configuration in force.
        account: The account that uses the key.
        key: The key.

    Returns:
        The home, or None if no failure domain is configured.
    """
    names = [domain.name for domain in current.failure_domains]
    chosen = rendezvous.choose(f"{account}\0{key}", names)
    return None if chosen is None else ids.FailureDomainId(chosen)


def keyed_job_id(
    home: ids.FailureDomainId, account: ids.AccountId, key: str
) -> ids.JobId:
    """Returns the job id that every submission with a key gets.

    Args:
        home: The home of the key.
        account: The account that uses the key.
        key: The key.

    Returns:
        The same id for the same arguments.
    """
    digest = hashlib.blake2b(
        f"{account}\0{key}".encode(), digest_size=KEY_DIGEST_BYTES
    )
    return ids.job_id(home, f"k{digest.hexdigest()}")


def rank_job_homes(
    current: configuration.Configuration,
    spec: jobs.JobSpec,
    rooms: dict[ids.FailureDomainId, DomainCapacity],
    own: ids.FailureDomainId,
) -> list[ids.FailureDomainId]:
    """Returns the failure domains that could schedule a job, best first.

    Those whose part of the account's allowance is too small are left out,
    unless that leaves none. Those that hold a guarantee of the account come
    first, then those with the most room after their queues; the own one wins
    ties.

    Args:
        current: The configuration in force.
        spec: The job.
        rooms: The room in each failure domain that has an owner.
        own: The failure domain of the asking VM.

    Returns:
        Failure domains in service.
    """
    allowed = shares.homes(current, spec) or tuple(
        domain.name
        for domain in current.failure_domains
        if domain.state is states.FailureDomainState.IN
    )
    usable = [name for name in allowed if name in rooms]
    holding = {
        guarantee.failure_domain
        for guarantee in current.guarantees
        if guarantee.account == spec.account
    }

    def preference(
        name: ids.FailureDomainId,
    ) -> tuple[bool, bool, bool, int, bool]:
        room = rooms[name]
        fits = room.largest_gang >= spec.accelerators
        guaranteed = name in holding or None in holding
        room_now = room.accelerators >= spec.accelerators
        return fits, guaranteed, room_now, room.accelerators, name == own

    return sorted(usable, key=preference, reverse=True)
