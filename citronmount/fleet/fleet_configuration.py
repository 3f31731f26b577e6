"""The configuration that operators publish for a pool, as decided on."""

import msgspec

from citronmount.core import ids
from citronmount.workflow import spec

__all__ = ["Account", "Bounds", "FleetConfiguration", "Queue"]


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """One queue and where callers reach it.

    Attributes:
        terms: How its jobs are run.
        host: The host name of its calls, or empty for any.
        path_prefix: What the path of its calls begins with.
        timeout_ms: The longest a call may take.
        public: Whether calls need no key.
    """

    terms: spec.QueueTerms
    host: str
    path_prefix: str
    timeout_ms: int
    public: bool = False


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """A client account.

    Attributes:
        account: The id.
        keys: The keys of its callers.
        guaranteed_accelerators: Accelerators that belong to its jobs of
            priority 0 at all times.
    """

    account: ids.AccountId
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


class FleetConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration.

    Attributes:
        version: Rises with each change.
        queues: The queues, those with the longest prefix first.
        accounts: The client accounts.
    """

    version: int
    queues: tuple[Queue, ...]
    accounts: tuple[Account, ...]

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Returns the queue that serves a call.

        Args:
            host: The host name that the caller named, without a port.
            path: The path of the call.

        Returns:
            The queue with the longest prefix, or None.
        """
        matching = (
            queue
            for queue in self.queues
            if path.startswith(queue.path_prefix) and queue.host in ("", host)
        )
        return next(matching, None)

    def account_of(self, key: str) -> ids.AccountId | None:
        """Returns the client account of a key, or None if it is unknown."""
        owners = (each.account for each in self.accounts if key in each.keys)
        return next(owners, None)


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Times that the site sets.

    Attributes:
        max_lease_ms: The longest lease that workers grant.
        stop_ms: How long a stop takes at most.
        status_s: How long final states must be told.
        reclaim_ms: When jobs inside a guarantee must have begun.
        spread_factor: How many times as long a step takes that is spread
            over racks or runs far from its data.
        save_s: Work between two checkpoints of a task.
    """

    max_lease_ms: int = 6_000
    stop_ms: int = 400
    status_s: int = 120
    reclaim_ms: int = 2_900
    spread_factor: float = 3.0
    save_s: float = 1.0
