"""The published configuration of a pool, in the form the owner uses."""

import enum

import msgspec

from citronmount.core import ids
from citronmount.workflow import spec

__all__ = [
    "Account",
    "Bounds",
    "Feature",
    "FleetConfiguration",
    "NO_QUOTA",
    "Queue",
    "Quota",
]


class Feature(enum.Enum):
    """A part of scheduling that a deployment enables by its name.

    FAIR_SHARING: accounts below their share go first while the pool is full.
    PREEMPTION_WORTH: reservations and preemptions follow the worth of work.
    RUN_TIME_ESTIMATES: run times are learned from finished runs. WORKER_SPEEDS:
    gangs run on workers of like speed.
    """

    FAIR_SHARING = "fair-sharing"
    PREEMPTION_WORTH = "preemption-worth"
    RUN_TIME_ESTIMATES = "run-time-estimates"
    WORKER_SPEEDS = "worker-speeds"


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue and the calls that are routed to it.

    Attributes:
        terms: Scheduling terms of the queue's jobs.
        host: Host name of the calls, or empty for any host.
        path_prefix: Prefix of the path of the calls.
        timeout_ms: Maximum duration of a call.
        public: Whether calls need no API key.
    """

    terms: spec.QueueTerms
    host: str
    path_prefix: str
    timeout_ms: int
    public: bool = False


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on what an account may have running; 0 is no limit.

    Attributes:
        max_millicores: Thousandths of a processor core.
        max_memory_mb: Memory in megabytes.
        max_accelerators: Number of whole accelerators.
    """

    max_millicores: int = 0
    max_memory_mb: int = 0
    max_accelerators: int = 0


NO_QUOTA = Quota()


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account.

    Attributes:
        account: Account id.
        keys: API keys of the account's callers.
        guaranteed_accelerators: Number of accelerators guaranteed to the
            account's jobs of priority 0.
        quota: Limits on what the account may have running in the pool.
        weight: Share of the account while the pool is full, relative to the
            other accounts, or 0 if the configuration gives none.
    """

    account: ids.AccountId
    keys: frozenset[str]
    guaranteed_accelerators: int = 0
    quota: Quota = NO_QUOTA
    weight: float = 0.0


class FleetConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration.

    Attributes:
        version: Version number, increased with each change.
        queues: The queues, ordered by descending length of the path prefix.
        accounts: The client accounts.
    """

    version: int
    queues: tuple[Queue, ...]
    accounts: tuple[Account, ...]

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Returns the queue that a call is routed to.

        Args:
            host: Host name of the request, without a port.
            path: Path of the request.

        Returns:
            The matching queue with the longest prefix, or None.
        """
        matching = (
            queue
            for queue in self.queues
            if path.startswith(queue.path_prefix) and queue.host in ("", host)
        )
        return next(matching, None)

    def account_of(self, key: str) -> ids.AccountId | None:
        """Returns the client account of an API key, or None if unknown."""
        owners = (each.account for each in self.accounts if key in each.keys)
        return next(owners, None)

    def quota_of(self, account: ids.AccountId) -> Quota:
        """Returns the quota of an account; an unknown account has none."""
        quotas = (
            each.quota for each in self.accounts if each.account == account
        )
        return next(quotas, NO_QUOTA)

    def authenticate(self, queue: Queue, key: str) -> ids.AccountId | None:
        """Returns the client account of a call.

        Args:
            queue: The queue that the call is routed to.
            key: The API key of the call, or empty without one.

        Returns:
            The client account, empty for a call without a known key to a
            public queue, or None if the call is unauthorized.
        """
        account = self.account_of(key) if key else None
        if account is None and queue.public:
            return ids.AccountId("")
        return account


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Time bounds and factors of the site.

    Attributes:
        max_lease_ms: Longest lease that workers accept.
        stop_ms: Maximum time to stop a task.
        status_s: Time for which final states must remain available to callers.
        reclaim_ms: Time within which jobs inside a guarantee must start.
        spread_factor: Factor by which a step takes longer when it is spread
            over racks or runs on another rack than its data.
        save_s: Work in seconds between two checkpoints of a task.
    """

    max_lease_ms: int = 6_000
    stop_ms: int = 400
    status_s: int = 120
    reclaim_ms: int = 2_900
    spread_factor: float = 3.0
    save_s: float = 1.0
