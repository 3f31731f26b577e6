"""What the router of short requests asks the agent to do."""

import msgspec

from citronmount.core import ids
from citronmount.core import jobs

__all__ = ["Finish", "Offer", "RequestDecision", "Send"]


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """Send the request to this runner now; a slot is set aside.

    Attributes:
        request: The request.
        runner: The runner.
        attempt: Counts the sends of the request from 1.
        hedge: Whether another attempt is still in flight.
        timeout_ms: What is left of the caller's time limit.
    """

    request: ids.RequestId
    runner: ids.RunnerId
    attempt: int = 1
    hedge: bool = False
    timeout_ms: int = 0


class Finish(msgspec.Struct, frozen=True, kw_only=True):
    """Give the caller this final answer.

    Attributes:
        result: The answer.
    """

    result: jobs.RequestResult


class Offer(msgspec.Struct, frozen=True, kw_only=True):
    """Pass the request to a peer VM that has free slots.

    The request has left the queue. What the peer answered, or that it did
    not, is told by `RequestRouter.record_peer_answer`.

    Attributes:
        request: The request.
        vm: The peer.
        timeout_ms: What is left of the caller's time limit.
    """

    request: ids.RequestId
    vm: ids.VmId
    timeout_ms: int


RequestDecision = Send | Finish | Offer
