"""Fair queue of short requests across client accounts.

Accounts share by start-time fair queueing: Goyal, Vin and Cheng, "Start-time
Fair Queueing", SIGCOMM 1996. The cost of a request is the recent average
duration of the requests of its account, so that long requests count for more.
Requests of trial accounts come after those of all paying accounts.
"""

import collections
import heapq
import itertools

import msgspec

from citronmount.core import ids
from citronmount.core import states

__all__ = ["FairQueue"]

INITIAL_COST_MS = 50.0
COST_SMOOTHING_FACTOR = 0.1
COMPACTION_SLACK = 32


class _AccountQueue(msgspec.Struct, kw_only=True):
    """Queued requests of an account.

    Removed requests stay in `waiting` until they are skipped or compacted;
    `live` counts the others. `entry` is the number of the heap entry that is
    valid, or -1.
    """

    account: ids.AccountId
    waiting: collections.deque[ids.RequestId]
    live: int = 0
    finish_tag: float = 0.0
    cost_ms: float = INITIAL_COST_MS
    trial: bool = False
    entry: int = -1


class FairQueue:
    """Queued requests, limited in number for each account."""

    def __init__(self, *, max_queued: int) -> None:
        """Initializes an empty queue.

        Args:
            max_queued: Maximum number of queued requests of an account.
        """
        self._max_queued = max_queued
        self._queues: dict[ids.AccountId, _AccountQueue] = {}
        self._account_of: dict[ids.RequestId, ids.AccountId] = {}
        self._heap: list[tuple[bool, float, int, ids.AccountId]] = []
        self._entry_numbers = itertools.count()
        self._virtual_time_ms = {False: 0.0, True: 0.0}

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._account_of)

    def set_account_class(
        self, account: ids.AccountId, account_class: states.AccountClass
    ) -> None:
        """Sets the class of an account.

        Args:
            account: Client account.
            account_class: Class; accounts without one count as paying.
        """
        queue = self._account_queue(account)
        trial = account_class is states.AccountClass.TRIAL
        if queue.trial == trial:
            return
        queue.trial = trial
        queue.finish_tag = self._virtual_time_ms[trial]
        if queue.live:
            self._push_heap_entry(queue)

    def queued_count(self, account: ids.AccountId) -> int:
        """Counts the queued requests of an account.

        Args:
            account: Client account.

        Returns:
            The number of its queued requests.
        """
        queue = self._queues.get(account)
        return queue.live if queue else 0

    def cost_ms(self, account: ids.AccountId) -> float:
        """Returns the recent average duration of an account's requests.

        Args:
            account: Client account.

        Returns:
            Exponential moving average in ms.
        """
        return self._account_queue(account).cost_ms

    def observe(self, account: ids.AccountId, duration_ms: float) -> None:
        """Records how long a request of an account held a slot.

        Args:
            account: Client account.
            duration_ms: Time from dispatch to answer.
        """
        queue = self._account_queue(account)
        queue.cost_ms += COST_SMOOTHING_FACTOR * (
            max(1.0, duration_ms) - queue.cost_ms
        )

    def push(self, request: ids.RequestId, account: ids.AccountId) -> bool:
        """Appends a request to the queue of its account.

        Args:
            request: Request id.
            account: Client account of the request.

        Returns:
            False if the account already has the maximum number of queued
            requests, otherwise True.
        """
        queue = self._account_queue(account)
        if queue.live >= self._max_queued:
            return False
        queue.waiting.append(request)
        self._record_added(queue, request)
        return True

    def push_front(
        self, request: ids.RequestId, account: ids.AccountId
    ) -> None:
        """Returns a popped request to the front of the queue of its account.

        Args:
            request: Request id.
            account: Client account of the request.
        """
        queue = self._account_queue(account)
        queue.waiting.appendleft(request)
        queue.finish_tag -= queue.cost_ms
        self._record_added(queue, request)

    def remove(self, request: ids.RequestId) -> bool:
        """Removes a request from any position.

        Args:
            request: Request id.

        Returns:
            Whether the request was queued.
        """
        account = self._account_of.pop(request, None)
        if account is None:
            return False
        queue = self._queues[account]
        queue.live -= 1
        if len(queue.waiting) > 2 * queue.live + COMPACTION_SLACK:
            queue.waiting = collections.deque(
                queued for queued in queue.waiting if queued in self._account_of
            )
        return True

    def peek(self) -> ids.RequestId | None:
        """Returns the next request without removing it.

        Returns:
            The request id, or None if no request is queued.
        """
        queue = self._next_queue()
        return queue.waiting[0] if queue else None

    def pop(self) -> ids.RequestId | None:
        """Removes the next request.

        Returns:
            The request id, or None if no request is queued.
        """
        queue = self._next_queue()
        if queue is None:
            return None
        request = queue.waiting.popleft()
        self.remove(request)
        start = max(queue.finish_tag, self._virtual_time_ms[queue.trial])
        self._virtual_time_ms[queue.trial] = start
        queue.finish_tag = start + queue.cost_ms
        heapq.heappop(self._heap)
        queue.entry = -1
        if queue.live:
            self._push_heap_entry(queue)
        return request

    def _account_queue(self, account: ids.AccountId) -> _AccountQueue:
        if account not in self._queues:
            self._queues[account] = _AccountQueue(
                account=account, waiting=collections.deque()
            )
        return self._queues[account]

    def _record_added(
        self, queue: _AccountQueue, request: ids.RequestId
    ) -> None:
        self._account_of[request] = queue.account
        queue.live += 1
        if queue.live == 1 or queue.entry < 0:
            self._push_heap_entry(queue)

    def _push_heap_entry(self, queue: _AccountQueue) -> None:
        queue.entry = next(self._entry_numbers)
        start = max(queue.finish_tag, self._virtual_time_ms[queue.trial])
        heapq.heappush(
            self._heap, (queue.trial, start, queue.entry, queue.account)
        )

    def _next_queue(self) -> _AccountQueue | None:
        while self._heap:
            *_, entry, account = self._heap[0]
            queue = self._queues[account]
            if queue.entry == entry and queue.live:
                _skip_removed(queue, self._account_of)
                return queue
            heapq.heappop(self._heap)
        return None


def _skip_removed(
    queue: _AccountQueue, account_of: dict[ids.RequestId, ids.AccountId]
) -> None:
    while queue.waiting[0] not in account_of:
        queue.waiting.popleft()
