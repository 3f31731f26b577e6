"""Decisions of the request router that the agent carries out."""

import msgspec

from citronmount.core import ids
from citronmount.core import jobs

__all__ = ["Finish", "Offer", "RequestDecision", "Send"]


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """Sends a request to a runner, at which a slot is already allocated.

    Attributes:
        request: Request id.
        runner: Runner.
        attempt: Number of the attempt, counted from 1 for each request.
        hedge: Whether another attempt of the request is in flight.
        timeout_ms: Time left until the caller's timeout.
    """

    request: ids.RequestId
    runner: ids.RunnerId
    attempt: int = 1
    hedge: bool = False
    timeout_ms: int = 0


class Finish(msgspec.Struct, frozen=True, kw_only=True):
    """Answers the caller with the final result.

    Attributes:
        result: Final result.
    """

    result: jobs.RequestResult


class Offer(msgspec.Struct, frozen=True, kw_only=True):
    """Offers a request to a peer VM.

    The request is no longer queued. The agent reports the answer of the peer,
    or its absence, to `RequestRouter.record_peer_answer`.

    Attributes:
        request: Request id.
        vm: Peer.
        timeout_ms: Time left until the caller's timeout.
    """

    request: ids.RequestId
    vm: ids.VmId
    timeout_ms: int


RequestDecision = Send | Finish | Offer
