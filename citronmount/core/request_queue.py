"""The fair queue of short requests over client accounts.

Accounts share by start-time fair queueing: Goyal, Vin and Cheng, "Start-time
Fair Queueing", SIGCOMM 1996. A request costs what requests of its account
took of late, so that long requests count for more. Trial accounts come after
all paying ones.
"""

import collections
import heapq
import itertools

import msgspec

from citronmount.core import ids
from citronmount.core import states

__all__ = ["FairQueue"]

DEFAULT_COST_MS = 50.0
COST_WEIGHT = 0.1
REMOVED_KEPT = 32


class _Lane(msgspec.Struct, kw_only=True):
    """The waiting requests of one account."""

    account: ids.AccountId
    waiting: collections.deque[ids.RequestId]
    live: int = 0
    finish_tag: float = 0.0
    cost_ms: float = DEFAULT_COST_MS
    trial: bool = False
    entry: int = -1


class FairQueue:
    """Waiting requests, bounded for each account."""

    def __init__(self, *, bound: int) -> None:
        """Initializes an empty queue.

        Args:
            bound: The most requests of one account that may wait.
        """
        self._bound = bound
        self._lanes: dict[ids.AccountId, _Lane] = {}
        self._owner: dict[ids.RequestId, ids.AccountId] = {}
        self._heap: list[tuple[bool, float, int, ids.AccountId]] = []
        self._entries = itertools.count()
        self._virtual_ms = {False: 0.0, True: 0.0}

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return len(self._owner)

    def set_class(
        self, account: ids.AccountId, account_class: states.AccountClass
    ) -> None:
        """Notes whether an account pays or tries.

        Args:
            account: The account.
            account_class: Its class; accounts not noted count as paying.
        """
        lane = self._lane(account)
        trial = account_class is states.AccountClass.TRIAL
        if lane.trial == trial:
            return
        lane.trial = trial
        lane.finish_tag = self._virtual_ms[trial]
        if lane.live:
            self._push(lane)

    def waiting(self, account: ids.AccountId) -> int:
        """Returns how many requests of an account wait.

        Args:
            account: The account.

        Returns:
            The number of its waiting requests.
        """
        lane = self._lanes.get(account)
        return lane.live if lane else 0

    def cost_ms(self, account: ids.AccountId) -> float:
        """Returns how long requests of an account took of late.

        Args:
            account: The account.

        Returns:
            A moving average in ms.
        """
        return self._lane(account).cost_ms

    def observe(self, account: ids.AccountId, took_ms: float) -> None:
        """Notes how long a request of an account held a slot.

        Args:
            account: The account.
            took_ms: The time from dispatch to answer.
        """
        lane = self._lane(account)
        lane.cost_ms += COST_WEIGHT * (max(1.0, took_ms) - lane.cost_ms)

    def push(self, request: ids.RequestId, account: ids.AccountId) -> bool:
        """Adds a request at the end of its account's line.

        Args:
            request: The request.
            account: Its account.

        Returns:
            Whether there was room.
        """
        lane = self._lane(account)
        if lane.live >= self._bound:
            return False
        lane.waiting.append(request)
        self._added(lane, request)
        return True

    def push_front(
        self, request: ids.RequestId, account: ids.AccountId
    ) -> None:
        """Puts a request that was taken before back to the front.

        Args:
            request: The request.
            account: Its account.
        """
        lane = self._lane(account)
        lane.waiting.appendleft(request)
        lane.finish_tag -= lane.cost_ms
        self._added(lane, request)

    def remove(self, request: ids.RequestId) -> bool:
        """Removes a request wherever it waits.

        Args:
            request: The request.

        Returns:
            Whether it waited.
        """
        account = self._owner.pop(request, None)
        if account is None:
            return False
        lane = self._lanes[account]
        lane.live -= 1
        if len(lane.waiting) > 2 * lane.live + REMOVED_KEPT:
            lane.waiting = collections.deque(
                other for other in lane.waiting if other in self._owner
            )
        return True

    def peek(self) -> ids.RequestId | None:
        """Returns the request that is next, without taking it.

        Returns:
            The request, or None if none waits.
        """
        lane = self._head()
        return lane.waiting[0] if lane else None

    def pop(self) -> ids.RequestId | None:
        """Takes the request that is next.

        Returns:
            The request, or None if none waits.
        """
        lane = self._head()
        if lane is None:
            return None
        request = lane.waiting.popleft()
        self.remove(request)
        start = max(lane.finish_tag, self._virtual_ms[lane.trial])
        self._virtual_ms[lane.trial] = start
        lane.finish_tag = start + lane.cost_ms
        heapq.heappop(self._heap)
        lane.entry = -1
        if lane.live:
            self._push(lane)
        return request

    def _lane(self, account: ids.AccountId) -> _Lane:
        if account not in self._lanes:
            self._lanes[account] = _Lane(
                account=account, waiting=collections.deque()
            )
        return self._lanes[account]

    def _added(self, lane: _Lane, request: ids.RequestId) -> None:
        self._owner[request] = lane.account
        lane.live += 1
        if lane.live == 1 or lane.entry < 0:
            self._push(lane)

    def _push(self, lane: _Lane) -> None:
        lane.entry = next(self._entries)
        start = max(lane.finish_tag, self._virtual_ms[lane.trial])
        heapq.heappush(
            self._heap, (lane.trial, start, lane.entry, lane.account)
        )

    def _head(self) -> _Lane | None:
        while self._heap:
            *_, entry, account = self._heap[0]
            lane = self._lanes[account]
            if lane.entry == entry and lane.live:
                _skip_removed(lane, self._owner)
                return lane
            heapq.heappop(self._heap)
        return None


def _skip_removed(
    lane: _Lane, owner: dict[ids.RequestId, ids.AccountId]
) -> None:
    while lane.waiting[0] not in owner:
        lane.waiting.popleft()
