"""Chooses the home failure domain of jobs and keys."""

import hashlib

from citronmount.config import configuration
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.membership import rendezvous
from citronmount.peers import messages as peer_messages

__all__ = ["choose_job_home", "home_of_key", "in_service", "keyed_job_id"]

KEY_DIGEST_BYTES = 12


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


def choose_job_home(
    current: configuration.Configuration,
    spec: jobs.JobSpec,
    summaries: dict[ids.FailureDomainId, peer_messages.DomainSummary],
    own: ids.FailureDomainId,
) -> ids.FailureDomainId | None:
    """Returns the failure domain that should schedule a job without a key.

    Failure domains that hold a guarantee of the account for it come first,
    then those with the most room after their queues; the own one wins ties.

    Args:
        current: The configuration in force.
        spec: The job.
        summaries: What owners tell of their failure domains.
        own: The failure domain of the asking VM.

    Returns:
        The home, or None if no failure domain can take the job now.
    """
    usable = [
        domain.name
        for domain in current.failure_domains
        if domain.name in summaries
        and domain.state is states.FailureDomainState.IN
    ]
    holding = {
        guarantee.failure_domain
        for guarantee in current.guarantees
        if guarantee.account == spec.account
    }

    def preference(name: ids.FailureDomainId) -> tuple[int, int, int, bool]:
        summary = summaries[name]
        room = summary.free_accelerators - summary.queued_accelerators
        fits = summary.largest_gang >= spec.accelerators
        room_now = room >= spec.accelerators
        return fits, name in holding and room_now, room, name == own

    return max(usable, key=preference, default=None)
